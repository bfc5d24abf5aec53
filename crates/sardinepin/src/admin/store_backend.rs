//! The administration API over the platform's store and the configuration in force.

use std::sync::Arc;

use sardinepin_common::{Map, Revision};
use sardinepin_config::{
    Entry, Group, RuleList, Snapshot, Upstream, check_rules, check_snapshot, object_key,
};
use sardinepin_platform::{Change, Expect, Object, Store, StoreError, write_settled};
use sardinepin_protocol::{Digest, ErrorKind, Role, UpstreamState};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;

use super::apply::apply;
use super::backend::{Backend, Live, Reply, UpstreamLoad};
use super::explain::explain_request;
use super::problem::Problem;
use super::views::{
    AppliedView, GroupView, NodeView, QuarantineView, RulesView, StatusView, TestAnswer,
    TestRequest, UpstreamView,
};
use crate::check::Deployment;

/// Where the configuration's objects stand in the store.
const CONFIG_PREFIX: &str = "config/";

/// The key of the rule list, without the prefix.
const RULES_KEY: &str = "rules/list";

/// How often a change is made again on top of another's.
const TRIES: usize = 5;

/// The longest value that the store takes, in bytes.
const VALUE_MAX: usize = 1_000_000;

/// The node that the API is asked at.
#[derive(Debug, Clone)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its role.
    pub role: Role,
}

/// The administration API over a store.
#[derive(Debug)]
pub struct StoreBackend {
    node: Node,
    store: Arc<dyn Store>,
    snapshots: watch::Receiver<Arc<Snapshot>>,
    live: Arc<dyn Live>,
}

impl StoreBackend {
    /// Makes a backend of `node` over `store`.
    #[must_use]
    pub fn new(
        node: Node,
        store: Arc<dyn Store>,
        snapshots: watch::Receiver<Arc<Snapshot>>,
        live: Arc<dyn Live>,
    ) -> Self {
        Self {
            node,
            store,
            snapshots,
            live,
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshots.borrow())
    }

    /// Reads an object of the configuration from the store.
    pub(crate) async fn read(&self, key: &str) -> Result<Option<Object>, Problem> {
        self.store
            .get(&format!("{CONFIG_PREFIX}{key}"))
            .await
            .map_err(Problem::of_read)
    }

    /// Writes an object of the configuration and settles a lost answer.
    pub(crate) async fn write<T: Serialize>(
        &self,
        key: &str,
        expect: Expect,
        value: &T,
    ) -> Result<Revision, StoreError> {
        let value =
            serde_json::to_string(value).map_err(|error| StoreError::Refused(error.to_string()))?;
        if value.len() > VALUE_MAX {
            let why = format!("{} bytes; at most {VALUE_MAX} are allowed", value.len());
            return Err(StoreError::Refused(why));
        }
        let change = Change {
            key: &format!("{CONFIG_PREFIX}{key}"),
            expect,
            write_id: &format!("{:032x}", rand::random::<u128>()),
            value: Some(&value),
        };
        write_settled(self.store.as_ref(), change).await
    }

    /// Changes an object on top of whatever stands; `change` returns `false` if it is so already.
    async fn update<T: Serialize + DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
        change: impl Fn(&mut T) -> bool,
    ) -> Result<Revision, Problem> {
        let key = object_key(kind, name);
        let mut overtaken = StoreError::Conflict(None);
        for _ in 0..TRIES {
            let what = kind.trim_end_matches('s');
            let found = self.read(&key).await?;
            let object = found.ok_or_else(|| Problem::not_found(what, name))?;
            let mut value: T = parsed(&object)?;
            if !change(&mut value) {
                return Ok(object.revision);
            }
            match self
                .write(&key, Expect::Revision(object.revision), &value)
                .await
            {
                Err(conflict @ StoreError::Conflict(_)) => overtaken = conflict,
                other => return other.map_err(Problem::of_write),
            }
        }
        Err(Problem::of_write(overtaken))
    }

    /// Returns the faults that the configuration would have with this upstream in it.
    fn check_upstream(&self, upstream: &Upstream) -> Result<(), Problem> {
        let mut snapshot = Snapshot::clone(&self.snapshot());
        let key = object_key("upstreams", &upstream.name);
        let value = serde_json::to_string(upstream)
            .map_err(|error| Problem::new(ErrorKind::Internal, error.to_string()))?;
        let next = Revision(u64::MAX);
        snapshot.merge(
            next,
            &[Entry {
                key: key.clone(),
                revision: next,
                value: Some(value),
            }],
        );
        let own = format!("{key}.");
        let faults: Vec<_> = check_snapshot(&snapshot)
            .into_iter()
            .filter(|fault| fault.field.starts_with(&own))
            .collect();
        if faults.is_empty() {
            return Ok(());
        }
        Err(Problem::faulty(faults))
    }

    async fn upstream_views(&self) -> Vec<UpstreamView> {
        let seen: Map<String, UpstreamLoad> = self
            .live
            .loads()
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

    fn own_view(&self) -> NodeView {
        NodeView {
            name: self.node.name.clone(),
            role: self.node.role,
            zone: self.node.zone.clone(),
            revision: self.snapshot().revision(),
            live: true,
            age_ms: 0,
        }
    }
}

impl Backend for StoreBackend {
    fn rules(&self) -> Reply<'_, RulesView> {
        Box::pin(async move {
            match self.read(RULES_KEY).await {
                Ok(Some(object)) => Ok(RulesView {
                    revision: object.revision,
                    rules: parsed::<RuleList>(&object)?.rules,
                }),
                Ok(None) => Ok(RulesView::default()),
                // What is in force can be seen while the platform is out.
                Err(_) => {
                    let snapshot = self.snapshot();
                    Ok(RulesView {
                        revision: revision_of(&snapshot, RULES_KEY),
                        rules: snapshot.rules().rules.clone(),
                    })
                }
            }
        })
    }

    fn put_rules<'a>(&'a self, list: &'a RuleList, expect: Expect) -> Reply<'a, Revision> {
        Box::pin(async move {
            let faults = check_rules(list);
            if !faults.is_empty() {
                return Err(Problem::faulty(faults));
            }
            self.write(RULES_KEY, expect, list)
                .await
                .map_err(Problem::of_write)
        })
    }

    fn test(&self, request: &TestRequest) -> TestAnswer {
        explain_request(&self.snapshot(), request)
    }

    fn status(&self) -> Reply<'_, StatusView> {
        Box::pin(async move {
            let mut nodes = self.live.nodes().await;
            nodes.retain(|node| node.name != self.node.name);
            nodes.push(self.own_view());
            nodes.sort_by(|one, other| one.name.cmp(&other.name));
            Ok(StatusView {
                node: self.node.name.clone(),
                revision: self.snapshot().revision(),
                waiting: self.live.waiting(),
                nodes,
                upstreams: self.upstream_views().await,
            })
        })
    }

    fn upstreams(&self) -> Reply<'_, Vec<UpstreamView>> {
        Box::pin(async move { Ok(self.upstream_views().await) })
    }

    fn put_upstream<'a>(&'a self, upstream: &'a Upstream, expect: Expect) -> Reply<'a, Revision> {
        Box::pin(async move {
            self.check_upstream(upstream)?;
            let key = object_key("upstreams", &upstream.name);
            match self.write(&key, expect, upstream).await {
                Err(StoreError::Conflict(Some(object)))
                    if parsed::<Upstream>(&object).as_ref() == Ok(upstream) =>
                {
                    Ok(object.revision)
                }
                other => other.map_err(Problem::of_write),
            }
        })
    }

    fn set_state<'a>(&'a self, name: &'a str, state: UpstreamState) -> Reply<'a, Revision> {
        Box::pin(
            self.update("upstreams", name, move |upstream: &mut Upstream| {
                // A retired upstream is drained already.
                let retired = upstream.state == UpstreamState::Retired;
                if upstream.state == state || retired && state == UpstreamState::Draining {
                    return false;
                }
                upstream.state = state;
                true
            }),
        )
    }

    fn quarantine(&self) -> Reply<'_, Vec<QuarantineView>> {
        Box::pin(async move { Ok(self.live.quarantine().await) })
    }

    fn lift(&self, digest: Digest) -> Reply<'_, ()> {
        Box::pin(async move {
            if self.live.lift(digest).await {
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

    fn hold<'a>(&'a self, name: &'a str, held: bool) -> Reply<'a, Revision> {
        Box::pin(self.update("groups", name, move |group: &mut Group| {
            let changed = group.held != held;
            group.held = held;
            changed
        }))
    }

    fn apply<'a>(&'a self, deployment: &'a Deployment) -> Reply<'a, Vec<AppliedView>> {
        Box::pin(apply(self, deployment))
    }
}

/// Reads the value of an object.
pub(crate) fn parsed<T: DeserializeOwned>(object: &Object) -> Result<T, Problem> {
    serde_json::from_str(object.value.as_deref().unwrap_or_default()).map_err(|error| {
        Problem::new(
            ErrorKind::Internal,
            format!("the object {} cannot be read: {error}", object.key),
        )
    })
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
    seen: Option<&UpstreamLoad>,
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
