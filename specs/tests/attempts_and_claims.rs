//! Model checks of attempts and of claims. Each test prints its number of states or its
//! counterexample.

use sardinepin_specs::attempts::AttemptModel;
use sardinepin_specs::claims::ClaimModel;
use sardinepin_specs::explorer::{Model, Verdict, explore};

/// Asserts that the model violates no invariant and never gets stuck.
fn assert_holds<M: Model>(
    name: &str,
    model: &M,
    last_transition: impl Fn(&M::State) -> &'static str,
) {
    match explore(model) {
        Verdict::Holds { states } => println!("{name}: {states} states, no violation"),
        Verdict::Violated { violation, path } => {
            panic!(
                "{name}: {violation}: {:#?}",
                transitions(&path, last_transition)
            )
        }
        Verdict::Stuck(state) => panic!("{name}: stuck after '{}'", last_transition(&state)),
    }
}

/// Asserts that a model without one safeguard violates an invariant, and returns the transitions of
/// a shortest counterexample.
fn assert_violated<M: Model>(
    name: &str,
    model: &M,
    last_transition: impl Fn(&M::State) -> &'static str,
) -> Vec<&'static str> {
    let Verdict::Violated { violation, path } = explore(model) else {
        panic!("{name}: no violation found");
    };
    let transitions = transitions(&path, last_transition);
    println!(
        "{name}: {violation} after {} transitions: {transitions:#?}",
        transitions.len() - 1
    );
    transitions
}

fn transitions<S>(path: &[S], last_transition: impl Fn(&S) -> &'static str) -> Vec<&'static str> {
    path.iter().map(last_transition).collect()
}

#[test]
fn not_run_holds_in_every_state() {
    assert_holds("attempt", &AttemptModel::default(), |state| {
        state.last_transition
    });
}

/// Without a tombstone, a run frame that is delayed on an old link is accepted after the attempt
/// was reported as not run.
#[test]
fn not_run_is_violated_without_tombstones() {
    let model = AttemptModel {
        tombstones: false,
        newest_link_only: false,
        ..AttemptModel::default()
    };
    let transitions = assert_violated("without tombstones", &model, |state| state.last_transition);
    assert!(transitions.contains(&"a late frame reaches the agent"));
}

#[test]
fn not_run_holds_without_tombstones_if_frames_of_old_links_are_dropped() {
    let model = AttemptModel {
        tombstones: false,
        ..AttemptModel::default()
    };
    assert_holds("newest link only", &model, |state| state.last_transition);
}

/// A link can be lost after the call has begun, so a lost link does not show that it has not run.
#[test]
fn not_run_is_violated_if_a_lost_link_counts_as_not_run() {
    let model = AttemptModel {
        query_agent: false,
        ..AttemptModel::default()
    };
    let transitions = assert_violated("without a query", &model, |state| state.last_transition);
    assert!(transitions.contains(&"the link is lost"));
}

#[test]
fn at_most_once_holds_in_every_state() {
    assert_holds("claims", &ClaimModel::default(), |state| {
        state.last_transition
    });
}

#[test]
fn at_most_once_is_violated_without_a_claim_before_the_run() {
    let model = ClaimModel {
        claim_first: false,
        ..ClaimModel::default()
    };
    assert_violated("without a claim", &model, |state| state.last_transition);
}

/// Without a new claim, a process runs the call on a claim that it has released, while another
/// process takes the claim over.
#[test]
fn at_most_once_is_violated_if_a_call_runs_on_a_released_claim() {
    let model = ClaimModel {
        reclaim_released: false,
        ..ClaimModel::default()
    };
    assert_violated("run on a released claim", &model, |state| {
        state.last_transition
    });
}
