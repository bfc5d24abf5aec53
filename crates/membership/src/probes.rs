//! Pings that wait for an ack, both this node's own and those sent on behalf of other nodes.

use std::net::SocketAddr;

use sardinepin_common::Millis;

/// How far the probing of a node has escalated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeStage {
    /// The node was pinged directly.
    Direct,
    /// The node was pinged again and relays were asked to ping it; holds the attempt, from 1.
    Relayed(u8),
}

/// A ping of this node that waits for its ack.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    /// The name of the pinged node.
    pub(crate) name: String,
    /// The counter of the ping.
    pub(crate) counter: u64,
    /// When the ping was sent.
    pub(crate) sent: Millis,
    /// How far the probing has escalated.
    pub(crate) stage: ProbeStage,
}

/// A ping sent on behalf of another node.
#[derive(Debug)]
struct RelayedPing {
    counter: u64,
    requester: SocketAddr,
    sent: Millis,
}

/// All pings that wait for an ack.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    pending: Vec<Probe>,
    relayed: Vec<RelayedPing>,
}

impl Probes {
    /// Adds a ping of this node.
    pub(crate) fn add(&mut self, probe: Probe) {
        self.pending.push(probe);
    }

    /// Adds a ping that was sent on behalf of `requester`.
    pub(crate) fn add_relayed(&mut self, counter: u64, requester: SocketAddr, sent: Millis) {
        self.relayed.push(RelayedPing {
            counter,
            requester,
            sent,
        });
    }

    /// Returns whether a ping to `name` waits for its ack.
    pub(crate) fn is_pending(&self, name: &str) -> bool {
        self.pending.iter().any(|probe| probe.name == name)
    }

    /// Handles an ack from `name` and returns whether it answers a pending ping.
    pub(crate) fn handle_ack(&mut self, name: &str, counter: u64) -> bool {
        let matches = self
            .pending
            .iter()
            .any(|probe| probe.counter == counter && probe.name == name);
        if matches {
            self.pending.retain(|probe| probe.name != name);
        }
        matches
    }

    /// Handles a relay's report that `name` answered; this ends relayed probes but not direct ones.
    pub(crate) fn handle_indirect_ack(&mut self, name: &str) {
        self.pending
            .retain(|probe| probe.name != name || probe.stage == ProbeStage::Direct);
    }

    /// Removes the relayed ping with this counter and returns the address of its requester.
    pub(crate) fn take_requester(&mut self, counter: u64) -> Option<SocketAddr> {
        let index = self
            .relayed
            .iter()
            .position(|ping| ping.counter == counter)?;
        Some(self.relayed.swap_remove(index).requester)
    }

    /// Removes all pings that were sent before `limit` and returns this node's own in the order of
    /// sending.
    pub(crate) fn take_expired(&mut self, limit: Millis) -> Vec<Probe> {
        self.relayed.retain(|ping| ping.sent >= limit);
        let (expired, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|probe| probe.sent < limit);
        self.pending = pending;
        expired
    }

    /// Removes all pings.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
        self.relayed.clear();
    }
}
