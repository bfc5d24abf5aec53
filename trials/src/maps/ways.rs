//! The ways that are compared.

use sardinepin_common::Millis;
use sardinepin_groups::{PopularitySettings, RebalanceSettings};

use crate::maps::traffic::{EXPERTS, LAYERS, PLACES};

/// A distance between counts that is never reached.
const NEVER: f64 = 3.0;

/// More loads than a change can have.
const ANY: usize = LAYERS * EXPERTS;

/// One way to change the maps.
#[derive(Debug, Clone)]
pub(crate) struct Way {
    pub(crate) name: &'static str,
    /// What a plan may do; `None` if the maps stay.
    pub(crate) plan: Option<RebalanceSettings>,
    pub(crate) popularity: PopularitySettings,
    /// The pause between a switch and the next plan.
    pub(crate) settle: Millis,
    /// Whether plans know the counts to come, and loads take no time.
    pub(crate) ideal: bool,
}

/// Returns the ways, the plain ones first; `plan` is what the product's plans may do.
pub(crate) fn ways(plan: RebalanceSettings) -> Vec<Way> {
    let before = Way {
        name: "before",
        plan: Some(RebalanceSettings {
            rank_slots: PLACES,
            rank_transfers: 2,
            transfer_gain: 0.004,
            change_gain: 0.02,
            ..RebalanceSettings::default()
        }),
        popularity: PopularitySettings {
            shift_threshold: NEVER,
            ..PopularitySettings::default()
        },
        settle: Millis(100),
        ideal: false,
    };
    let product = Way {
        name: "product",
        plan: Some(RebalanceSettings {
            rank_slots: PLACES,
            ..plan
        }),
        popularity: PopularitySettings::default(),
        settle: Millis::ZERO,
        ideal: false,
    };
    let all = RebalanceSettings {
        rank_transfers: ANY,
        ..plan_of(&product)
    };
    vec![
        Way {
            name: "static",
            plan: None,
            ..before.clone()
        },
        before,
        Way {
            name: "two_loads",
            plan: Some(RebalanceSettings {
                rank_transfers: 2,
                ..plan_of(&product)
            }),
            ..product.clone()
        },
        Way {
            name: "no_shift",
            popularity: PopularitySettings {
                shift_threshold: NEVER,
                ..PopularitySettings::default()
            },
            ..product.clone()
        },
        product.clone(),
        Way {
            name: "full",
            plan: Some(all),
            ..product.clone()
        },
        Way {
            name: "ideal",
            plan: Some(RebalanceSettings {
                layer_transfers: ANY,
                change_gain: 0.0,
                ..all
            }),
            ideal: true,
            ..product
        },
    ]
}

fn plan_of(way: &Way) -> RebalanceSettings {
    way.plan.unwrap_or_default()
}
