//! The states of the model.

use std::hash::{Hash, Hasher};

use sardinepin_common::Revision;
use sardinepin_config::{ConfigEntry, ConfigUpdate, Snapshot};
use sardinepin_store::{CONFIG_PREFIX, Listing, Object};

use super::Bounds;
use super::steps::Step;

/// The writes that the platform accepts, in order; `None` deletes.
const SCRIPT: [(&str, Option<&str>); 4] = [
    ("upstreams/a", Some("{\"name\":\"a\"}")),
    ("upstreams/a", None),
    ("upstreams/b", Some("{\"name\":\"b\"}")),
    (
        "upstreams/b",
        Some("{\"name\":\"b\",\"zone\":\"elsewhere\"}"),
    ),
];

/// What stays the same in all states.
#[derive(Debug)]
pub struct World {
    pub(super) bounds: Bounds,
    log: Vec<Object>,
}

/// What must not be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A node's revision went down while it lived.
    WentDown,
    /// A node does not hold what the platform held at the node's revision: a write was lost.
    Lost,
    /// Nodes that reach each other and the platform do not come to the newest revision.
    Apart,
}

/// One node.
#[derive(Debug, Clone, Default)]
pub(super) struct Node {
    pub(super) snapshot: Snapshot,
    /// The highest revision of this life.
    pub(super) highest: Revision,
    /// Whether it has listed since it started.
    pub(super) read: bool,
}

/// An answer under way to a node.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Flight {
    pub(super) to: usize,
    pub(super) offer: ConfigUpdate,
    pub(super) listing: bool,
}

/// A state, and the step that led to it, which does not tell states apart.
#[derive(Debug, Clone)]
pub struct State {
    /// How many writes the platform has accepted.
    pub(super) written: usize,
    pub(super) nodes: Vec<Node>,
    pub(super) flights: Vec<Flight>,
    pub(super) restarts: u8,
    pub(super) last: Option<Step>,
}

impl World {
    pub(super) fn new(bounds: Bounds) -> Self {
        let log = (1..)
            .zip(SCRIPT.iter().take(bounds.writes))
            .map(|(revision, (key, value))| Object {
                key: format!("{CONFIG_PREFIX}{key}"),
                revision: Revision(revision),
                write_id: revision.to_string(),
                value: value.map(str::to_owned),
            })
            .collect();
        Self { bounds, log }
    }

    /// Returns what a listing shows when `shown` writes are seen.
    pub(super) fn list(&self, shown: usize) -> Listing {
        let mut listing = self.watch(Revision::default(), shown);
        listing.objects.retain(|object| object.value.is_some());
        listing
    }

    /// Returns what a watch shows when `shown` writes are seen.
    pub(super) fn watch(&self, after: Revision, shown: usize) -> Listing {
        let seen = &self.log[..shown];
        let objects = seen
            .iter()
            .enumerate()
            .filter(|(at, object)| !seen[at + 1..].iter().any(|later| later.key == object.key))
            .map(|(_, object)| object.clone())
            .filter(|object| object.revision > after)
            .collect();
        Listing {
            revision: Revision(shown as u64),
            objects,
        }
    }

    /// Returns the values that stand at a revision, by key.
    fn standing(&self, revision: Revision) -> Vec<(String, Option<String>)> {
        let shown = usize::try_from(revision.0).unwrap_or(usize::MAX);
        let mut all: Vec<_> = self
            .list(shown)
            .objects
            .into_iter()
            .map(|object| (object.key[CONFIG_PREFIX.len()..].to_owned(), object.value))
            .collect();
        all.sort();
        all
    }
}

impl Node {
    fn standing(&self) -> Vec<(String, Option<String>)> {
        let mut all: Vec<_> = self
            .snapshot
            .entries_after(Revision::default())
            .into_iter()
            .filter(|entry| entry.value.is_some())
            .map(|entry| (entry.key, entry.value))
            .collect();
        all.sort();
        all
    }

    /// What tells one node from another.
    fn parts(&self) -> (Revision, Revision, Revision, bool, Vec<ConfigEntry>) {
        let snapshot = &self.snapshot;
        let entries = snapshot.entries_after(Revision::default());
        (
            snapshot.revision(),
            snapshot.history_start(),
            self.highest,
            self.read,
            entries,
        )
    }
}

impl State {
    pub(super) fn new(nodes: usize) -> Self {
        Self {
            written: 0,
            nodes: vec![Node::default(); nodes],
            flights: Vec::new(),
            restarts: 0,
            last: None,
        }
    }

    /// Returns what is wrong in this state, if anything is.
    #[must_use]
    pub fn fault(&self, world: &World) -> Option<Fault> {
        for node in &self.nodes {
            let revision = node.snapshot.revision();
            if revision < node.highest {
                return Some(Fault::WentDown);
            }
            if node.standing() != world.standing(revision) {
                return Some(Fault::Lost);
            }
        }
        (!self.comes_together(world)).then_some(Fault::Apart)
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        let parts = |state: &Self| -> Vec<_> { state.nodes.iter().map(Node::parts).collect() };
        self.written == other.written
            && self.restarts == other.restarts
            && self.flights == other.flights
            && parts(self) == parts(other)
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, out: &mut H) {
        self.written.hash(out);
        self.restarts.hash(out);
        for node in &self.nodes {
            let (revision, floor, highest, read, entries) = node.parts();
            (revision, floor, highest, read).hash(out);
            hash_entries(&entries, out);
        }
        for flight in &self.flights {
            (flight.to, flight.listing, flight.offer.revision).hash(out);
            flight.offer.whole.hash(out);
            hash_entries(&flight.offer.entries, out);
        }
    }
}

fn hash_entries<H: Hasher>(entries: &[ConfigEntry], out: &mut H) {
    for entry in entries {
        (&entry.key, entry.revision, &entry.value).hash(out);
    }
}
