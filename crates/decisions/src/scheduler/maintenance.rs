//! Periodic work: limits, ejection, stall detection, deadlines and removal of idle state.

use sardinepin_common::Millis;

use super::Scheduler;
use crate::events::{Effect, RequestNumber};

/// The interval between removals of idle state.
const SWEEP_INTERVAL: Millis = Millis(1_000);

/// The capacity up to which the table of open requests is never shrunk.
const CAPACITY_MIN: usize = 1_024;

/// The multiple of the mean time to the first byte that counts as a stall.
const STALL_FACTOR: f32 = 8.0;

/// The further factor on an upstream whose load report shows waiting attempts.
const QUEUED_STALL_FACTOR: f32 = 4.0;

/// The share of the estimated wait that must fit before a waiting request's deadline.
const WAIT_SHARE: f32 = 0.5;

impl Scheduler {
    /// Runs the periodic work.
    pub(super) fn tick(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        for index in 0..self.fleet.upstreams.len() {
            let upstream = &mut self.fleet.upstreams[index];
            upstream.limiter.update(now, &self.settings.concurrency);
            upstream.health.tick(now, &self.settings.ejection);
            if !upstream.attempts.is_empty() {
                self.check_progress(now, index, effects);
            }
        }
        self.fleet.update_groups(now, &self.settings);
        for pool in 0..self.pools.list.len() {
            for class in self.pools.list[pool].classes.iter_mut() {
                class.drain.update(now, class.queue.len() > 0);
                class.queue.decay_peak();
            }
            if self.pools.list[pool].has_waiting() {
                self.expire_late(now, pool, effects);
                self.give_up_unavailable(now, pool, effects);
            }
            self.dispatch_after_change(now, pool, effects);
        }
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.sweep(now);
        }
    }

    /// Ejects a stalled upstream and withdraws the attempts that wait on it.
    fn check_progress(&mut self, now: Millis, index: usize, effects: &mut Vec<Effect>) {
        let upstream = &self.fleet.upstreams[index];
        let Some(pool) = self.pools.index_of(&upstream.info.service) else {
            return;
        };
        let ejection = &self.settings.ejection;
        let mean = self.pools.list[pool].service_time.first_byte_mean();
        // On an upstream with a queue, a first byte may take long without a stall.
        let factor = if upstream.has_queue(now, self.settings.routing.report_ttl) {
            STALL_FACTOR * QUEUED_STALL_FACTOR
        } else {
            STALL_FACTOR
        };
        let bound = if mean > 0.0 {
            let shortest = Millis((ejection.stall_min.0 as f32 * factor / STALL_FACTOR) as u64);
            let longest = ejection.stall_max;
            Millis((mean * factor) as u64).clamp(shortest.min(longest), longest)
        } else {
            ejection.stall_max
        };
        let stalled_for = upstream.stalled_for(now);
        let silent = upstream.is_engine_silent(ejection.stall_max);
        let stalled = stalled_for >= bound || silent;
        let stalling = stalled || stalled_for.0 * 2 >= bound.0;
        let upstream = &mut self.fleet.upstreams[index];
        upstream.health.set_stalling(stalling);
        let ejected = upstream.health.is_ejected_or_probing();
        if stalling {
            self.fleet.lower_group_if_stopped(index);
        }
        if !stalled {
            return;
        }
        if !ejected {
            self.eject(now, index);
        }
        self.withdraw(now, pool, index, silent, effects);
    }

    /// Withdraws the idempotent requests that wait on a stalled upstream, within the retry budget. If
    /// its engine is silent, those whose responses have begun are withdrawn as well.
    fn withdraw(
        &mut self,
        now: Millis,
        pool: usize,
        index: usize,
        silent: bool,
        effects: &mut Vec<Effect>,
    ) {
        let pool = &mut self.pools.list[pool];
        let alternatives = pool
            .members()
            .any(|other| other != index && self.fleet.upstreams[other].is_available());
        if !alternatives {
            return;
        }
        let (budget, settings) = pool.retry_budget(&self.settings.retry);
        let mut retries_left = budget.status(now, &settings).remaining as u32;
        let attempts_max = self.settings.attempts_max as usize;
        let upstream = &mut self.fleet.upstreams[index];
        let id = upstream.info.id;
        for attempt in &mut upstream.attempts {
            let Some(pending) = self.pending.get_mut(&attempt.request) else {
                continue;
            };
            let withdrawable = pending.arrival.idempotent
                && pending.arrival.idempotency_key.is_none()
                && !pending.withdrawn
                && pending.tried.len() < attempts_max;
            if (silent || attempt.first_byte.is_none()) && withdrawable && retries_left > 0 {
                retries_left -= 1;
                attempt.withdrawn = true;
                pending.withdrawn = true;
                effects.push(Effect::Withdraw {
                    request: attempt.request,
                    upstream: id,
                });
            }
        }
    }

    /// Gives up the waiting requests that can no longer get a response before their deadlines.
    fn expire_late(&mut self, now: Millis, pool: usize, effects: &mut Vec<Effect>) {
        let mut late: Vec<RequestNumber> = Vec::new();
        let service_pool = &mut self.pools.list[pool];
        let times = service_pool.service_time;
        for class in service_pool.classes.iter_mut() {
            let drain = class.drain;
            class.queue.for_each(|waiting, ahead| {
                let wait = drain.time_for(ahead * WAIT_SHARE).unwrap_or_default();
                let done = now + wait + times.upper_estimate(waiting.cost);
                if waiting.deadline <= now || waiting.deadline < done {
                    late.push(waiting.request);
                }
            });
        }
        for request in &service_pool.isolated {
            if let Some(pending) = self.pending.get(request)
                && pending.misses_deadline(now, times.upper_estimate(pending.arrival.cost))
            {
                late.push(*request);
            }
        }
        for request in late {
            self.expire(now, request, effects);
        }
    }

    /// Gives up the waiting requests once no upstream has taken work for too long.
    fn give_up_unavailable(&mut self, now: Millis, pool: usize, effects: &mut Vec<Effect>) {
        let unavailable_max = self.settings.queue.unavailable_max;
        let overdue = self.pools.list[pool]
            .unavailable_since
            .is_some_and(|since| now.since(since) >= unavailable_max);
        if !overdue {
            return;
        }
        let kind = self.unavailable_kind(pool);
        self.give_up_waiting(now, pool, kind, effects);
    }

    fn sweep(&mut self, now: Millis) {
        self.rate_limits.remove_full(now);
        if self.pending.capacity() > CAPACITY_MIN + self.pending.len() * 4 {
            self.pending.shrink_to(self.pending.len() * 2);
        }
        self.suspects.remove_expired(now);
        for pool in &mut self.pools.list {
            pool.service_time.decay();
            for class in pool.classes.iter_mut() {
                class.queue.remove_idle();
            }
        }
    }
}
