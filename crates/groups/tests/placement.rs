//! Tests of placement: batch size, cost against gain, hysteresis, and the split of a step.

use rand::Rng as _;
use rand_distr::{Distribution, Normal};
use sardinepin_common::{Millis, seeded_rng};
use sardinepin_groups::{
    ExpertMap, LoadEstimate, PlacementSettings, Planner, Reason, place_experts, split_loads,
};

const RANKS: usize = 64;
const PER_RANK: usize = 5;
const EXPERTS: usize = 256;

fn zipf_loads() -> Vec<f64> {
    let load = |index: usize| 10_000.0 * (index as f64 + 1.0).powf(-0.9);
    (0..EXPERTS).map(load).collect()
}

fn skew(map: &ExpertMap, loads: &[f64]) -> f64 {
    let totals = split_loads(map, loads);
    let slowest = totals.iter().copied().fold(0.0, f64::max);
    slowest * totals.len() as f64 / totals.iter().sum::<f64>()
}

fn initial_map() -> ExpertMap {
    place_experts(&zipf_loads(), RANKS, PER_RANK).expect("a placement")
}

#[test]
fn a_placement_holds_every_expert_but_no_expert_twice_on_a_rank() {
    let map = initial_map();
    let mut held: Vec<u16> = map.ranks().flatten().copied().collect();
    assert_eq!(held.len(), RANKS * PER_RANK);
    held.sort_unstable();
    held.dedup();
    assert_eq!(held.len(), EXPERTS);
    assert_eq!(place_experts(&zipf_loads(), RANKS, 3), None);
    assert_eq!(ExpertMap::new(vec![1, 1], 2), None);
}

#[test]
fn a_split_keeps_all_tokens_and_balances_the_ranks_of_a_replicated_expert() {
    let map = ExpertMap::new(vec![0, 1, 0, 2], 2).expect("a map");
    let totals = split_loads(&map, &[100.0, 10.0, 50.0]);
    assert!((totals[0] - 80.0).abs() < 1e-9);
    assert!((totals[1] - 80.0).abs() < 1e-9);
}

#[test]
fn changes_under_a_steady_load_come_to_an_end() {
    let mut planner = Planner::new(PlacementSettings::prefer_balance());
    let loads = zipf_loads();
    let mut map = initial_map();
    let mut changes = 0;
    while let Some(next) = planner.decide(Millis::ZERO, &map, &loads).map {
        assert!(skew(&next, &loads) < skew(&map, &loads));
        map = next;
        changes += 1;
        assert!(changes < EXPERTS, "the planner keeps changing the map");
    }
    let proposal = planner.decide(Millis::ZERO, &map, &loads);
    assert_eq!(proposal.map, None);
}

#[test]
fn noisy_reports_of_a_steady_load_do_not_move_experts_back_and_forth() {
    let settings = PlacementSettings::prefer_balance();
    let mut planner = Planner::new(settings);
    let mut rng = seeded_rng(7);
    let noise = Normal::new(1.0, 0.1).expect("a deviation");
    let mut estimate = LoadEstimate::new(EXPERTS, settings.report_weight, settings.forecast_rounds);
    let mut map = initial_map();
    let mut returns = 0;
    let mut transfers = 0;
    let mut left: Vec<(usize, u16)> = Vec::new();
    for round in 0..600 {
        let reports: Vec<Option<f64>> = zipf_loads()
            .into_iter()
            .map(|load| (rng.random::<f64>() >= 0.1).then(|| load * noise.sample(&mut rng)))
            .collect();
        estimate.record_loads(&reports);
        // The first 60 rounds only fill the estimate.
        if round < 60 {
            continue;
        }
        let Some(next) = planner
            .decide(Millis(round * 1_000), &map, &estimate.loads())
            .map
        else {
            continue;
        };
        for rank in 0..RANKS {
            let new = next
                .rank(rank)
                .iter()
                .filter(|one| !map.rank(rank).contains(one));
            returns += new.filter(|one| left.contains(&(rank, **one))).count();
            let gone = map
                .rank(rank)
                .iter()
                .filter(|one| !next.rank(rank).contains(one));
            left.extend(gone.map(|one| (rank, *one)));
        }
        transfers += next.transfers_from(&map);
        map = next;
    }
    println!("{transfers} transfers");
    // Under a steady load, fewer than one slot in twenty changes in nine minutes.
    assert!(
        transfers * 20 < RANKS * PER_RANK,
        "{transfers} experts moved"
    );
    assert_eq!(returns, 0, "experts came back to ranks that they had left");
}

#[test]
fn a_load_surge_is_balanced_in_batches() {
    let settings = PlacementSettings::prefer_balance();
    let mut planner = Planner::new(settings);
    let mut loads = zipf_loads();
    loads[200] *= 40.0;
    let mut map = initial_map();
    let before = skew(&map, &loads);
    while let Some(next) = planner.decide(Millis::ZERO, &map, &loads).map {
        assert!(next.transfers_from(&map) <= settings.batch_max);
        map = next;
    }
    assert!(skew(&map, &loads) < before);
    assert!(skew(&map, &loads) <= 1.1);
}

#[test]
fn a_change_that_costs_more_than_it_gains_is_not_proposed() {
    let mut loads = zipf_loads();
    loads[200] *= 40.0;
    let costly = PlacementSettings {
        transfer_weight: 1e9,
        ..PlacementSettings::default()
    };
    let proposal = Planner::new(costly).decide(Millis::ZERO, &initial_map(), &loads);
    assert_eq!(proposal.map, None);
    assert_eq!(proposal.reason, Reason::TooCostly);
}

#[test]
fn missing_and_invalid_reports_do_not_corrupt_the_estimate() {
    let mut estimate = LoadEstimate::new(3, 0.5, 0.0);
    estimate.record_loads(&[Some(10.0), None, Some(f64::NAN)]);
    assert_eq!(estimate.loads(), vec![10.0, 10.0, 10.0]);
    estimate.record_loads(&[None, Some(20.0), Some(-1.0)]);
    assert_eq!(estimate.loads()[..2], [10.0, 20.0]);
}
