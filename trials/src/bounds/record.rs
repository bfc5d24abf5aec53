//! What callers sent and what upstreams received, for the checks.

use sardinepin_common::{Millis, Set};

/// Identifies a request within a day; a caller's repetition is a new request.
pub(super) type RequestId = u64;

/// A request that an upstream received.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    /// When the upstream read it.
    pub(super) at: Millis,
    /// The request.
    pub(super) request: RequestId,
}

/// The record of a day.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// When callers sent requests, in order.
    pub(super) requests: Vec<Millis>,
    /// What upstreams received, in order.
    pub(super) arrivals: Vec<Arrival>,
}

impl Record {
    /// Returns the times of the arrivals beyond the first of each request.
    pub(super) fn repeat_times(&self) -> Vec<Millis> {
        let mut seen = Set::default();
        let repeats = self
            .arrivals
            .iter()
            .filter(|arrival| !seen.insert(arrival.request));
        repeats.map(|arrival| arrival.at).collect()
    }
}
