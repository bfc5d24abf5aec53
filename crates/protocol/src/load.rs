//! What an agent says about its upstream.

use serde::{Deserialize, Serialize};

/// The state of an upstream as operators set it or as its agent says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// Takes new work.
    #[default]
    Active,
    /// Finishes what it has and takes no new work.
    Draining,
    /// Is out of use.
    Retired,
}

/// A report of an upstream's load, as of when the agent sent it.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Attempts that run at the upstream.
    pub running: u32,
    /// Attempts that wait at the agent or the upstream.
    pub waiting: u32,
    /// How many attempts the upstream runs at once.
    pub slots: u32,
    /// The mean step time of the engine's slowest rank, in microseconds; 0 if it has none.
    pub step_micros: u32,
    /// The skew of the rank group, slowest rank by mean, in thousandths; 0 if it has none.
    pub skew_milli: u32,
    /// How old the engine's own report was when the agent sent this one, in milliseconds.
    pub age_ms: u32,
}
