//! What a process that was told to stop still takes.

use sardinepin_common::Millis;

/// How long before its end a process answers whatever still runs with an error, so that each caller gets an answer.
const LAST_ANSWERS_TIME: Millis = Millis(200);

/// How much longer than expected a request may take, in percent of that.
const LONGER_PERCENT: u64 = 50;

/// How long a request may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTime {
    /// When its own time ends.
    pub deadline: Millis,
    /// How long its answer is expected to take after its upstream has been found, as far as earlier answers tell.
    pub expected: Option<Millis>,
}

/// The plan of a stop: what a process still takes, and when it ends.
///
/// Only the deadline of a request bounds how long it takes; what earlier answers tell is an estimate. A caller that is refused while new
/// connections come may come upon another process that stops, so that until then a request is taken by its estimate as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// Until when new connections are accepted.
    pub accepts_until: Millis,
    /// When the process ends.
    pub ends_at: Millis,
}

impl StopPlan {
    /// Returns when whatever still runs is answered with an error.
    #[must_use]
    pub fn cut_at(self) -> Millis {
        Millis(self.ends_at.0.saturating_sub(LAST_ANSWERS_TIME.0))
    }

    /// Returns the last moment at which a request may be sent to an upstream; `None` if it may not be sent at all.
    #[must_use]
    pub fn latest_begin(self, time: RequestTime) -> Option<Millis> {
        let cut_at = self.cut_at();
        if time.deadline <= cut_at {
            return Some(time.deadline);
        }
        let expected = time.expected?;
        let bound = expected.0 + expected.0 * LONGER_PERCENT / 100;
        let latest = cut_at.0.checked_sub(bound).map(Millis)?;
        Some(latest.min(self.accepts_until))
    }

    /// Returns whether a request may still be sent to an upstream, for the first time or once more.
    #[must_use]
    pub fn takes(self, now: Millis, time: RequestTime) -> bool {
        self.latest_begin(time).is_some_and(|latest| now <= latest)
    }
}
