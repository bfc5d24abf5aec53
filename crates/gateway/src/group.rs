//! What a gateway believes of rank groups: whether they work, and whether they have stalled.
//!
//! The load that this answers is a group that has lost a rank: all its ranks stall, then turn
//! requests away, and seem to have more room than those of the groups that still work.

use std::sync::Arc;

use sardinepin_common::{Map, Millis};

use crate::fleet::AttemptOutcome;

/// The silence after which a group with work in flight counts as stalled.
const STALLED: Millis = Millis(500);

/// How long no more is sent to a group that has turned a request away as broken; doubles with each
/// further time.
const SHUT: Millis = Millis(150);

/// The longest time for which nothing is sent.
const SHUT_MAX: Millis = Millis(600);

/// How often in a row the time doubles.
const SHUT_DOUBLINGS: u32 = 2;

/// One group.
#[derive(Debug, Default)]
struct Group {
    in_flight: u32,
    /// Since when something in flight waits for a sign of life.
    waits_since: Option<Millis>,
    broken: u32,
    shut_until: Millis,
}

/// All groups that work was sent to.
#[derive(Debug, Default)]
pub(crate) struct Groups {
    groups: Map<Arc<str>, Group>,
}

impl Groups {
    /// Counts an attempt as sent.
    pub(crate) fn sent(&mut self, now: Millis, name: &Arc<str>) {
        let group = self.groups.entry(Arc::clone(name)).or_default();
        group.in_flight += 1;
        group.waits_since.get_or_insert(now);
        if group.broken > 0 {
            // One attempt at a time finds out whether the group works again.
            group.shut_until = now + shut_time(group.broken);
        }
    }

    /// Counts a sign of life.
    pub(crate) fn progressed(&mut self, now: Millis, name: &str) {
        if let Some(group) = self.groups.get_mut(name) {
            group.waits_since = Some(now);
            group.broken = 0;
            group.shut_until = Millis::ZERO;
        }
    }

    /// Counts an attempt as ended.
    pub(crate) fn ended(&mut self, now: Millis, name: &str, ending: AttemptOutcome) {
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        group.in_flight = group.in_flight.saturating_sub(1);
        // A rank that this gateway cannot reach is most often missing for its whole group.
        if matches!(
            ending,
            AttemptOutcome::GroupBroken | AttemptOutcome::Unreached
        ) {
            group.broken += 1;
            group.shut_until = now + shut_time(group.broken);
        }
        if group.in_flight == 0 {
            group.waits_since = None;
        }
    }

    /// Returns whether nothing may be sent to a group for now.
    pub(crate) fn is_shut(&self, now: Millis, name: &str) -> bool {
        self.groups
            .get(name)
            .is_some_and(|group| now < group.shut_until)
    }

    /// Returns whether a group with work in flight has been silent for too long.
    pub(crate) fn is_stalled(&self, now: Millis, name: &str) -> bool {
        let since = self.groups.get(name).and_then(|group| group.waits_since);
        since.is_some_and(|since| now.since(since) >= STALLED)
    }
}

fn shut_time(broken: u32) -> Millis {
    let doublings = broken.saturating_sub(1).min(SHUT_DOUBLINGS);
    Millis(SHUT.0 << doublings).min(SHUT_MAX)
}
