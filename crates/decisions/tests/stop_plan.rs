//! Tests of what a process that stops still takes.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_decisions::{AnswerTimes, RequestTime, StopPlan};

const PLAN: StopPlan = StopPlan {
    ends_at: Millis(10_000),
};

fn time(left: u64, longest: Option<u64>) -> RequestTime {
    RequestTime {
        left: Millis(left),
        longest: longest.map(Millis),
    }
}

/// Guards against a request being taken that is cut when the process ends, and against refusing those that surely end before.
#[test]
fn request_is_taken_only_if_it_surely_ends_before_the_process() {
    let cases = [
        // Nothing is known but its own time.
        (0, time(9_800, None), true),
        (0, time(9_801, None), false),
        (9_000, time(800, None), true),
        (9_000, time(801, None), false),
        // Answers of its kind took less: half as long again is allowed for.
        (7_000, time(8_000, Some(1_800)), true),
        (7_000, time(8_000, Some(1_900)), false),
        // Its own time is shorter than theirs.
        (9_500, time(300, Some(5_000)), true),
        (9_800, time(8_000, Some(0)), true),
        (9_801, time(0, Some(0)), false),
    ];
    for (now, time, takes) in cases {
        assert_eq!(PLAN.takes(Millis(now), time), takes, "{now}: {time:?}");
        let latest = PLAN.latest_begin(time);
        let is_before = latest.is_some_and(|latest| Millis(now) <= latest);
        assert_eq!(is_before, takes, "{now}: {time:?}");
    }
}

/// Guards against the last answers being written as the process ends.
#[test]
fn what_still_runs_is_answered_before_the_process_ends() {
    assert_eq!(PLAN.cut_at(), Millis(9_800));
    let at_once = StopPlan {
        ends_at: Millis(100),
    };
    assert_eq!(at_once.cut_at(), Millis::ZERO);
}

/// Guards against a time that was measured long ago, or on another route, deciding on a request.
#[test]
fn longest_time_is_that_of_the_route_lately() {
    let (ask, book) = (Arc::from("ask"), Arc::from("book"));
    let mut times = AnswerTimes::default();
    assert_eq!(times.longest(Millis(0), "ask"), None);
    times.record(Millis(1_000), &ask, Millis(3_000));
    times.record(Millis(2_000), &ask, Millis(500));
    times.record(Millis(2_000), &book, Millis(40));
    assert_eq!(times.longest(Millis(14_000), "ask"), Some(Millis(3_000)));
    assert_eq!(times.longest(Millis(14_000), "book"), Some(Millis(40)));
    times.record(Millis(20_000), &ask, Millis(700));
    assert_eq!(times.longest(Millis(20_000), "ask"), Some(Millis(3_000)));
    assert_eq!(times.longest(Millis(31_000), "ask"), Some(Millis(700)));
    assert_eq!(times.longest(Millis(90_000), "ask"), None);
}
