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
        let Some(change) = plan_rebalance(&settings, &layers, &demand, &[]) else {
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
            let Some(change) = plan_rebalance(&settings, &layers, &demand, &[]) else {
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
        plan_rebalance(
            &RebalanceSettings::default(),
            &[round_robin_map()],
            &demand,
            &[]
        ),
        None
    );
    assert_eq!(
        plan_rebalance(&RebalanceSettings::default(), &[], &[], &[]),
        None
    );
}

#[test]
fn no_demand_causes_no_change() {
    let demand = vec![vec![0.0; EXPERTS]];
    assert_eq!(
        plan_rebalance(
            &RebalanceSettings::default(),
            &[round_robin_map()],
            &demand,
            &[]
        ),
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
    while let Some(change) = plan_rebalance(settings, &layers, &before, &[]) {
        layers = change.layers;
    }
    let (mut at, end, mut sum) = (Millis::ZERO, Millis(2_000), 0.0);
    while at < end {
        let skew = map_skew(&layers, &after);
        let change = plan_rebalance(settings, &layers, &after, &[]);
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
    while let Some(change) = plan_rebalance(&settings, &layers, &demand, &[]) {
        assert!(change.skew_before - change.skew_after >= 0.03, "{change:?}");
        layers = change.layers;
    }
}

/// Returns the increases of one rank's counts after `rounds` observations of the demand of an expert.
fn increments(expert: usize, rounds: usize) -> Vec<u32> {
    let demand = skewed_demand(expert).into_iter();
    demand.map(|count| count as u32 * rounds as u32).collect()
}

#[test]
fn counts_from_before_a_shift_are_discarded() {
    let mut popularity = Popularity::default();
    for round in 0..9_usize {
        let expert = if round < 8 { 3 } else { 20 };
        let at = Millis(100 * round as u64);
        popularity.record_increments(at, 1, 1, &[increments(expert, 1)], EXPERTS);
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
    for round in 0..3_usize {
        let at = Millis(100 * round as u64);
        popularity.record_increments(at, 1, 1, &[increments(3, 1)], EXPERTS);
    }
    let demand = popularity.demand(1, EXPERTS).expect("counts are known");
    assert!(demand[0][3] > 100.0 && demand[0][3] < 110.0, "{demand:?}");
    assert_eq!(popularity.observation_time(), Millis(200));
    assert_eq!(popularity.demand(2, EXPERTS), None);
}

#[test]
fn what_was_popular_is_remembered_when_a_group_forms_again_until_it_is_counted() {
    let mut popularity = Popularity::default();
    popularity.record_increments(Millis(0), 1, 1, &[increments(3, 1)], EXPERTS);
    popularity.record_increments(Millis(100), 1, 1, &[increments(3, 5)], EXPERTS);
    popularity.record_increments(Millis(200), 2, 1, &[], EXPERTS);
    let remembered = popularity
        .demand(1, EXPERTS)
        .expect("counts are remembered");
    assert!(remembered[0][3] > 100.0, "{remembered:?}");
    assert_eq!(popularity.observation_time(), Millis::ZERO);
    popularity.record_increments(Millis(300), 2, 1, &[increments(20, 1)], EXPERTS);
    let counted = popularity.demand(1, EXPERTS).expect("counts are known");
    assert!(
        counted[0][3] <= 1.0 && counted[0][20] >= 60.0,
        "{counted:?}"
    );
}

/// A rank that turns slow holds up every step of its group.
#[test]
fn a_slow_rank_gives_its_popular_experts_away_and_gets_none() {
    let demand = vec![skewed_demand(3)];
    let even = vec![round_robin_map()];
    let mut paces = [1.0; RANKS];
    paces[3] = 12.0;
    let settings = RebalanceSettings {
        rank_transfers: 2,
        ..RebalanceSettings::default()
    };
    let mut layers = even.clone();
    for _ in 0..4 {
        let Some(change) = plan_rebalance(&settings, &layers, &demand, &paces) else {
            break;
        };
        layers = change.layers;
    }
    let load = |layers: &[LayerMap]| {
        let replicas = |expert: &u16| {
            layers[0]
                .iter()
                .filter(|held| held.contains(expert))
                .count()
        };
        let shares = layers[0][3]
            .iter()
            .map(|expert| demand[0][usize::from(*expert)] / replicas(expert) as f64);
        shares.sum::<f64>()
    };
    assert!(
        load(&layers) * 4.0 < load(&even),
        "{} of {}",
        load(&layers),
        load(&even)
    );
    let held: usize = (0..EXPERTS as u16)
        .filter(|expert| layers[0].iter().any(|rank| rank.contains(expert)))
        .count();
    assert_eq!(held, EXPERTS);
}
