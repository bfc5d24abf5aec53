//! Placement with even shares: popularity that shifts, and few loads at a time.

use sardinepin_common::Millis;
use sardinepin_groups::{
    LayerMap, Popularity, PopularitySettings, RebalanceSettings, map_skew, plan_rebalance,
};

const RANKS: usize = 8;
const EXPERTS: usize = 64;

/// The map that engines begin with: experts in turn.
fn in_turn() -> LayerMap {
    (0..RANKS)
        .map(|rank| {
            (0..EXPERTS)
                .filter(|at| at % RANKS == rank)
                .map(|at| at as u16)
                .collect()
        })
        .collect()
}

/// A popularity in which a few experts take much, beginning with `first`.
fn popularity(first: usize) -> Vec<f64> {
    let mut demand = vec![1.0; EXPERTS];
    for (place, weight) in [60.0, 30.0, 15.0, 8.0, 4.0].into_iter().enumerate() {
        demand[(first + place * 7) % EXPERTS] += weight;
    }
    demand
}

fn loads_by_rank(before: &[LayerMap], after: &[LayerMap]) -> Vec<usize> {
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
fn repeated_changes_bring_a_hot_expert_to_many_ranks_and_the_skew_down() {
    let settings = RebalanceSettings::default();
    let demand = vec![popularity(3), popularity(20)];
    let mut layers = vec![in_turn(), in_turn()];
    let before = map_skew(&layers, &demand);
    for _ in 0..12 {
        let Some(change) = plan_rebalance(&settings, &layers, &demand) else {
            break;
        };
        assert!(change.skew_after < change.skew_before);
        let loads = loads_by_rank(&layers, &change.layers);
        assert!(
            loads.iter().all(|loads| *loads <= settings.rank_transfers),
            "{loads:?}"
        );
        assert_eq!(loads.iter().sum::<usize>(), change.transfers);
        layers = change.layers;
    }
    let after = map_skew(&layers, &demand);
    assert!(before > 3.0, "{before}");
    assert!(after < 1.25, "{after}");
}

#[test]
fn every_map_holds_every_expert_and_no_rank_more_than_its_places() {
    let settings = RebalanceSettings::default();
    let mut layers = vec![in_turn()];
    for first in [1, 17, 40, 5, 33] {
        let demand = vec![popularity(first)];
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
fn an_even_load_leads_to_no_change() {
    let demand = vec![vec![1.0; EXPERTS]];
    assert_eq!(
        plan_rebalance(&RebalanceSettings::default(), &[in_turn()], &demand),
        None
    );
    assert_eq!(
        plan_rebalance(&RebalanceSettings::default(), &[], &[]),
        None
    );
}

#[test]
fn no_demand_leads_to_no_change() {
    let demand = vec![vec![0.0; EXPERTS]];
    assert_eq!(
        plan_rebalance(&RebalanceSettings::default(), &[in_turn()], &demand),
        None
    );
}

/// How long a rank loads one expert.
const LOAD: Millis = Millis(150);

/// How long a switch takes beyond its loads.
const SWITCH: Millis = Millis(80);

/// Returns the skew over the first two seconds after a shift, as a mean over time.
fn skew_after_a_shift(settings: &RebalanceSettings) -> f64 {
    let before = vec![popularity(3), popularity(20), popularity(40)];
    let after = vec![popularity(13), popularity(30), popularity(50)];
    let mut layers = vec![in_turn(), in_turn(), in_turn()];
    while let Some(change) = plan_rebalance(settings, &layers, &before) {
        layers = change.layers;
    }
    let (mut at, end, mut sum) = (Millis::ZERO, Millis(2_000), 0.0);
    while at < end {
        let skew = map_skew(&layers, &after);
        let change = plan_rebalance(settings, &layers, &after);
        let time = change.as_ref().map_or(end.since(at), |change| {
            Millis(LOAD.0 * change.rank_transfers as u64) + SWITCH
        });
        let time = time.min(end.since(at));
        sum += skew * time.as_f64();
        at = at + time;
        layers = change.map_or(layers, |change| change.layers);
    }
    sum / end.as_f64()
}

#[test]
fn after_a_shift_small_changes_help_sooner_than_large_ones() {
    let small = skew_after_a_shift(&RebalanceSettings::default());
    let large = skew_after_a_shift(&RebalanceSettings {
        rank_transfers: 2,
        ..RebalanceSettings::default()
    });
    assert!(small < large, "{small} {large}");
}

#[test]
fn a_change_that_gains_less_than_its_loads_cost_is_left() {
    let settings = RebalanceSettings::default();
    let demand = vec![popularity(3), popularity(20)];
    let mut layers = vec![in_turn(), in_turn()];
    while let Some(change) = plan_rebalance(&settings, &layers, &demand) {
        assert!(change.skew_before - change.skew_after >= 0.03, "{change:?}");
        layers = change.layers;
    }
}

/// The counts of one rank after so many looks at one popularity and then at another.
fn counts(first: usize, then: usize) -> Vec<u64> {
    let sum = popularity(3)
        .into_iter()
        .zip(popularity(20))
        .map(|(one, other)| one * first as f64 + other * then as f64);
    sum.map(|count| count as u64).collect()
}

#[test]
fn counts_from_before_a_shift_weigh_nothing() {
    let mut popularity = Popularity::default();
    for look in 0..10_usize {
        let (first, then) = (look.min(8), look.saturating_sub(8));
        let at = Millis(100 * look as u64);
        popularity.observe(at, 1, &[Some(counts(first, then))], EXPERTS);
    }
    let demand = popularity.demand(1, EXPERTS).expect("counts are known");
    assert!(demand[0][3] <= 1.0 && demand[0][20] >= 60.0, "{demand:?}");
}

#[test]
fn counts_of_a_steady_popularity_add_up() {
    let mut popularity = Popularity::new(PopularitySettings {
        half_life: Millis(100),
        ..PopularitySettings::default()
    });
    for look in 0..4_usize {
        let at = Millis(100 * look as u64);
        popularity.observe(at, 1, &[Some(counts(look, 0))], EXPERTS);
    }
    let demand = popularity.demand(1, EXPERTS).expect("counts are known");
    assert!(demand[0][3] > 100.0 && demand[0][3] < 110.0, "{demand:?}");
    assert_eq!(popularity.observation_time(), Millis(300));
    assert_eq!(popularity.demand(2, EXPERTS), None);
}

#[test]
fn a_group_that_forms_anew_is_counted_anew() {
    let mut popularity = Popularity::default();
    popularity.observe(Millis(0), 1, &[Some(counts(0, 0))], EXPERTS);
    popularity.observe(Millis(100), 1, &[Some(counts(5, 0))], EXPERTS);
    popularity.observe(Millis(200), 2, &[Some(counts(1, 0))], EXPERTS);
    assert_eq!(popularity.demand(1, EXPERTS), None);
    assert_eq!(popularity.observation_time(), Millis::ZERO);
}
