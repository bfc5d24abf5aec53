//! The attempts that are under way on one link.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use sardinepin_common::{AttemptId, Incarnation, Map, Millis};
use sardinepin_protocol::{ErrorKind, HeaderField, SettledState};
use tokio::sync::mpsc;

/// What a link tells an attempt.
#[derive(Debug)]
pub(crate) enum FromLink {
    /// The link was lost before a byte of the attempt was written.
    Unsent,
    /// The link was lost after the attempt was written, or part of it.
    Lost,
    /// The link is up again, to an agent of this incarnation.
    Up(Incarnation),
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
struct Flight {
    sender: mpsc::UnboundedSender<FromLink>,
    /// Whether a byte of the attempt may have been written.
    sent: bool,
}

/// The attempts that are under way on one link.
#[derive(Debug, Default)]
pub(crate) struct Flights {
    open: Mutex<Map<AttemptId, Flight>>,
}

impl Flights {
    /// Enters an attempt that is about to be queued.
    pub(crate) fn enter(&self, id: AttemptId) -> mpsc::UnboundedReceiver<FromLink> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.open().insert(
            id,
            Flight {
                sender,
                sent: false,
            },
        );
        receiver
    }

    /// Removes an attempt that has ended.
    pub(crate) fn leave(&self, id: AttemptId) {
        self.open().remove(&id);
    }

    /// Marks an attempt as written; returns `false` if it has left and must not be written.
    pub(crate) fn mark_sent(&self, id: AttemptId) -> bool {
        match self.open().get_mut(&id) {
            Some(flight) => {
                flight.sent = true;
                true
            }
            None => false,
        }
    }

    /// Hands an attempt what came for it; a stranger's frame is dropped.
    pub(crate) fn hand(&self, id: AttemptId, message: FromLink) {
        if let Some(flight) = self.open().get(&id) {
            let _ = flight.sender.send(message);
        }
    }

    /// Tells every attempt that the link was lost; those that were not written leave.
    pub(crate) fn lose(&self) {
        self.open().retain(|_, flight| {
            let message = if flight.sent {
                FromLink::Lost
            } else {
                FromLink::Unsent
            };
            let _ = flight.sender.send(message);
            flight.sent
        });
    }

    /// Tells every attempt that was written before that the link is up again.
    pub(crate) fn up(&self, agent: Incarnation) {
        for flight in self.open().values().filter(|flight| flight.sent) {
            let _ = flight.sender.send(FromLink::Up(agent));
        }
    }

    /// Returns whether nothing is under way.
    pub(crate) fn is_empty(&self) -> bool {
        self.open().is_empty()
    }

    /// Returns whether an attempt waits for its agent.
    pub(crate) fn any_sent(&self) -> bool {
        self.open().values().any(|flight| flight.sent)
    }

    fn open(&self) -> MutexGuard<'_, Map<AttemptId, Flight>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
