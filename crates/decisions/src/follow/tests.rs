//! Tests of the follow state machine.

use assert_matches::assert_matches;
use sardinepin_common::Incarnation;
use sardinepin_protocol::{ErrorKind, SettledState};

use super::{FollowAction, FollowEvent, FollowMachine};
use crate::events::AttemptEnd;

const AGENT: Incarnation = Incarnation(3);

/// Returns the state machine of an attempt whose response head has arrived.
fn machine_after_head() -> FollowMachine {
    let mut machine = FollowMachine::new(AGENT);
    assert_eq!(
        machine.handle(FollowEvent::Head),
        Some(FollowAction::ForwardHead)
    );
    machine
}

#[test]
fn whole_answer_ignores_duplicate_and_out_of_order_chunks() {
    let mut machine = machine_after_head();
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
fn whole_answer_resumes_over_a_new_link() {
    let mut machine = machine_after_head();
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
fn not_run_after_a_lost_link_requires_the_agent_to_report_it() {
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
fn not_run_is_not_reported_if_another_incarnation_answers() {
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
fn not_run_is_not_reported_at_the_deadline_or_settle_timeout() {
    for event in [FollowEvent::Deadline, FollowEvent::SettleTimeout] {
        let mut machine = FollowMachine::new(AGENT);
        machine.handle(FollowEvent::LinkLost);
        assert_matches!(
            machine.handle(event),
            Some(FollowAction::Done(AttemptEnd::Unknown { .. }))
        );
    }
}
