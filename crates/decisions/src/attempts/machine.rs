//! The state machine of one attempt at its agent.

#![allow(
    missing_docs,
    reason = "the state machine macro generates items without doc comments"
)]

use sardinepin_protocol::ErrorKind;
use statig::prelude::*;

/// An event of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The request is about to be sent to the upstream.
    Begin,
    /// The attempt is refused before it has begun.
    Refuse(ErrorKind),
    /// The entry withdraws the attempt, or asks about it; either stops an attempt that has not begun.
    Withdraw,
    /// The upstream could not be reached, and no byte of the request was sent.
    Unreached,
    /// The upstream's response is complete.
    Finish,
    /// No more of the upstream's response will arrive, although it is incomplete.
    Break(ErrorKind),
}

/// The state machine of one attempt at its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptMachine {
    inner: InitializedStateMachine<Attempt>,
}

impl AttemptMachine {
    /// Creates the state machine of an attempt that waits to begin.
    #[must_use]
    pub fn new() -> Self {
        Self {
            inner: Attempt.uninitialized_state_machine().init(),
        }
    }

    /// Applies an event; events that do not fit the state are ignored.
    pub fn handle(&mut self, event: AttemptEvent) {
        self.inner.handle(&event);
    }

    /// Returns the current state.
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
    /// Returns whether the state is final.
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
    /// The attempt has not begun and may still be refused or withdrawn.
    #[state]
    fn waiting(event: &AttemptEvent) -> Outcome<AttemptState> {
        match event {
            AttemptEvent::Begin => Transition(AttemptState::running()),
            AttemptEvent::Refuse(kind) => Transition(AttemptState::refused(*kind)),
            AttemptEvent::Withdraw => Transition(AttemptState::refused(ErrorKind::Tombstoned)),
            _ => Handled,
        }
    }

    /// The request may have reached the upstream.
    #[state]
    fn running(event: &AttemptEvent) -> Outcome<AttemptState> {
        match event {
            AttemptEvent::Unreached => Transition(AttemptState::refused(ErrorKind::Unreachable)),
            AttemptEvent::Finish => Transition(AttemptState::finished()),
            AttemptEvent::Break(kind) => Transition(AttemptState::broken(*kind)),
            _ => Handled,
        }
    }

    /// The attempt has not run and never will.
    #[state]
    fn refused(#[expect(unused_variables)] kind: &ErrorKind) -> Outcome<AttemptState> {
        Handled
    }

    /// The attempt ran and its response is complete.
    #[state]
    fn finished() -> Outcome<AttemptState> {
        Handled
    }

    /// The attempt may have run, and its response is incomplete.
    #[state]
    fn broken(#[expect(unused_variables)] kind: &ErrorKind) -> Outcome<AttemptState> {
        Handled
    }
}
