//! Pings that wait for their answers, and those that others asked for.

use std::net::SocketAddr;

use sardinepin_common::Millis;

/// How far the attempt to reach a node has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It was asked directly.
    Direct,
    /// It was asked again, and others were asked to reach it, for this time.
    Relayed(u8),
}

/// A ping that waits for its answer.
#[derive(Debug, Clone)]
pub(crate) struct Probe {
    /// The node.
    pub(crate) name: String,
    /// The ping's counter.
    pub(crate) counter: u64,
    /// When it was sent.
    pub(crate) sent: Millis,
    /// How far the attempt has come.
    pub(crate) stage: Stage,
}

/// A ping sent for another node.
#[derive(Debug)]
struct Errand {
    counter: u64,
    asker: SocketAddr,
    sent: Millis,
}

/// All pings that wait.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    waiting: Vec<Probe>,
    errands: Vec<Errand>,
}

impl Probes {
    /// Notes a ping.
    pub(crate) fn add(&mut self, probe: Probe) {
        self.waiting.push(probe);
    }

    /// Notes a ping that `asker` asked for.
    pub(crate) fn add_errand(&mut self, counter: u64, asker: SocketAddr, sent: Millis) {
        self.errands.push(Errand {
            counter,
            asker,
            sent,
        });
    }

    /// Returns whether an answer from `name` is waited for.
    pub(crate) fn waits_for(&self, name: &str) -> bool {
        self.waiting.iter().any(|probe| probe.name == name)
    }

    /// Takes an answer of `name` and returns whether this node had asked.
    pub(crate) fn answered(&mut self, name: &str, counter: u64) -> bool {
        let asked = self
            .waiting
            .iter()
            .any(|probe| probe.counter == counter && probe.name == name);
        if asked {
            self.waiting.retain(|probe| probe.name != name);
        }
        asked
    }

    /// Takes the word of another that `name` is there.
    pub(crate) fn vouched(&mut self, name: &str) {
        self.waiting
            .retain(|probe| probe.name != name || probe.stage == Stage::Direct);
    }

    /// Returns who asked for the ping with this counter.
    pub(crate) fn errand(&mut self, counter: u64) -> Option<SocketAddr> {
        let at = self
            .errands
            .iter()
            .position(|errand| errand.counter == counter)?;
        Some(self.errands.swap_remove(at).asker)
    }

    /// Takes out the pings that were sent before `limit`, in the order of sending.
    pub(crate) fn expired(&mut self, limit: Millis) -> Vec<Probe> {
        self.errands.retain(|errand| errand.sent >= limit);
        let (late, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|probe| probe.sent < limit);
        self.waiting = waiting;
        late
    }

    /// Forgets every ping.
    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
        self.errands.clear();
    }
}
