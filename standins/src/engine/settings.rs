//! The settings of the engine.

/// Settings of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The most requests in one step.
    pub slots: usize,
    /// The time of a step, in microseconds.
    pub step_micros: u64,
    /// The time that each request in the batch adds to a step, in microseconds.
    pub batch_micros: u64,
    /// The time that a kibibyte of a prompt outside the cache adds to one step, in microseconds.
    pub prefill_micros: u64,
    /// How many prefixes the cache holds.
    pub cache_entries: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 32,
            step_micros: 5_000,
            batch_micros: 50,
            prefill_micros: 200,
            cache_entries: 256,
        }
    }
}

impl Settings {
    /// Returns the time that a prompt of this many bytes adds to its first step.
    pub(super) fn prefill_micros(&self, bytes: usize, cached: bool) -> u64 {
        if cached {
            0
        } else {
            bytes as u64 * self.prefill_micros / 1_024
        }
    }
}
