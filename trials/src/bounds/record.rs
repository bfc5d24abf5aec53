//! What callers sent and what upstreams received, for the checks.

use sardinepin_common::{Millis, Set};

use crate::bounds::upstreams::ServiceIndex;

/// Identifies a request within a day; a caller's repetition is a new request.
pub(super) type RequestId = u64;

/// A request that an upstream received.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Arrival {
    /// When the upstream read it.
    pub(super) at: Millis,
    /// The request.
    pub(super) request: RequestId,
    /// Who sent it.
    pub(super) sender: usize,
    /// Who received it.
    pub(super) upstream: usize,
}

/// An answer by which an upstream told a sender of its limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct Told {
    pub(super) at: Millis,
    pub(super) sender: usize,
    pub(super) upstream: usize,
}

/// An answer by which an upstream told a sender that it wants no more requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct Withdrawn {
    pub(super) at: Millis,
    pub(super) sender: usize,
    pub(super) upstream: usize,
    /// For how long; `None` if the upstream leaves.
    pub(super) rest: Option<Millis>,
}

/// A time in which a sender was restarted, stood still or was cut off.
#[derive(Debug, Clone, Copy)]
pub(super) struct Excuse {
    pub(super) sender: usize,
    pub(super) from: Millis,
    pub(super) until: Millis,
}

/// The record of a day.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// When callers sent requests, in order.
    pub(super) requests: Vec<Millis>,
    /// The services of these requests.
    pub(super) services: Vec<ServiceIndex>,
    /// What upstreams received, in order.
    pub(super) arrivals: Vec<Arrival>,
    /// Who was told of limits, in order.
    pub(super) told: Vec<Told>,
    /// Who was told that an upstream leaves or rests, in order.
    pub(super) withdrawn: Vec<Withdrawn>,
    /// Which senders were disturbed.
    pub(super) excuses: Vec<Excuse>,
    /// The requests for permits that agents received.
    pub(super) permit_requests: u64,
}

impl Record {
    /// Returns when callers sent requests for a service.
    pub(super) fn requests_of(&self, service: ServiceIndex) -> Vec<Millis> {
        let requests = self.requests.iter().zip(&self.services);
        let of_service = requests.filter(|(_, own)| **own == service);
        of_service.map(|(at, _)| *at).collect()
    }

    /// Returns the times of the arrivals beyond the first of each request for a service.
    pub(super) fn repeats_of(&self, service: ServiceIndex) -> Vec<Millis> {
        let mut seen = Set::default();
        let repeats = self.arrivals.iter().filter(|arrival| {
            let own = self.services[arrival.request as usize] == service;
            own && !seen.insert(arrival.request)
        });
        repeats.map(|arrival| arrival.at).collect()
    }
}
