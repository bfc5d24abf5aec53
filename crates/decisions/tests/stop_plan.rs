//! Tests of what a process that stops still takes.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_decisions::{AnswerTimes, RequestTime, StopPlan};

const PLAN: StopPlan = StopPlan {
    accepts_until: Millis(4_000),
    ends_at: Millis(10_000),
};

fn time(deadline: u64, expected: Option<u64>) -> RequestTime {
    RequestTime {
        deadline: Millis(deadline),
        expected: expected.map(Millis),
    }
}

/// Guards against a request being taken that is cut when the process ends, and against refusing those that end before.
#[test]
fn request_is_taken_only_if_it_ends_before_the_process() {
    let cases = [
        // Nothing is known but its own time.
        (0, time(9_800, None), true),
        (0, time(9_801, None), false),
        (9_000, time(9_800, None), true),
        (9_000, time(9_801, None), false),
        // As long as new connections come, answers of its kind tell as well: half as long again is allowed for.
        (4_000, time(12_000, Some(3_866)), true),
        (4_000, time(12_000, Some(3_868)), false),
        (0, time(12_000, Some(6_533)), true),
        (0, time(12_000, Some(6_534)), false),
        // Its own time is shorter than theirs.
        (9_500, time(9_800, Some(5_000)), true),
    ];
    for (now, time, takes) in cases {
        assert_eq!(PLAN.takes(Millis(now), time), takes, "{now}: {time:?}");
        let latest = PLAN.latest_begin(time);
        let is_before = latest.is_some_and(|latest| Millis(now) <= latest);
        assert_eq!(is_before, takes, "{now}: {time:?}");
    }
}

/// Guards against an estimate being taken for a promise: once callers can go elsewhere, a request that may outlast the process is refused
/// however short earlier answers were.
#[test]
fn short_answers_do_not_vouch_for_a_request_once_no_new_connections_come() {
    for expected in [None, Some(0), Some(1), Some(1_000), Some(20_000)] {
        for now in [4_001, 5_000, 9_000] {
            assert!(!PLAN.takes(Millis(now), time(9_801, expected)));
            assert!(PLAN.takes(Millis(now), time(9_800, expected)));
        }
    }
}

/// Guards against the last answers being written as the process ends.
#[test]
fn what_still_runs_is_answered_before_the_process_ends() {
    assert_eq!(PLAN.cut_at(), Millis(9_800));
    let at_once = StopPlan {
        accepts_until: Millis::ZERO,
        ends_at: Millis(100),
    };
    assert_eq!(at_once.cut_at(), Millis::ZERO);
}

/// Guards against a time that was measured long ago, or on another route, deciding on a request.
#[test]
fn expected_time_is_the_longest_of_the_route_lately() {
    let (ask, book) = (Arc::from("ask"), Arc::from("book"));
    let mut times = AnswerTimes::default();
    let expected = |times: &AnswerTimes, now, route| {
        times.expected(Millis(now), route, None).map(|time| time.0)
    };
    assert_eq!(expected(&times, 0, "ask"), None);
    times.record(Millis(1_000), &ask, Millis(3_000), None);
    times.record(Millis(2_000), &ask, Millis(500), None);
    times.record(Millis(2_000), &book, Millis(40), None);
    assert_eq!(expected(&times, 14_000, "ask"), Some(3_000));
    assert_eq!(expected(&times, 14_000, "book"), Some(40));
    times.record(Millis(20_000), &ask, Millis(700), None);
    assert_eq!(expected(&times, 20_000, "ask"), Some(3_000));
    assert_eq!(expected(&times, 31_000, "ask"), Some(700));
    assert_eq!(expected(&times, 90_000, "ask"), None);
}

/// Guards against a long stream being expected to take as long as the few short ones before it.
#[test]
fn request_that_allows_more_tokens_is_expected_to_take_longer() {
    let ask = Arc::from("ask");
    let mut times = AnswerTimes::default();
    times.record(Millis(1_000), &ask, Millis(900), Some(60));
    times.record(Millis(1_000), &ask, Millis(10), Some(0));
    let expected = |tokens| {
        times
            .expected(Millis(1_000), "ask", tokens)
            .map(|time| time.0)
    };
    assert_eq!(expected(Some(600)), Some(9_000));
    assert_eq!(expected(Some(60)), Some(900));
    assert_eq!(expected(Some(6)), Some(900));
    assert_eq!(expected(None), Some(900));
    assert_eq!(
        expected(Some(u64::MAX)).map(|time| time > 9_000),
        Some(true)
    );
}
