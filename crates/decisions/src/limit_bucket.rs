//! The requests that the limit of one upstream allows, as the one node counts them that hands them out.

use sardinepin_common::Millis;

use crate::cold_bound::ColdBound;
use crate::heard_limit::HeardLimit;
use crate::token_bucket::{BucketSize, TokenBucket};

/// The time whose requests may be saved up for one moment.
const BURST_TIME: Millis = Millis(250);

/// The same while the upstream is cold.
const COLD_BURST_TIME: Millis = Millis(100);

/// The most requests on their way that are counted against a limit, as the time that they take up.
const DEBT_TIME: Millis = Millis(2_000);

/// Counts the requests that a limit allows.
#[derive(Debug, Default)]
pub struct LimitBucket {
    /// The limit in force.
    pub heard: HeardLimit,
    /// The bound in force while the upstream is cold.
    pub cold: ColdBound,
    bucket: TokenBucket,
    /// Whether the bucket has begun to fill since the limit was named.
    is_filled: bool,
}

impl LimitBucket {
    /// Takes a request out of the limit; fails with the time until the next one is allowed.
    ///
    /// # Errors
    ///
    /// Returns the time until the next request is allowed, if nobody else takes it.
    pub fn try_take(&mut self, now: Millis) -> Result<(), Millis> {
        let Some(size) = self.refill(now) else {
            return Ok(());
        };
        if self.bucket.try_take() {
            return Ok(());
        }
        Err(self.bucket.time_to_token(size.per_second))
    }

    /// Counts requests that were sent before their sender had heard of the limit.
    pub fn charge(&mut self, now: Millis, requests: u16) {
        if let Some(size) = self.refill(now) {
            let debt_max = size.per_second * DEBT_TIME.as_f64() / 1_000.0;
            let room = self.bucket.tokens_at(now, size) + debt_max;
            let debt = f64::from(requests).min(room.max(0.0));
            self.bucket.add(-debt, size.capacity);
        }
    }

    /// Returns how many requests a second may be sent: the lower of the limit and the cold bound. `None` if there is neither.
    #[must_use]
    pub fn per_second(&self, now: Millis) -> Option<f64> {
        let rates = [self.heard.per_second(), self.cold.per_second(now)];
        rates.into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Adds what has accrued; returns the size of the bucket, or `None` if there is no limit.
    fn refill(&mut self, now: Millis) -> Option<BucketSize> {
        let Some(per_second) = self.per_second(now) else {
            self.is_filled = false;
            return None;
        };
        if !self.is_filled {
            // What was sent before the limit was named is not known, so that it starts with nothing.
            self.bucket = TokenBucket::with_tokens(now, 0.0);
            self.is_filled = true;
        }
        let burst_time = match self.cold.per_second(now) {
            Some(_) => COLD_BURST_TIME,
            None => BURST_TIME,
        };
        let size = BucketSize {
            per_second,
            capacity: (per_second * burst_time.as_f64() / 1_000.0).max(1.0),
        };
        self.bucket.refill(now, size);
        Some(size)
    }
}
