//! What a process that was told to stop still takes.

use sardinepin_common::Millis;

/// How long before its end a process answers whatever still runs with an error, so that each caller gets an answer.
const LAST_ANSWERS_TIME: Millis = Millis(200);

/// How much longer than the longest of its kind lately a request may take, in percent of that.
const LONGER_PERCENT: u64 = 50;

/// How long a request may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTime {
    /// The time until its deadline.
    pub left: Millis,
    /// The longest time that an answer of its kind took lately, if there was one.
    pub longest: Option<Millis>,
}

impl RequestTime {
    /// Returns the time after which it has surely ended, as far as that is known.
    #[must_use]
    pub fn bound(self) -> Millis {
        match self.longest {
            Some(longest) => self
                .left
                .min(longest + Millis(longest.0 * LONGER_PERCENT / 100)),
            None => self.left,
        }
    }
}

/// The plan of a stop: until its end, a process takes what surely ends before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
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
        let latest = self.cut_at().0.checked_sub(time.bound().0);
        latest.map(Millis)
    }

    /// Returns whether a request may still be sent to an upstream, for the first time or once more.
    #[must_use]
    pub fn takes(self, now: Millis, time: RequestTime) -> bool {
        self.latest_begin(time).is_some_and(|latest| now <= latest)
    }
}
