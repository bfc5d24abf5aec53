//! Admission of arriving requests, and the queue that each one joins.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use super::{RETRY_AFTER, Scheduler};
use crate::events::{Arrival, Effect};
use crate::pending::{Pending, Stage};

/// The minimum queue quota of every organisation, in requests.
const ORGANISATION_QUEUE_MIN: usize = 4;

/// The factor on the longest wait for an organisation that has no request in the queue.
const EMPTY_QUEUE_FACTOR: u64 = 4;

/// Why a request is refused, and after which delay the caller may retry.
struct Refusal {
    kind: ErrorKind,
    retry_after: Millis,
}

impl Scheduler {
    /// Queues a request and dispatches it if possible, or refuses it at once.
    pub(super) fn handle_arrival(
        &mut self,
        now: Millis,
        arrival: Arrival,
        effects: &mut Vec<Effect>,
    ) {
        let request = arrival.request;
        if let Err(refusal) = self.check_admission(now, &arrival) {
            return self.give_up(now, request, refusal.kind, refusal.retry_after, effects);
        }
        let pool = self.pools.index_or_insert(now, &arrival.service);
        let class = self.pools.list[pool]
            .classes
            .index_or_insert(&arrival.class, arrival.class_weight);
        let pending = Pending::new(arrival, pool, class);
        if let Err(refusal) = self.check_queue(now, &pending) {
            return self.give_up(now, request, refusal.kind, refusal.retry_after, effects);
        }
        self.enqueue(pending);
        self.dispatch(now, pool, effects);
    }

    /// Checks the quarantine, the rate limit and whether any upstream takes work.
    fn check_admission(&mut self, now: Millis, arrival: &Arrival) -> Result<(), Refusal> {
        if let Some(remaining) = self.suspects.quarantine_remaining(now, arrival.traits()) {
            return Err(Refusal {
                kind: ErrorKind::Quarantined,
                retry_after: remaining,
            });
        }
        if let Some(limit) = arrival.rate_limit
            && let Err(missing) = self.rate_limits.take(now, &arrival.organisation, limit)
        {
            return Err(Refusal {
                kind: ErrorKind::OverLimit,
                retry_after: self.add_jitter(missing),
            });
        }
        let pool = self.pools.index_of(&arrival.service);
        let usable = pool.filter(|pool| self.pools.list[*pool].unavailable_since.is_none());
        if let Some(pool) = usable {
            return self.check_limits(now, pool, arrival.deadline);
        }
        Err(Refusal {
            kind: pool.map_or(ErrorKind::NoUpstream, |pool| self.unavailable_kind(pool)),
            retry_after: self.add_jitter(RETRY_AFTER),
        })
    }

    /// Checks whether the limits that upstreams have named allow a request in time.
    fn check_limits(&mut self, now: Millis, pool: usize, deadline: Millis) -> Result<(), Refusal> {
        let members = self.pools.list[pool].members();
        let open = members.filter(|index| self.fleet.upstreams[*index].accepts_work());
        let next = open.map(|index| self.fleet.upstreams[index].limited_until);
        let next = next.min().unwrap_or(now);
        let latest = deadline.min(now + self.settings.queue.wait_max);
        if next <= latest {
            return Ok(());
        }
        Err(Refusal {
            kind: ErrorKind::UpstreamLimited,
            retry_after: self.add_jitter(next.since(now)),
        })
    }

    /// Checks the deadline, the queue bounds and the expected wait.
    fn check_queue(&mut self, now: Millis, pending: &Pending) -> Result<(), Refusal> {
        let arrival = &pending.arrival;
        let settings = &self.settings.queue;
        let pool = &mut self.pools.list[pending.pool];
        let expected = pool.service_time.upper_estimate(arrival.cost);
        let wait_max = settings
            .wait_max
            .0
            .max(pool.service_time.mean(arrival.cost).0 / 2);
        let isolated = pool.isolated.len();
        let class = pool.classes.class(pending.class);
        let organisation: &Arc<str> = &arrival.organisation;
        let quota = class
            .queue
            .quota(
                organisation,
                arrival.organisation_weight,
                settings.class_max,
            )
            .clamp(
                ORGANISATION_QUEUE_MIN,
                settings.organisation_max.max(ORGANISATION_QUEUE_MIN),
            );
        let backlogged = class.queue.len() > 0;
        let own_queued = class.queue.len_of(organisation);
        let wait_max = if own_queued == 0 {
            wait_max * EMPTY_QUEUE_FACTOR
        } else {
            wait_max
        };
        let full = class.queue.len() >= settings.class_max
            || own_queued >= quota
            || isolated >= settings.class_max;
        let ahead = class
            .queue
            .cost_ahead(organisation, arrival.organisation_weight, arrival.cost);
        let wait = class.drain.time_for(ahead).unwrap_or_default();
        let kind = if pending.misses_deadline(now, wait + expected) {
            ErrorKind::TooLate
        } else if full || backlogged && wait.0 > wait_max {
            ErrorKind::QueueFull
        } else {
            return Ok(());
        };
        Err(Refusal {
            kind,
            retry_after: self.retry_after_drain(pending.pool, pending.class),
        })
    }

    /// Adds a request to the queue of its class, or a suspect to the isolated requests.
    pub(super) fn enqueue(&mut self, mut pending: Pending) {
        let pool = &mut self.pools.list[pending.pool];
        let request = pending.arrival.request;
        if self.suspects.is_suspect(&pending.arrival.digest) {
            pending.stage = Stage::Isolated;
            pool.isolated.push_back(request);
        } else {
            pending.stage = Stage::Queued;
            let queue = &mut pool.classes.class(pending.class).queue;
            if pending.tried.is_empty() {
                queue.push(
                    &pending.arrival.organisation,
                    pending.arrival.organisation_weight,
                    pending.queued(),
                );
            } else {
                queue.push_retry(pending.queued());
            }
        }
        self.pending.insert(request, pending);
    }
}
