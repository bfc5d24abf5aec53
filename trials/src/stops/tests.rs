//! A short run in which gateways stop while workers answer wrongly, and the checks on fabricated attempts.

use sardinepin_common::{Clock, Millis};
use serde_json::{Value, json};

use super::record::{Attempt, Ending, Kind, Records, Stop};
use super::runs::{Runs, RunsById};
use super::{Options, play};

const GATEWAY: ([u8; 4], u16) = ([127, 0, 0, 1], 1);

/// Returns the rules that an attempt breaks which was sent `sent_at` after the signal and took `took`.
fn broken(kind: Kind, ending: Ending, sent_at: u64, took: u64, runs: Option<Runs>) -> Value {
    let records = Records::new(Clock::start());
    let began = Millis(10_000);
    records.add_stop(Stop {
        gateway: GATEWAY.into(),
        began,
        exited: Millis(17_800),
    });
    records.add(Attempt {
        id: "a".to_owned(),
        kind,
        gateway: GATEWAY.into(),
        is_kept: true,
        sent_at: began + Millis(sent_at),
        ended_at: began + Millis(sent_at + took),
        ending,
    });
    let runs: RunsById = runs
        .map(|runs| ("a".to_owned(), runs))
        .into_iter()
        .collect();
    let found = records.summary(&runs)["violations"].clone();
    let found = found.as_array().cloned().unwrap_or_default();
    found.iter().map(|one| one["rule"].clone()).collect()
}

/// A request that a worker worked on until `ended_at` after the signal.
fn ran_until(ended_at: u64) -> Option<Runs> {
    Some(Runs {
        arrivals: 1,
        count: 1,
        ended_at: Millis(10_000 + ended_at),
        ..Runs::default()
    })
}

fn ran() -> Option<Runs> {
    ran_until(0)
}

fn ran_twice() -> Option<Runs> {
    let runs = Runs {
        count: 2,
        ..ran().unwrap()
    };
    Some(runs)
}

fn spoiled() -> Option<Runs> {
    let runs = Runs {
        is_spoiled: true,
        ..ran().unwrap()
    };
    Some(runs)
}

/// A request that waits at a worker.
fn arrived() -> Option<Runs> {
    Some(Runs {
        arrivals: 1,
        ..Runs::default()
    })
}

/// Guards against a check that finds nothing, or that finds what the rules allow.
#[test]
fn stops_checks_find_doubled_foreign_and_falsely_refused_requests() {
    let cases = [
        (Kind::Book, Ending::Served, ran(), json!([])),
        (Kind::Book, Ending::Served, ran_twice(), json!(["twice"])),
        (Kind::Status, Ending::Served, ran_twice(), json!([])),
        (Kind::Book, Ending::Refused, None, json!([])),
        (
            Kind::Book,
            Ending::Refused,
            ran(),
            json!(["refused_but_ran"]),
        ),
        (
            Kind::Ask,
            Ending::LooksWhole,
            spoiled(),
            json!(["looks_whole"]),
        ),
        (Kind::Ask, Ending::Foreign, spoiled(), json!(["foreign"])),
    ];
    for (at, (kind, ending, runs, expected)) in cases.into_iter().enumerate() {
        assert_eq!(broken(kind, ending, 0, 40, runs), expected, "case {at}");
    }
}

/// Guards against an excuse that covers more than the rule does: each one is tried on both sides of its bounds.
#[test]
fn stops_checks_excuse_a_lost_answer_only_as_the_rule_does() {
    let excused = json!([]);
    let lost = json!(["lost"]);
    let unanswered = Ending::Unanswered;
    let cases = [
        // It crossed the end of its connection and was not passed on.
        (unanswered, 3_000, 200, None, &excused),
        (unanswered, 3_000, 201, None, &lost),
        (unanswered, 3_000, 200, arrived(), &lost),
        (Ending::Cut, 3_000, 200, None, &lost),
        // Its time budget has been used.
        (Ending::Cut, 4_000, 7_998, ran(), &excused),
        (Ending::Cut, 4_000, 7_997, ran(), &lost),
        // Its worker broke off.
        (Ending::Cut, 1_000, 2_000, spoiled(), &excused),
        (Ending::Cut, 1_000, 2_000, ran_until(3_000), &lost),
        // Its worker was at work in the last sixth of the grace, and it was sent within three seconds of the signal.
        (Ending::Cut, 3_000, 4_500, ran_until(6_667), &excused),
        (Ending::Cut, 3_001, 4_500, ran_until(6_667), &lost),
        (Ending::Cut, 3_000, 4_500, ran_until(6_666), &lost),
        (Ending::Cut, 0, 2_000, ran_until(2_000), &lost),
        // It still waits at a worker, which is no work.
        (unanswered, 1_000, 6_500, arrived(), &lost),
    ];
    for (at, (ending, sent_at, took, runs, expected)) in cases.into_iter().enumerate() {
        let found = broken(Kind::Ask, ending, sent_at, took, runs);
        assert_eq!(found, *expected, "case {at}");
    }
}

/// Returns the options of a short run of two gateways.
fn short() -> Options {
    Options {
        seed: 1,
        gateways: 2,
        callers: 30,
        event_ms: 40,
        events: 26,
        varies: true,
        slots: 12,
        slow_percent: 20,
        read_speed: 0,
        answer_bytes: 20_000,
        event_bytes: 60,
        body_bytes: 900,
        chunked_percent: 30,
        groups: 0,
        stall_ms: 0,
        stall_pause_ms: 0,
        pause_ms: 500,
        overlap_ms: 0,
        wrong_percent: 0,
        changes: true,
        store_away: true,
        keep_logs: false,
        program: None,
    }
}

/// Plays a run and checks that no rule is broken.
fn play_clean(options: Options) {
    let line = crate::arguments::block_on(play(options)).unwrap();
    assert_eq!(line["violations"], json!([]), "{line}");
    assert!(line["finally"]["book_served"].as_u64() > Some(0), "{line}");
}

/// Guards against answers that are lost, doubled, foreign or cut unnoticed while gateways stop, the configuration changes and workers answer wrongly.
#[test]
fn stops_of_two_gateways_lose_nothing() {
    play_clean(Options {
        wrong_percent: 10,
        ..short()
    });
}

/// Guards against streams that are cut as their group of workers stalls for a moment while their gateway stops.
#[test]
fn stops_beside_stalled_groups_lose_nothing() {
    play_clean(Options {
        groups: 2,
        stall_ms: 800,
        stall_pause_ms: 700,
        overlap_ms: 1_500,
        ..short()
    });
}
