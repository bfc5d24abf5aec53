//! What becomes of queued requests: they are sent, wait on, or are refused.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use super::Balancer;
use crate::direct::queue::{QueuedRequest, RequestQueue};
use crate::direct::request::{Decision, PlacementRequest, QueueDecision, RequestNumber};
use crate::direct::upstream_set::NextTurn;

impl Balancer {
    /// Queues a request, or refuses it if its queue is full.
    pub(super) fn enqueue(
        &mut self,
        now: Millis,
        request: PlacementRequest,
        expires_at: Millis,
    ) -> Option<Decision> {
        let queue = self.queues.entry(Arc::clone(&request.service)).or_default();
        if queue.len() >= self.settings.queue_max {
            return Some(self.refuse(now, &request, ErrorKind::QueueFull));
        }
        queue.push(QueuedRequest {
            expires_at,
            request,
        });
        None
    }

    /// Removes a request from its queue.
    pub fn withdraw(&mut self, now: Millis, service: &Arc<str>, number: RequestNumber) {
        let queue = self.queues.get_mut(service);
        let removed = queue.and_then(|queue| queue.remove(number));
        if removed.is_some_and(|queued| queued.request.is_retry) {
            self.release_retry(now, service);
        }
    }

    /// Decides on queued requests; call it at short intervals while the queues are not empty.
    pub fn process_queues(&mut self, now: Millis) -> Vec<QueueDecision> {
        let mut decisions = Vec::new();
        for service in self.queued_services() {
            self.process_queue(now, &service, &mut decisions);
        }
        decisions
    }

    /// Returns the services that have queued requests.
    pub(in crate::direct) fn queued_services(&self) -> Vec<Arc<str>> {
        let queues = self.queues.iter();
        queues
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| Arc::clone(service))
            .collect()
    }

    /// Refuses the queued requests of a service for which no upstream is usable.
    pub(in crate::direct) fn refuse_unusable(
        &mut self,
        now: Millis,
        service: &Arc<str>,
        decisions: &mut Vec<QueueDecision>,
    ) {
        let Some(mut queue) = self.queues.remove(service) else {
            return;
        };
        while let Some(held) =
            queue.pop_first(|queued| self.next_turn(now, &queued.request).is_none())
        {
            let decision = self.refuse(now, &held.request, ErrorKind::NoUpstream);
            decisions.push(self.deliver(now, &held.request, decision));
        }
        self.queues.insert(Arc::clone(service), queue);
    }

    fn process_queue(
        &mut self,
        now: Millis,
        service: &Arc<str>,
        decisions: &mut Vec<QueueDecision>,
    ) {
        let Some(mut queue) = self.queues.remove(service) else {
            return;
        };
        self.refuse_excluded(now, &mut queue, decisions);
        while let Some(expired) = queue.pop_expired(now) {
            let kind = self.expiry_reason(now, &expired.request);
            let decision = self.refuse(now, &expired.request, kind);
            decisions.push(self.deliver(now, &expired.request, decision));
        }
        // Requests of other regions go on when the first one finds no capacity in its own.
        let mut full_regions = Vec::new();
        while let Some(first) = queue.first_outside(&full_regions) {
            let Some(id) = self.choose(now, &first.request) else {
                full_regions.push(first.request.regions.clone());
                continue;
            };
            let Some(sent) = queue.remove(first.request.number) else {
                break;
            };
            self.record_send(now, id, &sent.request);
            decisions.push(self.deliver(now, &sent.request, Decision::Send(id)));
        }
        while self.upstreams.has_turns(now)
            && let Some(held) = queue.pop_first(|queued| {
                let turn = self.next_turn(now, &queued.request);
                turn.is_some_and(|turn| turn.not_before > queued.expires_at)
            })
        {
            let turn = self.next_turn(now, &held.request);
            let kind = turn.map_or(ErrorKind::NoUpstream, NextTurn::refusal);
            let decision = self.refuse(now, &held.request, kind);
            decisions.push(self.deliver(now, &held.request, decision));
        }
        self.queues.insert(Arc::clone(service), queue);
    }

    /// Returns why a request whose time in the queue is over is refused.
    fn expiry_reason(&self, now: Millis, request: &PlacementRequest) -> ErrorKind {
        match self.next_turn(now, request) {
            Some(turn) if turn.expected > now => turn.refusal(),
            Some(_) => ErrorKind::TooLate,
            None => ErrorKind::NoUpstream,
        }
    }

    /// Returns the decision on a queued request, and records what becomes of its retry.
    fn deliver(
        &mut self,
        now: Millis,
        request: &PlacementRequest,
        decision: Decision,
    ) -> QueueDecision {
        if request.is_retry {
            self.settle_retry(now, &request.service, decision);
        }
        QueueDecision {
            number: request.number,
            decision,
        }
    }

    /// Refuses the queued requests that have lost their last upstream to an evacuation or to their regions.
    fn refuse_excluded(
        &mut self,
        now: Millis,
        queue: &mut RequestQueue,
        decisions: &mut Vec<QueueDecision>,
    ) {
        while let Some(excluded) = queue.pop_first(|queued| {
            let request = &queued.request;
            self.upstreams.zones().may_exclude(&request.regions)
                && self.next_turn(now, request).is_none()
                && self.exclusion(now, request).is_some()
        }) {
            let request = &excluded.request;
            let kind = self
                .exclusion(now, request)
                .unwrap_or(ErrorKind::NoUpstream);
            let decision = self.refuse(now, request, kind);
            decisions.push(self.deliver(now, request, decision));
        }
    }
}
