//! The reports that engines give of their state in a switch.

use serde::{Deserialize, Serialize};

/// A version that comes into use when a step begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ArmedVersion {
    /// The version of the map.
    pub version: u64,
    /// The first step on the new map.
    pub step: u64,
}

/// An engine's report of its state in a switch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct RankReport {
    /// The index of the rank in the group, from 0.
    pub rank: usize,
    /// The number of ranks in the group.
    pub size: usize,
    /// How many times the group has formed.
    pub epoch: u64,
    /// Whether the group is working.
    pub open: bool,
    /// The last step that has begun.
    pub step: u64,
    /// How many orders the engine has started to carry out since it started.
    pub sequence: u64,
    /// The version of the map in use.
    pub active: u64,
    /// The version whose experts are loaded, if there is one.
    pub prepared: Option<u64>,
    /// The armed version and its step, if one is armed.
    pub armed: Option<ArmedVersion>,
    /// The step that is held, if one is.
    pub held: Option<u64>,
}

/// Returns whether two polls in a row show the same state, which then held at the moment between
/// them: whatever an order changes shows in a report.
#[must_use]
pub fn is_snapshot(before: &[RankReport], after: &[RankReport]) -> bool {
    let state = |report: &RankReport| {
        (
            report.rank,
            report.epoch,
            report.sequence,
            report.active,
            report.prepared,
            report.armed,
            report.held,
        )
    };
    before.iter().map(state).eq(after.iter().map(state))
}
