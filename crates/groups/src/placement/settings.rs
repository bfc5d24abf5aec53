//! Settings of expert placement.

use sardinepin_common::Millis;

/// Settings of the planner of one group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementSettings {
    /// The weight of saved skew against the cost of a change.
    pub skew_weight: f64,
    /// The weight of the time that a change takes to load experts and to switch.
    pub transfer_weight: f64,
    /// How long the gain of a change is expected to last.
    pub horizon: Millis,
    /// The size of one expert of one layer, in bytes.
    pub expert_bytes: u64,
    /// The rate at which the weight store serves the group, in bytes per second.
    pub store_rate: u64,
    /// The expected pause of the group during a switch.
    pub switch_pause: Millis,
    /// The most experts that one switch loads.
    pub batch_max: usize,
    /// The least reduction of the predicted skew for which a switch is proposed.
    pub gain_min: f64,
    /// The predicted skew up to which the map is kept.
    pub skew_allowed: f64,
    /// How long an expert that left a rank is not placed there again.
    pub return_delay: Millis,
    /// The weight of a new report in the load estimate, at one report per second.
    pub report_weight: f64,
    /// How many rounds of reports after the last one the load is forecast for a plan.
    pub forecast_rounds: f64,
    /// The most candidate changes that one decision evaluates.
    pub candidates_max: usize,
}

impl PlacementSettings {
    /// Returns settings that put low skew before few changes: the first sample preference.
    #[must_use]
    pub fn prefer_balance() -> Self {
        Self {
            skew_weight: 1.0,
            transfer_weight: 8.0,
            ..Self::default()
        }
    }

    /// Returns settings that put few pauses before low skew: the second sample preference.
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
