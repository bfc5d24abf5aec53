//! The policy `sardinepin`, which combines queues, limits, routing, retries and quarantine.

mod admission;
mod attempt_end;
mod dispatch;
mod evacuation;
mod maintenance;

use rand::Rng as _;
use sardinepin_common::{Map, Millis, Rng, seeded_rng};
use sardinepin_protocol::{Digest, ErrorKind, Load, RetryAdvice};

use crate::balancer::Decide;
use crate::events::{Effect, Event, RequestNumber, ServiceInfo, UpstreamId, UpstreamInfo};
use crate::fleet::Fleet;
use crate::pending::{Pending, Stage};
use crate::pool::Pools;
use crate::rate_limits::RateLimits;
use crate::settings::Settings;
use crate::suspects::Suspects;
use crate::upstream::Upstream;

/// The retry delay when no better estimate is known.
const RETRY_AFTER: Millis = Millis(1_000);

/// The shortest retry delay.
const RETRY_AFTER_MIN: Millis = Millis(100);

/// The longest retry delay, before jitter.
const RETRY_AFTER_MAX: Millis = Millis(30_000);

/// Fair admission, adaptive limits, routing by load, retries and quarantine.
#[derive(Debug)]
pub(crate) struct Scheduler {
    settings: Settings,
    rng: Rng,
    fleet: Fleet,
    pools: Pools,
    pending: Map<RequestNumber, Pending>,
    rate_limits: RateLimits,
    suspects: Suspects,
    /// When idle state was last removed.
    last_sweep: Millis,
}

impl Scheduler {
    /// Creates a scheduler without upstreams.
    pub(crate) fn new(settings: Settings) -> Self {
        let mut rng = seeded_rng(settings.seed);
        Self {
            fleet: Fleet::default(),
            pools: Pools::new(rng.random(), settings.retry),
            rng,
            pending: Map::default(),
            rate_limits: RateLimits::default(),
            suspects: Suspects::new(settings.quarantine.clone()),
            last_sweep: Millis::ZERO,
            settings,
        }
    }

    fn handle_first_byte(&mut self, now: Millis, request: RequestNumber, id: UpstreamId) {
        let Some(upstream) = self.fleet.get_mut(id) else {
            return;
        };
        let Some(time) = upstream.record_first_byte(now, request) else {
            return;
        };
        if let Some(pool) = self.pools.index_of(&upstream.info.service) {
            self.pools.list[pool].service_time.record_first_byte(time);
        }
    }

    fn handle_load(&mut self, now: Millis, id: UpstreamId, load: Load) {
        let Some(index) = self.fleet.index_of(id) else {
            return;
        };
        self.fleet.upstreams[index].record_load(now, load);
        self.fleet.record_step_time(index, load.step_micros);
    }

    fn handle_prefix_cache(&mut self, id: UpstreamId, prefix: Digest, cached: bool) {
        let Some(upstream) = self.fleet.get_mut(id) else {
            return;
        };
        let Some(pool) = self.pools.index_of(&upstream.info.service) else {
            return;
        };
        let affinity = &mut self.pools.list[pool].affinity;
        if cached {
            affinity.add_holder(prefix, id, self.settings.routing.prefixes_max);
        } else {
            affinity.remove_holder(&prefix, id);
        }
    }

    /// Applies a change to an upstream that affects its availability, then dispatches what it allows.
    fn change_availability(
        &mut self,
        now: Millis,
        id: UpstreamId,
        change: impl FnOnce(&mut Upstream),
        effects: &mut Vec<Effect>,
    ) {
        let Some(index) = self.fleet.index_of(id) else {
            return;
        };
        let upstream = &mut self.fleet.upstreams[index];
        change(upstream);
        upstream.release_unusable_reservation();
        self.fleet.lower_group_if_stopped(index);
        if let Some(pool) = self
            .pools
            .index_of(&self.fleet.upstreams[index].info.service)
        {
            self.pools.list[pool].update_availability(now, &self.fleet);
            self.dispatch_after_change(now, pool, effects);
        }
    }

    fn replace_upstreams(
        &mut self,
        now: Millis,
        infos: Vec<UpstreamInfo>,
        effects: &mut Vec<Effect>,
    ) {
        self.fleet.replace(infos, &self.settings);
        self.pools
            .assign_upstreams(now, &self.fleet, &self.settings.zone);
        for index in 0..self.fleet.upstreams.len() {
            self.fleet.lower_group_if_stopped(index);
        }
        self.release_unusable_reservations();
        self.give_up_evacuated(now, effects);
        self.dispatch_all(now, effects);
    }

    fn set_services(&mut self, now: Millis, services: &[ServiceInfo]) {
        for service in services {
            let pool = self.pools.index_or_insert(now, &service.name);
            self.pools.list[pool].retry_milli = service.retry_milli;
        }
    }

    fn handle_quarantines(
        &mut self,
        now: Millis,
        quarantines: &[(Digest, Millis)],
        effects: &mut Vec<Effect>,
    ) {
        for (digest, remaining) in quarantines {
            self.suspects.add_quarantine(now, *digest, *remaining);
        }
        self.give_up_quarantined(now, effects);
    }

    /// Gives up the waiting requests that are in quarantine.
    fn give_up_quarantined(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let suspects = &self.suspects;
        let quarantined = |(request, pending): (&RequestNumber, &Pending)| {
            if pending.stage == Stage::InFlight {
                return None;
            }
            let remaining = suspects.quarantine_remaining(now, pending.arrival.traits())?;
            Some((*request, remaining))
        };
        let waiting = self.pending.iter().filter_map(quarantined);
        let mut waiting: Vec<(RequestNumber, Millis)> = waiting.collect();
        waiting.sort_unstable();
        for (request, remaining) in waiting {
            self.remove_from_queue(request);
            self.give_up(now, request, ErrorKind::Quarantined, remaining, effects);
        }
    }

    fn handle_hang_up(&mut self, now: Millis, request: RequestNumber, effects: &mut Vec<Effect>) {
        self.remove_from_queue(request);
        let Some(removed) = self.pending.remove(&request) else {
            return;
        };
        self.release_retry(now, &removed);
        // The caller's task may end before it receives the send effect, in which case no `Ended`
        // event follows.
        if removed.stage == Stage::InFlight
            && let Some(upstream) = removed
                .tried
                .last()
                .and_then(|last| self.fleet.get_mut(*last))
        {
            upstream.remove_attempt(request);
        }
        self.dispatch_after_change(now, removed.pool, effects);
    }

    /// Removes a waiting request from its queue or from the isolated requests.
    fn remove_from_queue(&mut self, request: RequestNumber) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let pool = &mut self.pools.list[pending.pool];
        match pending.stage {
            Stage::Queued => pool
                .classes
                .class(pending.class)
                .queue
                .remove(&pending.arrival.organisation, request),
            Stage::Isolated => {
                pool.isolated.retain(|isolated| *isolated != request);
                self.release_reservation(request);
            }
            Stage::InFlight => {}
        }
    }

    /// Releases any upstream reserved for a suspect.
    fn release_reservation(&mut self, request: RequestNumber) {
        for upstream in &mut self.fleet.upstreams {
            if upstream.reserved_for == Some(request) {
                upstream.reserved_for = None;
            }
        }
    }

    /// Responds to a request with an error. A request that may have run is never reported as not run.
    fn give_up(
        &mut self,
        now: Millis,
        request: RequestNumber,
        kind: ErrorKind,
        retry_after: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let removed = self.pending.remove(&request);
        if let Some(pending) = &removed {
            self.release_retry(now, pending);
        }
        let unknown = removed.and_then(|pending| pending.unknown_cause);
        let kind = unknown.unwrap_or(kind);
        let retry_after = match kind.response().retry {
            RetryAdvice::Never => Millis::ZERO,
            RetryAdvice::Later => retry_after,
        };
        effects.push(Effect::GiveUp {
            request,
            kind,
            retry_after,
        });
    }

    /// Gives back the retry that is reserved for a request, if there is one.
    fn release_retry(&mut self, now: Millis, pending: &Pending) {
        if pending.retry_reserved {
            let pool = &mut self.pools.list[pending.pool];
            let (budget, settings) = pool.retry_budget(&self.settings.retry);
            budget.release(now, &settings);
        }
    }

    /// Returns the retry delay for a class: the time to drain its queue, with jitter.
    fn retry_after_drain(&mut self, pool: usize, class: usize) -> Millis {
        let class = self.pools.list[pool].classes.class(class);
        let drain_time = class.drain.time_for(class.queue.cost() as f32);
        self.add_jitter(drain_time.unwrap_or(RETRY_AFTER))
    }

    /// Clamps a retry delay and adds up to 100 % jitter, so that callers do not retry at the same time.
    fn add_jitter(&mut self, time: Millis) -> Millis {
        let time = time.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        Millis(self.rng.random_range(time.0..time.0 * 2))
    }
}

impl Decide for Scheduler {
    fn handle(&mut self, now: Millis, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Arrived(arrival) => self.handle_arrival(now, arrival, effects),
            Event::HungUp(request) => self.handle_hang_up(now, request, effects),
            Event::FirstByte { request, upstream } => {
                self.handle_first_byte(now, request, upstream)
            }
            Event::Ended {
                request,
                upstream,
                end,
            } => self.handle_end(now, request, upstream, end, effects),
            Event::Load { upstream, load } => self.handle_load(now, upstream, load),
            Event::Link { upstream, up } => {
                let limits = self.settings.concurrency.clone();
                self.change_availability(
                    now,
                    upstream,
                    |upstream| upstream.set_link(up, &limits),
                    effects,
                );
            }
            Event::Leaving(upstream) => {
                self.change_availability(
                    now,
                    upstream,
                    |upstream| upstream.leaving = true,
                    effects,
                );
            }
            Event::PrefixCache {
                upstream,
                prefix,
                cached,
            } => self.handle_prefix_cache(upstream, prefix, cached),
            Event::Quarantined(quarantines) => self.handle_quarantines(now, &quarantines, effects),
            Event::QuarantineLifted(digest) => self.suspects.lift(&digest),
            Event::Upstreams(infos) => self.replace_upstreams(now, infos, effects),
            Event::Services(services) => self.set_services(now, &services),
            Event::Entries(entries) => self.pools.record_entries(now, entries as f64),
            Event::Tick => self.tick(now, effects),
        }
    }
}
