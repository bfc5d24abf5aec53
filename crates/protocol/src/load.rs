//! Upstream state and load reports.

use serde::{Deserialize, Serialize};

/// The administrative state of an upstream, set by operators or reported by its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// Accepts new requests.
    #[default]
    Active,
    /// Finishes running requests and accepts no new ones.
    Draining,
    /// Not in use.
    Retired,
}

/// The load of an upstream at the time its agent sent the report.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Load {
    /// The number of attempts running at the upstream.
    pub running: u32,
    /// The number of attempts queued at the agent or the upstream.
    pub waiting: u32,
    /// The number of attempts that the upstream can run concurrently.
    pub slots: u32,
    /// The mean step time of the engine's slowest rank, in microseconds; 0 if it reports none.
    pub step_micros: u32,
    /// The step-time skew of the rank group, slowest rank divided by the mean, in thousandths; 0
    /// if the engine reports none.
    pub skew_milli: u32,
    /// The age of the engine's own report when the agent sent this one, in milliseconds.
    pub age_ms: u32,
}
