//! Tests of changes to the maps of a group with many ranks, layers and experts.

use rand::Rng as _;
use rand::seq::SliceRandom as _;
use sardinepin_common::seeded_rng;
use sardinepin_groups::{LayerMap, RebalanceSettings, map_skew, plan_rebalance};

const RANKS: usize = 96;
const LAYERS: usize = 16;
const EXPERTS: usize = 192;

/// The settings of a group whose ranks have room for three experts of a layer, and of which each loads eight within a change.
fn settings() -> RebalanceSettings {
    RebalanceSettings {
        rank_slots: 3,
        layer_transfers: 2,
        rank_transfers: 8,
        ..RebalanceSettings::default()
    }
}

fn round_robin_maps() -> Vec<LayerMap> {
    let rank = |rank: usize| {
        let held = (0..EXPERTS).filter(|expert| expert % RANKS == rank);
        held.map(|expert| expert as u16).collect()
    };
    vec![(0..RANKS).map(rank).collect(); LAYERS]
}

/// Draws a demand in which a few experts of each layer get a large part of the tokens.
fn draw_demand(seed: u64) -> Vec<Vec<f64>> {
    let mut rng = seeded_rng(seed);
    let mut layer = || {
        let weight = |place: usize| (place as f64 + 1.0).powf(-0.7) * rng.random_range(0.8..1.2);
        let mut weights: Vec<f64> = (0..EXPERTS).map(weight).collect();
        weights.shuffle(&mut rng);
        weights
    };
    (0..LAYERS).map(|_| layer()).collect()
}

/// After a shift a group has room for one change before the next: its ranks load side by side, so that each can use its room.
#[test]
fn one_change_leaves_little_skew_in_a_large_group() {
    for seed in 1..=3 {
        let demand = draw_demand(seed);
        let layers = round_robin_maps();
        let change = plan_rebalance(&settings(), &layers, &demand, &[]).unwrap();
        let skew = map_skew(&change.layers, &demand);
        assert!(change.skew_before > 5.0, "{}", change.skew_before);
        assert!(skew < 1.5, "{skew}");
        assert!(change.rank_transfers <= 4 * settings().rank_transfers);
    }
}
