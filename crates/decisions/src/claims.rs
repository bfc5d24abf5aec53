//! What an agent knows of the idempotency keys that reached it, so that a keyed call runs at most
//! once.
//!
//! A key is claimed in the platform's store before its call runs, and only the process that the
//! claim names runs it. A process that has not run a key may release it to another, and after that
//! it must claim it anew; the conditional update of the claim decides between the two.

mod machine;
#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use bytes::Bytes;
use sardinepin_common::{Incarnation, Map, Millis, Revision};
use sardinepin_protocol::{ClaimKey, ClaimState, Digest, ErrorKind, HeaderField};

pub use machine::{KeyEvent, KeyMachine, KeyState};

/// Settings of the table of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSettings {
    /// How long an ended key is remembered, in milliseconds.
    pub keep_ms: u64,
    /// The most keys that are remembered.
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

/// The whole answer of a keyed call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CachedAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The header fields.
    pub headers: Vec<HeaderField>,
    /// The body.
    pub body: Bytes,
}

/// A claim as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredClaim {
    /// The incarnation of the claiming process.
    pub claimer: Incarnation,
    /// The nonce that the claiming process drew for this claim.
    pub nonce: u64,
    /// The digest of the claimed call.
    pub digest: Digest,
    /// The revision of the claim's last write.
    pub revision: Revision,
    /// The answer, if it was written behind the claim.
    pub answer: Option<CachedAnswer>,
}

/// What is to be done next for an attempt of a keyed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Create the claim, if no claim is there.
    Create,
    /// Update the claim to this process, if it still has this revision.
    TakeOver(Revision),
    /// Ask the claiming process what became of the call.
    AskClaimer,
    /// Read the claim again, after a pause: it is changing hands.
    ReadAgain,
    /// Wait until another attempt of the key has ended here, then open again.
    Wait,
    /// Run the call; the key is marked as running.
    Run,
    /// Give this answer: the call ran before.
    Replay(CachedAnswer),
    /// Refuse the attempt: it did not run.
    Refuse(ErrorKind),
    /// The call may have run, and its answer is not to be had.
    Unknown(ErrorKind),
}

/// The keys that reached an agent.
#[derive(Debug, Clone)]
pub struct ClaimTable {
    settings: ClaimSettings,
    own: Incarnation,
    keys: Map<ClaimKey, Record>,
    ended: VecDeque<(Millis, ClaimKey)>,
}

#[derive(Debug, Clone)]
struct Record {
    digest: Digest,
    machine: KeyMachine,
}

impl ClaimTable {
    /// Makes an empty table for the process of this incarnation.
    #[must_use]
    pub fn new(settings: ClaimSettings, own: Incarnation) -> Self {
        Self {
            settings,
            own,
            keys: Map::default(),
            ended: VecDeque::new(),
        }
    }

    /// Takes in an attempt of a keyed call; the key is marked as being claimed if that comes next.
    pub fn admit(&mut self, key: &ClaimKey, digest: Digest) -> ClaimStep {
        let Some(record) = self.keys.get_mut(key) else {
            return self.enter(key, digest);
        };
        if record.digest != digest && !record.machine.state().never_ran() {
            return ClaimStep::Refuse(ErrorKind::KeyReused);
        }
        match record.machine.state() {
            KeyState::Claiming {} | KeyState::Running {} => ClaimStep::Wait,
            KeyState::Done { answer } => ClaimStep::Replay(answer.clone()),
            KeyState::Unknown {} => ClaimStep::Unknown(ErrorKind::AnswerGone),
            KeyState::Idle {} => {
                record.digest = digest;
                record.machine.handle(KeyEvent::Claim);
                ClaimStep::Create
            }
        }
    }

    /// Says that the claim now names this process.
    pub fn claim_granted(&mut self, key: &ClaimKey) -> ClaimStep {
        match self.keys.get_mut(key) {
            Some(record) if record.machine.may_run() => {
                record.machine.handle(KeyEvent::Run);
                ClaimStep::Run
            }
            _ => ClaimStep::Unknown(ErrorKind::AnswerGone),
        }
    }

    /// Takes in the claim that was found in place of the one to be written.
    pub fn claim_found(&mut self, key: &ClaimKey, claim: &StoredClaim) -> ClaimStep {
        let Some(record) = self.keys.get(key) else {
            return ClaimStep::Unknown(ErrorKind::AnswerGone);
        };
        if claim.digest != record.digest {
            return ClaimStep::Refuse(ErrorKind::KeyReused);
        }
        if let Some(answer) = &claim.answer {
            return ClaimStep::Replay(answer.clone());
        }
        if claim.claimer != self.own {
            return ClaimStep::AskClaimer;
        }
        if record.machine.is_unused(claim.nonce) {
            return self.claim_granted(key);
        }
        // It was released: another process may be taking it over at this moment.
        if record.machine.was_released(claim.nonce) {
            return ClaimStep::TakeOver(claim.revision);
        }
        ClaimStep::Unknown(ErrorKind::AnswerGone)
    }

    /// Takes in what the claiming process says of a claim of this revision.
    pub fn claimer_answered(&self, state: &ClaimState, revision: Revision) -> ClaimStep {
        match state {
            ClaimState::Released => ClaimStep::TakeOver(revision),
            ClaimState::Running => ClaimStep::AskClaimer,
            ClaimState::Claiming => ClaimStep::ReadAgain,
            ClaimState::Done {
                status,
                headers,
                body,
            } => ClaimStep::Replay(CachedAnswer {
                status: *status,
                headers: headers.clone(),
                body: body.clone(),
            }),
            ClaimState::Unknown => ClaimStep::Unknown(ErrorKind::AnswerGone),
        }
    }

    /// Takes in what happened to a key.
    pub fn handle(&mut self, now: Millis, key: &ClaimKey, event: KeyEvent) {
        let Some(record) = self.keys.get_mut(key) else {
            return;
        };
        record.machine.handle(event);
        if !record.machine.state().is_open() {
            self.ended.push_back((now, key.clone()));
        }
    }

    /// Answers another process that asks about a claim, and releases the key if it never ran.
    pub fn answer_query(&mut self, key: &ClaimKey, claimer: Incarnation) -> ClaimState {
        let Some(record) = self.keys.get_mut(key).filter(|_| claimer == self.own) else {
            return ClaimState::Unknown;
        };
        record.machine.handle(KeyEvent::Release);
        match record.machine.state() {
            KeyState::Claiming {} => ClaimState::Claiming,
            KeyState::Running {} => ClaimState::Running,
            KeyState::Idle {} => ClaimState::Released,
            KeyState::Done { answer } => ClaimState::Done {
                status: answer.status,
                headers: answer.headers.clone(),
                body: answer.body.clone(),
            },
            KeyState::Unknown {} => ClaimState::Unknown,
        }
    }

    /// Forgets keys that ended long ago.
    pub fn sweep(&mut self, now: Millis) {
        let keep = Millis(self.settings.keep_ms);
        while self
            .ended
            .front()
            .is_some_and(|(at, _)| now.since(*at) >= keep)
        {
            self.forget_oldest();
        }
    }

    /// Returns the machine of a key, if it is remembered.
    #[must_use]
    pub fn machine(&self, key: &ClaimKey) -> Option<&KeyMachine> {
        self.keys.get(key).map(|record| &record.machine)
    }

    /// Returns how many keys are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn enter(&mut self, key: &ClaimKey, digest: Digest) -> ClaimStep {
        if self.keys.len() >= self.settings.keys_max && !self.forget_oldest() {
            return ClaimStep::Refuse(ErrorKind::ClaimsFull);
        }
        let machine = KeyMachine::new();
        self.keys.insert(key.clone(), Record { digest, machine });
        ClaimStep::Create
    }

    /// Forgets the key that ended first; returns whether a key was forgotten.
    ///
    /// A forgotten key whose claim names this process is answered as unknown, never run again.
    fn forget_oldest(&mut self) -> bool {
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
