//! What the administration API stands on.

use std::fmt::Debug;

use sardinepin_common::Revision;
use sardinepin_config::{RuleList, Upstream};
use sardinepin_platform::{BoxFuture, Expect};
use sardinepin_protocol::{Digest, UpstreamState};

use super::problem::Problem;
use super::views::{
    AppliedView, GroupView, LoadView, NodeView, QuarantineView, RulesView, StatusView, TestAnswer,
    TestRequest, UpstreamView,
};
use crate::check::Deployment;

/// The result of a call, to come.
pub type Reply<'a, T> = BoxFuture<'a, Result<T, Problem>>;

/// Whether a process can be sent work.
pub trait Health: Debug + Send + Sync {
    /// Says why the process is not ready, in words, if it is not.
    fn waiting(&self) -> Option<String>;
}

/// What operators see and change through a node.
pub trait Backend: Debug + Send + Sync {
    /// Returns the rule list as it stands.
    fn rules(&self) -> Reply<'_, RulesView>;

    /// Replaces the rule list if `expect` holds, and returns the revision of the write.
    fn put_rules<'a>(&'a self, list: &'a RuleList, expect: Expect) -> Reply<'a, Revision>;

    /// Says which rule a described request meets, and why the earlier ones did not match.
    fn test(&self, request: &TestRequest) -> TestAnswer;

    /// Returns what this node knows of the deployment.
    fn status(&self) -> Reply<'_, StatusView>;

    /// Returns all upstreams.
    fn upstreams(&self) -> Reply<'_, Vec<UpstreamView>>;

    /// Adds or replaces an upstream if `expect` holds, and returns the revision of the write.
    ///
    /// Adding an upstream that stands just so is no change and succeeds.
    fn put_upstream<'a>(&'a self, upstream: &'a Upstream, expect: Expect) -> Reply<'a, Revision>;

    /// Sets the state that operators want, and returns the revision from which it is in force.
    ///
    /// Setting it twice is one change.
    fn set_state<'a>(&'a self, name: &'a str, state: UpstreamState) -> Reply<'a, Revision>;

    /// Returns the digests that are held back.
    fn quarantine(&self) -> Reply<'_, Vec<QuarantineView>>;

    /// Lifts a quarantine.
    fn lift(&self, digest: Digest) -> Reply<'_, ()>;

    /// Returns all rank groups.
    fn groups(&self) -> Reply<'_, Vec<GroupView>>;

    /// Holds or releases the rebalancing of a group, and returns the revision of the change.
    fn hold<'a>(&'a self, name: &'a str, held: bool) -> Reply<'a, Revision>;

    /// Writes what differs of a whole deployment; the state of upstreams that stand is kept.
    fn apply<'a>(&'a self, deployment: &'a Deployment) -> Reply<'a, Vec<AppliedView>>;
}

/// What a node sees of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamLoad {
    /// The upstream's name.
    pub name: String,
    /// Whether the node has a link to its agent.
    pub linked: bool,
    /// Whether its agent says that it is leaving.
    pub leaving: bool,
    /// The last load report, if one came.
    pub load: Option<LoadView>,
}

/// What the running process knows beside the configuration.
pub trait Live: Health {
    /// Returns the other nodes that this one knows of.
    fn nodes(&self) -> BoxFuture<'_, Vec<NodeView>>;

    /// Returns what this node sees of the upstreams that it keeps links to.
    fn loads(&self) -> BoxFuture<'_, Vec<UpstreamLoad>>;

    /// Returns the digests that are held back.
    fn quarantine(&self) -> BoxFuture<'_, Vec<QuarantineView>>;

    /// Lifts a quarantine at all nodes that can be reached; says whether there was one.
    fn lift(&self, digest: Digest) -> BoxFuture<'_, bool>;
}
