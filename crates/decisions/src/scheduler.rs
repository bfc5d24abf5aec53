//! The policy `sardinepin`: the parts put together, event by event.

mod admission;
mod dispatch;
mod outcome;
mod upkeep;

use rand::Rng as _;
use sardinepin_common::{Map, Millis, Rng, seeded_rng};
use sardinepin_protocol::{Digest, ErrorKind, Load, RetryAdvice};

use crate::balancer::Decide;
use crate::bucket::Buckets;
use crate::events::{Effect, Event, RequestNumber, ServiceInfo, UpstreamId, UpstreamInfo};
use crate::fleet::Fleet;
use crate::pending::{Pending, Stage};
use crate::pool::Pools;
use crate::settings::Settings;
use crate::slot::Slot;
use crate::suspects::Suspects;

/// When a request may come back if nothing better is known.
const RETRY_AFTER: Millis = Millis(1_000);

/// The earliest time at which a request is told to come back.
const RETRY_AFTER_MIN: Millis = Millis(100);

/// The latest time at which a request is told to come back, before it is spread.
const RETRY_AFTER_MAX: Millis = Millis(30_000);

/// Fair admission, adaptive limits, routing by load, retries and quarantine.
#[derive(Debug)]
pub(crate) struct Scheduler {
    settings: Settings,
    rng: Rng,
    fleet: Fleet,
    pools: Pools,
    pending: Map<RequestNumber, Pending>,
    buckets: Buckets,
    suspects: Suspects,
    /// When idle state was last looked for.
    swept: Millis,
}

impl Scheduler {
    /// Makes a policy without upstreams.
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            rng: seeded_rng(settings.seed),
            fleet: Fleet::default(),
            pools: Pools::default(),
            pending: Map::default(),
            buckets: Buckets::default(),
            suspects: Suspects::new(settings.quarantine.clone()),
            swept: Millis::ZERO,
            settings,
        }
    }

    fn began(&mut self, now: Millis, ticket: RequestNumber, upstream: UpstreamId) {
        let Some(slot) = self.fleet.slot(upstream) else {
            return;
        };
        let Some(time) = slot.began(now, ticket) else {
            return;
        };
        if let Some(pool) = self.pools.place(&slot.info.service) {
            self.pools.list[pool].times.began(time);
        }
    }

    fn loaded(&mut self, now: Millis, upstream: UpstreamId, load: Load) {
        let Some(at) = self.fleet.place(upstream) else {
            return;
        };
        self.fleet.slots[at].reported(now, load);
        self.fleet.stepped(at, load.step_micros);
    }

    fn cached(&mut self, upstream: UpstreamId, prefix: Digest, held: bool) {
        let Some(slot) = self.fleet.slot(upstream) else {
            return;
        };
        let Some(pool) = self.pools.place(&slot.info.service) else {
            return;
        };
        let affinity = &mut self.pools.list[pool].affinity;
        if held {
            affinity.held(prefix, upstream, self.settings.routing.prefixes_max);
        } else {
            affinity.dropped(&prefix, upstream);
        }
    }

    /// Changes whether an upstream can be used, and serves what can be served by it.
    fn change(
        &mut self,
        now: Millis,
        upstream: UpstreamId,
        change: impl FnOnce(&mut Slot),
        effects: &mut Vec<Effect>,
    ) {
        let Some(at) = self.fleet.place(upstream) else {
            return;
        };
        let slot = &mut self.fleet.slots[at];
        change(slot);
        let running = slot
            .held
            .is_some_and(|ticket| slot.attempts.iter().any(|attempt| attempt.ticket == ticket));
        if !slot.live() && !running {
            slot.held = None;
        }
        self.fleet.judge(at);
        if let Some(pool) = self.pools.place(&self.fleet.slots[at].info.service) {
            self.pools.list[pool].count(now, &self.fleet);
            self.pump_anew(now, pool, effects);
        }
    }

    fn replace(&mut self, now: Millis, infos: Vec<UpstreamInfo>, effects: &mut Vec<Effect>) {
        self.fleet.replace(infos, &self.settings);
        self.pools.assign(now, &self.fleet, &self.settings.zone);
        for at in 0..self.fleet.slots.len() {
            self.fleet.judge(at);
        }
        self.pump_all(now, effects);
    }

    fn describe(&mut self, now: Millis, services: &[ServiceInfo]) {
        for service in services {
            let pool = self.pools.at(now, &service.name);
            self.pools.list[pool].budget.set(service.retry_milli);
        }
    }

    fn learn(&mut self, now: Millis, held: &[(Digest, Millis)], effects: &mut Vec<Effect>) {
        for (digest, left) in held {
            self.suspects.learn(now, *digest, *left);
            self.refuse_repeats(now, digest, effects);
        }
    }

    /// Gives up the requests with a digest in quarantine that are not in flight.
    fn refuse_repeats(&mut self, now: Millis, digest: &Digest, effects: &mut Vec<Effect>) {
        let Some(left) = self.suspects.quarantined(now, digest) else {
            return;
        };
        let mut repeats: Vec<RequestNumber> = self
            .pending
            .iter()
            .filter(|(_, one)| one.stage != Stage::Sent && one.arrival.digest == *digest)
            .map(|(ticket, _)| *ticket)
            .collect();
        repeats.sort_unstable();
        for ticket in repeats {
            self.leave_queue(ticket);
            self.give_up(ticket, ErrorKind::Quarantined, left, effects);
        }
    }

    fn hung_up(&mut self, now: Millis, ticket: RequestNumber, effects: &mut Vec<Effect>) {
        self.leave_queue(ticket);
        let Some(gone) = self.pending.remove(&ticket) else {
            return;
        };
        // The order to send may not have reached the caller's task, so no end may ever come.
        if gone.stage == Stage::Sent
            && let Some(slot) = gone.tried.last().and_then(|last| self.fleet.slot(*last))
        {
            slot.ended(ticket);
        }
        self.pump_anew(now, gone.pool, effects);
    }

    /// Takes a request that waits out of where it waits.
    fn leave_queue(&mut self, ticket: RequestNumber) {
        let Some(one) = self.pending.get(&ticket) else {
            return;
        };
        let pool = &mut self.pools.list[one.pool];
        match one.stage {
            Stage::Queued => pool
                .classes
                .class(one.class)
                .queue
                .remove(&one.arrival.organisation, ticket),
            Stage::Apart => {
                pool.apart.retain(|held| *held != ticket);
                self.release(ticket);
            }
            Stage::Sent => {}
        }
    }

    /// Frees the upstream that was held for a suspect.
    fn release(&mut self, ticket: RequestNumber) {
        for slot in &mut self.fleet.slots {
            if slot.held == Some(ticket) {
                slot.held = None;
            }
        }
    }

    /// Gives a request its final answer; one that may have run is never called "not run".
    fn give_up(
        &mut self,
        ticket: RequestNumber,
        kind: ErrorKind,
        retry_after: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let unknown = self.pending.remove(&ticket).and_then(|one| one.unknown);
        let kind = unknown.unwrap_or(kind);
        let retry_after = match kind.response().retry {
            RetryAdvice::Never => Millis::ZERO,
            RetryAdvice::Later => retry_after,
        };
        effects.push(Effect::GiveUp {
            request: ticket,
            kind,
            retry_after,
        });
    }

    /// Returns when a request of a class may come back: when what waits now has been served, spread
    /// over as long again.
    fn come_back(&mut self, pool: usize, class: usize) -> Millis {
        let class = self.pools.list[pool].classes.class(class);
        let drained = class.drain.time_for(class.queue.cost() as f32);
        self.spread(drained.unwrap_or(RETRY_AFTER))
    }

    /// Spreads a time over its length, so that callers do not come back together.
    fn spread(&mut self, time: Millis) -> Millis {
        let time = time.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        Millis(self.rng.random_range(time.0..time.0 * 2))
    }
}

impl Decide for Scheduler {
    fn handle(&mut self, now: Millis, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Arrived(arrival) => self.arrived(now, arrival, effects),
            Event::HungUp(ticket) => self.hung_up(now, ticket, effects),
            Event::FirstByte {
                request: ticket,
                upstream,
            } => self.began(now, ticket, upstream),
            Event::Ended {
                request: ticket,
                upstream,
                end,
            } => self.ended(now, ticket, upstream, end, effects),
            Event::Load { upstream, load } => self.loaded(now, upstream, load),
            Event::Link { upstream, up } => {
                let limits = self.settings.concurrency.clone();
                self.change(now, upstream, |slot| slot.link(up, &limits), effects);
            }
            Event::Leaving(upstream) => {
                self.change(now, upstream, |slot| slot.leaving = true, effects);
            }
            Event::PrefixCache {
                upstream,
                prefix,
                cached: held,
            } => self.cached(upstream, prefix, held),
            Event::Quarantined(held) => self.learn(now, &held, effects),
            Event::QuarantineLifted(digest) => self.suspects.lift(&digest),
            Event::Upstreams(infos) => self.replace(now, infos, effects),
            Event::Services(services) => self.describe(now, &services),
            Event::Tick => self.tick(now, effects),
        }
    }
}
