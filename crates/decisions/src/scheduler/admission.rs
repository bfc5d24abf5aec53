//! Whether a request that arrives is taken, and where it waits.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use super::{RETRY_AFTER, Scheduler};
use crate::events::{Arrival, Effect};
use crate::pending::{Pending, Stage};

/// The places in a queue that every organisation has.
const PLACES_MIN: usize = 4;

/// How much longer the only request of an organisation may wait, as a factor.
const FIRST_FACTOR: u64 = 4;

/// Why a request is refused, and when it may come back.
struct Refusal {
    kind: ErrorKind,
    retry_after: Millis,
}

impl Scheduler {
    /// Takes in a request, or refuses it at once.
    pub(super) fn arrived(&mut self, now: Millis, arrival: Arrival, effects: &mut Vec<Effect>) {
        let ticket = arrival.request;
        if let Err(refusal) = self.may_enter(now, &arrival) {
            return self.give_up(ticket, refusal.kind, refusal.retry_after, effects);
        }
        let pool = self.pools.at(now, &arrival.service);
        let class = self.pools.list[pool]
            .classes
            .at(&arrival.class, arrival.class_weight);
        let one = Pending::new(arrival, pool, class);
        if let Err(refusal) = self.may_wait(now, &one) {
            return self.give_up(ticket, refusal.kind, refusal.retry_after, effects);
        }
        self.enqueue(one);
        self.pump(now, pool, effects);
    }

    /// Checks quarantine, the rule's limit and whether any upstream is there.
    fn may_enter(&mut self, now: Millis, arrival: &Arrival) -> Result<(), Refusal> {
        if let Some(left) = self.suspects.quarantined(now, &arrival.digest) {
            return Err(Refusal {
                kind: ErrorKind::Quarantined,
                retry_after: left,
            });
        }
        if let Some(limit) = arrival.rate_limit
            && let Err(missing) = self.buckets.take(now, &arrival.organisation, limit)
        {
            return Err(Refusal {
                kind: ErrorKind::OverLimit,
                retry_after: self.spread(missing),
            });
        }
        let there = self
            .pools
            .place(&arrival.service)
            .is_some_and(|pool| self.pools.list[pool].absent.is_none());
        if there {
            return Ok(());
        }
        Err(Refusal {
            kind: ErrorKind::NoUpstream,
            retry_after: self.spread(RETRY_AFTER),
        })
    }

    /// Checks the deadline, the bounds of the queue and the time that the request would wait.
    fn may_wait(&mut self, now: Millis, one: &Pending) -> Result<(), Refusal> {
        let arrival = &one.arrival;
        let settings = &self.settings.queue;
        let pool = &mut self.pools.list[one.pool];
        let expected = pool.times.expected(arrival.cost);
        let wait_max = settings.wait_max.0.max(pool.times.mean(arrival.cost).0 / 2);
        let apart = pool.apart.len();
        let class = pool.classes.class(one.class);
        let organisation: &Arc<str> = &arrival.organisation;
        let places = class
            .queue
            .places(
                organisation,
                arrival.organisation_weight,
                settings.class_max,
            )
            .clamp(PLACES_MIN, settings.organisation_max.max(PLACES_MIN));
        let waits = class.queue.len() > 0;
        let own = class.queue.len_of(organisation);
        let wait_max = if own == 0 {
            wait_max * FIRST_FACTOR
        } else {
            wait_max
        };
        let full =
            class.queue.len() >= settings.class_max || own >= places || apart >= settings.class_max;
        let ahead = class
            .queue
            .ahead(organisation, arrival.organisation_weight, arrival.cost);
        let wait = class.drain.time_for(ahead).unwrap_or_default();
        let kind = if one.too_late(now, wait + expected) {
            ErrorKind::TooLate
        } else if full || waits && wait.0 > wait_max {
            ErrorKind::QueueFull
        } else {
            return Ok(());
        };
        Err(Refusal {
            kind,
            retry_after: self.come_back(one.pool, one.class),
        })
    }

    /// Puts a request where it waits: suspects apart, others in the queue of their class.
    pub(super) fn enqueue(&mut self, mut one: Pending) {
        let pool = &mut self.pools.list[one.pool];
        let ticket = one.arrival.request;
        if self.suspects.suspected(&one.arrival.digest) {
            one.stage = Stage::Apart;
            pool.apart.push_back(ticket);
        } else {
            one.stage = Stage::Queued;
            let queue = &mut pool.classes.class(one.class).queue;
            if one.tried.is_empty() {
                queue.push(
                    &one.arrival.organisation,
                    one.arrival.organisation_weight,
                    one.waiting(),
                );
            } else {
                queue.push_returned(one.waiting());
            }
        }
        self.pending.insert(ticket, one);
    }
}
