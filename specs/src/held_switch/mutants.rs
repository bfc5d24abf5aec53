//! Changes of a coordinator's decisions that take a safeguard out.

use sardinepin_groups::{NextAction, RankReport};

use crate::held_switch::HOLD_AHEAD_STEPS;

/// Returns an action that changes the first rank which is armed for another step than the held one before those that are not armed, if
/// all have loaded the same version. It disarms that rank while the version can still be armed everywhere.
pub(super) fn replace_armed_first(action: NextAction, reports: &[RankReport]) -> NextAction {
    let (NextAction::Replace { step, .. } | NextAction::Release { step, .. }) = action else {
        return action;
    };
    let same_version = reports
        .windows(2)
        .all(|pair| pair[0].prepared == pair[1].prepared);
    let armed_otherwise =
        |report: &&RankReport| report.armed.is_some_and(|armed| armed.step != step);
    match reports.iter().find(armed_otherwise) {
        Some(first) if same_version => NextAction::Replace {
            first: first.rank,
            step,
        },
        _ => action,
    }
}

/// Returns a report without a version that is armed for an earlier step than the one that could be held
/// next.
pub(super) fn without_earlier_step(report: RankReport) -> RankReport {
    let next = report.step + HOLD_AHEAD_STEPS;
    RankReport {
        armed: report.armed.filter(|armed| armed.step >= next),
        ..report
    }
}
