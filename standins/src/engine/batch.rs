//! Continuous batching: requests join and leave the batch between any two steps.

use std::io;

use bytes::Bytes;
use sardinepin_protocol::Digest;
use tokio::sync::mpsc::UnboundedSender;

use super::chat::ChatRequest;

/// Sends the indices of the tokens of an answer as they are computed.
pub(super) type TokenSender = UnboundedSender<io::Result<u64>>;

/// A request in the engine.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: String,
    pub(super) body: Bytes,
    pub(super) prefix: Digest,
    /// The time that the prompt adds to the first step of the request, in microseconds.
    pub(super) prefill_micros: u64,
    /// The number of tokens sent so far.
    pub(super) sent: u64,
    priority: u8,
    arrival: u64,
    next_token: u64,
    end_token: u64,
    sender: TokenSender,
}

/// The waiting requests and those in the running batch.
#[derive(Debug, Default)]
pub(super) struct Batch {
    waiting: Vec<Job>,
    running: Vec<Job>,
    arrivals: u64,
}

/// Counts of one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct StepCounts {
    pub(super) tokens: u64,
    pub(super) finished: u64,
    pub(super) cancelled: u64,
}

impl Job {
    /// Returns a waiting request that sends its tokens to `sender`.
    pub(super) fn new(chat: &ChatRequest, body: Bytes, sender: TokenSender) -> Self {
        Self {
            id: chat.id.clone(),
            body,
            prefix: chat.prefix,
            prefill_micros: 0,
            sent: 0,
            priority: chat.priority,
            arrival: 0,
            next_token: chat.offset,
            end_token: chat.tokens,
            sender,
        }
    }

    fn is_cancelled(&self) -> bool {
        self.sender.is_closed()
    }

    fn is_finished(&self) -> bool {
        self.next_token >= self.end_token
    }

    /// Computes one token and returns whether the request stays in the batch.
    fn advance(&mut self, break_after: Option<u64>) -> bool {
        if break_after.is_some_and(|tokens| self.sent >= tokens) {
            let error = io::Error::from(io::ErrorKind::ConnectionReset);
            // If the connection is closed already, there is nothing left to break.
            let _ = self.sender.send(Err(error));
            return false;
        }
        if self.sender.send(Ok(self.next_token)).is_err() {
            return false;
        }
        self.next_token += 1;
        self.sent += 1;
        !self.is_finished()
    }
}

impl Batch {
    /// Adds a request to the waiting ones.
    pub(super) fn enqueue(&mut self, mut job: Job) {
        job.arrival = self.arrivals;
        self.arrivals += 1;
        self.waiting.push(job);
    }

    /// Removes the requests with this identifier and returns their number.
    pub(super) fn cancel(&mut self, id: &str) -> u64 {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|job| job.id != id);
        self.waiting.retain(|job| job.id != id);
        (before - self.running.len() - self.waiting.len()) as u64
    }

    /// Removes the requests whose connection is closed, and returns their number.
    pub(super) fn drop_closed(&mut self) -> u64 {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|job| !job.is_cancelled());
        self.waiting.retain(|job| !job.is_cancelled());
        (before - self.running.len() - self.waiting.len()) as u64
    }

    /// Moves waiting requests into the free slots, by priority and arrival, and returns those that
    /// joined.
    pub(super) fn admit(&mut self, slots: usize) -> &[Job] {
        self.waiting.sort_by_key(|job| (job.priority, job.arrival));
        let free = slots.saturating_sub(self.running.len());
        let admitted = free.min(self.waiting.len());
        let before = self.running.len();
        self.running.extend(self.waiting.drain(..admitted));
        &self.running[before..]
    }

    /// Computes one token for each request in the batch; breaks a connection that has sent
    /// `break_after` tokens.
    pub(super) fn advance(&mut self, break_after: Option<u64>) -> StepCounts {
        let mut counts = StepCounts::default();
        self.running.retain_mut(|job| {
            let sent = job.sent;
            let stays = job.advance(break_after);
            counts.tokens += job.sent - sent;
            counts.finished += u64::from(job.is_finished());
            counts.cancelled += u64::from(!stays && !job.is_finished());
            stays
        });
        counts
    }

    /// Returns the requests in the running batch.
    pub(super) fn running(&self) -> &[Job] {
        &self.running
    }

    /// Returns whether no request waits or runs.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns the number of waiting requests.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
