//! Open requests of this entry.

use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use crate::events::{Arrival, UpstreamId};
use crate::fair_queue::QueuedRequest;

/// Where an open request waits or runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// In the queue of its class.
    Queued,
    /// Among the suspects that wait for an upstream on which they run alone.
    Isolated,
    /// In flight on an upstream.
    InFlight,
}

/// An open request.
#[derive(Debug)]
pub(crate) struct Pending {
    /// The request as it arrived.
    pub(crate) arrival: Arrival,
    /// The position of its service's pool.
    pub(crate) pool: usize,
    /// The position of its class within the pool.
    pub(crate) class: usize,
    /// Where it waits or runs.
    pub(crate) stage: Stage,
    /// The upstreams that it was sent to, in order.
    pub(crate) tried: Vec<UpstreamId>,
    /// Why the last attempt failed.
    pub(crate) last_error: Option<ErrorKind>,
    /// The error of the first attempt that may have run.
    pub(crate) unknown_cause: Option<ErrorKind>,
    /// Whether an attempt was withdrawn from a stalled upstream.
    pub(crate) withdrawn: bool,
    /// Whether a retry is reserved for it in the budget of its service.
    pub(crate) retry_reserved: bool,
}

impl Pending {
    /// Creates a request that has not been sent.
    pub(crate) fn new(arrival: Arrival, pool: usize, class: usize) -> Self {
        Self {
            arrival,
            pool,
            class,
            stage: Stage::Queued,
            tried: Vec::new(),
            last_error: None,
            unknown_cause: None,
            withdrawn: false,
            retry_reserved: false,
        }
    }

    /// Returns the entry for the queue of its class.
    pub(crate) fn queued(&self) -> QueuedRequest {
        QueuedRequest {
            request: self.arrival.request,
            cost: self.arrival.cost,
            deadline: self.arrival.deadline,
        }
    }

    /// Returns whether the deadline has passed or would pass if the response takes `expected` from now.
    pub(crate) fn misses_deadline(&self, now: Millis, expected: Millis) -> bool {
        self.arrival.deadline <= now || self.arrival.deadline < now + expected
    }
}
