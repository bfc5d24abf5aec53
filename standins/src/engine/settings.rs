//! The settings of the engine.

use std::path::PathBuf;

use sardinepin_common::Millis;
use sardinepin_groups::Fencing;

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
    /// Whether the engine is a rank of a group, and steps only together with the others.
    pub ranked: bool,
    /// The time that a rank waits before a step while no rank has requests, in milliseconds.
    pub idle_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub fencing: Fencing,
    /// A file that keeps the gate over a restart.
    pub gate_file: Option<PathBuf>,
    /// How many bytes the engine reads from the weight store for a new map.
    pub map_bytes: u64,
    /// How many bytes the weight store gives each second.
    pub weights_rate: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 32,
            step_micros: 5_000,
            batch_micros: 50,
            prefill_micros: 200,
            cache_entries: 256,
            ranked: false,
            idle_ms: 20,
            fencing: Fencing::Enforced,
            gate_file: None,
            map_bytes: 100_000_000,
            weights_rate: 1_000_000_000,
        }
    }
}

impl Settings {
    /// Returns how long the weights of a new map take to load.
    pub(super) fn load_time(&self) -> Millis {
        Millis(self.map_bytes * 1_000 / self.weights_rate.max(1))
    }

    /// Returns the time that a prompt of this many bytes adds to its first step.
    pub(super) fn prefill_micros(&self, bytes: usize, cached: bool) -> u64 {
        if cached {
            0
        } else {
            bytes as u64 * self.prefill_micros / 1_024
        }
    }
}
