//! Settings of placement.

use sardinepin_common::Millis;

/// Settings of the planner of one group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementSettings {
    /// The weight of step-time skew.
    pub skew_weight: f64,
    /// The weight of the cost of moves.
    pub transfer_weight: f64,
    /// How long a gain is expected to last.
    pub horizon: Millis,
    /// The size of one expert of one layer, in bytes.
    pub expert_bytes: u64,
    /// What the weight store gives the group, in bytes a second.
    pub store_rate: u64,
    /// The pause that a switch is expected to cost.
    pub switch_pause: Millis,
    /// The most experts that one switch may load.
    pub batch_max: usize,
    /// The least gain in predicted skew for which a switch is proposed.
    pub gain_min: f64,
    /// The predicted skew up to which the map stays as it is.
    pub skew_allowed: f64,
    /// How long an expert that left a rank does not come back there.
    pub return_delay: Millis,
    /// The share of a new report in the estimate, at one report a second.
    pub report_weight: f64,
    /// How many reports ahead of the last one a map is planned.
    pub forecast_rounds: f64,
    /// The most maps that a decision may weigh.
    pub candidates_max: usize,
}

impl PlacementSettings {
    /// Returns settings for which a lagging step weighs more: the first sample preference.
    #[must_use]
    pub fn prefer_balance() -> Self {
        Self {
            skew_weight: 1.0,
            transfer_weight: 8.0,
            ..Self::default()
        }
    }

    /// Returns settings for which a pause weighs more: the second sample preference.
    #[must_use]
    pub fn prefer_stability() -> Self {
        Self {
            skew_weight: 1.0,
            transfer_weight: 30.0,
            gain_min: 0.05,
            skew_allowed: 1.1,
            ..Self::default()
        }
    }
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            skew_weight: 1.0,
            transfer_weight: 8.0,
            horizon: Millis(30_000),
            expert_bytes: 44_000_000,
            store_rate: 2_000_000_000,
            switch_pause: Millis(5),
            batch_max: 8,
            gain_min: 0.03,
            skew_allowed: 1.07,
            return_delay: Millis(300_000),
            report_weight: 0.1,
            forecast_rounds: 6.0,
            candidates_max: 400,
        }
    }
}
