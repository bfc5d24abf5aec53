//! The states of one idempotency key at one agent.

#![allow(
    missing_docs,
    reason = "the state machine macro writes items without comments"
)]

use std::hash::{Hash, Hasher};

use statig::prelude::*;

use crate::claims::CachedAnswer;

/// What happens to a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyEvent {
    /// An attempt is about to claim it.
    Claim,
    /// A claim with this nonce is about to be written.
    WriteClaim(u64),
    /// The claim names this process, and the call is about to run.
    Run,
    /// The claim was not obtained; the call has not run here.
    NotClaimed,
    /// The call was claimed but did not reach the upstream.
    NotRun,
    /// The whole answer has come, from the upstream or from the process that ran the call.
    Finish(CachedAnswer),
    /// The call may have run, and its answer is lost or too large to keep.
    LoseAnswer,
    /// Another process asks for the key.
    Release,
}

/// How many claims of this process that never ran are remembered for one key.
const NONCES_MAX: usize = 8;

/// One key at one agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyMachine {
    inner: InitializedStateMachine<Key>,
}

impl KeyMachine {
    /// Starts with a key that is being claimed for the first time here.
    #[must_use]
    pub fn new() -> Self {
        Self {
            inner: Key::default().uninitialized_state_machine().init(),
        }
    }

    /// Takes in one event.
    pub fn handle(&mut self, event: KeyEvent) {
        self.inner.handle(&event);
    }

    /// Returns the state.
    #[must_use]
    pub fn state(&self) -> &KeyState {
        self.inner.state()
    }

    /// Returns whether the call may run once the claim names this process.
    #[must_use]
    pub fn may_run(&self) -> bool {
        *self.state() == KeyState::Claiming {}
    }

    /// Returns whether a claim with this nonce is this process's, never ran, and was not released.
    #[must_use]
    pub fn is_unused(&self, nonce: u64) -> bool {
        self.inner.unused.contains(&nonce)
    }

    /// Returns whether a claim with this nonce never ran, but was released to others.
    #[must_use]
    pub fn was_released(&self, nonce: u64) -> bool {
        self.inner.released.contains(&nonce)
    }
}

impl Hash for KeyMachine {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state().hash(hasher);
        Key::hash(&self.inner, hasher);
    }
}

impl Default for KeyMachine {
    fn default() -> Self {
        Self::new()
    }
}

impl KeyState {
    /// Returns whether an attempt is claiming or running the key.
    #[must_use]
    pub fn is_open(&self) -> bool {
        matches!(self, Self::Claiming {} | Self::Running {})
    }

    /// Returns whether the call is known never to have run here.
    #[must_use]
    pub fn never_ran(&self) -> bool {
        *self == Self::Idle {}
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Key {
    /// The nonces of claims that never ran and that no other process was told of.
    unused: Vec<u64>,
    /// The nonces of claims that never ran and that others may take over.
    released: Vec<u64>,
}

impl Key {
    /// A nonce that is forgotten is answered as unknown, so forgetting is safe.
    fn write(&mut self, nonce: u64) {
        if self.unused.len() == NONCES_MAX {
            self.unused.remove(0);
        }
        self.unused.push(nonce);
    }

    fn release(&mut self) {
        self.released.append(&mut self.unused);
        let excess = self.released.len().saturating_sub(NONCES_MAX);
        self.released.drain(..excess);
    }

    fn forget(&mut self) {
        self.unused.clear();
        self.released.clear();
    }
}

#[state_machine(
    initial = "KeyState::claiming()",
    state(name = "KeyState", derive(Debug, Clone, PartialEq, Eq, Hash))
)]
impl Key {
    /// An attempt is claiming it.
    #[state(superstate = "open")]
    fn claiming(&mut self, event: &KeyEvent) -> Outcome<KeyState> {
        match event {
            KeyEvent::WriteClaim(nonce) => {
                self.write(*nonce);
                Handled
            }
            KeyEvent::Run => Transition(KeyState::running()),
            KeyEvent::NotClaimed => Transition(KeyState::idle()),
            _ => Super,
        }
    }

    /// The call may have reached the upstream.
    #[state(superstate = "open")]
    fn running(event: &KeyEvent) -> Outcome<KeyState> {
        match event {
            KeyEvent::NotRun => Transition(KeyState::idle()),
            _ => Super,
        }
    }

    /// An attempt is claiming or running it; the answer may come, or be lost.
    #[superstate]
    fn open(&mut self, event: &KeyEvent) -> Outcome<KeyState> {
        match event {
            KeyEvent::Finish(answer) => {
                self.forget();
                Transition(KeyState::done(answer.clone()))
            }
            KeyEvent::LoseAnswer => {
                self.forget();
                Transition(KeyState::unknown())
            }
            _ => Handled,
        }
    }

    /// The call never ran here; claims of this process may stand.
    #[state]
    fn idle(&mut self, event: &KeyEvent) -> Outcome<KeyState> {
        match event {
            KeyEvent::Claim => Transition(KeyState::claiming()),
            KeyEvent::Release => {
                self.release();
                Handled
            }
            _ => Handled,
        }
    }

    /// The call ran and gave this answer.
    #[state]
    fn done(#[expect(unused_variables)] answer: &CachedAnswer) -> Outcome<KeyState> {
        Handled
    }

    /// The call may have run, and its answer is not to be had.
    #[state]
    fn unknown() -> Outcome<KeyState> {
        Handled
    }
}
