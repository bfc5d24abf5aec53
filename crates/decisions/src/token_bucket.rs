//! Token buckets, by which rates are bounded.
//!
//! A bucket that starts empty bounds what is taken from it in any window, whatever was taken before: at most its capacity and what
//! accrued within the window. So a process that restarts needs no memory of what it took.

use sardinepin_common::Millis;

/// The rate and the capacity of a bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketSize {
    /// The tokens that accrue in a second.
    pub per_second: f64,
    /// The most tokens that it holds.
    pub capacity: f64,
}

/// What counts as a whole token: parts that add up to one may fall short of it by rounding.
pub(crate) const WHOLE_TOKEN: f64 = 1.0 - 1e-9;

/// A token bucket.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Returns a bucket that holds `tokens`.
    #[must_use]
    pub fn with_tokens(now: Millis, tokens: f64) -> Self {
        Self {
            tokens,
            refilled_at: now,
        }
    }

    /// Returns how many tokens the bucket holds at `now`.
    #[must_use]
    pub fn tokens_at(&self, now: Millis, size: BucketSize) -> f64 {
        let accrued = now.since(self.refilled_at).as_f64() * size.per_second / 1_000.0;
        (self.tokens + accrued).min(size.capacity)
    }

    /// Adds the tokens that have accrued, and drops those beyond the capacity.
    pub fn refill(&mut self, now: Millis, size: BucketSize) {
        self.tokens = self.tokens_at(now, size);
        self.refilled_at = now;
    }

    /// Adds tokens, up to the capacity.
    pub fn add(&mut self, tokens: f64, capacity: f64) {
        self.tokens = (self.tokens + tokens).min(capacity);
    }

    /// Takes a token if there is one; returns whether there was. Call `refill` before it.
    pub fn try_take(&mut self) -> bool {
        let available = self.tokens >= WHOLE_TOKEN;
        if available {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
        available
    }

    /// Returns how long it takes until a token has accrued, if none is taken meanwhile.
    #[must_use]
    pub fn time_to_token(&self, per_second: f64) -> Millis {
        let missing = (1.0 - self.tokens).max(0.0);
        if missing == 0.0 {
            return Millis::ZERO;
        }
        Millis((missing * 1_000.0 / per_second).ceil() as u64)
    }
}
