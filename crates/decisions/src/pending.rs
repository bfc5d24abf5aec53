//! The requests that are open at this entry.

use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use crate::events::{Arrival, UpstreamId};
use crate::fair::Waiting;

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// In the queue of its class.
    Queued,
    /// Among the suspects that wait for an upstream of their own.
    Apart,
    /// In flight.
    Sent,
}

/// An open request.
#[derive(Debug)]
pub(crate) struct Pending {
    /// The request as it came.
    pub(crate) arrival: Arrival,
    /// The position of its service.
    pub(crate) pool: usize,
    /// The position of its class within the service.
    pub(crate) class: usize,
    /// Where it is.
    pub(crate) stage: Stage,
    /// The upstreams that it was sent to.
    pub(crate) tried: Vec<UpstreamId>,
    /// Why the last attempt failed.
    pub(crate) cause: Option<ErrorKind>,
    /// The first reason for which an attempt may have run.
    pub(crate) unknown: Option<ErrorKind>,
    /// Whether an attempt was withdrawn from a stalled upstream.
    pub(crate) withdrawn: bool,
}

impl Pending {
    /// Makes a request that has not been sent.
    pub(crate) fn new(arrival: Arrival, pool: usize, class: usize) -> Self {
        Self {
            arrival,
            pool,
            class,
            stage: Stage::Queued,
            tried: Vec::new(),
            cause: None,
            unknown: None,
            withdrawn: false,
        }
    }

    /// Returns the request as its queue holds it.
    pub(crate) fn waiting(&self) -> Waiting {
        Waiting {
            ticket: self.arrival.request,
            cost: self.arrival.cost,
            deadline: self.arrival.deadline,
        }
    }

    /// Returns whether the deadline cannot be met if the answer takes `expected` from now.
    pub(crate) fn too_late(&self, now: Millis, expected: Millis) -> bool {
        self.arrival.deadline <= now || self.arrival.deadline < now + expected
    }
}
