//! What is done each tick: limits, ejection, stalls, deadlines, and forgetting what is idle.

use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use super::{RETRY_AFTER, Scheduler};
use crate::events::{Effect, RequestNumber};
use crate::pending::Stage;

/// The time between two looks for idle state.
const SWEEP: Millis = Millis(1_000);

/// The capacity that the table of open requests always keeps.
const SPARE_MIN: usize = 1_024;

/// How many times the mean time to the first byte counts as a stall.
const STALL_FACTOR: f32 = 8.0;

/// How much longer it takes where attempts are known to wait, as a factor.
const QUEUED_FACTOR: f32 = 4.0;

/// The share of the estimated wait that must fit before the deadline of a request that waits.
const WAIT_SHARE: f32 = 0.5;

impl Scheduler {
    /// Lets time pass.
    pub(super) fn tick(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        for at in 0..self.fleet.slots.len() {
            let slot = &mut self.fleet.slots[at];
            slot.limiter.roll(now, &self.settings.concurrency);
            slot.health.tick(now, &self.settings.ejection);
            if !slot.attempts.is_empty() {
                self.check_progress(now, at, effects);
            }
        }
        self.fleet.tick_groups(now, &self.settings);
        for pool in 0..self.pools.list.len() {
            for class in self.pools.list[pool].classes.all() {
                class.drain.roll(now, class.queue.len() > 0);
                class.queue.tick();
            }
            if self.pools.list[pool].waits() {
                self.expire_late(now, pool, effects);
                self.give_up_absent(now, pool, effects);
            }
            self.pump_anew(now, pool, effects);
        }
        if now.since(self.swept) >= SWEEP {
            self.swept = now;
            self.sweep(now);
        }
    }

    /// Ejects an upstream that stalls, and withdraws what waits on it.
    fn check_progress(&mut self, now: Millis, at: usize, effects: &mut Vec<Effect>) {
        let slot = &self.fleet.slots[at];
        let Some(pool) = self.pools.place(&slot.info.service) else {
            return;
        };
        let bounds = &self.settings.ejection;
        let mean = self.pools.list[pool].times.first_mean();
        // Where others wait as well, a first byte may take long without any stall.
        let factor = if slot.queues(now, self.settings.routing.report_ttl) {
            STALL_FACTOR * QUEUED_FACTOR
        } else {
            STALL_FACTOR
        };
        let bound = if mean > 0.0 {
            let shortest = Millis((bounds.stall_min.0 as f32 * factor / STALL_FACTOR) as u64);
            let longest = bounds.stall_max;
            Millis((mean * factor) as u64).clamp(shortest.min(longest), longest)
        } else {
            bounds.stall_max
        };
        let stuck = slot.stuck(now);
        let silent = slot.engine_silent(bounds.stall_max);
        let stalled = stuck >= bound || silent;
        let suspected = stalled || stuck.0 * 2 >= bound.0;
        let slot = &mut self.fleet.slots[at];
        slot.health.suspect(suspected);
        let out = slot.health.out();
        if suspected {
            self.fleet.judge(at);
        }
        if !stalled {
            return;
        }
        if !out {
            self.eject(now, at);
        }
        self.withdraw(pool, at, silent, effects);
    }

    /// Withdraws the repeatable requests that wait on a stalled upstream, within the budget, and if
    /// its engine is silent also those whose answers have begun.
    fn withdraw(&mut self, pool: usize, at: usize, silent: bool, effects: &mut Vec<Effect>) {
        let pool = &self.pools.list[pool];
        let others = pool
            .members()
            .any(|other| other != at && self.fleet.slots[other].fit());
        if !others {
            return;
        }
        let mut left = pool.budget.left();
        let attempts_max = self.settings.attempts_max as usize;
        let slot = &mut self.fleet.slots[at];
        let upstream = slot.info.id;
        for attempt in &mut slot.attempts {
            let Some(one) = self.pending.get_mut(&attempt.ticket) else {
                continue;
            };
            let may = one.arrival.idempotent
                && one.arrival.idempotency_key.is_none()
                && !one.withdrawn
                && one.tried.len() < attempts_max;
            if (silent || attempt.began.is_none()) && may && left > 0 {
                left -= 1;
                attempt.withdrawn = true;
                one.withdrawn = true;
                effects.push(Effect::Withdraw {
                    request: attempt.ticket,
                    upstream,
                });
            }
        }
    }

    /// Gives up what waits and cannot be answered in time any more.
    fn expire_late(&mut self, now: Millis, pool: usize, effects: &mut Vec<Effect>) {
        let mut late: Vec<RequestNumber> = Vec::new();
        let list = &mut self.pools.list[pool];
        let times = list.times;
        for class in list.classes.all() {
            let drain = class.drain;
            class.queue.each(|waiting, ahead| {
                let wait = drain.time_for(ahead * WAIT_SHARE).unwrap_or_default();
                let done = now + wait + times.expected(waiting.cost);
                if waiting.deadline <= now || waiting.deadline < done {
                    late.push(waiting.ticket);
                }
            });
        }
        for ticket in &list.apart {
            if let Some(one) = self.pending.get(ticket)
                && one.too_late(now, times.expected(one.arrival.cost))
            {
                late.push(*ticket);
            }
        }
        for ticket in late {
            self.expire(now, ticket, effects);
        }
    }

    /// Gives up what waits once no upstream has been there for too long.
    fn give_up_absent(&mut self, now: Millis, pool: usize, effects: &mut Vec<Effect>) {
        let absence_max = self.settings.queue.unavailable_max;
        let gone = self.pools.list[pool]
            .absent
            .is_some_and(|since| now.since(since) >= absence_max);
        if !gone {
            return;
        }
        let mut waiting: Vec<RequestNumber> = self
            .pending
            .iter()
            .filter(|(_, one)| one.pool == pool && one.stage != Stage::Sent)
            .map(|(ticket, _)| *ticket)
            .collect();
        waiting.sort_unstable();
        for ticket in waiting {
            self.leave_queue(ticket);
            let retry_after = self.spread(RETRY_AFTER);
            self.give_up(ticket, ErrorKind::NoUpstream, retry_after, effects);
        }
    }

    fn sweep(&mut self, now: Millis) {
        self.buckets.forget(now);
        if self.pending.capacity() > SPARE_MIN + self.pending.len() * 4 {
            self.pending.shrink_to(self.pending.len() * 2);
        }
        self.suspects.forget(now);
        for pool in &mut self.pools.list {
            pool.times.fade();
            for class in pool.classes.all() {
                class.queue.forget();
            }
        }
    }
}
