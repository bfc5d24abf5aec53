//! The policies of a rank agent and their parameters.

use sardinepin_common::Millis;
use sardinepin_decisions::AdmissionSettings;
use sardinepin_groups::{PopularitySettings, RebalanceSettings};
use serde::{Deserialize, Serialize};

/// The policies by which an agent coordinates its group.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RankPolicy {
    /// Whether expert maps are changed at all.
    pub rebalances: bool,
    /// The interval between two polls of a group.
    pub poll_interval: Millis,
    /// The most members that a coordinator calls itself; in a larger group members pass its calls on.
    pub direct_members: usize,
    /// How long expert counts are observed before the first plan.
    pub min_observation: Millis,
    /// The longest time that one change may load experts, unless a single expert takes longer. After
    /// a shift of popularity, several small changes reduce the skew sooner than a large one.
    pub change_load_time: Millis,
    /// How popularity is derived from counts.
    pub popularity: PopularitySettings,
    /// The least gain of one transfer, relative to the mean expert work of a rank in a step and divided by the
    /// number of ranks.
    pub transfer_gain: f64,
    /// The least gain of a whole change, relative to the expert work of the slowest ranks in a step.
    pub change_gain: f64,
    /// How the admission level of a group is decided.
    pub admission: AdmissionSettings,
}

impl Default for RankPolicy {
    fn default() -> Self {
        let rebalance = RebalanceSettings::default();
        Self {
            rebalances: true,
            poll_interval: Millis(100),
            direct_members: 40,
            min_observation: Millis::ZERO,
            change_load_time: Millis(160),
            popularity: PopularitySettings::default(),
            transfer_gain: rebalance.transfer_gain,
            change_gain: rebalance.change_gain,
            admission: AdmissionSettings::default(),
        }
    }
}
