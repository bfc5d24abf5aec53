//! Tests of the attempt table.

use sardinepin_common::{AttemptId, Incarnation, Millis};
use sardinepin_protocol::{ErrorKind, SettledState};

use super::{AttemptAdmission, AttemptEvent, AttemptSettings, AttemptTable};

const ENTRY: Incarnation = Incarnation(7);
const OWN: Incarnation = Incarnation(9);

fn id(number: u64) -> AttemptId {
    AttemptId {
        entry: ENTRY,
        number,
    }
}

fn settle(table: &mut AttemptTable, number: u64) -> SettledState {
    table.settle(Millis::ZERO, id(number), OWN, OWN)
}

#[test]
fn not_run_attempt_that_never_arrived_is_refused_when_it_comes_late() {
    let mut table = AttemptTable::new(AttemptSettings::default());
    assert_eq!(settle(&mut table, 1), SettledState::NotRun);
    assert_eq!(
        table.admit(id(1)),
        AttemptAdmission::Refused(ErrorKind::Tombstoned)
    );
    assert!(!table.begin(id(1)));
}

#[test]
fn not_run_attempt_that_waits_is_withdrawn() {
    let mut table = AttemptTable::new(AttemptSettings::default());
    assert_eq!(table.admit(id(1)), AttemptAdmission::New);
    assert_eq!(settle(&mut table, 1), SettledState::NotRun);
    assert!(!table.begin(id(1)));
}

#[test]
fn not_run_is_not_said_of_an_attempt_that_runs() {
    let mut table = AttemptTable::new(AttemptSettings::default());
    table.admit(id(1));
    assert!(table.begin(id(1)));
    assert_eq!(settle(&mut table, 1), SettledState::Attached);
    table.handle(
        Millis::ZERO,
        id(1),
        AttemptEvent::Break(ErrorKind::UpstreamBroke),
    );
    assert_eq!(settle(&mut table, 1), SettledState::Unknown);
}

#[test]
fn not_run_is_not_said_of_an_attempt_that_was_forgotten() {
    let mut table = AttemptTable::new(AttemptSettings {
        keep_ms: 10,
        ..AttemptSettings::default()
    });
    table.admit(id(3));
    assert!(table.begin(id(3)));
    table.handle(Millis::ZERO, id(3), AttemptEvent::Finish);
    table.sweep(Millis(10));
    assert_eq!(table.state(id(3)), None);
    assert_eq!(settle(&mut table, 3), SettledState::Unknown);
    assert_eq!(table.admit(id(3)), AttemptAdmission::Unknown);
    assert_eq!(settle(&mut table, 4), SettledState::NotRun);
}

#[test]
fn not_run_is_not_said_for_an_earlier_incarnation() {
    let mut table = AttemptTable::new(AttemptSettings::default());
    let state = table.settle(Millis::ZERO, id(1), Incarnation(8), OWN);
    assert_eq!(state, SettledState::Unknown);
}

#[test]
fn at_most_once_an_attempt_begins_once() {
    let mut table = AttemptTable::new(AttemptSettings::default());
    assert_eq!(table.admit(id(1)), AttemptAdmission::New);
    assert_eq!(table.admit(id(1)), AttemptAdmission::Duplicate);
    assert!(table.begin(id(1)));
    assert!(!table.begin(id(1)));
}

#[test]
fn full_table_refuses_rather_than_forgets_what_is_open() {
    let mut table = AttemptTable::new(AttemptSettings {
        records_max: 1,
        ..AttemptSettings::default()
    });
    assert_eq!(table.admit(id(1)), AttemptAdmission::New);
    assert_eq!(
        table.admit(id(2)),
        AttemptAdmission::Refused(ErrorKind::Busy)
    );
    assert_eq!(table.open_count(), 1);
}
