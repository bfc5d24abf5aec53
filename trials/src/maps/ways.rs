//! The ways that are compared.

use sardinepin_common::Millis;
use sardinepin_groups::{EvenSettings, PopularitySettings};

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
    pub(crate) plan: Option<EvenSettings>,
    pub(crate) popularity: PopularitySettings,
    /// The pause between a switch and the next plan.
    pub(crate) settle: Millis,
    /// Whether plans know the counts to come, and loads take no time.
    pub(crate) ideal: bool,
}

/// Returns the ways, the plain ones first; `plan` is what the product's plans may do.
pub(crate) fn ways(plan: EvenSettings) -> Vec<Way> {
    let before = Way {
        name: "before",
        plan: Some(EvenSettings {
            places: PLACES,
            rank_loads: 2,
            load_gain: 0.004,
            change_gain: 0.02,
            ..EvenSettings::default()
        }),
        popularity: PopularitySettings {
            shift: NEVER,
            ..PopularitySettings::default()
        },
        settle: Millis(100),
        ideal: false,
    };
    let product = Way {
        name: "product",
        plan: Some(EvenSettings {
            places: PLACES,
            ..plan
        }),
        popularity: PopularitySettings::default(),
        settle: Millis::ZERO,
        ideal: false,
    };
    let all = EvenSettings {
        rank_loads: ANY,
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
            plan: Some(EvenSettings {
                rank_loads: 2,
                ..plan_of(&product)
            }),
            ..product.clone()
        },
        Way {
            name: "no_shift",
            popularity: PopularitySettings {
                shift: NEVER,
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
            plan: Some(EvenSettings {
                layer_loads: ANY,
                change_gain: 0.0,
                ..all
            }),
            ideal: true,
            ..product
        },
    ]
}

fn plan_of(way: &Way) -> EvenSettings {
    way.plan.unwrap_or_default()
}
