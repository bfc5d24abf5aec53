//! The switch of a group whose engines can hold a step: what to order next, from what the ranks
//! report.
//!
//! A map may only come into use on all ranks at once. The first rank holds a step, every rank is
//! armed for that step, and only when all have confirmed it is the step released. Nothing is kept
//! between two looks but the reports, so a coordinator that takes over goes on where the last one
//! stopped. A release after anything but "all armed" follows only after every rank has confirmed
//! that it is disarmed, at a term above that of any earlier coordinator, so that an order that
//! comes late finds a higher term, another sequence number or a step that has begun.

use serde::{Deserialize, Serialize};

/// A version that comes into use as a step begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ArmedVersion {
    /// The version.
    pub version: u64,
    /// The step.
    pub step: u64,
}

/// What an engine reports of its part in a switch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct RankReport {
    /// The rank's place in the group, from 0.
    pub rank: usize,
    /// How many ranks the group has.
    pub size: usize,
    /// How often the group has formed.
    pub epoch: u64,
    /// Whether the group works.
    pub open: bool,
    /// The last step that has begun.
    pub step: u64,
    /// How many orders have begun something since the engine started.
    pub sequence: u64,
    /// The version of the map in use.
    pub active: u64,
    /// The version whose experts are loaded, if there is one.
    pub prepared: Option<u64>,
    /// The version that comes into use at a step, if one is armed.
    pub armed: Option<ArmedVersion>,
    /// The step that is held, if one is.
    pub held: Option<u64>,
}

/// What to do next about a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextAction {
    /// The ranks cannot be judged: some are missing, or the group is broken.
    Unclear,
    /// No switch is under way; a map may be planned.
    Idle,
    /// A map is being loaded; look again.
    Loading,
    /// All ranks have loaded a version: hold a step at the first rank, then arm all.
    Hold {
        /// The version.
        version: u64,
    },
    /// A step is held and the version is loaded everywhere: arm all ranks, then release the step.
    Arm {
        /// The version.
        version: u64,
        /// The step.
        step: u64,
        /// The rank that holds it.
        holder: usize,
    },
    /// A step is held and no version can be armed everywhere: disarm all ranks, then release it.
    Abort {
        /// The versions that some rank has armed or loaded.
        versions: Vec<u64>,
        /// The step.
        step: u64,
        /// The rank that holds it.
        holder: usize,
    },
}

/// Returns what to do next, from one report of each rank.
#[must_use]
pub fn next_action(reports: &[RankReport]) -> NextAction {
    let Some(first) = reports.first() else {
        return NextAction::Unclear;
    };
    let whole = reports.len() == first.size
        && reports
            .iter()
            .all(|report| report.open && report.epoch == first.epoch);
    if !whole {
        return NextAction::Unclear;
    }
    if let Some((holder, step)) = held(reports) {
        // What was armed for a step before the held one is about to come into use everywhere, and
        // must neither be taken back nor be armed for another step meanwhile.
        let earlier = |report: &RankReport| report.armed.is_some_and(|armed| armed.step < step);
        if reports.iter().any(earlier) {
            return NextAction::Loading;
        }
        return match ready_for(reports, step) {
            Some(version) => NextAction::Arm {
                version,
                step,
                holder,
            },
            None => NextAction::Abort {
                versions: versions(reports),
                step,
                holder,
            },
        };
    }
    // An armed version without a held step comes into use as its step begins. To arm it anew for
    // another step would let the step in between begin with two maps.
    if reports.iter().any(|report| report.armed.is_some()) {
        return NextAction::Loading;
    }
    match common(reports) {
        Some(version) => NextAction::Hold { version },
        None => NextAction::Idle,
    }
}

/// Returns the version that can be armed everywhere for a held step, if no rank is armed for
/// anything else.
fn ready_for(reports: &[RankReport], step: u64) -> Option<u64> {
    let version = common(reports)?;
    let wanted = ArmedVersion { version, step };
    reports
        .iter()
        .all(|report| report.armed.is_none_or(|armed| armed == wanted))
        .then_some(version)
}

/// Returns the version that every rank has loaded and none uses yet.
fn common(reports: &[RankReport]) -> Option<u64> {
    let version = reports.first()?.prepared?;
    reports
        .iter()
        .all(|report| report.prepared == Some(version) && report.active < version)
        .then_some(version)
}

fn held(reports: &[RankReport]) -> Option<(usize, u64)> {
    reports
        .iter()
        .find_map(|report| Some((report.rank, report.held?)))
}

fn versions(reports: &[RankReport]) -> Vec<u64> {
    let named = reports.iter().flat_map(|report| {
        let armed = report.armed.map(|armed| armed.version);
        [armed, report.prepared]
    });
    let mut versions: Vec<u64> = named.flatten().collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}
