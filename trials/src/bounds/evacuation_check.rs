//! Checks requests to upstreams in evacuated zones, in the words of the users' rules and apart from the code that keeps them.
//!
//! A request that a caller sent later than the bound after the store acknowledged an evacuation must not reach an upstream in the
//! zone until it ends. For a sender that was restarted, stood still or was cut off meanwhile, and while the store is silent, the
//! bound counts from the end of that.

use sardinepin_common::{Millis, Set};
use std::sync::Arc;

use crate::bounds::day::Day;
use crate::bounds::disturbance::Kind;
use crate::bounds::record::Record;
use crate::bounds::upstreams::zone_name;

/// How long requests may still reach an evacuated zone.
const BOUND: Millis = Millis(5_000);

/// The longest time that a sender takes to notice a watch that is never answered: the wait, and two calls that are given up.
pub(super) const DEAD_WATCH_MS: u64 = 3_000 + 900 + 900;

/// The evacuation of a zone.
#[derive(Debug, Clone, Copy)]
pub(super) struct EvacuationPlan {
    pub(super) zone: usize,
    /// When the store has acknowledged it.
    pub(super) from: Millis,
    pub(super) until: Millis,
}

/// Returns the zones that are evacuated at a time.
pub(super) fn evacuated_at(plans: &[EvacuationPlan], at: Millis) -> Set<Arc<str>> {
    let active = plans
        .iter()
        .filter(|plan| plan.from <= at && at < plan.until);
    active.map(|plan| zone_name(plan.zone)).collect()
}

/// Returns how many requests reached evacuated zones too late, and how many were checked.
pub(super) fn count_late(
    record: &Record,
    day: &Day,
    zone_of: impl Fn(usize) -> usize,
) -> (usize, usize) {
    let (mut late, mut checked) = (0, 0);
    for plan in &day.evacuations {
        for arrival in &record.arrivals {
            let asked_at = record.requests[arrival.request as usize];
            let is_during = arrival.at < plan.until && asked_at > plan.from + BOUND;
            checked += usize::from(is_during);
            let is_inside = is_during && zone_of(arrival.upstream) == plan.zone;
            late += usize::from(is_inside && asked_at > due(record, day, plan, arrival.sender));
        }
    }
    (late, checked)
}

/// Returns when an evacuation has to be in force at a sender.
fn due(record: &Record, day: &Day, plan: &EvacuationPlan, sender: usize) -> Millis {
    let silent = day.disturbances.iter();
    let silent = silent.filter(|one| matches!(one.kind, Kind::SilentStore));
    let silent = silent.map(|one| (one.from, one.until));
    let excuses = record.excuses.iter().filter(|one| one.sender == sender);
    let mut disturbed: Vec<(Millis, Millis)> = excuses
        .map(|one| (one.from, one.until))
        .chain(silent)
        .collect();
    disturbed.sort_unstable();
    let mut due = plan.from + BOUND;
    for (from, until) in disturbed {
        if from < due && until > plan.from {
            due = due.max(until + BOUND);
        }
    }
    due
}
