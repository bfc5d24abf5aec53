//! The state machine of one idempotency key at one agent.

#![allow(
    missing_docs,
    reason = "the state machine macro generates items without doc comments"
)]

use std::hash::{Hash, Hasher};

use statig::prelude::*;

use crate::claims::CachedResponse;

/// An event of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyEvent {
    /// An attempt is about to claim the key.
    Claim,
    /// A claim with this nonce is about to be written to the store.
    WriteClaim(u64),
    /// The stored claim names this process, and the request is about to run.
    Run,
    /// The claim was not obtained, so the request has not run here.
    NotClaimed,
    /// The key was claimed, but the request did not reach the upstream.
    NotRun,
    /// The complete response has arrived, from the upstream or from the process that ran the request.
    Finish(CachedResponse),
    /// The request may have run, and its response is lost or too large to keep.
    LoseResponse,
    /// Another process asks for the key; an idle key is released to it.
    Release,
}

/// Maximum number of nonces in each of a key's two lists, unused and released.
const NONCES_MAX: usize = 8;

/// The state machine of one idempotency key at one agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyMachine {
    inner: InitializedStateMachine<Key>,
}

impl KeyMachine {
    /// Creates the state machine of a key that is being claimed here for the first time.
    #[must_use]
    pub fn new() -> Self {
        Self {
            inner: Key::default().uninitialized_state_machine().init(),
        }
    }

    /// Applies an event; events that do not fit the state are ignored.
    pub fn handle(&mut self, event: KeyEvent) {
        self.inner.handle(&event);
    }

    /// Returns the current state.
    #[must_use]
    pub fn state(&self) -> &KeyState {
        self.inner.state()
    }

    /// Returns whether the request may run as soon as the stored claim names this process.
    #[must_use]
    pub fn may_run(&self) -> bool {
        *self.state() == KeyState::Claiming {}
    }

    /// Returns whether this process wrote the claim with this nonce, never ran it and has not
    /// released it.
    #[must_use]
    pub fn is_unused(&self, nonce: u64) -> bool {
        self.inner.unused_nonces.contains(&nonce)
    }

    /// Returns whether this process released the claim with this nonce without having run it.
    #[must_use]
    pub fn was_released(&self, nonce: u64) -> bool {
        self.inner.released_nonces.contains(&nonce)
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
    /// Returns whether an attempt is claiming the key or running its request.
    #[must_use]
    pub fn is_open(&self) -> bool {
        matches!(self, Self::Claiming {} | Self::Running {})
    }

    /// Returns whether the request is known never to have run here.
    #[must_use]
    pub fn never_ran(&self) -> bool {
        *self == Self::Idle {}
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Key {
    /// The nonces of claims that never ran and were not released, oldest first.
    unused_nonces: Vec<u64>,
    /// The nonces of claims that never ran and that other processes may take over, oldest first.
    released_nonces: Vec<u64>,
}

impl Key {
    /// Adds the nonce of a claim and drops the oldest if there are too many.
    ///
    /// Dropping one is safe, since a claim of an unlisted nonce is reported as unknown and never run.
    fn add_nonce(&mut self, nonce: u64) {
        if self.unused_nonces.len() == NONCES_MAX {
            self.unused_nonces.remove(0);
        }
        self.unused_nonces.push(nonce);
    }

    fn release_nonces(&mut self) {
        self.released_nonces.append(&mut self.unused_nonces);
        let excess = self.released_nonces.len().saturating_sub(NONCES_MAX);
        self.released_nonces.drain(..excess);
    }

    fn clear_nonces(&mut self) {
        self.unused_nonces.clear();
        self.released_nonces.clear();
    }
}

#[state_machine(
    initial = "KeyState::claiming()",
    state(name = "KeyState", derive(Debug, Clone, PartialEq, Eq, Hash))
)]
impl Key {
    /// An attempt is claiming the key.
    #[state(superstate = "open")]
    fn claiming(&mut self, event: &KeyEvent) -> Outcome<KeyState> {
        match event {
            KeyEvent::WriteClaim(nonce) => {
                self.add_nonce(*nonce);
                Handled
            }
            KeyEvent::Run => Transition(KeyState::running()),
            KeyEvent::NotClaimed => Transition(KeyState::idle()),
            _ => Super,
        }
    }

    /// The request may have reached the upstream.
    #[state(superstate = "open")]
    fn running(event: &KeyEvent) -> Outcome<KeyState> {
        match event {
            KeyEvent::NotRun => Transition(KeyState::idle()),
            _ => Super,
        }
    }

    /// An attempt is claiming the key or running its request; the response may arrive or be lost.
    #[superstate]
    fn open(&mut self, event: &KeyEvent) -> Outcome<KeyState> {
        match event {
            KeyEvent::Finish(response) => {
                self.clear_nonces();
                Transition(KeyState::done(response.clone()))
            }
            KeyEvent::LoseResponse => {
                self.clear_nonces();
                Transition(KeyState::unknown())
            }
            _ => Handled,
        }
    }

    /// The request never ran here, but claims that name this process may be in the store.
    #[state]
    fn idle(&mut self, event: &KeyEvent) -> Outcome<KeyState> {
        match event {
            KeyEvent::Claim => Transition(KeyState::claiming()),
            KeyEvent::Release => {
                self.release_nonces();
                Handled
            }
            _ => Handled,
        }
    }

    /// The request ran and returned this response.
    #[state]
    fn done(#[expect(unused_variables)] response: &CachedResponse) -> Outcome<KeyState> {
        Handled
    }

    /// The request may have run, and its response is not available.
    #[state]
    fn unknown() -> Outcome<KeyState> {
        Handled
    }
}
