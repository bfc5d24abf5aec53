//! The queue of the requests of one service that wait for capacity.
//!
//! This answers a short burst. More urgent requests go first; among equally urgent ones those that can
//! still be on time, then those of returning callers, which are late already; among these the oldest.

use std::collections::BTreeMap;

use sardinepin_common::Millis;

use crate::direct::request::{PlacementRequest, RequestNumber};
use crate::direct::zones::AllowedRegions;

/// A queued request.
#[derive(Debug)]
pub struct QueuedRequest {
    /// The service and limits of the request.
    pub request: PlacementRequest,
    /// The time at which it is refused if it is still queued.
    pub expires_at: Millis,
}

/// The sort key: priority, whether the caller returns, then age, as request numbers grow.
type QueueKey = (u8, bool, RequestNumber);

fn key_of(request: &PlacementRequest) -> QueueKey {
    (request.priority, request.returning, request.number)
}

/// The queued requests of one service.
#[derive(Debug, Default)]
pub struct RequestQueue {
    requests: BTreeMap<QueueKey, QueuedRequest>,
}

impl RequestQueue {
    /// Adds a request behind those that go before it.
    pub fn push(&mut self, request: QueuedRequest) {
        self.requests.insert(key_of(&request.request), request);
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns how many queued requests for the same regions would be sent before a new one.
    #[must_use]
    pub fn count_ahead(&self, request: &PlacementRequest) -> usize {
        let ahead = self.requests.range(..key_of(request));
        let ahead = ahead.filter(|(_, queued)| queued.request.regions == request.regions);
        ahead.count()
    }

    /// Returns the request that is sent next, apart from those for the regions in `full`.
    #[must_use]
    pub fn first_outside(&self, full: &[AllowedRegions]) -> Option<&QueuedRequest> {
        let mut requests = self.requests.values();
        requests.find(|queued| !full.contains(&queued.request.regions))
    }

    /// Removes a request, or returns `None` if it is not queued.
    pub fn remove(&mut self, number: RequestNumber) -> Option<QueuedRequest> {
        let key = self
            .requests
            .keys()
            .find(|(.., queued)| *queued == number)
            .copied()?;
        self.requests.remove(&key)
    }

    /// Removes and returns one request whose waiting time is over, if there is one.
    pub fn pop_expired(&mut self, now: Millis) -> Option<QueuedRequest> {
        self.pop_first(|request| now >= request.expires_at)
    }

    /// Removes and returns the first request to which a condition applies, if there is one.
    pub fn pop_first(&mut self, applies: impl Fn(&QueuedRequest) -> bool) -> Option<QueuedRequest> {
        let mut requests = self.requests.iter();
        let key = *requests.find(|(_, request)| applies(request))?.0;
        self.requests.remove(&key)
    }
}
