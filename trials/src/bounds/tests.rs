//! Simulated days in CI, and proof that the check notices a missing safeguard.

use sardinepin_common::Millis;

use crate::bounds::budget_check::{BudgetRule, Window};
use crate::bounds::day::{Day, DaySettings};
use crate::bounds::mutant::Mutant;
use crate::bounds::record::{Arrival, Record};
use crate::bounds::world::World;

/// Returns the worst window of a day.
fn worst_window(settings: &DaySettings) -> Window {
    let day = Day::draw(settings);
    let record = World::new(settings, &day).run();
    BudgetRule::default().worst_window(&record)
}

fn assert_kept(senders: usize, seeds: std::ops::RangeInclusive<u64>) {
    for seed in seeds {
        let settings = DaySettings {
            seed,
            senders,
            ..DaySettings::default()
        };
        let worst = worst_window(&settings);
        assert!(worst.is_kept(), "{senders} senders, seed {seed}: {worst:?}");
    }
}

#[test]
fn repeats_stay_within_the_retry_budget_of_6_senders() {
    assert_kept(6, 1..=24);
}

#[test]
fn repeats_stay_within_the_retry_budget_of_32_senders() {
    assert_kept(32, 1..=14);
}

#[test]
fn repeats_stay_within_the_retry_budget_of_390_senders() {
    assert_kept(390, 9..=10);
}

/// Asserts that some day breaks the rule once a safeguard is left out.
fn assert_noticed(mutant: Mutant) {
    let broken = (1..=14).any(|seed| {
        let settings = DaySettings {
            seed,
            senders: 32,
            mutant,
            ..DaySettings::default()
        };
        !worst_window(&settings).is_kept()
    });
    assert!(broken, "{} was not noticed", mutant.name());
}

#[test]
fn a_budget_that_is_never_charged_is_noticed() {
    assert_noticed(Mutant::NeverCharged);
}

#[test]
fn a_budget_that_is_charged_for_every_second_retry_is_noticed() {
    assert_noticed(Mutant::HalfCharged);
}

#[test]
fn a_share_that_is_not_divided_is_noticed() {
    assert_noticed(Mutant::ShareNotDivided);
}

/// One request a millisecond for `length`, of which each tenth arrives twice.
fn steady_record(length: Millis) -> Record {
    let arrivals = (0..length.0).flat_map(|at| {
        let arrival = Arrival {
            at: Millis(at),
            request: at,
        };
        let times = if at % 10 == 0 { 2 } else { 1 };
        std::iter::repeat_n(arrival, times)
    });
    Record {
        requests: (0..length.0).map(Millis).collect(),
        arrivals: arrivals.collect(),
    }
}

#[test]
fn the_check_counts_arrivals_beyond_the_first_in_each_window() {
    let rule = BudgetRule {
        ratio: 0.1,
        slack: 1.0,
        window: Millis(1_000),
    };
    let record = steady_record(Millis(5_000));
    let worst = rule.worst_window(&record);
    assert!(worst.is_kept(), "{worst:?}");
    let stricter = BudgetRule {
        ratio: 0.09,
        ..rule
    };
    assert!(!stricter.worst_window(&record).is_kept());
}

/// A window may use the requests of the one before it, but not those of two windows.
#[test]
fn the_check_takes_the_requests_of_the_best_of_three_windows() {
    let rule = BudgetRule {
        ratio: 0.1,
        slack: 0.0,
        window: Millis(1_000),
    };
    let repeats = |count: usize| {
        let arrival = Arrival {
            at: Millis(1_900),
            request: 0,
        };
        Record {
            requests: (0..1_000).map(Millis).collect(),
            arrivals: vec![arrival; count + 1],
        }
    };
    assert!(rule.worst_window(&repeats(10)).is_kept());
    assert!(!rule.worst_window(&repeats(101)).is_kept());
}
