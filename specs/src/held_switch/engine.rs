//! The engines of one group: the part of their state that a switch changes.

use sardinepin_groups::{ArmedVersion, RankReport};

use crate::held_switch::RANKS;

/// The kind of an order to an engine, with its version or step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum OrderKind {
    /// Loads a version.
    Prepare(u64),
    /// Arms a version for a step.
    Arm(u64, u64),
    /// Disarms a version.
    Disarm(u64),
    /// Holds a step.
    Hold(u64),
    /// Releases a step.
    Release(u64),
}

/// An order of a coordinator to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Order {
    pub(super) term: u64,
    /// The sequence number that the engine must have; `None` accepts any.
    pub(super) sequence: Option<u64>,
    pub(super) kind: OrderKind,
}

/// The reply of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderReply {
    Done,
    /// The order does not match the state of the engine.
    Conflict,
    /// The engine has seen a higher term.
    Superseded,
}

/// The engine of one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Rank {
    /// The highest term seen.
    fence: u64,
    /// How many versions have been loaded. Arming and disarming take effect at once and begin
    /// nothing.
    sequence: u64,
    /// The version in use.
    active: u64,
    /// The version that is loaded; `None` if none was loaded yet.
    prepared: Option<u64>,
    /// The highest version ever prepared.
    highest_prepared: u64,
    armed: Option<ArmedVersion>,
}

/// The engines of all ranks, which begin each step together.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub(super) struct Engines {
    /// The last step that has begun.
    pub(super) step: u64,
    /// The step that the first rank holds; `None` if it holds none.
    pub(super) held: Option<u64>,
    ranks: [Rank; RANKS],
}

impl Engines {
    /// Returns whether the next step can begin, because it is not held.
    pub(super) fn can_begin_step(&self) -> bool {
        self.held.is_none_or(|held| held > self.step + 1)
    }

    /// Begins the next step at all ranks; a version armed for it becomes active.
    pub(super) fn begin_step(&mut self) {
        self.step += 1;
        for rank in &mut self.ranks {
            if let Some(armed) = rank.armed.take_if(|armed| armed.step == self.step) {
                rank.active = armed.version;
            }
        }
    }

    /// Returns whether the last step began on two maps.
    pub(super) fn has_mixed_maps(&self) -> bool {
        self.ranks
            .iter()
            .any(|rank| rank.active != self.ranks[0].active)
    }

    /// Returns the report of a rank.
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

    /// Carries out an order at a rank, or returns why its term, its sequence number or the state of
    /// the engine rules it out.
    pub(super) fn execute(&mut self, at: usize, order: Order, fencing: bool) -> OrderReply {
        let rank = &mut self.ranks[at];
        if fencing && order.term < rank.fence {
            return OrderReply::Superseded;
        }
        rank.fence = rank.fence.max(order.term);
        if order
            .sequence
            .is_some_and(|sequence| sequence != rank.sequence)
        {
            return OrderReply::Conflict;
        }
        match order.kind {
            OrderKind::Prepare(version) => {
                if rank.armed.is_some() || version <= rank.highest_prepared {
                    return OrderReply::Conflict;
                }
                rank.prepared = Some(version);
                rank.highest_prepared = version;
                rank.sequence += 1;
            }
            OrderKind::Arm(version, step) => {
                if rank.prepared != Some(version) || step <= self.step {
                    return OrderReply::Conflict;
                }
                rank.armed = Some(ArmedVersion { version, step });
            }
            OrderKind::Disarm(version) => {
                if rank.active == version {
                    return OrderReply::Conflict;
                }
                rank.armed.take_if(|armed| armed.version == version);
            }
            OrderKind::Hold(step) => {
                if step <= self.step || self.held.is_some_and(|held| held != step) {
                    return OrderReply::Conflict;
                }
                self.held = Some(step);
            }
            OrderKind::Release(step) => {
                if self.held == Some(step) {
                    self.held = None;
                }
            }
        }
        OrderReply::Done
    }
}
