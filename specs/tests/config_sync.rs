//! Model checks of configuration synchronisation: every order of writes, responses, restarts and
//! stale reads.

use sardinepin_specs::config_sync::{Bounds, Step, Variant, Violation, check};

const BOUNDS: Bounds = Bounds {
    nodes: 2,
    writes: 3,
    responses: 2,
    restarts: 1,
};

#[test]
fn no_revision_decreases_no_write_is_lost_and_all_nodes_converge() {
    let states = check(BOUNDS, Variant::Product).expect("no violation");
    println!("{states} states");
    assert!(
        states > 1_000,
        "the check explores too few states: {states}"
    );
}

#[test]
fn without_the_revision_check_a_stale_listing_decreases_the_revision() {
    let (steps, violation) = check(BOUNDS, Variant::IgnoreRevision).expect_err("a counterexample");
    println!("{steps:#?}");
    assert_eq!(violation, Violation::RevisionDecreased);
    // The listing with the older state arrives after the one with the newer state.
    let shortest = [
        Step::Write,
        Step::List {
            node: 0,
            visible: 0,
        },
        Step::List {
            node: 0,
            visible: 1,
        },
        Step::Deliver(1),
        Step::Deliver(0),
    ];
    assert_eq!(steps, shortest);
}

#[test]
fn without_the_history_start_a_deletion_is_lost() {
    let (steps, violation) =
        check(BOUNDS, Variant::IgnoreHistoryStart).expect_err("a counterexample");
    println!("{steps:#?}");
    assert_eq!(violation, Violation::WriteLost);
    // Node 1 lists after the deletion, so it has no tombstone that it could send to node 0.
    let shortest = [
        Step::Write,
        Step::Write,
        Step::List {
            node: 0,
            visible: 1,
        },
        Step::Deliver(0),
        Step::List {
            node: 1,
            visible: 2,
        },
        Step::Deliver(0),
        Step::Fetch { node: 0, peer: 1 },
        Step::Deliver(0),
    ];
    assert_eq!(steps, shortest);
}
