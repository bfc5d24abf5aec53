//! An agent's table of idempotency keys, which ensures that a keyed request runs at most once.
//!
//! A key is claimed in the platform's store before its request runs, and only the process that the
//! claim names runs the request. A process that has not run it may release the key to another process,
//! and must then claim it again; the conditional update of the claim decides which of the two runs
//! the request.

mod machine;
#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use bytes::Bytes;
use sardinepin_common::{Incarnation, Map, Millis, Revision};
use sardinepin_protocol::{ClaimKey, ClaimState, Digest, ErrorKind, HeaderField};

pub use machine::{KeyEvent, KeyMachine, KeyState};

/// Settings of a [`ClaimTable`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSettings {
    /// How long the record of an ended key is kept, in milliseconds.
    pub keep_ms: u64,
    /// The maximum number of records; records of open keys are never removed to make room.
    pub keys_max: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            keep_ms: 600_000,
            keys_max: 20_000,
        }
    }
}

/// The complete response of a keyed request, kept for repeats of the request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CachedResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The header fields.
    pub headers: Vec<HeaderField>,
    /// The body.
    pub body: Bytes,
}

/// A claim as read from the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredClaim {
    /// The incarnation of the claiming process.
    pub claimer: Incarnation,
    /// The random number that the claiming process drew for this claim.
    pub nonce: u64,
    /// The digest of the claimed request.
    pub digest: Digest,
    /// The store revision of the claim's last write.
    pub revision: Revision,
    /// The response, if it was stored with the claim.
    pub response: Option<CachedResponse>,
}

/// The next step for an attempt of a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Create the claim, on the condition that none exists.
    Create,
    /// Update the claim to name this process, on the condition that it still has this revision.
    TakeOver(Revision),
    /// Ask the claiming process for the state of the claim.
    AskClaimer,
    /// Read the claim again after a pause, since the process that it names is still claiming the key
    /// and the claim may change hands.
    ReadAgain,
    /// Wait until another attempt of the key has ended at this agent, then call
    /// [`ClaimTable::admit`] again.
    Wait,
    /// Run the request; the key is marked as running already.
    Run,
    /// Return this response of an earlier run.
    Replay(CachedResponse),
    /// Refuse the attempt; it has not run.
    Refuse(ErrorKind),
    /// Report that the request may have run and that its response is not available.
    Unknown(ErrorKind),
}

/// The idempotency keys that an agent has received.
#[derive(Debug, Clone)]
pub struct ClaimTable {
    settings: ClaimSettings,
    own_incarnation: Incarnation,
    keys: Map<ClaimKey, KeyRecord>,
    /// Keys in the order in which they ended; a key that was claimed again may be open.
    ended: VecDeque<(Millis, ClaimKey)>,
}

#[derive(Debug, Clone)]
struct KeyRecord {
    digest: Digest,
    machine: KeyMachine,
}

impl ClaimTable {
    /// Creates an empty table for the process of this incarnation.
    #[must_use]
    pub fn new(settings: ClaimSettings, own_incarnation: Incarnation) -> Self {
        Self {
            settings,
            own_incarnation,
            keys: Map::default(),
            ended: VecDeque::new(),
        }
    }

    /// Admits an attempt of a keyed request and returns its first step.
    ///
    /// The key is marked as being claimed if that step is [`ClaimStep::Create`].
    pub fn admit(&mut self, key: &ClaimKey, digest: Digest) -> ClaimStep {
        let Some(record) = self.keys.get_mut(key) else {
            return self.insert(key, digest);
        };
        if record.digest != digest && !record.machine.state().never_ran() {
            return ClaimStep::Refuse(ErrorKind::KeyReused);
        }
        match record.machine.state() {
            KeyState::Claiming {} | KeyState::Running {} => ClaimStep::Wait,
            KeyState::Done { response } => ClaimStep::Replay(response.clone()),
            KeyState::Unknown {} => ClaimStep::Unknown(ErrorKind::AnswerGone),
            KeyState::Idle {} => {
                record.digest = digest;
                record.machine.handle(KeyEvent::Claim);
                ClaimStep::Create
            }
        }
    }

    /// Handles the grant of a claim: the stored claim now names this process.
    ///
    /// Marks the key as running, unless it is no longer being claimed.
    pub fn handle_claim_grant(&mut self, key: &ClaimKey) -> ClaimStep {
        match self.keys.get_mut(key) {
            Some(record) if record.machine.may_run() => {
                record.machine.handle(KeyEvent::Run);
                ClaimStep::Run
            }
            _ => ClaimStep::Unknown(ErrorKind::AnswerGone),
        }
    }

    /// Handles a claim that was in the store already when this process tried to write its own.
    pub fn handle_stored_claim(&mut self, key: &ClaimKey, claim: &StoredClaim) -> ClaimStep {
        let Some(record) = self.keys.get(key) else {
            return ClaimStep::Unknown(ErrorKind::AnswerGone);
        };
        if claim.digest != record.digest {
            return ClaimStep::Refuse(ErrorKind::KeyReused);
        }
        if let Some(response) = &claim.response {
            return ClaimStep::Replay(response.clone());
        }
        if claim.claimer != self.own_incarnation {
            return ClaimStep::AskClaimer;
        }
        if record.machine.is_unused(claim.nonce) {
            return self.handle_claim_grant(key);
        }
        // This process released the claim, so another process may be taking it over concurrently.
        if record.machine.was_released(claim.nonce) {
            return ClaimStep::TakeOver(claim.revision);
        }
        ClaimStep::Unknown(ErrorKind::AnswerGone)
    }

    /// Handles the claiming process's answer about a claim of this revision.
    pub fn handle_claim_state(&self, state: &ClaimState, revision: Revision) -> ClaimStep {
        match state {
            ClaimState::Released => ClaimStep::TakeOver(revision),
            ClaimState::Running => ClaimStep::AskClaimer,
            ClaimState::Claiming => ClaimStep::ReadAgain,
            ClaimState::Done {
                status,
                headers,
                body,
            } => ClaimStep::Replay(CachedResponse {
                status: *status,
                headers: headers.clone(),
                body: body.clone(),
            }),
            ClaimState::Unknown => ClaimStep::Unknown(ErrorKind::AnswerGone),
        }
    }

    /// Applies an event to a key; a key without a record is ignored.
    pub fn handle(&mut self, now: Millis, key: &ClaimKey, event: KeyEvent) {
        let Some(record) = self.keys.get_mut(key) else {
            return;
        };
        record.machine.handle(event);
        if !record.machine.state().is_open() {
            self.ended.push_back((now, key.clone()));
        }
    }

    /// Answers another process that asks about a claim, and releases the key if its request never
    /// ran here and it is not being claimed.
    ///
    /// The answer is unknown if the claim does not name this process or the key has no record.
    pub fn answer_query(&mut self, key: &ClaimKey, claimer: Incarnation) -> ClaimState {
        let Some(record) = self
            .keys
            .get_mut(key)
            .filter(|_| claimer == self.own_incarnation)
        else {
            return ClaimState::Unknown;
        };
        record.machine.handle(KeyEvent::Release);
        match record.machine.state() {
            KeyState::Claiming {} => ClaimState::Claiming,
            KeyState::Running {} => ClaimState::Running,
            KeyState::Idle {} => ClaimState::Released,
            KeyState::Done { response } => ClaimState::Done {
                status: response.status,
                headers: response.headers.clone(),
                body: response.body.clone(),
            },
            KeyState::Unknown {} => ClaimState::Unknown,
        }
    }

    /// Removes keys that ended at least `keep_ms` ago.
    pub fn sweep(&mut self, now: Millis) {
        let keep = Millis(self.settings.keep_ms);
        while self
            .ended
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= keep)
        {
            self.remove_oldest();
        }
    }

    /// Returns the state machine of a key, or `None` if it has no record.
    #[must_use]
    pub fn machine(&self, key: &ClaimKey) -> Option<&KeyMachine> {
        self.keys.get(key).map(|record| &record.machine)
    }

    /// Returns the number of keys that have a record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key has a record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Adds a record for a key that is being claimed, removing the key that ended first if the table
    /// is full.
    fn insert(&mut self, key: &ClaimKey, digest: Digest) -> ClaimStep {
        if self.keys.len() >= self.settings.keys_max && !self.remove_oldest() {
            return ClaimStep::Refuse(ErrorKind::ClaimsFull);
        }
        let machine = KeyMachine::new();
        self.keys.insert(key.clone(), KeyRecord { digest, machine });
        ClaimStep::Create
    }

    /// Removes the key that ended first; returns whether a key was removed.
    ///
    /// If the claim of a removed key names this process, the request is reported as unknown and never
    /// runs again.
    fn remove_oldest(&mut self) -> bool {
        while let Some((_, key)) = self.ended.pop_front() {
            let open = self
                .keys
                .get(&key)
                .is_none_or(|record| record.machine.state().is_open());
            if !open {
                self.keys.remove(&key);
                return true;
            }
        }
        false
    }
}
