//! Settings of placement.

use sardinepin_common::Millis;

/// Settings of the planner of one group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementSettings {
    /// The weight of step-time skew.
    pub skew_weight: f64,
    /// The weight of the cost of moves.
    pub moves_weight: f64,
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
    pub return_hold: Millis,
    /// The share of a new report in the estimate, at one report a second.
    pub report_share: f64,
    /// How many reports ahead of the last one a map is planned.
    pub report_ahead: f64,
    /// The most maps that a decision may weigh.
    pub trials_max: usize,
}

impl PlacementSettings {
    /// Returns settings for which a lagging step weighs more: the first sample preference.
    #[must_use]
    pub fn skew_first() -> Self {
        Self {
            skew_weight: 1.0,
            moves_weight: 8.0,
            ..Self::default()
        }
    }

    /// Returns settings for which a pause weighs more: the second sample preference.
    #[must_use]
    pub fn moves_first() -> Self {
        Self {
            skew_weight: 1.0,
            moves_weight: 30.0,
            ..Self::default()
        }
    }
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            skew_weight: 1.0,
            moves_weight: 8.0,
            horizon: Millis(30_000),
            expert_bytes: 44_000_000,
            store_rate: 2_000_000_000,
            switch_pause: Millis(5),
            batch_max: 8,
            gain_min: 0.03,
            skew_allowed: 1.07,
            return_hold: Millis(300_000),
            report_share: 0.1,
            report_ahead: 6.0,
            trials_max: 400,
        }
    }
}
