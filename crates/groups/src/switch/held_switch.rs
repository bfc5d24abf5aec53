//! The map switch of a group whose engines can hold a step: derives the next action from the
//! reports of the ranks.
//!
//! All ranks must start to use a map in the same step. The first rank holds a step, every rank is
//! armed for that step, and the step is released only after all have confirmed. The next action
//! depends only on the current reports, so a coordinator that takes over continues where the last
//! one stopped. If not all ranks are armed, the step is released only after every rank has confirmed
//! that it is disarmed, at a higher term than that of any earlier coordinator. A delayed order then
//! meets a higher term, a different sequence number or a step that has begun, and is rejected.

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

/// The next action of a group's coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextAction {
    /// Nothing can be decided: reports are missing, the group is not working, or epochs differ.
    Unclear,
    /// No switch is in progress; a new map may be planned.
    Idle,
    /// An armed step has yet to begin; poll again.
    Loading,
    /// All ranks have loaded a version: hold a step at the first rank, then arm all.
    Hold {
        /// The version to switch to.
        version: u64,
    },
    /// A step is held and the version is loaded everywhere: arm all ranks, then release the step.
    Arm {
        /// The version to switch to.
        version: u64,
        /// The held step.
        step: u64,
        /// The rank that holds the step.
        holder: usize,
    },
    /// A step is held and no version can be armed everywhere: disarm all ranks, then release the
    /// step.
    Abort {
        /// The versions that any rank has armed or loaded, in ascending order.
        versions: Vec<u64>,
        /// The held step.
        step: u64,
        /// The rank that holds the step.
        holder: usize,
    },
}

/// Returns the next action, from one report of each rank.
#[must_use]
pub fn next_action(reports: &[RankReport]) -> NextAction {
    let Some(first) = reports.first() else {
        return NextAction::Unclear;
    };
    let complete = reports.len() == first.size
        && reports
            .iter()
            .all(|report| report.open && report.epoch == first.epoch);
    if !complete {
        return NextAction::Unclear;
    }
    if let Some((holder, step)) = held_step(reports) {
        // A version armed for a step before the held one is about to come into use everywhere. It
        // must not be disarmed or armed for another step before then.
        let earlier = |report: &RankReport| report.armed.is_some_and(|armed| armed.step < step);
        if reports.iter().any(earlier) {
            return NextAction::Loading;
        }
        return match version_to_arm(reports, step) {
            Some(version) => NextAction::Arm {
                version,
                step,
                holder,
            },
            None => NextAction::Abort {
                versions: known_versions(reports),
                step,
                holder,
            },
        };
    }
    // Without a held step, an armed version comes into use when its step begins. If it were armed
    // again for a later step, the step in between could begin on two maps.
    if reports.iter().any(|report| report.armed.is_some()) {
        return NextAction::Loading;
    }
    match common_version(reports) {
        Some(version) => NextAction::Hold { version },
        None => NextAction::Idle,
    }
}

/// Returns the version that can be armed at every rank for a held step; `None` if some rank has not
/// loaded it or is armed for another version or step.
fn version_to_arm(reports: &[RankReport], step: u64) -> Option<u64> {
    let version = common_version(reports)?;
    let wanted = ArmedVersion { version, step };
    reports
        .iter()
        .all(|report| report.armed.is_none_or(|armed| armed == wanted))
        .then_some(version)
}

/// Returns the version that every rank has loaded and no rank uses yet.
fn common_version(reports: &[RankReport]) -> Option<u64> {
    let version = reports.first()?.prepared?;
    reports
        .iter()
        .all(|report| report.prepared == Some(version) && report.active < version)
        .then_some(version)
}

fn held_step(reports: &[RankReport]) -> Option<(usize, u64)> {
    reports
        .iter()
        .find_map(|report| Some((report.rank, report.held?)))
}

fn known_versions(reports: &[RankReport]) -> Vec<u64> {
    let named = reports.iter().flat_map(|report| {
        let armed = report.armed.map(|armed| armed.version);
        [armed, report.prepared]
    });
    let mut versions: Vec<u64> = named.flatten().collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}
