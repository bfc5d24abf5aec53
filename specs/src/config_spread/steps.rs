//! The steps between states.

use sardinepin_common::Revision;
use sardinepin_config::{ConfigUpdate, Snapshot};
use sardinepin_store::{listing_update, watch_update};

use super::state::{Flight, Node, State, World};

/// The product, or the product with one of its safeguards taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// As it is.
    Product,
    /// An answer with all entries replaces what is held, whatever its revision.
    MayGoDown,
    /// A node offers what it has to nodes from before its own first listing, not all of it.
    NoFloor,
}

/// A step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The platform accepts the next write.
    Write,
    /// The platform answers a listing of a node, as of so many writes.
    List {
        /// The node.
        node: usize,
        /// The writes that are seen.
        shown: usize,
    },
    /// The platform answers a watch of a node, as of so many writes.
    Watch {
        /// The node.
        node: usize,
        /// The writes that are seen.
        shown: usize,
    },
    /// A node answers the fetch of another.
    Fetch {
        /// The node that asks.
        node: usize,
        /// The node that answers.
        peer: usize,
    },
    /// The answer under way at this place arrives.
    Arrive(usize),
    /// A node restarts.
    Restart(usize),
}

/// Returns all states that one step leads to.
pub(super) fn successors(world: &World, variant: Variant, state: &State) -> Vec<State> {
    steps(world, state)
        .into_iter()
        .map(|step| {
            let mut next = state.clone();
            next.apply(world, variant, step);
            next.last = Some(step);
            next
        })
        .collect()
}

fn steps(world: &World, state: &State) -> Vec<Step> {
    let mut steps = Vec::new();
    if state.written < world.bounds.writes {
        steps.push(Step::Write);
    }
    steps.extend((0..state.flights.len()).map(Step::Arrive));
    for node in 0..state.nodes.len() {
        if state.restarts < world.bounds.restarts {
            steps.push(Step::Restart(node));
        }
        if state.flights.len() >= world.bounds.flights {
            continue;
        }
        for shown in 0..=state.written {
            steps.push(if state.nodes[node].read {
                Step::Watch { node, shown }
            } else {
                Step::List { node, shown }
            });
        }
        let peers = (0..state.nodes.len()).filter(|peer| *peer != node);
        steps.extend(peers.map(|peer| Step::Fetch { node, peer }));
    }
    steps
}

impl State {
    fn apply(&mut self, world: &World, variant: Variant, step: Step) {
        match step {
            Step::Write => self.written += 1,
            Step::List { node, shown } => self.send(node, true, listing_update(world.list(shown))),
            Step::Watch { node, shown } => {
                let after = self.nodes[node].snapshot.revision();
                self.send(node, false, watch_update(world.watch(after, shown)));
            }
            Step::Fetch { node, peer } => {
                let after = self.nodes[node].snapshot.revision();
                let offer = offered(variant, &self.nodes[peer].snapshot, after);
                self.send(node, false, offer);
            }
            Step::Arrive(at) => {
                let flight = self.flights.remove(at);
                self.nodes[flight.to].take(variant, &flight);
            }
            Step::Restart(node) => {
                self.restarts += 1;
                self.nodes[node] = Node::default();
                // The connections of the old process end with it.
                self.flights.retain(|flight| flight.to != node);
            }
        }
    }

    fn send(&mut self, to: usize, listing: bool, offer: ConfigUpdate) {
        self.flights.push(Flight { to, offer, listing });
    }

    /// Returns whether all nodes hold the newest revision once the platform is up, shows its newest
    /// state, and every node reaches the first one.
    pub(super) fn comes_together(&self, world: &World) -> bool {
        let mut end = self.clone();
        let watcher = &mut end.nodes[0];
        if !watcher.read {
            watcher
                .snapshot
                .apply(&listing_update(world.list(end.written)));
        }
        let after = watcher.snapshot.revision();
        let watched = watch_update(world.watch(after, end.written));
        watcher.snapshot.apply(&watched);
        let first = end.nodes[0].snapshot.clone();
        let newest = first.revision();
        let reached = newest == Revision(end.written as u64);
        reached
            && end.nodes[1..].iter_mut().all(|node| {
                let offer = first.update_since(node.snapshot.revision());
                node.snapshot.apply(&offer);
                node.snapshot.revision() == newest
            })
    }
}

impl Node {
    fn take(&mut self, variant: Variant, flight: &Flight) {
        if variant == Variant::MayGoDown && flight.offer.whole {
            self.snapshot = Snapshot::default();
        }
        self.snapshot.apply(&flight.offer);
        self.read |= flight.listing;
        self.highest = self.highest.max(self.snapshot.revision());
    }
}

fn offered(variant: Variant, snapshot: &Snapshot, after: Revision) -> ConfigUpdate {
    match variant {
        Variant::NoFloor => ConfigUpdate {
            revision: snapshot.revision(),
            whole: false,
            entries: snapshot.entries_after(after),
        },
        _ => snapshot.update_since(after),
    }
}
