//! Shares the balancer between tasks, and wakes queued requests when it has decided on them.

#[cfg(test)]
mod tests;

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Clock, Map, Millis, Set};
use sardinepin_protocol::GroupLoad;
use tokio::sync::{Notify, oneshot};

use crate::connection::ConnectionPool;
use crate::constants::DISPATCH_INTERVAL;
use crate::crash_detection::CrashProbes;
use crate::manifest::ServiceSpec;
use sardinepin_decisions::direct::UpstreamSpec;
use sardinepin_decisions::direct::{
    AttemptEnd, LoadReport, UpstreamCounts, UpstreamHealth, UpstreamId,
};
use sardinepin_decisions::direct::{
    Balancer, BalancerSettings, Decision, PermitAsk, PermitReply, PlacementRequest, QueueDecision,
    RequestNumber, ZoneChanges,
};

/// Hands out permits to send a request to an upstream.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    clock: Clock,
    state: Mutex<State>,
    next_number: AtomicU64,
    /// How many permits there are.
    permits: AtomicUsize,
    /// Notified when permits may be wanted.
    pub(crate) permits_wanted: Notify,
    pub(crate) pool: ConnectionPool,
    pub(crate) probes: CrashProbes,
}

#[derive(Debug)]
struct State {
    balancer: Balancer,
    queued: Map<RequestNumber, oneshot::Sender<Decision>>,
}

/// The permit to send one attempt to an upstream; dropping it records the end of the attempt.
#[derive(Debug)]
pub(crate) struct UpstreamPermit {
    dispatcher: Arc<Dispatcher>,
    pub(crate) id: UpstreamId,
    pub(crate) spec: UpstreamSpec,
    /// When the permit was given.
    pub(crate) sent_at: Millis,
    end: AttemptEnd,
}

impl UpstreamPermit {
    /// Sets how the attempt ended; without it, the attempt counts as abandoned.
    pub(crate) fn set_end(&mut self, end: AttemptEnd) {
        self.end = end;
    }
}

impl Drop for UpstreamPermit {
    fn drop(&mut self) {
        self.dispatcher.permits.fetch_sub(1, Ordering::Relaxed);
        self.dispatcher.record_end(self.id, self.sent_at, self.end);
    }
}

/// A retry that is reserved in the budget of its service; dropping it gives it back.
#[derive(Debug)]
pub(crate) struct ReservedRetry {
    dispatcher: Arc<Dispatcher>,
    service: Option<Arc<str>>,
}

impl ReservedRetry {
    /// Hands the retry over to the placement of its request.
    pub(crate) fn place(mut self) {
        self.service = None;
    }
}

impl Drop for ReservedRetry {
    fn drop(&mut self) {
        if let Some(service) = self.service.take() {
            self.dispatcher
                .with_balancer(|balancer, now| balancer.release_retry(now, &service));
        }
    }
}

/// A request in its queue. Dropping it removes it from the queue, or gives back the place that it has been given and has not taken up.
struct QueuedRequest<'a> {
    dispatcher: &'a Dispatcher,
    service: Arc<str>,
    number: RequestNumber,
    decision: oneshot::Receiver<Decision>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let mut state = self.dispatcher.state();
        let now = self.dispatcher.clock.now();
        if state.queued.remove(&self.number).is_some() {
            state.balancer.withdraw(now, &self.service, self.number);
        } else if let Ok(Decision::Send(id)) = self.decision.try_recv() {
            state.end_unused(now, id);
        }
    }
}

impl Dispatcher {
    /// Creates a dispatcher without upstreams.
    pub(crate) fn new(clock: Clock, settings: BalancerSettings) -> Arc<Self> {
        Arc::new(Self {
            clock,
            state: Mutex::new(State {
                balancer: Balancer::new(settings),
                queued: Map::default(),
            }),
            next_number: AtomicU64::new(0),
            permits: AtomicUsize::new(0),
            permits_wanted: Notify::new(),
            pool: ConnectionPool::default(),
            probes: CrashProbes::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `callback` with the locked balancer and the current time.
    pub(crate) fn with_balancer<T>(&self, callback: impl FnOnce(&mut Balancer, Millis) -> T) -> T {
        let now = self.clock.now();
        callback(&mut self.state().balancer, now)
    }

    /// Returns a number that no other request of this gateway has.
    pub(crate) fn next_request_number(&self) -> RequestNumber {
        RequestNumber(self.next_number.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Reserves a retry in the budget of a service; `None` if none is left.
    pub(crate) fn reserve_retry(self: &Arc<Self>, service: &Arc<str>) -> Option<ReservedRetry> {
        let reserved = self.with_balancer(|balancer, now| balancer.try_reserve_retry(now, service));
        reserved.then(|| ReservedRetry {
            dispatcher: Arc::clone(self),
            service: Some(Arc::clone(service)),
        })
    }

    /// Waits for a permit, or returns the refusal.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: PlacementRequest,
    ) -> Result<UpstreamPermit, Decision> {
        let number = request.number;
        let service = Arc::clone(&request.service);
        let decision = {
            let mut state = self.state();
            match state.balancer.place(self.clock.now(), request) {
                Some(decision) => {
                    drop(state);
                    return self.into_permit(decision);
                }
                None => {
                    let (sender, receiver) = oneshot::channel();
                    state.queued.insert(number, sender);
                    if state.balancer.has_limits() {
                        self.permits_wanted.notify_one();
                    }
                    receiver
                }
            }
        };
        let mut queued = QueuedRequest {
            dispatcher: self,
            service,
            number,
            decision,
        };
        match (&mut queued.decision).await {
            Ok(decision) => self.into_permit(decision),
            Err(_) => Err(Decision::Refuse {
                kind: sardinepin_protocol::ErrorKind::Internal,
                retry_after: Millis::ZERO,
                counts: UpstreamCounts::default(),
            }),
        }
    }

    fn into_permit(self: &Arc<Self>, decision: Decision) -> Result<UpstreamPermit, Decision> {
        let Decision::Send(id) = decision else {
            return Err(decision);
        };
        let spec = self
            .state()
            .balancer
            .upstreams()
            .get(id)
            .map(|upstream| upstream.spec.clone());
        match spec {
            Some(spec) => {
                self.permits.fetch_add(1, Ordering::Relaxed);
                Ok(UpstreamPermit {
                    dispatcher: Arc::clone(self),
                    id,
                    spec,
                    sent_at: self.clock.now(),
                    end: AttemptEnd::Abandoned,
                })
            }
            None => Err(Decision::Refuse {
                kind: sardinepin_protocol::ErrorKind::NoUpstream,
                retry_after: Millis::ZERO,
                counts: UpstreamCounts::default(),
            }),
        }
    }

    fn record_end(&self, id: UpstreamId, sent_at: Millis, end: AttemptEnd) {
        let mut state = self.state();
        let now = self.clock.now();
        let before = state.balancer.upstreams().health(now, id);
        let spec = state
            .balancer
            .upstreams()
            .get(id)
            .map(|upstream| upstream.spec.clone());
        if end == AttemptEnd::Served
            && let Some(spec) = &spec
        {
            let took = now.since(sent_at);
            state.balancer.record_service_time(&spec.service, took);
        }
        let decisions = state.balancer.record_end(now, id, end);
        let after = state.balancer.upstreams().health(now, id);
        state.deliver(now, decisions);
        drop(state);
        if let Some(spec) = spec {
            log_health_change(&spec, end, before, after);
        }
    }

    /// Replaces the list of upstreams.
    pub(crate) fn replace_upstreams(&self, specs: &[UpstreamSpec]) {
        let mut state = self.state();
        let now = self.clock.now();
        let decisions = state.balancer.replace_upstreams(now, specs);
        state.deliver(now, decisions);
        self.notify_if_limited(&state);
    }

    /// Records that an upstream is cold for another time than its entry said before.
    pub(crate) fn record_cold(&self, spec: &UpstreamSpec) {
        let mut state = self.state();
        state.balancer.record_cold(self.clock.now(), spec);
        self.notify_if_limited(&state);
    }

    /// Sets the services that bound the requests to cold upstreams.
    pub(crate) fn set_cold_services(&self, services: &[ServiceSpec]) {
        let services = services.iter().filter_map(|service| {
            let cold = service.cold.filter(|cold| cold.per_second > 0.0)?;
            Some((Arc::clone(&service.name), cold))
        });
        let mut state = self.state();
        state.balancer.set_cold_services(services);
        self.notify_if_limited(&state);
    }

    /// Wakes the task that requests permits, if any upstream is limited or cold.
    fn notify_if_limited(&self, state: &State) {
        if state.balancer.has_limits() {
            self.permits_wanted.notify_one();
        }
    }

    /// Replaces the set of evacuated zones; returns what changed.
    pub(crate) fn replace_evacuated(&self, zones: Set<Arc<str>>) -> ZoneChanges {
        let mut state = self.state();
        let now = self.clock.now();
        let (changes, decisions) = state.balancer.replace_evacuated(now, zones);
        state.deliver(now, decisions);
        changes
    }

    /// Records a report of the load of a rank group.
    pub(crate) fn record_group_load(&self, load: &GroupLoad) {
        let mut state = self.state();
        let now = self.clock.now();
        let decisions = state.balancer.record_group_load(now, load);
        state.deliver(now, decisions);
        self.notify_if_limited(&state);
    }

    /// Refuses the requests that are held for the end of an outage, and holds no further ones.
    pub(crate) fn stop_holding(&self) {
        let mut state = self.state();
        let now = self.clock.now();
        let decisions = state.balancer.stop_holding(now);
        state.deliver(now, decisions);
    }

    /// Records an agent's reply to a request for permits.
    pub(crate) fn record_permits(&self, ask: &PermitAsk, reply: PermitReply) {
        let mut state = self.state();
        let now = self.clock.now();
        let decisions = state.balancer.record_permits(now, ask, reply);
        state.deliver(now, decisions);
    }

    /// Records the load that an upstream reports.
    pub(crate) fn record_load(&self, id: UpstreamId, report: LoadReport) {
        let mut state = self.state();
        state.balancer.record_load(self.clock.now(), id, report);
    }

    /// Reports how many places are counted as taken, and how many permits hold one. More of the former for long means that places are lost.
    fn report_places(&self) {
        let held = self.with_balancer(|balancer, _| balancer.upstreams().places_held());
        let permits = self.permits.load(Ordering::Relaxed);
        metrics::gauge!("sardinepin_places_held").set(f64::from(held));
        metrics::gauge!("sardinepin_permits_in_use").set(permits as f64);
    }

    /// Checks queued requests and closes idle connections at intervals, until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(DISPATCH_INTERVAL.duration());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut last_sweep = Millis::ZERO;
        loop {
            ticks.tick().await;
            let now = self.clock.now();
            let mut state = self.state();
            if !state.queued.is_empty() {
                let decisions = state.balancer.process_queues(now);
                state.deliver(now, decisions);
            }
            drop(state);
            if now.since(last_sweep) >= POOL_SWEEP_INTERVAL {
                last_sweep = now;
                let exists = |id| self.state().balancer.upstreams().get(id).is_some();
                self.pool.close_idle(now, exists);
                self.probes.retain(exists);
                self.report_places();
            }
        }
    }
}

/// Logs the changes of an upstream's health after an attempt.
fn log_health_change(
    spec: &UpstreamSpec,
    end: AttemptEnd,
    before: UpstreamHealth,
    after: UpstreamHealth,
) {
    if after.backing_off && !before.backing_off {
        log::info!(
            event = "upstream_rests", upstream = &*spec.id, service = &*spec.service,
            reason = end.label();
            "upstream could not be reached; no requests are sent to it during its backoff"
        );
    }
    if after.group_suspended && !before.group_suspended {
        let group = spec.group.as_ref().map_or("", |group| &*group.name);
        log::info!(
            event = "group_shut", upstream = &*spec.id, group = group, reason = end.label();
            "rank group is suspended"
        );
    }
}

/// The interval at which idle connections are checked.
const POOL_SWEEP_INTERVAL: Millis = Millis(500);

impl State {
    fn deliver(&mut self, now: Millis, decisions: Vec<QueueDecision>) {
        for entry in decisions {
            if let Some(queued) = self.queued.remove(&entry.number)
                && let Err(decision) = queued.send(entry.decision)
                && let Decision::Send(id) = decision
            {
                self.end_unused(now, id);
            }
        }
    }

    /// Gives back a place that the task of its request has not taken up, as its caller has left.
    fn end_unused(&mut self, now: Millis, id: UpstreamId) {
        let decisions = self.balancer.record_end(now, id, AttemptEnd::Abandoned);
        self.deliver(now, decisions);
    }
}
