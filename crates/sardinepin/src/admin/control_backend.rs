//! The administration API over this node's part in configuration and membership.

use std::sync::Arc;

use sardinepin_common::{Map, Millis, Revision};
use sardinepin_config::{Group, RuleList, Snapshot, Upstream, object_key};
use sardinepin_protocol::{Digest, ErrorKind, UpstreamState};

use super::apply::apply;
use super::backend::{Backend, Reply, RuntimeState, UpstreamStatus};
use super::explain::explain_request;
use super::problem::Problem;
use super::views::{
    AppliedView, GroupView, NodeView, QuarantineView, RulesView, StatusView, TestAnswer,
    TestRequest, UpstreamView,
};
use crate::check::Deployment;
use crate::control::{AcceptedChange, ChangeError, Control};

/// How often a change is made again on top of another's.
const TRIES: u32 = 32;

/// The administration API of a node that takes part in configuration and membership.
#[derive(Debug)]
pub struct ControlBackend {
    name: String,
    control: Arc<Control>,
    live: Arc<dyn RuntimeState>,
}

impl ControlBackend {
    /// Makes a backend of the node called `name`.
    #[must_use]
    pub fn new(name: &str, control: Arc<Control>, live: Arc<dyn RuntimeState>) -> Self {
        Self {
            name: name.to_owned(),
            control,
            live,
        }
    }

    /// Returns this node's part in configuration and membership.
    pub(crate) fn control(&self) -> &Control {
        &self.control
    }

    fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.control.snapshots().borrow())
    }

    async fn upstream_views(&self) -> Vec<UpstreamView> {
        let seen: Map<String, UpstreamStatus> = self
            .live
            .upstream_statuses()
            .await
            .into_iter()
            .map(|load| (load.name.clone(), load))
            .collect();
        let snapshot = self.snapshot();
        snapshot
            .upstreams()
            .map(|upstream| upstream_view(&snapshot, upstream, seen.get(&upstream.name)))
            .collect()
    }

    /// Holds or releases a group on top of whatever stands.
    async fn set_held(&self, who: &str, name: &str, held: bool) -> Result<Revision, ChangeError> {
        let key = object_key("groups", name);
        let mut last = ChangeError::NotFound;
        for _ in 0..TRIES {
            let object = self
                .control
                .read_object(&key)
                .await?
                .ok_or(ChangeError::NotFound)?;
            let text = object.value.as_deref().unwrap_or_default();
            let mut group: Group = parsed(text)?;
            if group.held == held {
                return Ok(object.revision);
            }
            group.held = held;
            let value = written(&group)?;
            let expect = Some(object.revision);
            let result = self
                .control
                .put_object(who, &key, expect, Some(&value))
                .await;
            match result {
                Err(conflict @ ChangeError::Conflict { .. }) => last = conflict,
                other => return other.map(|done| done.revision),
            }
        }
        Err(last)
    }

    async fn replace_upstream(
        &self,
        who: &str,
        upstream: &Upstream,
        expect: Option<Revision>,
    ) -> Result<AcceptedChange, ChangeError> {
        if expect.is_none() {
            return self.control.add_upstream(who, upstream).await;
        }
        let key = object_key("upstreams", &upstream.name);
        let value = written(upstream)?;
        self.control
            .put_object(who, &key, expect, Some(&value))
            .await
    }
}

impl Backend for ControlBackend {
    fn rules(&self) -> Reply<'_, RulesView> {
        Box::pin(async move {
            let key = object_key("rules", "list");
            match self.control.read_object(&key).await {
                Ok(Some(object)) => {
                    let text = object.value.as_deref().unwrap_or_default();
                    let list: RuleList = parsed(text).map_err(problem)?;
                    Ok(RulesView {
                        revision: object.revision,
                        rules: list.rules,
                    })
                }
                Ok(None) => Ok(RulesView::default()),
                // What is in force can be seen while the platform is out.
                Err(_) => {
                    let snapshot = self.snapshot();
                    Ok(RulesView {
                        revision: revision_of(&snapshot, &key),
                        rules: snapshot.rules().rules.clone(),
                    })
                }
            }
        })
    }

    fn put_rules<'a>(
        &'a self,
        who: &'a str,
        list: &'a RuleList,
        expect: Option<Revision>,
    ) -> Reply<'a, Revision> {
        Box::pin(async move {
            let text = written(list).map_err(problem)?;
            let result = self.control.put_rules(who, expect, &text).await;
            result.map(|done| done.revision).map_err(problem)
        })
    }

    fn test(&self, request: &TestRequest) -> TestAnswer {
        explain_request(&self.snapshot(), request)
    }

    fn status(&self) -> Reply<'_, StatusView> {
        Box::pin(async move {
            Ok(StatusView {
                node: self.name.clone(),
                revision: self.snapshot().revision(),
                waiting: self.live.unready_reason(),
                nodes: self.control.members().iter().map(NodeView::from).collect(),
                upstreams: self.upstream_views().await,
            })
        })
    }

    fn behind(&self, revision: Revision, limit: Millis) -> Reply<'_, Vec<NodeView>> {
        Box::pin(async move {
            let behind = self.control.wait_in_force(revision, limit).await;
            let rows = behind.err().unwrap_or_default();
            Ok(rows.iter().map(NodeView::from).collect())
        })
    }

    fn upstreams(&self) -> Reply<'_, Vec<UpstreamView>> {
        Box::pin(async move { Ok(self.upstream_views().await) })
    }

    fn put_upstream<'a>(
        &'a self,
        who: &'a str,
        upstream: &'a Upstream,
        expect: Option<Revision>,
    ) -> Reply<'a, Revision> {
        Box::pin(async move {
            let result = self.replace_upstream(who, upstream, expect).await;
            result.map(|done| done.revision).map_err(problem)
        })
    }

    fn set_state<'a>(
        &'a self,
        who: &'a str,
        name: &'a str,
        state: UpstreamState,
    ) -> Reply<'a, Revision> {
        Box::pin(async move {
            let result = match state {
                UpstreamState::Draining => self.control.drain_upstream(who, name).await,
                UpstreamState::Retired => self.control.retire_upstream(who, name).await,
                UpstreamState::Active => Err(ChangeError::NotFound),
            };
            match result {
                Err(ChangeError::NotFound) => Err(Problem::not_found("upstream", name)),
                other => other.map(|done| done.revision).map_err(problem),
            }
        })
    }

    fn quarantine(&self) -> Reply<'_, Vec<QuarantineView>> {
        Box::pin(async move { Ok(self.live.quarantined().await) })
    }

    fn lift(&self, digest: Digest) -> Reply<'_, ()> {
        Box::pin(async move {
            if self.live.lift_quarantine(digest).await {
                return Ok(());
            }
            Err(Problem::not_found("quarantine", &digest.to_string()))
        })
    }

    fn groups(&self) -> Reply<'_, Vec<GroupView>> {
        Box::pin(async move {
            let snapshot = self.snapshot();
            Ok(snapshot
                .groups()
                .map(|group| group_view(&snapshot, group))
                .collect())
        })
    }

    fn hold<'a>(&'a self, who: &'a str, name: &'a str, held: bool) -> Reply<'a, Revision> {
        Box::pin(async move {
            match self.set_held(who, name, held).await {
                Err(ChangeError::NotFound) => Err(Problem::not_found("group", name)),
                other => other.map_err(problem),
            }
        })
    }

    fn apply<'a>(
        &'a self,
        who: &'a str,
        deployment: &'a Deployment,
    ) -> Reply<'a, Vec<AppliedView>> {
        Box::pin(apply(self, who, deployment))
    }
}

/// Makes the problem of an operation that was turned down.
pub(crate) fn problem(refusal: ChangeError) -> Problem {
    let detail = refusal.to_string();
    match refusal {
        ChangeError::Invalid(faults) => Problem::faulty(faults),
        ChangeError::Conflict {
            current: standing, ..
        } => Problem {
            current: standing.map(Box::new),
            ..Problem::new(ErrorKind::Conflict, detail)
        },
        ChangeError::NotFound => Problem::new(ErrorKind::NotFound, detail),
        ChangeError::PlatformOut(_) => Problem::new(ErrorKind::PlatformOut, detail),
        ChangeError::OutcomeUnknown(_) => Problem::new(ErrorKind::Unsettled, detail),
    }
}

/// Reads the value of an object.
pub(crate) fn parsed<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, ChangeError> {
    serde_json::from_str(text).map_err(|error| ChangeError::Conflict {
        current: None,
        differences: vec![format!("the object that stands cannot be read: {error}")],
    })
}

/// Writes the value of an object.
pub(crate) fn written<T: serde::Serialize>(value: &T) -> Result<String, ChangeError> {
    serde_json::to_string(value).map_err(|error| ChangeError::OutcomeUnknown(error.to_string()))
}

fn revision_of(snapshot: &Snapshot, key: &str) -> Revision {
    snapshot
        .entry(key)
        .map(|entry| entry.revision)
        .unwrap_or_default()
}

fn upstream_view(
    snapshot: &Snapshot,
    upstream: &Upstream,
    seen: Option<&UpstreamStatus>,
) -> UpstreamView {
    UpstreamView {
        name: upstream.name.clone(),
        service: upstream.service.clone(),
        zone: upstream.zone.clone(),
        address: upstream.address.clone(),
        group: upstream.group.clone(),
        state: upstream.state,
        revision: revision_of(snapshot, &object_key("upstreams", &upstream.name)),
        linked: seen.map(|seen| seen.linked),
        leaving: seen.is_some_and(|seen| seen.leaving),
        load: seen.and_then(|seen| seen.load),
    }
}

fn group_view(snapshot: &Snapshot, group: &Group) -> GroupView {
    GroupView {
        name: group.name.clone(),
        service: group.service.clone(),
        ranks: group.ranks.clone(),
        held: group.held,
        revision: revision_of(snapshot, &object_key("groups", &group.name)),
    }
}
