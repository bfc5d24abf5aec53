//! When an upstream is asked whether it is there, since its entry may be outdated.

use sardinepin_common::Millis;

/// The time between two questions to one upstream; it doubles with each one.
const INTERVAL_MIN: Millis = Millis(1_000);

/// The longest time between two questions to one upstream.
const INTERVAL_MAX: Millis = Millis(32_000);

/// The doubt whether the upstream of an entry has left.
#[derive(Debug, Clone, Copy)]
pub(super) struct Doubt {
    /// When the entry was read from the older copy.
    since: Millis,
    /// The time after the last question before the next one.
    interval: Millis,
    /// When it may be asked next; `None` before the first question.
    next_at: Option<Millis>,
}

impl Doubt {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            since: now,
            interval: INTERVAL_MIN,
            next_at: None,
        }
    }

    /// Returns when the next question is due: not before the entry of an upstream that has left would have lapsed, as such an
    /// upstream may still respond for some time.
    pub(super) fn next_question(&self, lapse: Millis) -> Millis {
        let lapsed_at = self.since + lapse;
        self.next_at.map_or(lapsed_at, |at| at.max(lapsed_at))
    }

    /// Returns whether a question is due at `now`, if the list was last known to be complete at `complete_at`.
    pub(super) fn take_question(
        &mut self,
        now: Millis,
        lapse: Millis,
        complete_at: Millis,
    ) -> bool {
        if now < self.next_question(lapse) {
            return false;
        }
        if complete_at < self.since + lapse {
            // Whether the entry has lapsed is not known yet.
            self.next_at = Some(now + INTERVAL_MIN);
            return false;
        }
        self.next_at = Some(now + self.interval);
        self.interval = (self.interval + self.interval).min(INTERVAL_MAX);
        true
    }
}
