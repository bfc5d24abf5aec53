//! The strategies that the trial compares.

use sardinepin_common::Millis;
use sardinepin_groups::{PopularitySettings, RebalanceSettings};

use crate::maps::traffic::GroupShape;

/// A shift threshold above every possible distance between counts, so that no shift is detected.
const NO_SHIFT_DETECTION: f64 = 3.0;

/// A strategy for changing the expert maps.
#[derive(Debug, Clone)]
pub(crate) struct Strategy {
    pub(crate) name: &'static str,
    /// The planner's settings; `None` if the maps never change.
    pub(crate) rebalance: Option<RebalanceSettings>,
    pub(crate) popularity: PopularitySettings,
    /// The pause between a switch and the next plan.
    pub(crate) plan_pause: Millis,
    /// Whether plans know the counts of the next sample, and transfers take no time.
    pub(crate) is_ideal: bool,
}

/// Returns all strategies, the simplest first; `settings` are those of the product's planner.
pub(crate) fn strategies(settings: RebalanceSettings, shape: GroupShape) -> Vec<Strategy> {
    // No plan reaches this limit.
    let unlimited_transfers = shape.layers * shape.experts;
    let earlier_planner = Strategy {
        name: "before",
        rebalance: Some(RebalanceSettings {
            rank_slots: shape.rank_slots,
            layer_transfers: shape.layer_transfers,
            rank_transfers: 2,
            transfer_gain: 0.032,
            change_gain: 0.02,
        }),
        popularity: PopularitySettings {
            shift_threshold: NO_SHIFT_DETECTION,
            ..PopularitySettings::default()
        },
        plan_pause: Millis(100),
        is_ideal: false,
    };
    let product_planner = Strategy {
        name: "product",
        rebalance: Some(RebalanceSettings {
            rank_slots: shape.rank_slots,
            layer_transfers: shape.layer_transfers,
            ..settings
        }),
        popularity: PopularitySettings::default(),
        plan_pause: Millis::ZERO,
        is_ideal: false,
    };
    let unlimited = RebalanceSettings {
        rank_transfers: unlimited_transfers,
        ..rebalance_of(&product_planner)
    };
    vec![
        Strategy {
            name: "static",
            rebalance: None,
            ..earlier_planner.clone()
        },
        earlier_planner,
        Strategy {
            name: "two_loads",
            rebalance: Some(RebalanceSettings {
                rank_transfers: 2,
                ..rebalance_of(&product_planner)
            }),
            ..product_planner.clone()
        },
        Strategy {
            name: "no_shift",
            popularity: PopularitySettings {
                shift_threshold: NO_SHIFT_DETECTION,
                ..PopularitySettings::default()
            },
            ..product_planner.clone()
        },
        product_planner.clone(),
        Strategy {
            name: "full",
            rebalance: Some(unlimited),
            ..product_planner.clone()
        },
        Strategy {
            name: "ideal",
            rebalance: Some(RebalanceSettings {
                layer_transfers: unlimited_transfers,
                change_gain: 0.0,
                ..unlimited
            }),
            is_ideal: true,
            ..product_planner
        },
    ]
}

fn rebalance_of(strategy: &Strategy) -> RebalanceSettings {
    strategy.rebalance.unwrap_or_default()
}
