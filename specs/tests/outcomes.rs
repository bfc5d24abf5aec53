//! Model checks of attempts and of claims; the numbers of states are printed.

use sardinepin_specs::attempt::AttemptCase;
use sardinepin_specs::claims::ClaimCase;
use sardinepin_specs::explore::{Model, Verdict, explore};

/// Explores a case that must hold.
fn holds<M: Model>(name: &str, case: &M, last: impl Fn(&M::State) -> &'static str) {
    match explore(case) {
        Verdict::Holds { states } => println!("{name}: {states} states, none at fault"),
        Verdict::Broken { fault, path } => panic!("{name}: {fault}: {:#?}", steps(&path, last)),
        Verdict::Stuck(state) => panic!("{name}: stuck after '{}'", last(&state)),
    }
}

/// Explores a case that lacks a safeguard, and returns the shortest way to its fault.
fn breaks<M: Model>(
    name: &str,
    case: &M,
    last: impl Fn(&M::State) -> &'static str,
) -> Vec<&'static str> {
    let Verdict::Broken { fault, path } = explore(case) else {
        panic!("{name}: no fault was found");
    };
    let steps = steps(&path, last);
    println!(
        "{name}: {fault}, after {} steps: {steps:#?}",
        steps.len() - 1
    );
    steps
}

fn steps<S>(path: &[S], last: impl Fn(&S) -> &'static str) -> Vec<&'static str> {
    path.iter().map(last).collect()
}

#[test]
fn not_run_holds_in_every_state() {
    holds("attempt", &AttemptCase::default(), |world| world.last);
}

#[test]
fn not_run_breaks_without_tombstones() {
    let case = AttemptCase {
        tombstones: false,
        newest_link_only: false,
        ..AttemptCase::default()
    };
    let steps = breaks("without tombstones", &case, |world| world.last);
    assert!(steps.contains(&"a late frame reaches the agent"));
}

#[test]
fn not_run_holds_without_tombstones_if_old_links_are_dropped() {
    let case = AttemptCase {
        tombstones: false,
        ..AttemptCase::default()
    };
    holds("newest link only", &case, |world| world.last);
}

#[test]
fn not_run_breaks_if_a_lost_link_is_taken_for_not_run() {
    let case = AttemptCase {
        asks: false,
        ..AttemptCase::default()
    };
    let steps = breaks("without asking", &case, |world| world.last);
    assert!(steps.contains(&"the link is cut"));
}

#[test]
fn at_most_once_holds_in_every_state() {
    holds("claims", &ClaimCase::default(), |world| world.last);
}

#[test]
fn at_most_once_breaks_without_a_claim_before_the_run() {
    let case = ClaimCase {
        claims_first: false,
        ..ClaimCase::default()
    };
    breaks("without a claim", &case, |world| world.last);
}

#[test]
fn at_most_once_breaks_if_a_released_claim_is_run() {
    let case = ClaimCase {
        keeps_release: false,
        ..ClaimCase::default()
    };
    breaks("released claim is run", &case, |world| world.last);
}
