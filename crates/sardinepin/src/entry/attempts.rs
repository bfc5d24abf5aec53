//! The registry of the attempts in flight on one link.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use sardinepin_common::{AttemptId, Incarnation, Map, Millis};
use sardinepin_protocol::{ErrorKind, HeaderField, SettledState};
use tokio::sync::mpsc;

/// An event on a link that concerns one attempt.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// The link was lost before a byte of the attempt was written.
    Unsent,
    /// The link was lost after some or all of the attempt was written.
    LinkLost,
    /// The link was re-established; the agent has this incarnation.
    LinkUp(Incarnation),
    /// The agent refused the attempt.
    Refused {
        kind: ErrorKind,
        retry_after: Millis,
    },
    /// The head of the response arrived: status code and header fields.
    Head {
        status: u16,
        headers: Vec<HeaderField>,
    },
    /// A chunk of the response's body arrived.
    Chunk { seq: u64, data: Bytes },
    /// The frame that ends the response arrived.
    End { chunks: u64 },
    /// The agent reports that the rest of the response will not arrive.
    Broken(ErrorKind),
    /// The agent replied to a query about the attempt.
    Settled(SettledState),
}

/// One attempt in flight.
#[derive(Debug)]
struct AttemptRecord {
    events: mpsc::UnboundedSender<LinkEvent>,
    /// Whether a byte of the attempt may have been written.
    sent: bool,
}

/// The attempts in flight on one link.
#[derive(Debug, Default)]
pub(crate) struct AttemptRegistry {
    attempts: Mutex<Map<AttemptId, AttemptRecord>>,
}

impl AttemptRegistry {
    /// Registers an attempt before it is queued for the link, and returns the receiver of its
    /// events.
    pub(crate) fn insert(&self, id: AttemptId) -> mpsc::UnboundedReceiver<LinkEvent> {
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

    /// Marks an attempt as written. Returns `false` if it was removed and must not be written.
    pub(crate) fn mark_sent(&self, id: AttemptId) -> bool {
        match self.lock().get_mut(&id) {
            Some(attempt) => {
                attempt.sent = true;
                true
            }
            None => false,
        }
    }

    /// Delivers an event to an attempt; an event for an unregistered attempt is dropped.
    pub(crate) fn deliver(&self, id: AttemptId, event: LinkEvent) {
        if let Some(attempt) = self.lock().get(&id) {
            let _ = attempt.events.send(event);
        }
    }

    /// Notifies every attempt that the link was lost, and removes those that were not written.
    pub(crate) fn link_lost(&self) {
        self.lock().retain(|_, attempt| {
            let event = if attempt.sent {
                LinkEvent::LinkLost
            } else {
                LinkEvent::Unsent
            };
            let _ = attempt.events.send(event);
            attempt.sent
        });
    }

    /// Notifies every attempt that was written to an earlier link that the link is up again.
    pub(crate) fn link_up(&self, agent: Incarnation) {
        for attempt in self.lock().values().filter(|attempt| attempt.sent) {
            let _ = attempt.events.send(LinkEvent::LinkUp(agent));
        }
    }

    /// Returns whether no attempt is in flight.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Returns whether an attempt that may have been written is in flight.
    pub(crate) fn any_sent(&self) -> bool {
        self.lock().values().any(|attempt| attempt.sent)
    }

    fn lock(&self) -> MutexGuard<'_, Map<AttemptId, AttemptRecord>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
