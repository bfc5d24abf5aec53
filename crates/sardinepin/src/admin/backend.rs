//! Interfaces between the administration API and the rest of the process.

use std::fmt::Debug;

use sardinepin_common::{Millis, Revision};
use sardinepin_config::{RuleList, Upstream};
use sardinepin_protocol::{Digest, UpstreamState};
use sardinepin_store::BoxFuture;

use super::problem::Problem;
use super::views::{
    AppliedView, EvacuationView, GroupView, LoadView, NodeView, QuarantineView, RuleTestRequest,
    RuleTestResponse, RulesView, StatusView, UpstreamView,
};
use crate::check::Deployment;

/// The future of a [`Backend`] call.
pub type BackendFuture<'a, T> = BoxFuture<'a, Result<T, Problem>>;

/// Readiness of a process, as `/readyz` shows it.
pub trait Health: Debug + Send + Sync {
    /// Returns a description of why the process is not ready; `None` if it is ready.
    fn not_ready_reason(&self) -> Option<String>;
}

/// The operations of the administration API.
///
/// The parameter `operator` is the name of the token's owner, for the audit log.
pub trait Backend: Debug + Send + Sync {
    /// Returns the current rule list.
    fn rules(&self) -> BackendFuture<'_, RulesView>;

    /// Replaces the rule list and returns the revision of the write.
    ///
    /// Fails with a conflict unless the current list has the revision `expected`, or does not exist
    /// if that is `None`.
    fn put_rules<'a>(
        &'a self,
        operator: &'a str,
        list: &'a RuleList,
        expected: Option<Revision>,
    ) -> BackendFuture<'a, Revision>;

    /// Returns which rule a described request matches, and why earlier rules do not match.
    fn test_rules(&self, request: &RuleTestRequest) -> RuleTestResponse;

    /// Returns this node's view of the deployment.
    fn status(&self) -> BackendFuture<'_, StatusView>;

    /// Waits until every live node reports `revision` or a later one, for at most `timeout`, and
    /// returns the nodes that still do not.
    fn wait_in_force(
        &self,
        revision: Revision,
        timeout: Millis,
    ) -> BackendFuture<'_, Vec<NodeView>>;

    /// Returns all upstreams.
    fn upstreams(&self) -> BackendFuture<'_, Vec<UpstreamView>>;

    /// Replaces the upstream whose revision is `expected`, or adds one if that is `None`, and
    /// returns the revision from which it is in force.
    ///
    /// Adding an upstream that already exists with the same fields succeeds and changes nothing.
    fn put_upstream<'a>(
        &'a self,
        operator: &'a str,
        upstream: &'a Upstream,
        expected: Option<Revision>,
    ) -> BackendFuture<'a, Revision>;

    /// Drains or retires an upstream, and returns the revision from which that is in force.
    ///
    /// Repeating the call changes nothing.
    fn set_state<'a>(
        &'a self,
        operator: &'a str,
        name: &'a str,
        state: UpstreamState,
    ) -> BackendFuture<'a, Revision>;

    /// Returns the quarantined digests.
    fn quarantined(&self) -> BackendFuture<'_, Vec<QuarantineView>>;

    /// Lifts a quarantine; fails if the digest is not quarantined.
    fn lift_quarantine(&self, digest: Digest) -> BackendFuture<'_, ()>;

    /// Returns all rank groups.
    fn groups(&self) -> BackendFuture<'_, Vec<GroupView>>;

    /// Pauses (`held`) or resumes the rebalancing of a group, and returns the revision of the
    /// change.
    fn set_held<'a>(
        &'a self,
        operator: &'a str,
        name: &'a str,
        held: bool,
    ) -> BackendFuture<'a, Revision>;

    /// Returns the evacuated availability zones.
    fn evacuations(&self) -> BackendFuture<'_, Vec<EvacuationView>>;

    /// Evacuates a zone or ends its evacuation, and returns the revision from which that is in force.
    ///
    /// Repeating the call changes nothing.
    fn set_evacuated<'a>(
        &'a self,
        operator: &'a str,
        zone: &'a str,
        evacuated: bool,
    ) -> BackendFuture<'a, Revision>;

    /// Writes the objects of a deployment that differ from the stored ones; upstreams that exist
    /// keep their state.
    fn apply<'a>(
        &'a self,
        operator: &'a str,
        deployment: &'a Deployment,
    ) -> BackendFuture<'a, Vec<AppliedView>>;
}

/// An upstream as this node sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamStatus {
    /// The upstream's name.
    pub name: String,
    /// Whether the node has a link to its agent.
    pub linked: bool,
    /// Whether its agent has announced that it is leaving.
    pub leaving: bool,
    /// The last load report; `None` until one arrives.
    pub load: Option<LoadView>,
}

/// State of the running process that is neither configuration nor membership.
pub trait RuntimeState: Health {
    /// Returns the status of the upstreams that this node keeps links to.
    fn upstream_statuses(&self) -> BoxFuture<'_, Vec<UpstreamStatus>>;

    /// Returns the quarantined digests.
    fn quarantined(&self) -> BoxFuture<'_, Vec<QuarantineView>>;

    /// Lifts a quarantine on all reachable nodes, and returns whether there was one.
    fn lift_quarantine(&self, digest: Digest) -> BoxFuture<'_, bool>;
}
