//! The retry budget of a service: a share of its sends.

/// The retries that may be saved up.
const SAVED_MAX: f32 = 100.0;

/// The retries that a service starts with.
const SAVED_FIRST: f32 = 10.0;

/// How many retries a service has left.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    share: f32,
    left: f32,
}

impl RetryBudget {
    /// Makes a budget; `milli` is the share of retries among sends, in thousandths.
    pub(crate) fn new(milli: u32) -> Self {
        Self {
            share: milli as f32 / 1_000.0,
            left: if milli == 0 { 0.0 } else { SAVED_FIRST },
        }
    }

    /// Changes the share.
    pub(crate) fn set(&mut self, milli: u32) {
        self.share = milli as f32 / 1_000.0;
        if milli == 0 {
            self.left = 0.0;
        }
    }

    /// Counts the first send of a request.
    pub(crate) fn sent(&mut self) {
        self.left = (self.left + self.share).min(SAVED_MAX);
    }

    /// Returns how many retries are left.
    pub(crate) fn left(&self) -> u32 {
        self.left as u32
    }

    /// Takes a retry, if one is left.
    pub(crate) fn spend(&mut self) -> bool {
        let has = self.left() > 0;
        if has {
            self.left -= 1.0;
        }
        has
    }
}
