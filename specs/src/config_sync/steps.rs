//! The steps of the model and their effect on a state.

use sardinepin_common::Revision;
use sardinepin_config::{ConfigUpdate, Snapshot};
use sardinepin_store::{listing_update, watch_update};

use super::state::{Node, Response, Scenario, State};

/// Whether the model runs the product as it is, or without one of its safeguards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// The product with all safeguards.
    Product,
    /// A complete update replaces the configuration even if its revision is older.
    IgnoreRevision,
    /// A node sends its recorded entries as an incremental update even to a node whose revision is
    /// from before its recorded deletions begin.
    IgnoreHistoryStart,
}

/// A step of the platform, a node or the network.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The platform accepts the next write.
    Write,
    /// The platform answers a node's listing request, possibly with an older state.
    List {
        /// The index of the requesting node.
        node: usize,
        /// The number of writes that the response reflects.
        visible: usize,
    },
    /// The platform answers a node's watch, possibly with an older state.
    Watch {
        /// The index of the requesting node.
        node: usize,
        /// The number of writes that the response reflects.
        visible: usize,
    },
    /// A node answers another node's fetch.
    Fetch {
        /// The index of the requesting node.
        node: usize,
        /// The index of the answering node.
        peer: usize,
    },
    /// The response in flight at this index arrives.
    Deliver(usize),
    /// The node at this index restarts and loses its configuration.
    Restart(usize),
}

/// Returns the states that one step leads to.
pub(super) fn successors(scenario: &Scenario, variant: Variant, state: &State) -> Vec<State> {
    enabled_steps(scenario, state)
        .into_iter()
        .map(|step| {
            let mut next = state.clone();
            next.apply(scenario, variant, step);
            next.last_step = Some(step);
            next
        })
        .collect()
}

fn enabled_steps(scenario: &Scenario, state: &State) -> Vec<Step> {
    let mut steps = Vec::new();
    if state.accepted_writes < scenario.bounds.writes {
        steps.push(Step::Write);
    }
    steps.extend((0..state.responses.len()).map(Step::Deliver));
    for node in 0..state.nodes.len() {
        if state.restarts < scenario.bounds.restarts {
            steps.push(Step::Restart(node));
        }
        if state.responses.len() >= scenario.bounds.responses {
            continue;
        }
        for visible in 0..=state.accepted_writes {
            steps.push(if state.nodes[node].listed {
                Step::Watch { node, visible }
            } else {
                Step::List { node, visible }
            });
        }
        let peers = (0..state.nodes.len()).filter(|peer| *peer != node);
        steps.extend(peers.map(|peer| Step::Fetch { node, peer }));
    }
    steps
}

impl State {
    fn apply(&mut self, scenario: &Scenario, variant: Variant, step: Step) {
        match step {
            Step::Write => self.accepted_writes += 1,
            Step::List { node, visible } => {
                self.send(node, true, listing_update(scenario.list(visible)))
            }
            Step::Watch { node, visible } => {
                let after = self.nodes[node].snapshot.revision();
                self.send(node, false, watch_update(scenario.watch(after, visible)));
            }
            Step::Fetch { node, peer } => {
                let after = self.nodes[node].snapshot.revision();
                let update = peer_update(variant, &self.nodes[peer].snapshot, after);
                self.send(node, false, update);
            }
            Step::Deliver(at) => {
                let response = self.responses.remove(at);
                self.nodes[response.to].receive(variant, &response);
            }
            Step::Restart(node) => {
                self.restarts += 1;
                self.nodes[node] = Node::default();
                // The connections of a process close when it ends.
                self.responses.retain(|response| response.to != node);
            }
        }
    }

    fn send(&mut self, to: usize, is_listing: bool, update: ConfigUpdate) {
        self.responses.push(Response {
            to,
            update,
            is_listing,
        });
    }

    /// Returns whether all nodes reach the newest revision once the platform answers with its
    /// newest state and every node can fetch from the first one.
    pub(super) fn converges(&self, scenario: &Scenario) -> bool {
        let mut final_state = self.clone();
        let watcher = &mut final_state.nodes[0];
        if !watcher.listed {
            watcher
                .snapshot
                .apply(&listing_update(scenario.list(final_state.accepted_writes)));
        }
        let after = watcher.snapshot.revision();
        let watched = watch_update(scenario.watch(after, final_state.accepted_writes));
        watcher.snapshot.apply(&watched);
        let first = final_state.nodes[0].snapshot.clone();
        let newest = first.revision();
        let reached_newest = newest == Revision(final_state.accepted_writes as u64);
        reached_newest
            && final_state.nodes[1..].iter_mut().all(|node| {
                let update = first.update_since(node.snapshot.revision());
                node.snapshot.apply(&update);
                node.snapshot.revision() == newest
            })
    }
}

impl Node {
    fn receive(&mut self, variant: Variant, response: &Response) {
        if variant == Variant::IgnoreRevision && response.update.whole {
            self.snapshot = Snapshot::default();
        }
        self.snapshot.apply(&response.update);
        self.listed |= response.is_listing;
        self.highest_revision = self.highest_revision.max(self.snapshot.revision());
    }
}

fn peer_update(variant: Variant, snapshot: &Snapshot, after: Revision) -> ConfigUpdate {
    match variant {
        Variant::IgnoreHistoryStart => ConfigUpdate {
            revision: snapshot.revision(),
            whole: false,
            entries: snapshot.entries_after(after),
        },
        _ => snapshot.update_since(after),
    }
}
