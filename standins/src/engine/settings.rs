//! The settings of the engine.

use std::path::PathBuf;

use sardinepin_common::Millis;
use sardinepin_groups::Fencing;

/// Settings of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The maximum number of requests in one step.
    pub slots: usize,
    /// The base duration of a step, in microseconds.
    pub step_micros: u64,
    /// The time that each request in the batch adds to a step, in microseconds.
    pub batch_micros: u64,
    /// The time that each KiB of an uncached prompt adds to one step, in microseconds.
    pub prefill_micros: u64,
    /// The capacity of the prefix cache, in prefixes.
    pub cache_entries: usize,
    /// Whether the engine is a rank of a group and steps in lockstep with the other ranks.
    pub ranked: bool,
    /// The delay of a rank before a step while no rank has requests, in milliseconds.
    pub idle_ms: u64,
    /// Whether orders with a stale fencing term are rejected.
    pub fencing: Fencing,
    /// A file that preserves the gate across a restart; `None` keeps it in memory only.
    pub gate_file: Option<PathBuf>,
    /// The size of the weights that a new map loads, in bytes.
    pub map_bytes: u64,
    /// The throughput of the weight store, in bytes per second.
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
    /// Returns the time to load the weights of a new map.
    pub(super) fn load_time(&self) -> Millis {
        Millis(self.map_bytes * 1_000 / self.weights_rate.max(1))
    }

    /// Returns the time that a request body of `bytes` bytes adds to its first step; 0 if the
    /// prefix is cached.
    pub(super) fn prefill_micros(&self, bytes: usize, cached: bool) -> u64 {
        if cached {
            0
        } else {
            bytes as u64 * self.prefill_micros / 1_024
        }
    }
}
