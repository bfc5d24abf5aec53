//! Continuous batching: requests join and leave between any two steps.

use std::io;

use bytes::Bytes;
use sardinepin_protocol::Digest;
use tokio::sync::mpsc::UnboundedSender;

use super::chat::Chat;

/// Takes the indices of an answer's tokens as they are computed.
pub(super) type TokenSender = UnboundedSender<io::Result<u64>>;

/// A request in the engine.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: String,
    pub(super) body: Bytes,
    pub(super) prefix: Digest,
    /// The time that the prompt adds to the first step, in microseconds.
    pub(super) prefill: u64,
    /// How many tokens have been sent.
    pub(super) sent: u64,
    priority: u8,
    arrival: u64,
    next: u64,
    end: u64,
    out: TokenSender,
}

/// The requests that wait and those in the step.
#[derive(Debug, Default)]
pub(super) struct Batch {
    waiting: Vec<Job>,
    running: Vec<Job>,
    arrivals: u64,
}

/// What a step did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Advanced {
    pub(super) tokens: u64,
    pub(super) finished: u64,
    pub(super) cancelled: u64,
}

impl Job {
    /// Makes a job that sends its tokens to `out`.
    pub(super) fn new(chat: &Chat, body: Bytes, out: TokenSender) -> Self {
        Self {
            id: chat.id.clone(),
            body,
            prefix: chat.prefix,
            prefill: 0,
            sent: 0,
            priority: chat.priority,
            arrival: 0,
            next: chat.offset,
            end: chat.tokens,
            out,
        }
    }

    fn is_cancelled(&self) -> bool {
        self.out.is_closed()
    }

    fn is_finished(&self) -> bool {
        self.next >= self.end
    }

    /// Computes one token and returns whether the request stays.
    fn advance(&mut self, break_after: Option<u64>) -> bool {
        if break_after.is_some_and(|tokens| self.sent >= tokens) {
            let error = io::Error::from(io::ErrorKind::ConnectionReset);
            // A connection that has gone already is as broken as is wanted.
            let _ = self.out.send(Err(error));
            return false;
        }
        if self.out.send(Ok(self.next)).is_err() {
            return false;
        }
        self.next += 1;
        self.sent += 1;
        !self.is_finished()
    }
}

impl Batch {
    /// Puts a request among those that wait.
    pub(super) fn enqueue(&mut self, mut job: Job) {
        job.arrival = self.arrivals;
        self.arrivals += 1;
        self.waiting.push(job);
    }

    /// Drops the requests of this identifier and returns how many there were.
    pub(super) fn cancel(&mut self, id: &str) -> u64 {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|job| job.id != id);
        self.waiting.retain(|job| job.id != id);
        (before - self.running.len() - self.waiting.len()) as u64
    }

    /// Drops requests whose connection is closed, and returns how many there were.
    pub(super) fn drop_closed(&mut self) -> u64 {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|job| !job.is_cancelled());
        self.waiting.retain(|job| !job.is_cancelled());
        (before - self.running.len() - self.waiting.len()) as u64
    }

    /// Fills the free slots, most urgent first, and returns those that joined.
    pub(super) fn admit(&mut self, slots: usize) -> &[Job] {
        self.waiting.sort_by_key(|job| (job.priority, job.arrival));
        let free = slots.saturating_sub(self.running.len());
        let joining = free.min(self.waiting.len());
        let before = self.running.len();
        self.running.extend(self.waiting.drain(..joining));
        &self.running[before..]
    }

    /// Computes one token for each request in the step.
    pub(super) fn advance(&mut self, break_after: Option<u64>) -> Advanced {
        let mut advanced = Advanced::default();
        self.running.retain_mut(|job| {
            let sent = job.sent;
            let stays = job.advance(break_after);
            advanced.tokens += job.sent - sent;
            advanced.finished += u64::from(job.is_finished());
            advanced.cancelled += u64::from(!stays && !job.is_finished());
            stays
        });
        advanced
    }

    /// Returns the requests in the step.
    pub(super) fn running(&self) -> &[Job] {
        &self.running
    }

    /// Returns whether no request is there.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns how many requests wait.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
