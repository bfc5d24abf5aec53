//! What a gateway believes of rank groups: whether they work, and whether they have stalled.
//!
//! The load that this answers is a group that has lost a rank: all its ranks stall, then turn
//! requests away, and seem to have more room than those of the groups that still work.

use std::sync::Arc;

use sardinepin_common::{Map, Millis};

use crate::upstream_set::AttemptOutcome;

/// The silence after which a group with work in flight counts as stalled.
const STALL_TIMEOUT: Millis = Millis(500);

/// How long no more is sent to a group that has turned a request away as broken; doubles with each
/// further time.
const SUSPEND_MIN: Millis = Millis(150);

/// The longest time for which nothing is sent.
const SUSPEND_MAX: Millis = Millis(600);

/// How often in a row the time doubles.
const SUSPEND_DOUBLINGS: u32 = 2;

/// One group.
#[derive(Debug, Default)]
struct RankGroup {
    in_flight: u32,
    /// Since when something in flight waits for a sign of life.
    silent_since: Option<Millis>,
    failures: u32,
    suspended_until: Millis,
}

/// All groups that work was sent to.
#[derive(Debug, Default)]
pub(crate) struct RankGroups {
    groups: Map<Arc<str>, RankGroup>,
}

impl RankGroups {
    /// Counts an attempt as sent.
    pub(crate) fn record_start(&mut self, now: Millis, name: &Arc<str>) {
        let group = self.groups.entry(Arc::clone(name)).or_default();
        group.in_flight += 1;
        group.silent_since.get_or_insert(now);
        if group.failures > 0 {
            // One attempt at a time finds out whether the group works again.
            group.suspended_until = now + suspend_time(group.failures);
        }
    }

    /// Counts a sign of life.
    pub(crate) fn record_progress(&mut self, now: Millis, name: &str) {
        if let Some(group) = self.groups.get_mut(name) {
            group.silent_since = Some(now);
            group.failures = 0;
            group.suspended_until = Millis::ZERO;
        }
    }

    /// Counts an attempt as ended.
    pub(crate) fn record_end(&mut self, now: Millis, name: &str, ending: AttemptOutcome) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        group.in_flight = group.in_flight.saturating_sub(1);
        // A rank that this gateway cannot reach is most often missing for its whole group.
        if matches!(
            ending,
            AttemptOutcome::GroupBroken | AttemptOutcome::Unreachable
        ) {
            group.failures += 1;
            group.suspended_until = now + suspend_time(group.failures);
        }
        if group.in_flight == 0 {
            group.silent_since = None;
        }
    }

    /// Returns whether nothing may be sent to a group for now.
    pub(crate) fn is_suspended(&self, now: Millis, name: &str) -> bool {
        self.groups
            .get(name)
            .is_some_and(|group| now < group.suspended_until)
    }

    /// Returns whether a group with work in flight has been silent for too long.
    pub(crate) fn is_stalled(&self, now: Millis, name: &str) -> bool {
        let since = self.groups.get(name).and_then(|group| group.silent_since);
        since.is_some_and(|since| now.since(since) >= STALL_TIMEOUT)
    }
}

fn suspend_time(broken: u32) -> Millis {
    let doublings = broken.saturating_sub(1).min(SUSPEND_DOUBLINGS);
    Millis(SUSPEND_MIN.0 << doublings).min(SUSPEND_MAX)
}
