//! The [`Backend`] of a node that takes part in configuration and membership.

use std::sync::Arc;

use sardinepin_common::{Map, Millis, Revision};
use sardinepin_config::{Group, RuleList, Snapshot, Upstream, object_key};
use sardinepin_protocol::{Digest, ErrorKind, UpstreamState};

use super::apply::apply;
use super::backend::{Backend, BackendFuture, RuntimeState, UpstreamStatus};
use super::problem::Problem;
use super::rule_test::test_rules;
use super::views::{
    AppliedView, EvacuationView, GroupView, NodeView, QuarantineView, RuleTestRequest,
    RuleTestResponse, RulesView, StatusView, UpstreamView,
};
use crate::check::Deployment;
use crate::control::{AcceptedChange, ChangeError, Control};

/// How many times a read-modify-write is tried when other writers change the object meanwhile.
const TRIES_MAX: u32 = 32;

/// Serves the administration API from [`Control`] and the process's [`RuntimeState`].
#[derive(Debug)]
pub struct ControlBackend {
    name: String,
    control: Arc<Control>,
    runtime: Arc<dyn RuntimeState>,
}

impl ControlBackend {
    /// Creates the backend of the node called `name`.
    #[must_use]
    pub fn new(name: &str, control: Arc<Control>, runtime: Arc<dyn RuntimeState>) -> Self {
        Self {
            name: name.to_owned(),
            control,
            runtime,
        }
    }

    /// Returns the node's access to configuration and membership.
    pub(crate) fn control(&self) -> &Control {
        &self.control
    }

    fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.control.snapshots().borrow())
    }

    async fn upstream_views(&self) -> Vec<UpstreamView> {
        let statuses: Map<String, UpstreamStatus> = self
            .runtime
            .upstream_statuses()
            .await
            .into_iter()
            .map(|status| (status.name.clone(), status))
            .collect();
        let snapshot = self.snapshot();
        snapshot
            .upstreams()
            .map(|upstream| upstream_view(&snapshot, upstream, statuses.get(&upstream.name)))
            .collect()
    }

    /// Sets a group's `held` field by a read-modify-write, which is repeated after a conflict.
    async fn write_held(
        &self,
        operator: &str,
        name: &str,
        held: bool,
    ) -> Result<Revision, ChangeError> {
        let key = object_key("groups", name);
        let mut last_conflict = ChangeError::NotFound;
        for _ in 0..TRIES_MAX {
            let object = self
                .control
                .read_object(&key)
                .await?
                .ok_or(ChangeError::NotFound)?;
            let text = object.value.as_deref().unwrap_or_default();
            let mut group: Group = parse_object(text)?;
            if group.held == held {
                return Ok(object.revision);
            }
            group.held = held;
            let value = serialize_object(&group)?;
            let expected = Some(object.revision);
            let result = self
                .control
                .put_object(operator, &key, expected, Some(&value))
                .await;
            match result {
                Err(conflict @ ChangeError::Conflict { .. }) => last_conflict = conflict,
                other => return other.map(|accepted| accepted.revision),
            }
        }
        Err(last_conflict)
    }

    async fn replace_upstream(
        &self,
        operator: &str,
        upstream: &Upstream,
        expected: Option<Revision>,
    ) -> Result<AcceptedChange, ChangeError> {
        if expected.is_none() {
            return self.control.add_upstream(operator, upstream).await;
        }
        let key = object_key("upstreams", &upstream.name);
        let value = serialize_object(upstream)?;
        self.control
            .put_object(operator, &key, expected, Some(&value))
            .await
    }
}

impl Backend for ControlBackend {
    fn rules(&self) -> BackendFuture<'_, RulesView> {
        Box::pin(async move {
            let key = object_key("rules", "list");
            match self.control.read_object(&key).await {
                Ok(Some(object)) => {
                    let text = object.value.as_deref().unwrap_or_default();
                    let list: RuleList = parse_object(text).map_err(problem_from)?;
                    Ok(RulesView {
                        revision: object.revision,
                        rules: list.rules,
                    })
                }
                Ok(None) => Ok(RulesView::default()),
                // While the platform is unavailable, show the list that this node has in force.
                Err(_) => {
                    let snapshot = self.snapshot();
                    Ok(RulesView {
                        revision: object_revision(&snapshot, &key),
                        rules: snapshot.rules().rules.clone(),
                    })
                }
            }
        })
    }

    fn put_rules<'a>(
        &'a self,
        operator: &'a str,
        list: &'a RuleList,
        expected: Option<Revision>,
    ) -> BackendFuture<'a, Revision> {
        Box::pin(async move {
            let text = serialize_object(list).map_err(problem_from)?;
            let result = self.control.put_rules(operator, expected, &text).await;
            result
                .map(|accepted| accepted.revision)
                .map_err(problem_from)
        })
    }

    fn test_rules(&self, request: &RuleTestRequest) -> RuleTestResponse {
        test_rules(&self.snapshot(), request)
    }

    fn status(&self) -> BackendFuture<'_, StatusView> {
        Box::pin(async move {
            Ok(StatusView {
                node: self.name.clone(),
                revision: self.snapshot().revision(),
                not_ready_reason: self.runtime.not_ready_reason(),
                nodes: self.control.members().iter().map(NodeView::from).collect(),
                evacuations: evacuation_views(&self.snapshot()),
                upstreams: self.upstream_views().await,
            })
        })
    }

    fn wait_in_force(
        &self,
        revision: Revision,
        timeout: Millis,
    ) -> BackendFuture<'_, Vec<NodeView>> {
        Box::pin(async move {
            let result = self.control.wait_in_force(revision, timeout).await;
            let lagging = result.err().unwrap_or_default();
            Ok(lagging.iter().map(NodeView::from).collect())
        })
    }

    fn upstreams(&self) -> BackendFuture<'_, Vec<UpstreamView>> {
        Box::pin(async move { Ok(self.upstream_views().await) })
    }

    fn put_upstream<'a>(
        &'a self,
        operator: &'a str,
        upstream: &'a Upstream,
        expected: Option<Revision>,
    ) -> BackendFuture<'a, Revision> {
        Box::pin(async move {
            let result = self.replace_upstream(operator, upstream, expected).await;
            result
                .map(|accepted| accepted.revision)
                .map_err(problem_from)
        })
    }

    fn set_state<'a>(
        &'a self,
        operator: &'a str,
        name: &'a str,
        state: UpstreamState,
    ) -> BackendFuture<'a, Revision> {
        Box::pin(async move {
            let result = match state {
                UpstreamState::Draining => self.control.drain_upstream(operator, name).await,
                UpstreamState::Retired => self.control.retire_upstream(operator, name).await,
                UpstreamState::Active => Err(ChangeError::NotFound),
            };
            match result {
                Err(ChangeError::NotFound) => Err(Problem::not_found("upstream", name)),
                other => other
                    .map(|accepted| accepted.revision)
                    .map_err(problem_from),
            }
        })
    }

    fn quarantined(&self) -> BackendFuture<'_, Vec<QuarantineView>> {
        Box::pin(async move { Ok(self.runtime.quarantined().await) })
    }

    fn lift_quarantine(&self, digest: Digest) -> BackendFuture<'_, ()> {
        Box::pin(async move {
            if self.runtime.lift_quarantine(digest).await {
                return Ok(());
            }
            Err(Problem::not_found("quarantine", &digest.to_string()))
        })
    }

    fn groups(&self) -> BackendFuture<'_, Vec<GroupView>> {
        Box::pin(async move {
            let snapshot = self.snapshot();
            Ok(snapshot
                .groups()
                .map(|group| group_view(&snapshot, group))
                .collect())
        })
    }

    fn set_held<'a>(
        &'a self,
        operator: &'a str,
        name: &'a str,
        held: bool,
    ) -> BackendFuture<'a, Revision> {
        Box::pin(async move {
            match self.write_held(operator, name, held).await {
                Err(ChangeError::NotFound) => Err(Problem::not_found("group", name)),
                other => other.map_err(problem_from),
            }
        })
    }

    fn evacuations(&self) -> BackendFuture<'_, Vec<EvacuationView>> {
        Box::pin(async move { Ok(evacuation_views(&self.snapshot())) })
    }

    fn set_evacuated<'a>(
        &'a self,
        operator: &'a str,
        zone: &'a str,
        evacuated: bool,
    ) -> BackendFuture<'a, Revision> {
        Box::pin(async move {
            let result = self.control.set_evacuated(operator, zone, evacuated).await;
            result
                .map(|accepted| accepted.revision)
                .map_err(problem_from)
        })
    }

    fn apply<'a>(
        &'a self,
        operator: &'a str,
        deployment: &'a Deployment,
    ) -> BackendFuture<'a, Vec<AppliedView>> {
        Box::pin(apply(self, operator, deployment))
    }
}

/// Converts the error of an operation to a problem.
pub(crate) fn problem_from(error: ChangeError) -> Problem {
    let detail = error.to_string();
    match error {
        ChangeError::Invalid(errors) => Problem::invalid(errors),
        ChangeError::Conflict { current, .. } => Problem {
            current: current.map(Box::new),
            ..Problem::new(ErrorKind::Conflict, detail)
        },
        ChangeError::NotFound => Problem::new(ErrorKind::NotFound, detail),
        ChangeError::PlatformUnavailable(_) => Problem::new(ErrorKind::PlatformOut, detail),
        ChangeError::OutcomeUnknown(_) => Problem::new(ErrorKind::Unsettled, detail),
    }
}

/// Parses the stored value of an object; a value that cannot be parsed is reported as a conflict.
pub(crate) fn parse_object<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, ChangeError> {
    serde_json::from_str(text).map_err(|error| ChangeError::Conflict {
        current: None,
        differences: vec![format!("the object that stands cannot be read: {error}")],
    })
}

/// Serialises an object to its stored value.
pub(crate) fn serialize_object<T: serde::Serialize>(value: &T) -> Result<String, ChangeError> {
    serde_json::to_string(value).map_err(|error| ChangeError::OutcomeUnknown(error.to_string()))
}

fn object_revision(snapshot: &Snapshot, key: &str) -> Revision {
    snapshot
        .entry(key)
        .map(|entry| entry.revision)
        .unwrap_or_default()
}

fn upstream_view(
    snapshot: &Snapshot,
    upstream: &Upstream,
    status: Option<&UpstreamStatus>,
) -> UpstreamView {
    UpstreamView {
        name: upstream.name.clone(),
        service: upstream.service.clone(),
        zone: upstream.zone.clone(),
        address: upstream.address.clone(),
        group: upstream.group.clone(),
        state: upstream.state,
        revision: object_revision(snapshot, &object_key("upstreams", &upstream.name)),
        linked: status.map(|status| status.linked),
        leaving: status.is_some_and(|status| status.leaving),
        load: status.and_then(|status| status.load),
    }
}

fn evacuation_views(snapshot: &Snapshot) -> Vec<EvacuationView> {
    let zones = snapshot.evacuated_zones();
    let views = zones.map(|zone| EvacuationView {
        zone: zone.to_owned(),
        revision: object_revision(snapshot, &object_key("evacuations", zone)),
    });
    views.collect()
}

fn group_view(snapshot: &Snapshot, group: &Group) -> GroupView {
    GroupView {
        name: group.name.clone(),
        service: group.service.clone(),
        ranks: group.ranks.clone(),
        held: group.held,
        revision: object_revision(snapshot, &object_key("groups", &group.name)),
    }
}
