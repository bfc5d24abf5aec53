//! The engines of one group, as far as a switch concerns them.

use sardinepin_groups::{ArmedVersion, RankReport};

use crate::held_switch::RANKS;

/// What an engine is ordered to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Act {
    Prepare(u64),
    Arm(u64, u64),
    Disarm(u64),
    Hold(u64),
    Release(u64),
}

/// An order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Order {
    pub(super) term: u64,
    pub(super) sequence: Option<u64>,
    pub(super) act: Act,
}

/// What an engine says to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Taken {
    Yes,
    Conflict,
    Superseded,
}

/// One rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Rank {
    fence: u64,
    sequence: u64,
    active: u64,
    prepared: Option<u64>,
    highest: u64,
    armed: Option<ArmedVersion>,
}

/// All ranks, which run each step together.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Engines {
    pub(super) step: u64,
    /// The step that the first rank holds.
    pub(super) held: Option<u64>,
    ranks: [Rank; RANKS],
}

impl Engines {
    /// Returns whether the next step is not held.
    pub(super) fn may_begin(&self) -> bool {
        self.held.is_none_or(|held| held > self.step + 1)
    }

    /// Begins the next step.
    pub(super) fn begin(&mut self) {
        self.step += 1;
        for rank in &mut self.ranks {
            if let Some(armed) = rank.armed.take_if(|armed| armed.step == self.step) {
                rank.active = armed.version;
            }
        }
    }

    /// Returns whether the last step began on two maps.
    pub(super) fn is_mixed(&self) -> bool {
        self.ranks
            .iter()
            .any(|rank| rank.active != self.ranks[0].active)
    }

    /// Returns what a rank reports.
    pub(super) fn report(&self, at: usize) -> RankReport {
        let rank = &self.ranks[at];
        RankReport {
            rank: at,
            size: RANKS,
            epoch: 1,
            open: true,
            step: self.step,
            sequence: rank.sequence,
            active: rank.active,
            prepared: rank.prepared,
            armed: rank.armed,
            held: if at == 0 { self.held } else { None },
        }
    }

    /// Takes an order at a rank.
    pub(super) fn take(&mut self, at: usize, order: Order, fenced: bool) -> Taken {
        let rank = &mut self.ranks[at];
        if fenced && order.term < rank.fence {
            return Taken::Superseded;
        }
        rank.fence = rank.fence.max(order.term);
        if order
            .sequence
            .is_some_and(|sequence| sequence != rank.sequence)
        {
            return Taken::Conflict;
        }
        match order.act {
            Act::Prepare(version) => {
                if rank.armed.is_some() || version <= rank.highest {
                    return Taken::Conflict;
                }
                rank.prepared = Some(version);
                rank.highest = version;
                rank.sequence += 1;
            }
            Act::Arm(version, step) => {
                if rank.prepared != Some(version) || step <= self.step {
                    return Taken::Conflict;
                }
                let wanted = Some(ArmedVersion { version, step });
                if rank.armed != wanted {
                    rank.armed = wanted;
                    rank.sequence += 1;
                }
            }
            Act::Disarm(version) => {
                if rank.active == version {
                    return Taken::Conflict;
                }
                if rank
                    .armed
                    .take_if(|armed| armed.version == version)
                    .is_some()
                {
                    rank.sequence += 1;
                }
            }
            Act::Hold(step) => {
                if step <= self.step || self.held.is_some_and(|held| held != step) {
                    return Taken::Conflict;
                }
                self.held = Some(step);
            }
            Act::Release(step) => {
                if self.held == Some(step) {
                    self.held = None;
                }
            }
        }
        Taken::Yes
    }
}
