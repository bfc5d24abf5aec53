//! The states of one attempt at its agent.

#![allow(
    missing_docs,
    reason = "the state machine macro writes items without comments"
)]

use sardinepin_protocol::ErrorKind;
use statig::prelude::*;

/// What happens to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// It is about to reach the upstream.
    Begin,
    /// It is turned down before it began.
    Refuse(ErrorKind),
    /// The entry withdraws it, or asks what became of it.
    Withdraw,
    /// The upstream could not be reached: no byte of the call left.
    Unreached,
    /// The upstream's whole answer has come.
    Finish,
    /// No more of the upstream's answer will come.
    Break(ErrorKind),
}

/// One attempt at its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptMachine {
    inner: InitializedStateMachine<Attempt>,
}

impl AttemptMachine {
    /// Starts with an attempt that waits.
    #[must_use]
    pub fn new() -> Self {
        Self {
            inner: Attempt.uninitialized_state_machine().init(),
        }
    }

    /// Takes in one event.
    pub fn handle(&mut self, event: AttemptEvent) {
        self.inner.handle(&event);
    }

    /// Returns the state.
    #[must_use]
    pub fn state(&self) -> &AttemptState {
        self.inner.state()
    }
}

impl Default for AttemptMachine {
    fn default() -> Self {
        Self::new()
    }
}

impl AttemptState {
    /// Returns whether nothing more can happen to the attempt.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        !matches!(self, Self::Waiting {} | Self::Running {})
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Attempt;

#[state_machine(
    initial = "AttemptState::waiting()",
    state(name = "AttemptState", derive(Debug, Clone, PartialEq, Eq, Hash))
)]
impl Attempt {
    /// It has not begun; it may still be refused or withdrawn.
    #[state]
    fn waiting(event: &AttemptEvent) -> Outcome<AttemptState> {
        match event {
            AttemptEvent::Begin => Transition(AttemptState::running()),
            AttemptEvent::Refuse(kind) => Transition(AttemptState::refused(*kind)),
            AttemptEvent::Withdraw => Transition(AttemptState::refused(ErrorKind::Tombstoned)),
            _ => Handled,
        }
    }

    /// It may have reached the upstream.
    #[state]
    fn running(event: &AttemptEvent) -> Outcome<AttemptState> {
        match event {
            AttemptEvent::Unreached => Transition(AttemptState::refused(ErrorKind::Unreachable)),
            AttemptEvent::Finish => Transition(AttemptState::finished()),
            AttemptEvent::Break(kind) => Transition(AttemptState::broken(*kind)),
            _ => Handled,
        }
    }

    /// It did not run and never will.
    #[state]
    fn refused(#[expect(unused_variables)] kind: &ErrorKind) -> Outcome<AttemptState> {
        Handled
    }

    /// It ran and its answer is whole.
    #[state]
    fn finished() -> Outcome<AttemptState> {
        Handled
    }

    /// It may have run, and its answer is not whole.
    #[state]
    fn broken(#[expect(unused_variables)] kind: &ErrorKind) -> Outcome<AttemptState> {
        Handled
    }
}
