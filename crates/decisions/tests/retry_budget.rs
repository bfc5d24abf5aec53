//! Tests of the retry budget: all nodes together stay within it in every window.

use rand::Rng as _;
use sardinepin_common::{Millis, seeded_rng};
use sardinepin_decisions::{BudgetSettings, RetryBudget};

const NOW: Millis = Millis(10_000);

/// Takes and sends retries until none is left; returns how many there were.
fn spend(budget: &mut RetryBudget, now: Millis, settings: &BudgetSettings) -> usize {
    let mut spent = 0;
    while budget.try_reserve(now, settings) {
        budget.record_sent();
        spent += 1;
    }
    spent
}

/// Requests, retries and restarts at random: whatever one node does, no window holds more than the slack and the ratio of the
/// requests of that window, the one before it or the one half a window before it.
#[test]
fn retries_stay_within_the_budget_of_every_window() {
    let settings = BudgetSettings {
        ratio: 0.06,
        saved_ratio: 0.04,
        shared_slack: 20.0,
        window: Millis(1_000),
        ..BudgetSettings::default()
    };
    for seed in 0..20 {
        let mut rng = seeded_rng(seed);
        let mut budget = RetryBudget::new(NOW, 0.5, &settings);
        budget.record_nodes(NOW, 1.0);
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        let mut now = NOW;
        for _ in 0..20_000 {
            match rng.random_range(0..1_000) {
                0..500 => {
                    requests.push(now);
                    budget.record_request(now, &settings);
                }
                500..995 => {
                    let wanted = rng.random_range(0..8);
                    for _ in 0..wanted {
                        if budget.try_reserve(now, &settings) {
                            budget.record_sent();
                            retries.push(now);
                        }
                    }
                }
                995..999 => now = now + Millis(rng.random_range(0..700)),
                _ => {
                    budget = RetryBudget::new(now, 0.5, &settings);
                    budget.record_nodes(now, 1.0);
                }
            }
            now = now + Millis(rng.random_range(0..3));
        }
        let count = |times: &[Millis], from: Millis| {
            let until = from + settings.window;
            times.partition_point(|at| *at <= until) - times.partition_point(|at| *at < from)
        };
        for from in &retries {
            let counted = count(&retries, *from) as f64;
            let allowed = settings.ratio * count(&requests, *from) as f64 + settings.shared_slack;
            assert!(
                counted <= allowed,
                "seed {seed}: {counted} of {allowed} from {from}"
            );
        }
        assert!(retries.len() > 400, "seed {seed}: {}", retries.len());
    }
}

/// A group breaks with many requests in flight, at all gateways at the same moment, after some of them have just restarted
/// and while callers are spread unevenly.
#[test]
fn a_retry_budget_holds_for_all_gateways_together() {
    for gateways in [6_usize, 32, 390] {
        let settings = BudgetSettings {
            ratio: 0.13,
            saved_ratio: 0.05,
            shared_slack: 192.0,
            window: Millis(10_000),
            ..BudgetSettings::default()
        };
        let mut requests = 0;
        let mut retries = 0;
        for index in 0..gateways {
            let position = index as f64 / gateways as f64;
            let mut budget = RetryBudget::new(Millis::ZERO, position, &settings);
            budget.record_nodes(Millis::ZERO, gateways as f64);
            let own = 20 + 100 * (index % 5);
            requests += own;
            for request in 0..own {
                let at = NOW + Millis(request as u64);
                budget.record_request(at, &settings);
                // Every request fails and wants a retry.
                if budget.try_reserve(at, &settings) {
                    budget.record_sent();
                    retries += 1;
                }
            }
            if index % 4 == 0 {
                let restarted_at = NOW + Millis(1_000);
                let mut restarted = RetryBudget::new(restarted_at, position, &settings);
                restarted.record_nodes(restarted_at, gateways as f64);
                retries += spend(&mut restarted, restarted_at + Millis(5_000), &settings);
            }
        }
        let allowed = 0.2 * requests as f64 + 192.0;
        assert!(
            (retries as f64) < allowed,
            "{retries} of {allowed} at {gateways}"
        );
    }
}

/// A gateway that restarts has forgotten what it spent, but its upstreams have not.
#[test]
fn retries_of_two_incarnations_do_not_exceed_the_budget_of_one_window() {
    let settings = BudgetSettings {
        ratio: 0.13,
        saved_ratio: 0.05,
        shared_slack: 9.0,
        window: Millis(10_000),
        ..BudgetSettings::default()
    };
    let mut retries = 0;
    for incarnation in 0..2 {
        let began = NOW + Millis(incarnation * 10_000);
        let mut budget = RetryBudget::new(began, 0.0, &settings);
        budget.record_nodes(began, 1.0);
        for request in 0..1_000 {
            budget.record_request(began + Millis(request * 9), &settings);
        }
        // The first incarnation spends everything at the end of its window, the second at the end of
        // the next one, and both times lie in one window.
        let spent_at = began + Millis(9_500 - incarnation * 1_000);
        retries += spend(&mut budget, spent_at, &settings);
    }
    let allowed = 0.2 * 1_000.0 + 10.0;
    assert!((retries as f64) <= allowed, "{retries} of {allowed}");
}

/// Callers that move take the requests of a window with them, but not the retries that they earned elsewhere.
#[test]
fn callers_that_move_between_gateways_do_not_raise_the_budget() {
    let settings = BudgetSettings {
        ratio: 0.13,
        saved_ratio: 0.05,
        shared_slack: 90.0,
        window: Millis(10_000),
        ..BudgetSettings::default()
    };
    let mut budgets = [
        RetryBudget::new(NOW, 0.0, &settings),
        RetryBudget::new(NOW, 0.5, &settings),
    ];
    let mut retries = 0;
    for (turn, budget) in budgets.iter_mut().enumerate() {
        budget.record_nodes(NOW, 2.0);
        let began = NOW + Millis(turn as u64 * 10_000);
        for request in 0..1_000 {
            budget.record_request(began + Millis(request * 10), &settings);
        }
        retries += spend(
            budget,
            began + Millis(10_000 - turn as u64 * 100),
            &settings,
        );
    }
    let allowed = 0.2 * 1_000.0 + 100.0;
    assert!((retries as f64) <= allowed, "{retries} of {allowed}");
}

#[test]
fn a_partition_that_hides_gateways_does_not_raise_the_retry_budget() {
    let settings = BudgetSettings {
        ratio: 0.0,
        saved_ratio: 0.0,
        shared_slack: 60.0,
        ..BudgetSettings::default()
    };
    let mut budget = RetryBudget::new(NOW, 0.0, &settings);
    budget.record_nodes(NOW, 30.0);
    budget.record_nodes(NOW + Millis(1_000), 10.0);
    let saved = spend(&mut budget, NOW + Millis(30_000), &settings);
    assert_eq!(saved, 1, "half of a thirtieth");
}

/// Where the slack is smaller than the number of nodes, each saves a retry in turn.
#[test]
fn a_slack_smaller_than_the_number_of_nodes_is_saved_by_some_in_turn() {
    const NODES: usize = 400;
    let settings = BudgetSettings {
        ratio: 0.0,
        saved_ratio: 0.0,
        shared_slack: 40.0,
        ..BudgetSettings::default()
    };
    let mut rng = seeded_rng(3);
    let mut budgets: Vec<RetryBudget> = (0..NODES)
        .map(|_| {
            let mut budget = RetryBudget::new(Millis::ZERO, rng.random(), &settings);
            budget.record_nodes(Millis::ZERO, NODES as f64);
            budget
        })
        .collect();
    let mut served = vec![0; NODES];
    for turn in 1..=200 {
        let now = Millis(turn * 10_000 + 9_000);
        let mut spent = 0;
        for (budget, served) in budgets.iter_mut().zip(&mut served) {
            let own = spend(budget, now, &settings);
            spent += own;
            *served += own;
        }
        assert!(
            spent as f64 <= settings.shared_slack,
            "{spent} in turn {turn}"
        );
    }
    assert!(served.iter().all(|own| *own > 0), "{served:?}");
}
