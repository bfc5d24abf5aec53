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
    pub armed: Option<u64>,
    /// The step that is held, if one is.
    pub held: Option<u64>,
}

/// What to do next about a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeldStep {
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
pub fn next_step(reports: &[RankReport]) -> HeldStep {
    let Some(first) = reports.first() else {
        return HeldStep::Unclear;
    };
    let whole = reports.len() == first.size
        && reports
            .iter()
            .all(|report| report.open && report.epoch == first.epoch);
    if !whole {
        return HeldStep::Unclear;
    }
    let loaded = common(reports);
    if let Some((holder, step)) = held(reports) {
        return match loaded {
            Some(version) => HeldStep::Arm {
                version,
                step,
                holder,
            },
            None => HeldStep::Abort {
                versions: versions(reports),
                step,
                holder,
            },
        };
    }
    let newest = reports.iter().map(|report| report.active).max();
    match loaded {
        Some(version) if Some(version) > newest => HeldStep::Hold { version },
        // An armed version without a held step comes into use as its step begins.
        _ if reports.iter().any(|report| report.armed.is_some()) => HeldStep::Loading,
        _ => HeldStep::Idle,
    }
}

/// Returns the version that every rank has loaded, armed or not.
fn common(reports: &[RankReport]) -> Option<u64> {
    let version = |report: &RankReport| report.armed.or(report.prepared);
    let first = version(reports.first()?)?;
    reports
        .iter()
        .all(|report| version(report) == Some(first) && report.active < first)
        .then_some(first)
}

fn held(reports: &[RankReport]) -> Option<(usize, u64)> {
    reports
        .iter()
        .find_map(|report| Some((report.rank, report.held?)))
}

fn versions(reports: &[RankReport]) -> Vec<u64> {
    let named = reports
        .iter()
        .flat_map(|report| [report.armed, report.prepared]);
    let mut versions: Vec<u64> = named.flatten().collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}
