//! Model checks of the map switch: three ranks, two coordinators, one step of the switch.

use sardinepin_groups::{Fencing, Safeguards};
use sardinepin_specs::one_map::{Bounds, Report, explore};

/// The first coordinator is about to arm, and the second may take over at any point.
const TAKEOVER: Bounds = Bounds {
    steps: 1,
    late: 0,
    repeats: 0,
    crashes: 0,
    takeovers: 1,
    expiries: 0,
    recovery: true,
    loaded: true,
    fencing: Fencing::Enforced,
    safeguards: Safeguards {
        fence: true,
        armed_wait: true,
    },
};

fn run(bounds: Bounds) -> Report {
    let report = explore(&bounds);
    println!(
        "{} states, {} run on without faults",
        report.states, report.kept
    );
    for (name, path) in [("two maps", &report.mixed), ("stuck", &report.stuck)] {
        for (at, action) in path.iter().flatten().enumerate() {
            println!("{name}, {}: {action}", at + 1);
        }
    }
    report
}

fn holds(bounds: Bounds) {
    let report = run(bounds);
    assert_eq!(report.mixed, None);
    assert_eq!(report.stuck, None);
}

/// Returns the shortest way to a step on two maps.
fn breaks(bounds: Bounds) -> Vec<String> {
    let bounds = Bounds {
        recovery: false,
        ..bounds
    };
    run(bounds).mixed.expect("a step on two maps")
}

#[test]
fn one_map_from_the_proposal_on() {
    holds(Bounds {
        loaded: false,
        ..TAKEOVER
    });
}

#[test]
fn one_map_with_late_and_repeated_messages() {
    holds(Bounds {
        late: 1,
        repeats: 1,
        ..TAKEOVER
    });
}

#[test]
fn one_map_with_coordinators_that_run_out_of_patience() {
    holds(Bounds {
        late: 1,
        expiries: 1,
        ..TAKEOVER
    });
}

#[test]
fn one_map_with_two_takeovers() {
    holds(Bounds {
        takeovers: 2,
        ..TAKEOVER
    });
}

#[test]
fn one_map_with_an_agent_that_dies() {
    holds(Bounds {
        crashes: 1,
        ..TAKEOVER
    });
}

#[test]
fn one_map_with_an_agent_that_dies_and_engines_that_ignore_fences() {
    holds(Bounds {
        crashes: 1,
        fencing: Fencing::Ignored,
        ..TAKEOVER
    });
}

#[test]
fn one_map_needs_the_fence() {
    let path = breaks(Bounds {
        safeguards: Safeguards {
            fence: false,
            armed_wait: true,
        },
        ..TAKEOVER
    });
    // The old coordinator's order to arm comes after the new one has decided to abort.
    let read = path
        .iter()
        .position(|action| action.starts_with("rank 0 receives Read"));
    let armed = path
        .iter()
        .position(|action| action.starts_with("rank 0 receives Arm"));
    assert!(read < armed, "{path:#?}");
    assert!(path.iter().any(|action| action.contains("Commit")));
    assert!(path.iter().any(|action| action.contains("Abort")));
}

#[test]
fn one_map_needs_the_promise() {
    let path = breaks(Bounds {
        takeovers: 0,
        safeguards: Safeguards {
            fence: true,
            armed_wait: false,
        },
        ..TAKEOVER
    });
    // An armed rank begins the step on the old map, and another one on the new.
    let armed = path
        .iter()
        .position(|action| action.starts_with("rank 1 receives Arm"));
    let begun = path
        .iter()
        .position(|action| action.starts_with("engine 1 begins"));
    assert!(armed < begun, "{path:#?}");
    assert!(path.iter().any(|action| action.contains("Commit")));
}
