//! The map switch of a group whose engines can hold a step: derives the next action from the
//! reports of the ranks.
//!
//! All ranks must start to use a map in the same step. The first rank holds a step, every rank is
//! armed for that step, and the step is released only after all have confirmed. The next action
//! depends only on the reports, so a coordinator that takes over continues where the last one stopped.
//!
//! Coordinators need not exclude each other, and engines need not compare their terms. Every order
//! carries the sequence number of the rank's report, so that an engine rejects it once another version
//! has begun to load there. A switch that cannot be completed is replaced by a newer version, and never
//! taken back: a rank that has loaded a newer version can never be armed for an older one, whatever
//! order arrives late. The first rank to be changed is one that keeps the newest version from being
//! complete ([`NextAction::Replace`]); no coordinator can then have confirmed that version.
//!
//! An order to disarm may be carried out long after it was sent, and disarming raises no sequence number. A rank is therefore
//! disarmed only for a version that cannot be armed everywhere any more, because another rank has loaded a newer one. Ranks that are
//! all armed for a step after the held one are not disarmed; the held step is released, and the switch follows.
//!
//! A coordinator whose instance freezes takes its own engine out of reach. The step that it held is released without it
//! ([`NextAction::Bypass`]): a version names the rank that planned it, which loads it before all others, and which every coordinator
//! arms for it only after all others have confirmed. So while another rank has loaded it and is not armed, the missing one is not armed
//! for any version.

mod report;
mod version;

pub use report::{ArmedVersion, RankReport, is_snapshot};
pub use version::{planner_of, replacement_above, version_above};

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
    /// A step is held, and no version can be armed everywhere: disarm every rank and have it load a
    /// newer version, the rank `first` before all others.
    Replace {
        /// A rank that keeps the newest version from being complete and is not armed for it. Once it has loaded a newer version, no
        /// order to disarm the other ranks can undo a confirmation.
        first: usize,
        /// The held step.
        step: u64,
    },
    /// A step is held, and the rank that planned the version to be armed does not report; it cannot be armed. Have every other rank load a
    /// newer version, the rank `first` before all others, then release the step on the map in use.
    Bypass {
        /// A rank that is not armed.
        first: usize,
        /// The held step.
        step: u64,
        /// The rank that holds the step.
        holder: usize,
    },
    /// A step is held although no rank has loaded or armed another version, or although all are armed for a later step: release it.
    Release {
        /// The held step.
        step: u64,
        /// The rank that holds the step.
        holder: usize,
    },
}

impl NextAction {
    /// Returns whether the action is safe only if the reports show the state at one moment.
    #[must_use]
    pub fn needs_snapshot(&self) -> bool {
        matches!(
            self,
            Self::Replace { .. } | Self::Bypass { .. } | Self::Release { .. }
        )
    }
}

/// Returns the next action, from one report of each rank.
#[must_use]
pub fn next_action(reports: &[RankReport]) -> NextAction {
    let Some(first) = reports.first() else {
        return NextAction::Unclear;
    };
    let in_epoch = |report: &RankReport| report.open && report.epoch == first.epoch;
    if !reports.iter().all(in_epoch) {
        return NextAction::Unclear;
    }
    if reports.len() + 1 == first.size {
        return bypass(reports).unwrap_or(NextAction::Unclear);
    }
    if reports.len() != first.size {
        return NextAction::Unclear;
    }
    if let Some((holder, step)) = held_step(reports) {
        // A version armed for a step before the held one is about to come into use everywhere. It
        // must not be disarmed or armed for another step before then.
        let earlier = |report: &RankReport| report.armed.is_some_and(|armed| armed.step < step);
        if reports.iter().any(earlier) {
            return NextAction::Loading;
        }
        if let Some(version) = version_to_arm(reports, step) {
            return NextAction::Arm {
                version,
                step,
                holder,
            };
        }
        return without_version_to_arm(reports, step, holder);
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

/// Returns how to release a held step without the one rank that does not report, if that is safe: it has planned the version that all
/// others have loaded, and not all of them are armed.
fn bypass(reports: &[RankReport]) -> Option<NextAction> {
    let (holder, step) = held_step(reports)?;
    let version = common_version(reports)?;
    let planner = planner_of(version)?;
    if reports.iter().any(|report| report.rank == planner) {
        return None;
    }
    let wanted = ArmedVersion { version, step };
    let armed_otherwise = |report: &RankReport| report.armed.is_some_and(|armed| armed != wanted);
    if reports.iter().any(armed_otherwise) {
        return None;
    }
    let first = reports.iter().find(|report| report.armed.is_none())?;
    Some(NextAction::Bypass {
        first: first.rank,
        step,
        holder,
    })
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

/// Returns the earliest held step and the rank that holds it.
fn held_step(reports: &[RankReport]) -> Option<(usize, u64)> {
    let held = reports
        .iter()
        .filter_map(|report| Some((report.rank, report.held?)));
    held.min_by_key(|(_, step)| *step)
}

/// Returns the next action while a step is held for which no version can be armed everywhere.
fn without_version_to_arm(reports: &[RankReport], step: u64, holder: usize) -> NextAction {
    let newest = reports
        .iter()
        .filter(|report| report.armed.is_some() || report.prepared > Some(report.active))
        .filter_map(|report| report.prepared)
        .max();
    let Some(newest) = newest else {
        return NextAction::Release { step, holder };
    };
    let unloaded =
        |report: &&RankReport| report.prepared != Some(newest) || report.active >= newest;
    let first = reports.iter().find(unloaded);
    // A rank that is armed for the newest version must not be the first to change: until another one has loaded a newer version, the
    // order to disarm it could arrive after all ranks have been armed and the step released.
    let first = first.or_else(|| reports.iter().find(|report| report.armed.is_none()));
    if let Some(first) = first {
        return NextAction::Replace {
            first: first.rank,
            step,
        };
    }
    // Every rank is armed for the newest version and stays so until the step that it is armed for.
    let armed = reports.first().and_then(|report| report.armed);
    match reports.iter().all(|report| report.armed == armed) {
        true => NextAction::Release { step, holder },
        // No coordinator can have confirmed one step at all ranks while another was held, so this is a poll of changing ranks.
        false => NextAction::Loading,
    }
}
