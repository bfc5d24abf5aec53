//! Dispatch of waiting requests to upstreams that have capacity.

use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use super::Scheduler;
use crate::events::{Effect, RequestNumber};
use crate::fair_queue::QueuedRequest;
use crate::pending::Stage;
use crate::routing::{RouteQuery, Router};
use crate::upstream::{Attempt, Overcommit};

/// The result of trying to dispatch the request at the head of a queue.
enum Dispatch {
    /// The request left the queue: it was sent, isolated or given up.
    Dequeued,
    /// No upstream has capacity for it.
    NoCapacity,
}

/// Where a suspect may run.
enum Placement {
    /// On the upstream at this position, now.
    Now(usize),
    /// On an upstream that is reserved for it but still runs other requests.
    Reserved,
    /// On no upstream at present.
    None,
}

impl Scheduler {
    /// Dispatches the waiting requests of every service.
    pub(super) fn dispatch_all(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        for pool in 0..self.pools.list.len() {
            self.dispatch_after_change(now, pool, effects);
        }
    }

    /// Dispatches the waiting requests of a service after a change that may have freed capacity.
    pub(super) fn dispatch_after_change(
        &mut self,
        now: Millis,
        pool: usize,
        effects: &mut Vec<Effect>,
    ) {
        self.pools.list[pool].exhausted = None;
        self.dispatch(now, pool, effects);
    }

    /// Dispatches the waiting requests of a service after an attempt ended on the upstream at `freed`.
    pub(super) fn dispatch_after_end(
        &mut self,
        now: Millis,
        pool: usize,
        freed: usize,
        effects: &mut Vec<Effect>,
    ) {
        self.pools.list[pool].freed_upstream = Some(freed);
        self.dispatch(now, pool, effects);
        let upstream = &self.fleet.upstreams[freed];
        let weight = self.fleet.weight(upstream);
        let service_pool = &mut self.pools.list[pool];
        service_pool.freed_upstream = None;
        if upstream.has_capacity(Overcommit::Normal, weight) {
            service_pool.exhausted = None;
        } else if upstream.has_capacity(Overcommit::Urgent, weight) {
            service_pool.exhausted = service_pool
                .exhausted
                .map(|exhausted| exhausted.min(Overcommit::Normal));
        }
    }

    /// Dispatches the waiting requests of a service until no upstream has capacity.
    pub(super) fn dispatch(&mut self, now: Millis, pool: usize, effects: &mut Vec<Effect>) {
        if !self.pools.list[pool].has_waiting() || self.pools.list[pool].unavailable_since.is_some()
        {
            return;
        }
        self.dispatch_isolated(now, pool, effects);
        let urgent_streak = self.settings.queue.urgent_streak;
        loop {
            let order = self.pools.list[pool].classes.service_order(urgent_streak);
            if !self.dispatch_next(now, pool, order, effects) {
                return;
            }
        }
    }

    /// Dispatches one request, trying the classes in `order`. Returns whether a request was dequeued.
    fn dispatch_next(
        &mut self,
        now: Millis,
        pool: usize,
        order: [Option<usize>; 2],
        effects: &mut Vec<Effect>,
    ) -> bool {
        let [first, second] = order;
        // Urgent requests may exceed the limit only in their turn; otherwise the other classes would
        // never find capacity.
        let in_turn = first.is_some_and(|class| self.pools.list[pool].classes.is_urgent(class));
        let urgent_overcommit = if in_turn {
            Overcommit::Urgent
        } else {
            Overcommit::Normal
        };
        [first, second].into_iter().flatten().any(|class| {
            let classes = &mut self.pools.list[pool].classes;
            let urgent = classes.is_urgent(class);
            let heads = classes.class(class).queue.heads();
            let overcommit = if urgent {
                urgent_overcommit
            } else {
                Overcommit::Normal
            };
            heads.into_iter().flatten().any(|head| {
                let dispatch = self.dispatch_head(now, class, head, overcommit, effects);
                matches!(dispatch, Dispatch::Dequeued)
            })
        })
    }

    /// Tries to dispatch a request from the head of a class's queue.
    fn dispatch_head(
        &mut self,
        now: Millis,
        class: usize,
        head: QueuedRequest,
        overcommit: Overcommit,
        effects: &mut Vec<Effect>,
    ) -> Dispatch {
        let Some(pending) = self.pending.get(&head.request) else {
            return Dispatch::NoCapacity;
        };
        let pool = pending.pool;
        let expected = self.pools.list[pool].service_time.upper_estimate(head.cost);
        if pending.misses_deadline(now, expected) {
            self.expire(now, head.request, effects);
            return Dispatch::Dequeued;
        }
        if self.suspects.is_suspect(&pending.arrival.digest) {
            self.isolate(head.request);
            self.dispatch_isolated(now, pool, effects);
            return Dispatch::Dequeued;
        }
        let query = RouteQuery {
            overcommit,
            tried: &pending.tried,
            key: pending.arrival.idempotency_key.as_ref(),
            prefix: pending.arrival.prefix.as_ref(),
        };
        let service_pool = &self.pools.list[pool];
        let router = Router {
            now,
            fleet: &self.fleet,
            pool: service_pool,
            settings: &self.settings.routing,
        };
        let chosen = if query.key.is_none() && service_pool.is_exhausted(overcommit) {
            service_pool
                .freed_upstream
                .filter(|index| router.fits(*index, &query))
        } else {
            router.pick(&query, &mut self.rng)
        };
        let Some(index) = chosen else {
            if pending.tried.is_empty() {
                let service_pool = &mut self.pools.list[pool];
                service_pool.exhausted = service_pool.exhausted.max(Some(overcommit));
            }
            return Dispatch::NoCapacity;
        };
        let classes = &mut self.pools.list[pool].classes;
        classes.record_served(class, head.cost);
        classes.class(class).queue.pop(head.request);
        self.send(now, head.request, index, effects);
        Dispatch::Dequeued
    }

    fn isolate(&mut self, request: RequestNumber) {
        self.remove_from_queue(request);
        if let Some(pending) = self.pending.remove(&request) {
            self.enqueue(pending);
        }
    }

    /// Gives up a waiting request whose deadline can no longer be met.
    pub(super) fn expire(
        &mut self,
        now: Millis,
        request: RequestNumber,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let (pool, class) = (pending.pool, pending.class);
        let kind = match pending.last_error {
            Some(cause) if pending.arrival.deadline > now => cause,
            _ => ErrorKind::TooLate,
        };
        self.remove_from_queue(request);
        let retry_after = self.retry_after_drain(pool, class);
        self.give_up(now, request, kind, retry_after, effects);
    }

    /// Sends isolated suspects, each to an upstream that runs nothing else if one is available.
    fn dispatch_isolated(&mut self, now: Millis, pool: usize, effects: &mut Vec<Effect>) {
        let waiting: Vec<RequestNumber> = self.pools.list[pool].isolated.iter().copied().collect();
        for request in waiting {
            if self.has_expired(now, request) {
                self.expire(now, request, effects);
                continue;
            }
            match self.place_isolated(now, pool, request) {
                Placement::Now(index) => {
                    self.pools.list[pool]
                        .isolated
                        .retain(|waiting| *waiting != request);
                    self.release_reservation(request);
                    self.pools.list[pool].exhausted = None;
                    self.fleet.upstreams[index].reserved_for = Some(request);
                    self.send(now, request, index, effects);
                }
                Placement::Reserved => {}
                Placement::None => return,
            }
        }
    }

    fn has_expired(&self, now: Millis, request: RequestNumber) -> bool {
        let pending = self.pending.get(&request);
        pending.is_some_and(|pending| pending.arrival.deadline <= now)
    }

    /// Finds an idle upstream for a suspect, or reserves one until it becomes idle.
    fn place_isolated(&mut self, now: Millis, pool: usize, request: RequestNumber) -> Placement {
        let Some(pending) = self.pending.get(&request) else {
            return Placement::None;
        };
        let router = Router {
            now,
            fleet: &self.fleet,
            pool: &self.pools.list[pool],
            settings: &self.settings.routing,
        };
        let (available, reserved) = router.count_available_and_reserved();
        let already_reserved = self.pools.list[pool]
            .members()
            .find(|index| self.fleet.upstreams[*index].reserved_for == Some(request));
        if already_reserved.is_none() && reserved >= available.div_ceil(2) {
            return Placement::None;
        }
        let idle = |index: &usize| self.fleet.upstreams[*index].attempts.is_empty();
        let chosen = already_reserved
            .filter(idle)
            .or_else(|| router.pick_isolated(&pending.tried));
        // The only available upstream stays open to other requests; there the suspect runs beside
        // them.
        if let Some(index) = chosen.filter(|index| idle(index) || available <= 1) {
            return Placement::Now(index);
        }
        match (already_reserved, chosen) {
            (Some(_), _) => Placement::Reserved,
            (None, Some(index)) => {
                self.fleet.upstreams[index].reserved_for = Some(request);
                Placement::Reserved
            }
            (None, None) => Placement::None,
        }
    }

    /// Sends a request to the upstream at `index`.
    fn send(
        &mut self,
        now: Millis,
        request: RequestNumber,
        index: usize,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let upstream = &mut self.fleet.upstreams[index];
        let pool = &mut self.pools.list[pending.pool];
        let (budget, settings) = pool.retry_budget(&self.settings.retry);
        if pending.tried.is_empty() {
            budget.record_request(now, &settings);
        }
        if std::mem::take(&mut pending.retry_reserved) {
            budget.record_sent();
        }
        if let Some(prefix) = pending.arrival.prefix {
            let max = self.settings.routing.prefixes_max;
            pool.affinity.add_holder(prefix, upstream.id(), max);
        }
        pending.stage = Stage::InFlight;
        pending.tried.push(upstream.id());
        upstream.add_attempt(Attempt {
            request,
            digest: pending.arrival.digest,
            sent: now,
            first_byte: None,
            cost: pending.arrival.cost,
            crash_counted: false,
            withdrawn: false,
        });
        effects.push(Effect::Send {
            request,
            upstream: upstream.id(),
            retry_cause: pending.last_error,
        });
    }
}
