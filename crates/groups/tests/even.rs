//! Placement with even shares: popularity that shifts, and few loads at a time.

use sardinepin_groups::{EvenSettings, LayerMap, even_change, even_skew};

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
    let settings = EvenSettings::default();
    let demand = vec![popularity(3), popularity(20)];
    let mut layers = vec![in_turn(), in_turn()];
    let before = even_skew(&layers, &demand);
    for _ in 0..12 {
        let Some(change) = even_change(&settings, &layers, &demand) else {
            break;
        };
        assert!(change.skew_then < change.skew_now);
        let loads = loads_by_rank(&layers, &change.layers);
        assert!(
            loads.iter().all(|loads| *loads <= settings.rank_loads),
            "{loads:?}"
        );
        assert_eq!(loads.iter().sum::<usize>(), change.loads);
        layers = change.layers;
    }
    let after = even_skew(&layers, &demand);
    assert!(before > 3.0, "{before}");
    assert!(after < 1.25, "{after}");
}

#[test]
fn every_map_holds_every_expert_and_no_rank_more_than_its_places() {
    let settings = EvenSettings::default();
    let mut layers = vec![in_turn()];
    for first in [1, 17, 40, 5, 33] {
        let demand = vec![popularity(first)];
        for _ in 0..6 {
            let Some(change) = even_change(&settings, &layers, &demand) else {
                break;
            };
            layers = change.layers;
            let map = &layers[0];
            assert!(map.iter().all(|experts| experts.len() <= settings.places));
            let held = |expert| map.iter().any(|experts| experts.contains(&expert));
            assert!((0..EXPERTS as u16).all(held));
        }
    }
}

#[test]
fn an_even_load_leads_to_no_change() {
    let demand = vec![vec![1.0; EXPERTS]];
    assert_eq!(
        even_change(&EvenSettings::default(), &[in_turn()], &demand),
        None
    );
    assert_eq!(even_change(&EvenSettings::default(), &[], &[]), None);
}

#[test]
fn no_demand_leads_to_no_change() {
    let demand = vec![vec![0.0; EXPERTS]];
    assert_eq!(
        even_change(&EvenSettings::default(), &[in_turn()], &demand),
        None
    );
}
