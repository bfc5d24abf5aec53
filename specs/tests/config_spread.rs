//! The configuration under every order of writes, answers, restarts and stale reads.

use sardinepin_specs::config_spread::{Bounds, Fault, Step, Variant, check};

const BOUNDS: Bounds = Bounds {
    nodes: 2,
    writes: 3,
    flights: 2,
    restarts: 1,
};

#[test]
fn no_revision_goes_down_no_write_is_lost_and_all_come_together() {
    let states = check(BOUNDS, Variant::Product).expect("no fault");
    println!("{states} states");
    assert!(states > 1_000, "the check explores next to nothing");
}

#[test]
fn without_the_check_of_revisions_a_stale_listing_takes_a_node_back() {
    let (steps, fault) = check(BOUNDS, Variant::MayGoDown).expect_err("a counter-example");
    println!("{steps:#?}");
    assert_eq!(fault, Fault::WentDown);
    // The listing that was answered with the older state arrives after the newer one.
    let shortest = [
        Step::Write,
        Step::List { node: 0, shown: 0 },
        Step::List { node: 0, shown: 1 },
        Step::Arrive(1),
        Step::Arrive(0),
    ];
    assert_eq!(steps, shortest);
}

#[test]
fn without_the_floor_a_deletion_is_lost() {
    let (steps, fault) = check(BOUNDS, Variant::NoFloor).expect_err("a counter-example");
    println!("{steps:#?}");
    assert_eq!(fault, Fault::Lost);
    // Node 1 lists after the deletion, so it has no trace of it to offer to node 0.
    let shortest = [
        Step::Write,
        Step::Write,
        Step::List { node: 0, shown: 1 },
        Step::Arrive(0),
        Step::List { node: 1, shown: 2 },
        Step::Arrive(0),
        Step::Fetch { node: 0, peer: 1 },
        Step::Arrive(0),
    ];
    assert_eq!(steps, shortest);
}
