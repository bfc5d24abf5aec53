//! Tests of following an attempt.

use assert_matches::assert_matches;
use sardinepin_common::Incarnation;
use sardinepin_protocol::{ErrorKind, SettledState};

use super::{FollowAction, FollowEvent, FollowMachine};
use crate::events::AttemptEnd;

const AGENT: Incarnation = Incarnation(3);

fn begun() -> FollowMachine {
    let mut machine = FollowMachine::new(AGENT);
    assert_eq!(
        machine.handle(FollowEvent::Head),
        Some(FollowAction::ForwardHead)
    );
    machine
}

#[test]
fn whole_answer_drops_repeats_and_strangers() {
    let mut machine = begun();
    let pass = Some(FollowAction::ForwardChunk);
    assert_eq!(machine.handle(FollowEvent::Chunk { seq: 0 }), pass);
    assert_eq!(machine.handle(FollowEvent::Chunk { seq: 0 }), None);
    assert_eq!(machine.handle(FollowEvent::Chunk { seq: 2 }), None);
    assert_eq!(machine.handle(FollowEvent::End { chunks: 3 }), None);
    assert_eq!(machine.handle(FollowEvent::Chunk { seq: 1 }), pass);
    assert_eq!(
        machine.handle(FollowEvent::End { chunks: 2 }),
        Some(FollowAction::Done(AttemptEnd::Complete))
    );
}

#[test]
fn whole_answer_goes_on_over_a_new_link() {
    let mut machine = begun();
    machine.handle(FollowEvent::Chunk { seq: 0 });
    assert_eq!(
        machine.handle(FollowEvent::LinkLost),
        Some(FollowAction::AwaitLink)
    );
    assert_eq!(machine.handle(FollowEvent::Chunk { seq: 1 }), None);
    assert_eq!(
        machine.handle(FollowEvent::LinkUp(AGENT)),
        Some(FollowAction::QueryAgent { chunks: 1 })
    );
    assert_eq!(
        machine.handle(FollowEvent::Settled(SettledState::Attached)),
        Some(FollowAction::Resumed)
    );
    assert_eq!(
        machine.handle(FollowEvent::Chunk { seq: 1 }),
        Some(FollowAction::ForwardChunk)
    );
}

#[test]
fn not_run_is_said_only_by_the_agent_after_a_lost_link() {
    let mut machine = FollowMachine::new(AGENT);
    machine.handle(FollowEvent::LinkLost);
    machine.handle(FollowEvent::LinkUp(AGENT));
    assert_matches!(
        machine.handle(FollowEvent::Settled(SettledState::NotRun)),
        Some(FollowAction::Done(AttemptEnd::NotRun {
            kind: ErrorKind::Tombstoned,
            ..
        }))
    );
}

#[test]
fn not_run_is_not_said_when_another_incarnation_answers() {
    let mut machine = FollowMachine::new(AGENT);
    machine.handle(FollowEvent::LinkLost);
    assert_matches!(
        machine.handle(FollowEvent::LinkUp(Incarnation(4))),
        Some(FollowAction::Done(AttemptEnd::Unknown {
            crashed: true,
            ..
        }))
    );
}

#[test]
fn not_run_is_not_said_at_the_deadline_or_after_the_settle_timeout() {
    for event in [FollowEvent::Deadline, FollowEvent::SettleTimeout] {
        let mut machine = FollowMachine::new(AGENT);
        machine.handle(FollowEvent::LinkLost);
        assert_matches!(
            machine.handle(event),
            Some(FollowAction::Done(AttemptEnd::Unknown { .. }))
        );
    }
}
