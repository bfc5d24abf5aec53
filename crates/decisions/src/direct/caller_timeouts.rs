//! Tells callers that come back after a refusal from new ones.
//!
//! This answers the return after an outage: a retry is late already, and its caller has no further one. Callers do not say so, but a
//! retry has less time left than the first attempts on the same route. How much the first attempts differ among themselves is learnt
//! while no caller can be coming back.

use std::sync::Arc;

use sardinepin_common::{Map, Millis};

/// The share of the longest timeout below which a caller counts as returning, until first attempts have been observed.
const RETURNING_SHARE: f64 = 0.95;

/// The lowest share that is learnt.
const RETURNING_SHARE_MIN: f64 = 0.5;

/// The time after which an earlier longest timeout is forgotten.
const WINDOW: Millis = Millis(10_000);

/// The number of classes into which the shares of the longest timeout are counted.
const SHARE_CLASSES: usize = 20;

/// How many first attempts have to be observed before their shares are relied on.
const OBSERVED_MIN: u32 = 20;

/// The number of observed first attempts at which all counts are halved, so that a change of callers is noticed.
const OBSERVED_MAX: u32 = 400;

/// The part of first attempts that may be taken for returning callers is at most one in this many.
const MISTAKEN_DIVISOR: u32 = 20;

/// The longest timeouts of the callers of one route.
#[derive(Debug, Default)]
struct Longest {
    window_began: Millis,
    current: Millis,
    previous: Millis,
}

impl Longest {
    /// Records a timeout; returns the longest one of this window and the one before.
    fn record(&mut self, now: Millis, timeout: Millis) -> Millis {
        if now.since(self.window_began) >= WINDOW {
            self.window_began = now;
            self.previous = std::mem::take(&mut self.current);
        }
        self.current = self.current.max(timeout);
        self.current.max(self.previous)
    }
}

/// The timeouts of first attempts, as shares of the longest one on their route.
#[derive(Debug, Default)]
struct FirstAttempts {
    /// How many had a share of each class.
    counts: [u32; SHARE_CLASSES],
}

impl FirstAttempts {
    fn record(&mut self, share: f64) {
        let class = (share * SHARE_CLASSES as f64) as usize;
        self.counts[class.min(SHARE_CLASSES - 1)] += 1;
        if self.counts.iter().sum::<u32>() >= OBSERVED_MAX {
            self.counts.iter_mut().for_each(|count| *count /= 2);
        }
    }

    /// Returns the share below which a caller counts as returning.
    fn returning_share(&self) -> f64 {
        let observed: u32 = self.counts.iter().sum();
        if observed < OBSERVED_MIN {
            return RETURNING_SHARE;
        }
        let mut below = 0;
        let lowest = self.counts.iter().position(|count| {
            below += count;
            below * MISTAKEN_DIVISOR > observed
        });
        let share = lowest.unwrap_or_default() as f64 / SHARE_CLASSES as f64;
        share.clamp(RETURNING_SHARE_MIN, RETURNING_SHARE)
    }
}

/// The timeouts of the callers of all routes.
#[derive(Debug, Default)]
pub struct CallerTimeouts {
    routes: Map<Arc<str>, Longest>,
    first_attempts: FirstAttempts,
    /// When a caller was last refused; `None` if none has been.
    refused_at: Option<Millis>,
}

impl CallerTimeouts {
    /// Records that a caller was refused and may come back.
    pub fn record_refusal(&mut self, now: Millis) {
        self.refused_at = Some(now);
    }

    /// Records the timeout of a caller; returns whether the caller seems to return.
    pub fn record(&mut self, now: Millis, route: &Arc<str>, timeout: Millis) -> bool {
        let longest = self.routes.entry(Arc::clone(route)).or_default();
        let longest = longest.record(now, timeout);
        let share = timeout.as_f64() / longest.as_f64().max(1.0);
        // Whoever was refused longer ago has come back or never will.
        let is_calm = self.refused_at.is_none_or(|at| now.since(at) > longest);
        if is_calm {
            self.first_attempts.record(share);
        }
        share < self.first_attempts.returning_share()
    }
}
