//! The attempts that are under way on one link.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use sardinepin_common::{AttemptId, Incarnation, Map, Millis};
use sardinepin_protocol::{ErrorKind, HeaderField, SettledState};
use tokio::sync::mpsc;

/// What a link tells an attempt.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// The link was lost before a byte of the attempt was written.
    Unsent,
    /// The link was lost after the attempt was written, or part of it.
    LinkLost,
    /// The link is up again, to an agent of this incarnation.
    LinkUp(Incarnation),
    /// The agent refused the attempt.
    Refused {
        kind: ErrorKind,
        retry_after: Millis,
    },
    /// The head of the answer.
    Head {
        status: u16,
        headers: Vec<HeaderField>,
    },
    /// A chunk of the answer.
    Chunk { seq: u64, data: Bytes },
    /// The end mark.
    End { chunks: u64 },
    /// No more of the answer will come.
    Broken(ErrorKind),
    /// What became of the attempt.
    Settled(SettledState),
}

/// One attempt under way.
#[derive(Debug)]
struct AttemptRecord {
    events: mpsc::UnboundedSender<AttemptEvent>,
    /// Whether a byte of the attempt may have been written.
    sent: bool,
}

/// The attempts that are under way on one link.
#[derive(Debug, Default)]
pub(crate) struct AttemptRegistry {
    attempts: Mutex<Map<AttemptId, AttemptRecord>>,
}

impl AttemptRegistry {
    /// Enters an attempt that is about to be queued.
    pub(crate) fn insert(&self, id: AttemptId) -> mpsc::UnboundedReceiver<AttemptEvent> {
        let (events, receiver) = mpsc::unbounded_channel();
        self.lock().insert(
            id,
            AttemptRecord {
                events,
                sent: false,
            },
        );
        receiver
    }

    /// Removes an attempt that has ended.
    pub(crate) fn remove(&self, id: AttemptId) {
        self.lock().remove(&id);
    }

    /// Marks an attempt as written; returns `false` if it has left and must not be written.
    pub(crate) fn mark_sent(&self, id: AttemptId) -> bool {
        match self.lock().get_mut(&id) {
            Some(attempt) => {
                attempt.sent = true;
                true
            }
            None => false,
        }
    }

    /// Hands an attempt what came for it; a stranger's frame is dropped.
    pub(crate) fn deliver(&self, id: AttemptId, event: AttemptEvent) {
        if let Some(attempt) = self.lock().get(&id) {
            let _ = attempt.events.send(event);
        }
    }

    /// Tells every attempt that the link was lost; those that were not written leave.
    pub(crate) fn link_lost(&self) {
        self.lock().retain(|_, attempt| {
            let event = if attempt.sent {
                AttemptEvent::LinkLost
            } else {
                AttemptEvent::Unsent
            };
            let _ = attempt.events.send(event);
            attempt.sent
        });
    }

    /// Tells every attempt that was written before that the link is up again.
    pub(crate) fn link_up(&self, agent: Incarnation) {
        for attempt in self.lock().values().filter(|attempt| attempt.sent) {
            let _ = attempt.events.send(AttemptEvent::LinkUp(agent));
        }
    }

    /// Returns whether nothing is under way.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Returns whether an attempt waits for its agent.
    pub(crate) fn any_sent(&self) -> bool {
        self.lock().values().any(|attempt| attempt.sent)
    }

    fn lock(&self) -> MutexGuard<'_, Map<AttemptId, AttemptRecord>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
