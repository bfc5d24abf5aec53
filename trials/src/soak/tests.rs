//! Tests of the checkers on fabricated records, and a short run.

use sardinepin_common::Millis;
use sardinepin_protocol::Outcome;
use sardinepin_standins::fleet::{ChildProcess, binary_path};
use sardinepin_standins::http::spawn_server;
use sardinepin_standins::load::{self, CallKind, CallMix, Report, SendRecord};
use sardinepin_standins::plain::{Faults, PlainService};

use super::checks::{ConfigHistory, find, find_exited};
use super::{Options, soak};
use crate::outcomes::violations::RunCounts;

/// The checks that fail for a keyed call with this outcome that ran so many times.
fn failed_checks(outcome: Outcome, count: u64) -> Vec<&'static str> {
    let record = SendRecord {
        kind: CallKind::Keyed,
        request: "r".to_owned(),
        key: Some("k".to_owned()),
        outcome,
        reason: String::new(),
        ended_at: Millis::ZERO,
        left_at: None,
    };
    let report = Report {
        records: vec![record],
        ..Report::default()
    };
    let mut runs = RunCounts::default();
    runs.keys.insert("k".to_owned(), count);
    find(&report, &runs)
        .iter()
        .map(|found| found.check)
        .collect()
}

/// Guards against a checker that passes whatever ran.
#[test]
fn soak_checks_compare_outcomes_with_runs() {
    assert!(failed_checks(Outcome::Answered, 1).is_empty());
    assert!(failed_checks(Outcome::NotRun, 0).is_empty());
    assert!(failed_checks(Outcome::Unknown, 0).is_empty());
    assert!(failed_checks(Outcome::Unknown, 1).is_empty());
    assert_eq!(failed_checks(Outcome::Unknown, 2), ["at_most_once"]);
    assert_eq!(failed_checks(Outcome::NotRun, 1), ["not_run"]);
    assert_eq!(failed_checks(Outcome::Answered, 0), ["never_ran"]);
}

#[test]
fn soak_check_finds_a_configuration_that_goes_back() {
    let mut history = ConfigHistory::default();
    assert!(history.record(1, false));
    assert!(history.record(1, true));
    assert!(history.record(2, true));
    assert!(history.record(3, false));
    assert!(history.record(2, true));
    assert!(!history.record(2, false));
    assert!(!history.record(1, false));
}

#[tokio::test]
async fn soak_check_finds_a_process_that_has_ended() {
    let binary = binary_path("sardinepin-standins").unwrap();
    let mut process = ChildProcess::start(&binary, &["plain".to_owned()])
        .await
        .unwrap();
    assert!(find_exited([("plain", &mut process)]).unwrap().is_empty());
    process.kill().await.unwrap();
    assert_eq!(find_exited([("plain", &mut process)]).unwrap().len(), 1);
}

/// A stand-in in place of a gateway that lies: it runs calls and answers as if they had not run, or breaks its
/// answers off.
#[tokio::test]
async fn soak_checks_find_a_gateway_that_lies() {
    let service = PlainService::start(None).unwrap();
    let address = spawn_server(service.clone()).await.unwrap();
    let settings = load::Settings {
        entries: vec![address],
        requests: 5,
        organisations: vec!["o".to_owned()],
        mix: CallMix {
            keyed: 1,
            plain: 0,
            stream: 0,
            chat: 0,
        },
        records: true,
        // The stand-in does not know the organisation, as if it had mixed up callers.
        platform: true,
        ..load::Settings::default()
    };
    let report = load::run(settings.clone()).await.unwrap();
    assert_eq!(report.wrong_owner, 5);
    let counts = service.counts();
    let runs = RunCounts {
        keys: counts.runs.clone(),
        ..RunCounts::default()
    };
    assert_eq!(find(&report, &runs).len(), 5, "{report:?}");
    let resting = PlainService::start_with(
        None,
        Faults {
            rest_seconds: Some(1),
            ..Faults::default()
        },
    );
    let resting = spawn_server(resting.unwrap()).await.unwrap();
    let settings = load::Settings {
        entries: vec![resting],
        ..settings
    };
    let report = load::run(settings).await.unwrap();
    // The same calls ran at the first stand-in, and this one says that they did not.
    let found = find(&report, &runs);
    assert_eq!(
        found
            .iter()
            .filter(|found| found.check == "not_run")
            .count(),
        5,
        "{found:?}"
    );
}

/// A short run of real processes; `trials soak` runs longer ones with other seeds.
#[tokio::test(flavor = "multi_thread")]
async fn soak_of_a_few_seconds_violates_nothing() {
    let (lines, summary) = soak(Options {
        seed: 1,
        seconds: 4,
    })
    .await
    .unwrap();
    let violations = lines.iter().filter(|line| line["kind"] == "violation");
    let violations: Vec<_> = violations.map(ToString::to_string).collect();
    assert_eq!(
        summary["violations"],
        0,
        "seed 1: {summary}\n{}",
        violations.join("\n")
    );
    assert!(summary["answered"].as_u64() > Some(0), "{summary}");
}
