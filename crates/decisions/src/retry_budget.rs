//! The retry budget of a service, earned as a share of its first attempts.

/// The maximum number of retries that accumulate.
const RETRIES_MAX: f32 = 100.0;

/// The number of retries that a service starts with.
const RETRIES_INITIAL: f32 = 10.0;

/// The retry budget of a service.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    ratio: f32,
    remaining: f32,
}

impl RetryBudget {
    /// Creates a budget; `milli` is the number of retries per first attempt, in thousandths.
    pub(crate) fn new(milli: u32) -> Self {
        Self {
            ratio: milli as f32 / 1_000.0,
            remaining: if milli == 0 { 0.0 } else { RETRIES_INITIAL },
        }
    }

    /// Changes the ratio, in thousandths; 0 also empties the budget.
    pub(crate) fn set_ratio(&mut self, milli: u32) {
        self.ratio = milli as f32 / 1_000.0;
        if milli == 0 {
            self.remaining = 0.0;
        }
    }

    /// Records the first attempt of a request.
    pub(crate) fn record_send(&mut self) {
        self.remaining = (self.remaining + self.ratio).min(RETRIES_MAX);
    }

    /// Returns the number of remaining retries.
    pub(crate) fn remaining(&self) -> u32 {
        self.remaining as u32
    }

    /// Spends a retry and returns whether one was left.
    pub(crate) fn try_spend(&mut self) -> bool {
        let available = self.remaining() > 0;
        if available {
            self.remaining -= 1.0;
        }
        available
    }
}
