//! The retry budget of a service: a share of its sends.

/// The retries that may be saved up.
const RETRIES_MAX: f32 = 100.0;

/// The retries that a service starts with.
const RETRIES_INITIAL: f32 = 10.0;

/// How many retries a service has left.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    ratio: f32,
    remaining: f32,
}

impl RetryBudget {
    /// Makes a budget; `milli` is the share of retries among sends, in thousandths.
    pub(crate) fn new(milli: u32) -> Self {
        Self {
            ratio: milli as f32 / 1_000.0,
            remaining: if milli == 0 { 0.0 } else { RETRIES_INITIAL },
        }
    }

    /// Changes the share.
    pub(crate) fn set_ratio(&mut self, milli: u32) {
        self.ratio = milli as f32 / 1_000.0;
        if milli == 0 {
            self.remaining = 0.0;
        }
    }

    /// Counts the first send of a request.
    pub(crate) fn record_send(&mut self) {
        self.remaining = (self.remaining + self.ratio).min(RETRIES_MAX);
    }

    /// Returns how many retries are left.
    pub(crate) fn remaining(&self) -> u32 {
        self.remaining as u32
    }

    /// Takes a retry, if one is left.
    pub(crate) fn try_spend(&mut self) -> bool {
        let has = self.remaining() > 0;
        if has {
            self.remaining -= 1.0;
        }
        has
    }
}
