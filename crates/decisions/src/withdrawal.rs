//! What an upstream has said about requests that it does not want: that it leaves, or for how long it rests.

use sardinepin_common::Millis;

/// Whether and since when one process of an upstream wants no requests of this node.
#[derive(Debug, Clone, Copy, Default)]
pub struct Withdrawal {
    /// Whether it has said that it is leaving; it never takes that back.
    leaving: bool,
    rests_until: Millis,
}

impl Withdrawal {
    /// Records that the upstream is leaving; returns whether that is new.
    pub fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Records that the upstream wants no request for `time`. A shorter time does not shorten one that runs.
    pub fn record_rest(&mut self, now: Millis, time: Millis) {
        let until = Millis(now.0.saturating_add(time.0));
        self.rests_until = self.rests_until.max(until);
    }

    /// Returns whether the upstream has said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether the upstream rests.
    #[must_use]
    pub fn is_resting(&self, now: Millis) -> bool {
        now < self.rests_until
    }

    /// Returns the end of the rest.
    #[must_use]
    pub fn rests_until(&self) -> Millis {
        self.rests_until
    }
}
