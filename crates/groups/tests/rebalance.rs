//! Tests of rebalancing under a popularity that shifts, with few transfers at a time.

use sardinepin_common::Millis;
use sardinepin_groups::{
    LayerMap, Popularity, PopularitySettings, RebalanceSettings, map_skew, plan_rebalance,
};

const RANKS: usize = 8;
const EXPERTS: usize = 64;

/// Returns the initial map of the engines, with experts assigned to ranks round-robin.
fn round_robin_map() -> LayerMap {
    (0..RANKS)
        .map(|rank| {
            (0..EXPERTS)
                .filter(|at| at % RANKS == rank)
                .map(|at| at as u16)
                .collect()
        })
        .collect()
}

/// Returns a demand in which a few experts, the first of them `first`, receive most of the tokens.
fn skewed_demand(first: usize) -> Vec<f64> {
    let mut demand = vec![1.0; EXPERTS];
    for (place, weight) in [60.0, 30.0, 15.0, 8.0, 4.0].into_iter().enumerate() {
        demand[(first + place * 7) % EXPERTS] += weight;
    }
    demand
}

fn transfers_by_rank(before: &[LayerMap], after: &[LayerMap]) -> Vec<usize> {
    let mut loads = vec![0; RANKS];
    for (old, new) in before.iter().zip(after) {
        for (rank, experts) in new.iter().enumerate() {
            loads[rank] += experts
                .iter()
                .filter(|one| !old[rank].contains(one))
                .count();
        }
    }
    loads
}

#[test]
fn repeated_changes_reduce_the_skew_within_the_transfer_limit() {
    let settings = RebalanceSettings::default();
    let demand = vec![skewed_demand(3), skewed_demand(20)];
    let mut layers = vec![round_robin_map(), round_robin_map()];
    let before = map_skew(&layers, &demand);
    for _ in 0..12 {
        let Some(change) = plan_rebalance(&settings, &layers, &demand) else {
            break;
        };
        assert!(change.skew_after < change.skew_before);
        let transfers = transfers_by_rank(&layers, &change.layers);
        assert!(
            transfers
                .iter()
                .all(|count| *count <= settings.rank_transfers),
            "{transfers:?}"
        );
        assert_eq!(transfers.iter().sum::<usize>(), change.transfers);
        layers = change.layers;
    }
    let after = map_skew(&layers, &demand);
    assert!(before > 3.0, "{before}");
    assert!(after < 1.25, "{after}");
}

#[test]
fn every_map_holds_every_expert_within_the_slots_of_each_rank() {
    let settings = RebalanceSettings::default();
    let mut layers = vec![round_robin_map()];
    for first in [1, 17, 40, 5, 33] {
        let demand = vec![skewed_demand(first)];
        for _ in 0..6 {
            let Some(change) = plan_rebalance(&settings, &layers, &demand) else {
                break;
            };
            layers = change.layers;
            let map = &layers[0];
            assert!(
                map.iter()
                    .all(|experts| experts.len() <= settings.rank_slots)
            );
            let held = |expert| map.iter().any(|experts| experts.contains(&expert));
            assert!((0..EXPERTS as u16).all(held));
        }
    }
}

#[test]
fn a_balanced_load_causes_no_change() {
    let demand = vec![vec![1.0; EXPERTS]];
    assert_eq!(
        plan_rebalance(&RebalanceSettings::default(), &[round_robin_map()], &demand),
        None
    );
    assert_eq!(
        plan_rebalance(&RebalanceSettings::default(), &[], &[]),
        None
    );
}

#[test]
fn no_demand_causes_no_change() {
    let demand = vec![vec![0.0; EXPERTS]];
    assert_eq!(
        plan_rebalance(&RebalanceSettings::default(), &[round_robin_map()], &demand),
        None
    );
}

/// How long a rank takes to load one expert.
const LOAD_TIME: Millis = Millis(150);

/// How long a switch takes in addition to loading experts.
const SWITCH_TIME: Millis = Millis(80);

/// Returns the time-weighted mean skew over the first two seconds after a shift of popularity.
fn mean_skew_after_shift(settings: &RebalanceSettings) -> f64 {
    let before = vec![skewed_demand(3), skewed_demand(20), skewed_demand(40)];
    let after = vec![skewed_demand(13), skewed_demand(30), skewed_demand(50)];
    let mut layers = vec![round_robin_map(), round_robin_map(), round_robin_map()];
    while let Some(change) = plan_rebalance(settings, &layers, &before) {
        layers = change.layers;
    }
    let (mut at, end, mut sum) = (Millis::ZERO, Millis(2_000), 0.0);
    while at < end {
        let skew = map_skew(&layers, &after);
        let change = plan_rebalance(settings, &layers, &after);
        let time = change.as_ref().map_or(end.since(at), |change| {
            Millis(LOAD_TIME.0 * change.rank_transfers as u64) + SWITCH_TIME
        });
        let time = time.min(end.since(at));
        sum += skew * time.as_f64();
        at = at + time;
        layers = change.map_or(layers, |change| change.layers);
    }
    sum / end.as_f64()
}

#[test]
fn small_changes_reduce_the_skew_after_a_shift_sooner_than_large_ones() {
    let small = mean_skew_after_shift(&RebalanceSettings::default());
    let large = mean_skew_after_shift(&RebalanceSettings {
        rank_transfers: 2,
        ..RebalanceSettings::default()
    });
    assert!(small < large, "{small} {large}");
}

#[test]
fn every_change_reduces_the_skew_by_a_minimum() {
    let settings = RebalanceSettings::default();
    let demand = vec![skewed_demand(3), skewed_demand(20)];
    let mut layers = vec![round_robin_map(), round_robin_map()];
    while let Some(change) = plan_rebalance(&settings, &layers, &demand) {
        assert!(change.skew_before - change.skew_after >= 0.03, "{change:?}");
        layers = change.layers;
    }
}

/// Returns the cumulative counts of one rank after `first` observations of one demand and `second` of
/// another.
fn counts(first: usize, second: usize) -> Vec<u64> {
    let sum = skewed_demand(3)
        .into_iter()
        .zip(skewed_demand(20))
        .map(|(one, other)| one * first as f64 + other * second as f64);
    sum.map(|count| count as u64).collect()
}

#[test]
fn counts_from_before_a_shift_are_discarded() {
    let mut popularity = Popularity::default();
    for round in 0..10_usize {
        let (first, second) = (round.min(8), round.saturating_sub(8));
        let at = Millis(100 * round as u64);
        popularity.record_counts(at, 1, &[Some(counts(first, second))], EXPERTS);
    }
    let demand = popularity.demand(1, EXPERTS).expect("counts are known");
    assert!(demand[0][3] <= 1.0 && demand[0][20] >= 60.0, "{demand:?}");
}

#[test]
fn counts_of_a_steady_popularity_decay_by_half_life() {
    let mut popularity = Popularity::new(PopularitySettings {
        half_life: Millis(100),
        ..PopularitySettings::default()
    });
    for round in 0..4_usize {
        let at = Millis(100 * round as u64);
        popularity.record_counts(at, 1, &[Some(counts(round, 0))], EXPERTS);
    }
    let demand = popularity.demand(1, EXPERTS).expect("counts are known");
    assert!(demand[0][3] > 100.0 && demand[0][3] < 110.0, "{demand:?}");
    assert_eq!(popularity.observation_time(), Millis(300));
    assert_eq!(popularity.demand(2, EXPERTS), None);
}

#[test]
fn a_new_epoch_discards_earlier_counts() {
    let mut popularity = Popularity::default();
    popularity.record_counts(Millis(0), 1, &[Some(counts(0, 0))], EXPERTS);
    popularity.record_counts(Millis(100), 1, &[Some(counts(5, 0))], EXPERTS);
    popularity.record_counts(Millis(200), 2, &[Some(counts(1, 0))], EXPERTS);
    assert_eq!(popularity.demand(1, EXPERTS), None);
    assert_eq!(popularity.observation_time(), Millis::ZERO);
}
