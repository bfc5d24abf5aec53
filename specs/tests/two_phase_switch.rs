//! Model checks of the two-phase commit of a map switch: three ranks, two coordinators, one step.

use sardinepin_groups::{Fencing, Safeguards};
use sardinepin_specs::two_phase_switch::{Bounds, SearchResult, explore};

/// The first coordinator is about to arm the ranks, and the second may take over at any point.
const TAKEOVER: Bounds = Bounds {
    steps: 1,
    late_reports: 0,
    duplicates: 0,
    crashes: 0,
    takeovers: 1,
    timeouts: 0,
    check_recovery: true,
    start_loaded: true,
    fencing: Fencing::Enforced,
    safeguards: Safeguards {
        fence: true,
        armed_wait: true,
    },
};

fn run_search(bounds: Bounds) -> SearchResult {
    let result = explore(&bounds);
    println!(
        "{} states, {} checked for recovery",
        result.states, result.recovery_checks
    );
    for (name, path) in [("two maps", &result.mixed_maps), ("stuck", &result.stuck)] {
        for (at, action) in path.iter().flatten().enumerate() {
            println!("{name}, {}: {action}", at + 1);
        }
    }
    result
}

/// Asserts that no step runs on two maps and that every state recovers.
fn assert_holds(bounds: Bounds) {
    let result = run_search(bounds);
    assert_eq!(result.mixed_maps, None);
    assert_eq!(result.stuck, None);
}

/// Asserts that a step can begin on two maps, and returns the actions on a shortest path to it.
fn assert_violated(bounds: Bounds) -> Vec<String> {
    let bounds = Bounds {
        check_recovery: false,
        ..bounds
    };
    run_search(bounds).mixed_maps.expect("a step on two maps")
}

#[test]
fn one_map_when_the_search_starts_at_the_proposal() {
    assert_holds(Bounds {
        start_loaded: false,
        ..TAKEOVER
    });
}

#[test]
fn one_map_with_late_and_duplicate_messages() {
    assert_holds(Bounds {
        late_reports: 1,
        duplicates: 1,
        ..TAKEOVER
    });
}

#[test]
fn one_map_with_phase_timeouts() {
    assert_holds(Bounds {
        late_reports: 1,
        timeouts: 1,
        ..TAKEOVER
    });
}

#[test]
fn one_map_with_two_takeovers() {
    assert_holds(Bounds {
        takeovers: 2,
        ..TAKEOVER
    });
}

#[test]
fn one_map_with_an_agent_crash() {
    assert_holds(Bounds {
        crashes: 1,
        ..TAKEOVER
    });
}

#[test]
fn one_map_with_an_agent_crash_and_engines_that_ignore_fencing() {
    assert_holds(Bounds {
        crashes: 1,
        fencing: Fencing::Ignored,
        ..TAKEOVER
    });
}

#[test]
fn one_map_is_violated_without_the_fence() {
    let path = assert_violated(Bounds {
        safeguards: Safeguards {
            fence: false,
            armed_wait: true,
        },
        ..TAKEOVER
    });
    // The old coordinator's Arm command arrives after the new one has decided to abort.
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
fn one_map_is_violated_without_the_armed_wait() {
    let path = assert_violated(Bounds {
        takeovers: 0,
        safeguards: Safeguards {
            fence: true,
            armed_wait: false,
        },
        ..TAKEOVER
    });
    // An armed rank begins the step on the old map and another rank on the new one.
    let armed = path
        .iter()
        .position(|action| action.starts_with("rank 1 receives Arm"));
    let begun = path
        .iter()
        .position(|action| action.starts_with("engine 1 begins"));
    assert!(armed < begun, "{path:#?}");
    assert!(path.iter().any(|action| action.contains("Commit")));
}
