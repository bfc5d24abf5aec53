//! Model checks of the map switch on a held step: two ranks, concurrent coordinators, late orders.

use sardinepin_specs::explorer::{Verdict, explore};
use sardinepin_specs::held_switch::{Bounds, HeldSwitchModel};

const BOUNDS: Bounds = Bounds {
    steps: 4,
    late_orders: 1,
    coordinators: 1,
    versions: 1,
    term_raises: 1,
    fencing: true,
    sequence_numbers: true,
    armed_wait: true,
    confirm_armed: true,
};

/// Asserts that no step begins on two maps and that no state is stuck.
fn assert_holds(bounds: Bounds) {
    match explore(&HeldSwitchModel(bounds)) {
        Verdict::Holds { states } => println!("{states} states"),
        Verdict::Violated { violation, path } => {
            for (index, state) in path.iter().enumerate() {
                println!("{index}: {state:?}");
            }
            panic!("{violation}, after {} transitions", path.len() - 1);
        }
        Verdict::Stuck(state) => panic!("stuck: {state:?}"),
    }
}

/// Asserts that a step can begin on two maps, and returns the number of transitions on a shortest
/// path to it.
fn assert_violated(bounds: Bounds) -> usize {
    match explore(&HeldSwitchModel(bounds)) {
        Verdict::Violated { path, .. } => path.len() - 1,
        Verdict::Holds { states } => panic!("no counterexample in {states} states"),
        Verdict::Stuck(state) => panic!("stuck: {state:?}"),
    }
}

#[test]
fn one_coordinator_and_late_orders() {
    assert_holds(Bounds {
        late_orders: 2,
        ..BOUNDS
    });
}

#[test]
fn one_coordinator_and_two_versions() {
    assert_holds(Bounds {
        versions: 2,
        steps: 4,
        ..BOUNDS
    });
}

#[test]
fn two_coordinators_without_late_orders() {
    assert_holds(Bounds {
        coordinators: 2,
        steps: 3,
        late_orders: 0,
        ..BOUNDS
    });
}

#[test]
fn two_coordinators_and_a_late_order() {
    assert_holds(Bounds {
        coordinators: 2,
        steps: 2,
        term_raises: 0,
        ..BOUNDS
    });
}

#[test]
fn without_the_armed_wait_a_step_begins_on_two_maps() {
    assert_violated(Bounds {
        armed_wait: false,
        steps: 4,
        late_orders: 0,
        ..BOUNDS
    });
}

#[test]
fn without_confirmation_a_step_begins_on_two_maps() {
    assert_violated(Bounds {
        confirm_armed: false,
        ..BOUNDS
    });
}

#[test]
fn without_fencing_two_coordinators_let_a_step_begin_on_two_maps() {
    assert_violated(Bounds {
        fencing: false,
        coordinators: 2,
        late_orders: 0,
        ..BOUNDS
    });
}

#[test]
fn without_sequence_numbers_a_step_begins_on_two_maps() {
    assert_violated(Bounds {
        sequence_numbers: false,
        coordinators: 2,
        steps: 3,
        late_orders: 0,
        ..BOUNDS
    });
}
