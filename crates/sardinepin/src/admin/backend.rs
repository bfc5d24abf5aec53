//! What the administration API stands on.

use std::fmt::Debug;

use sardinepin_common::{Millis, Revision};
use sardinepin_config::{RuleList, Upstream};
use sardinepin_protocol::{Digest, UpstreamState};
use sardinepin_store::BoxFuture;

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
    fn unready_reason(&self) -> Option<String>;
}

/// What operators see and change through a node; `who` is the operator, for the log.
pub trait Backend: Debug + Send + Sync {
    /// Returns the rule list as it stands.
    fn rules(&self) -> Reply<'_, RulesView>;

    /// Replaces the rule list if the one that stands has the revision `expect`, or if none stands
    /// and `expect` is `None`, and returns the revision of the write.
    fn put_rules<'a>(
        &'a self,
        who: &'a str,
        list: &'a RuleList,
        expect: Option<Revision>,
    ) -> Reply<'a, Revision>;

    /// Says which rule a described request meets, and why the earlier ones did not match.
    fn test(&self, request: &TestRequest) -> TestAnswer;

    /// Returns what this node knows of the deployment.
    fn status(&self) -> Reply<'_, StatusView>;

    /// Waits, for at most `limit`, until every live node reports `revision`, and returns those that
    /// do not.
    fn behind(&self, revision: Revision, limit: Millis) -> Reply<'_, Vec<NodeView>>;

    /// Returns all upstreams.
    fn upstreams(&self) -> Reply<'_, Vec<UpstreamView>>;

    /// Replaces an upstream that stands at `expect`, or adds one if that is `None`, and returns the
    /// revision from which it is in force.
    ///
    /// Adding an upstream that stands just so is no change and succeeds.
    fn put_upstream<'a>(
        &'a self,
        who: &'a str,
        upstream: &'a Upstream,
        expect: Option<Revision>,
    ) -> Reply<'a, Revision>;

    /// Drains or retires an upstream, and returns the revision from which that is in force.
    ///
    /// Draining twice is one drain.
    fn set_state<'a>(
        &'a self,
        who: &'a str,
        name: &'a str,
        state: UpstreamState,
    ) -> Reply<'a, Revision>;

    /// Returns the digests that are held back.
    fn quarantine(&self) -> Reply<'_, Vec<QuarantineView>>;

    /// Lifts a quarantine.
    fn lift(&self, digest: Digest) -> Reply<'_, ()>;

    /// Returns all rank groups.
    fn groups(&self) -> Reply<'_, Vec<GroupView>>;

    /// Holds or releases the rebalancing of a group, and returns the revision of the change.
    fn hold<'a>(&'a self, who: &'a str, name: &'a str, held: bool) -> Reply<'a, Revision>;

    /// Writes what differs of a whole deployment; the state of upstreams that stand is kept.
    fn apply<'a>(&'a self, who: &'a str, deployment: &'a Deployment)
    -> Reply<'a, Vec<AppliedView>>;
}

/// What a node sees of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamStatus {
    /// The upstream's name.
    pub name: String,
    /// Whether the node has a link to its agent.
    pub linked: bool,
    /// Whether its agent says that it is leaving.
    pub leaving: bool,
    /// The last load report, if one came.
    pub load: Option<LoadView>,
}

/// What the running process knows beside configuration and membership.
pub trait RuntimeState: Health {
    /// Returns what this node sees of the upstreams that it keeps links to.
    fn upstream_statuses(&self) -> BoxFuture<'_, Vec<UpstreamStatus>>;

    /// Returns the digests that are held back.
    fn quarantined(&self) -> BoxFuture<'_, Vec<QuarantineView>>;

    /// Lifts a quarantine at all nodes that can be reached; says whether there was one.
    fn lift_quarantine(&self, digest: Digest) -> BoxFuture<'_, bool>;
}
