//! The requests of one service that wait for room, by rank and then by age.

use std::collections::BTreeMap;

use sardinepin_common::Millis;

use crate::balancer::{PlacementRequest, RequestNumber};

/// A request that waits.
#[derive(Debug)]
pub struct QueuedRequest {
    /// What it asks for.
    pub request: PlacementRequest,
    /// The time after which it is refused.
    pub expires_at: Millis,
}

/// The order of waiting: rank first, then age.
type QueueKey = (u8, RequestNumber);

/// The requests of one service that wait.
#[derive(Debug, Default)]
pub struct RequestQueue {
    waiters: BTreeMap<QueueKey, QueuedRequest>,
}

impl RequestQueue {
    /// Adds a request.
    pub fn push(&mut self, waiter: QueuedRequest) {
        let place = (waiter.request.priority, waiter.request.number);
        self.waiters.insert(place, waiter);
    }

    /// Returns how many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns whether one waits that goes before a new request of rank `priority`.
    #[must_use]
    pub fn has_ahead(&self, priority: u8) -> bool {
        self.waiters
            .first_key_value()
            .is_some_and(|((rank, _), _)| *rank <= priority)
    }

    /// Returns the next to be sent.
    #[must_use]
    pub fn first(&self) -> Option<&QueuedRequest> {
        self.waiters.first_key_value().map(|(_, waiter)| waiter)
    }

    /// Takes out a request.
    pub fn remove(&mut self, ticket: RequestNumber) -> Option<QueuedRequest> {
        let place = self
            .waiters
            .keys()
            .find(|(_, waiting)| *waiting == ticket)
            .copied()?;
        self.waiters.remove(&place)
    }

    /// Takes out a request that has waited for too long.
    pub fn pop_expired(&mut self, now: Millis) -> Option<QueuedRequest> {
        let late = self
            .waiters
            .iter()
            .find(|(_, waiter)| now >= waiter.expires_at)
            .map(|(place, _)| *place)?;
        self.waiters.remove(&late)
    }
}
