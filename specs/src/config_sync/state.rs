//! The states of the model and the invariants that each must satisfy.

use std::hash::{Hash, Hasher};

use sardinepin_common::Revision;
use sardinepin_config::{ConfigEntry, ConfigUpdate, Snapshot};
use sardinepin_store::{CONFIG_PREFIX, Listing, Object};

use super::Bounds;
use super::steps::Step;

/// The writes that the platform accepts, in order; a write of `None` deletes the object.
const WRITES: [(&str, Option<&str>); 4] = [
    ("upstreams/a", Some("{\"name\":\"a\"}")),
    ("upstreams/a", None),
    ("upstreams/b", Some("{\"name\":\"b\"}")),
    (
        "upstreams/b",
        Some("{\"name\":\"b\",\"zone\":\"elsewhere\"}"),
    ),
];

/// The part of the model that is the same in every state.
#[derive(Debug)]
pub struct Scenario {
    pub(super) bounds: Bounds,
    /// The objects that the accepted writes store, in the order of the writes.
    writes: Vec<Object>,
}

/// A violated invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// A node's revision decreased without a restart.
    RevisionDecreased,
    /// A node lacks a write: its configuration differs from the platform's at the same revision.
    WriteLost,
    /// Nodes that reach each other and the platform do not converge to the newest revision.
    NotConverged,
}

/// A node: its configuration, and what the model records of its current process.
#[derive(Debug, Clone, Default)]
pub(super) struct Node {
    pub(super) snapshot: Snapshot,
    /// The highest revision since the node started.
    pub(super) highest_revision: Revision,
    /// Whether the node has received a listing since it started.
    pub(super) listed: bool,
}

/// A response in flight to a node.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Response {
    pub(super) to: usize,
    pub(super) update: ConfigUpdate,
    pub(super) is_listing: bool,
}

/// A state of the platform and the nodes.
#[derive(Debug, Clone)]
pub struct State {
    /// How many writes the platform has accepted.
    pub(super) accepted_writes: usize,
    pub(super) nodes: Vec<Node>,
    pub(super) responses: Vec<Response>,
    pub(super) restarts: u8,
    /// The step that led to this state; not part of its identity.
    pub(super) last_step: Option<Step>,
}

impl Scenario {
    pub(super) fn new(bounds: Bounds) -> Self {
        let writes = (1..)
            .zip(WRITES.iter().take(bounds.writes))
            .map(|(revision, (key, value))| Object {
                key: format!("{CONFIG_PREFIX}{key}"),
                revision: Revision(revision),
                write_id: revision.to_string(),
                value: value.map(str::to_owned),
            })
            .collect();
        Self { bounds, writes }
    }

    /// Returns the result of a listing that reflects the first `visible` writes.
    pub(super) fn list(&self, visible: usize) -> Listing {
        let mut listing = self.watch(Revision::default(), visible);
        listing.objects.retain(|object| object.value.is_some());
        listing
    }

    /// Returns the result of a watch from `after` that reflects the first `visible` writes.
    pub(super) fn watch(&self, after: Revision, visible: usize) -> Listing {
        let visible_writes = &self.writes[..visible];
        let objects = visible_writes
            .iter()
            .enumerate()
            .filter(|(index, object)| {
                !visible_writes[index + 1..]
                    .iter()
                    .any(|later| later.key == object.key)
            })
            .map(|(_, object)| object.clone())
            .filter(|object| object.revision > after)
            .collect();
        Listing {
            revision: Revision(visible as u64),
            objects,
        }
    }

    /// Returns the objects that exist at a revision, sorted by key.
    fn objects_at(&self, revision: Revision) -> Vec<(String, Option<String>)> {
        let visible = usize::try_from(revision.0).unwrap_or(usize::MAX);
        let mut objects: Vec<_> = self
            .list(visible)
            .objects
            .into_iter()
            .map(|object| (object.key[CONFIG_PREFIX.len()..].to_owned(), object.value))
            .collect();
        objects.sort();
        objects
    }
}

impl Node {
    /// Returns the objects in the node's configuration, sorted by key.
    fn objects(&self) -> Vec<(String, Option<String>)> {
        let mut objects: Vec<_> = self
            .snapshot
            .entries_after(Revision::default())
            .into_iter()
            .filter(|entry| entry.value.is_some())
            .map(|entry| (entry.key, entry.value))
            .collect();
        objects.sort();
        objects
    }

    /// Returns the parts that distinguish one node state from another.
    fn identity(&self) -> (Revision, Revision, Revision, bool, Vec<ConfigEntry>) {
        let snapshot = &self.snapshot;
        let entries = snapshot.entries_after(Revision::default());
        (
            snapshot.revision(),
            snapshot.history_start(),
            self.highest_revision,
            self.listed,
            entries,
        )
    }
}

impl State {
    pub(super) fn new(nodes: usize) -> Self {
        Self {
            accepted_writes: 0,
            nodes: vec![Node::default(); nodes],
            responses: Vec::new(),
            restarts: 0,
            last_step: None,
        }
    }

    /// Returns the invariant that this state violates; `None` if it violates none.
    #[must_use]
    pub fn violation(&self, scenario: &Scenario) -> Option<Violation> {
        for node in &self.nodes {
            let revision = node.snapshot.revision();
            if revision < node.highest_revision {
                return Some(Violation::RevisionDecreased);
            }
            if node.objects() != scenario.objects_at(revision) {
                return Some(Violation::WriteLost);
            }
        }
        (!self.converges(scenario)).then_some(Violation::NotConverged)
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        let nodes = |state: &Self| -> Vec<_> { state.nodes.iter().map(Node::identity).collect() };
        self.accepted_writes == other.accepted_writes
            && self.restarts == other.restarts
            && self.responses == other.responses
            && nodes(self) == nodes(other)
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.accepted_writes.hash(hasher);
        self.restarts.hash(hasher);
        for node in &self.nodes {
            let (revision, history_start, highest_revision, listed, entries) = node.identity();
            (revision, history_start, highest_revision, listed).hash(hasher);
            hash_entries(&entries, hasher);
        }
        for response in &self.responses {
            (response.to, response.is_listing, response.update.revision).hash(hasher);
            response.update.whole.hash(hasher);
            hash_entries(&response.update.entries, hasher);
        }
    }
}

fn hash_entries<H: Hasher>(entries: &[ConfigEntry], hasher: &mut H) {
    for entry in entries {
        (&entry.key, entry.revision, &entry.value).hash(hasher);
    }
}
