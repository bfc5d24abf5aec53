//! The one owner of the balance: tasks ask it for an upstream and tell it how attempts end.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Clock, Map, Millis};
use tokio::sync::oneshot;

use crate::balancer::{
    Balancer, BalancerSettings, Decision, PlacementRequest, QueueDecision, RequestNumber,
};
use crate::connection::ConnectionPool;
use crate::constants::DISPATCH_INTERVAL;
use crate::upstream_set::{AttemptOutcome, LoadReport, UpstreamCounts, UpstreamHealth, UpstreamId};
use crate::upstream_spec::UpstreamSpec;

/// Hands out places at upstreams.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    clock: Clock,
    state: Mutex<State>,
    next_number: AtomicU64,
    pub(crate) pool: ConnectionPool,
}

#[derive(Debug)]
struct State {
    balancer: Balancer,
    waiting: Map<RequestNumber, oneshot::Sender<Decision>>,
}

/// A place at an upstream; the attempt counts as ended when it is dropped.
#[derive(Debug)]
pub(crate) struct UpstreamPermit {
    dispatch: Arc<Dispatcher>,
    pub(crate) id: UpstreamId,
    pub(crate) spec: UpstreamSpec,
    outcome: AttemptOutcome,
}

impl UpstreamPermit {
    /// Sets how the attempt ended; without it the attempt counts as abandoned.
    pub(crate) fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for UpstreamPermit {
    fn drop(&mut self) {
        self.dispatch.record_end(self.id, self.outcome);
    }
}

/// A request that waits; it leaves its queue when this is dropped.
struct QueueGuard<'a> {
    dispatch: &'a Dispatcher,
    service: Arc<str>,
    number: RequestNumber,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.dispatch.state();
        if state.waiting.remove(&self.number).is_some() {
            state.balancer.withdraw(&self.service, self.number);
        }
    }
}

impl Dispatcher {
    /// Makes a dispatch without upstreams.
    pub(crate) fn new(clock: Clock, settings: BalancerSettings) -> Arc<Self> {
        Arc::new(Self {
            clock,
            state: Mutex::new(State {
                balancer: Balancer::new(settings),
                waiting: Map::default(),
            }),
            next_number: AtomicU64::new(0),
            pool: ConnectionPool::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks at the balance.
    pub(crate) fn with_balancer<T>(&self, look: impl FnOnce(&mut Balancer, Millis) -> T) -> T {
        let now = self.clock.now();
        look(&mut self.state().balancer, now)
    }

    /// Returns a number that no other request of this gateway has.
    pub(crate) fn next_request_number(&self) -> RequestNumber {
        RequestNumber(self.next_number.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Waits for a place at an upstream.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        demand: PlacementRequest,
    ) -> Result<UpstreamPermit, Decision> {
        let ticket = demand.number;
        let service = Arc::clone(&demand.service);
        let receiver = {
            let mut state = self.state();
            match state.balancer.place(self.clock.now(), demand) {
                Some(verdict) => {
                    drop(state);
                    return self.into_permit(verdict);
                }
                None => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    receiver
                }
            }
        };
        let waiting = QueueGuard {
            dispatch: self,
            service,
            number: ticket,
        };
        let verdict = receiver.await;
        drop(waiting);
        match verdict {
            Ok(verdict) => self.into_permit(verdict),
            Err(_) => Err(Decision::Refuse {
                kind: sardinepin_protocol::ErrorKind::Internal,
                retry_after: Millis::ZERO,
                counts: UpstreamCounts::default(),
            }),
        }
    }

    fn into_permit(self: &Arc<Self>, verdict: Decision) -> Result<UpstreamPermit, Decision> {
        let Decision::Send(id) = verdict else {
            return Err(verdict);
        };
        let spec = self
            .state()
            .balancer
            .upstreams()
            .get(id)
            .map(|one| one.spec.clone());
        match spec {
            Some(spec) => Ok(UpstreamPermit {
                dispatch: Arc::clone(self),
                id,
                spec,
                outcome: AttemptOutcome::Abandoned,
            }),
            None => Err(Decision::Refuse {
                kind: sardinepin_protocol::ErrorKind::NoUpstream,
                retry_after: Millis::ZERO,
                counts: UpstreamCounts::default(),
            }),
        }
    }

    fn record_end(&self, id: UpstreamId, outcome: AttemptOutcome) {
        let mut state = self.state();
        let now = self.clock.now();
        let before = state.balancer.upstreams().health(now, id);
        let spec = state
            .balancer
            .upstreams()
            .get(id)
            .map(|one| one.spec.clone());
        let decided = state.balancer.record_end(now, id, outcome);
        let after = state.balancer.upstreams().health(now, id);
        state.deliver(now, decided);
        drop(state);
        if let Some(spec) = spec {
            log_health_change(&spec, outcome, before, after);
        }
    }

    /// Takes over a new list of upstreams.
    pub(crate) fn replace_upstreams(&self, specs: &[UpstreamSpec]) {
        let mut state = self.state();
        let now = self.clock.now();
        let decided = state.balancer.replace_upstreams(now, specs);
        state.deliver(now, decided);
    }

    /// Takes in what an upstream says of its load.
    pub(crate) fn record_load(&self, id: UpstreamId, report: LoadReport) {
        let mut state = self.state();
        state.balancer.record_load(self.clock.now(), id, report);
    }

    /// Looks at what waits and what has gone stale, for as long as the process lives.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(DISPATCH_INTERVAL.duration());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut swept = Millis::ZERO;
        loop {
            ticks.tick().await;
            let now = self.clock.now();
            let mut state = self.state();
            if !state.waiting.is_empty() {
                let decided = state.balancer.process_queues(now);
                state.deliver(now, decided);
            }
            drop(state);
            if now.since(swept) >= POOL_SWEEP_INTERVAL {
                swept = now;
                self.pool.close_idle(now, |id| {
                    self.state().balancer.upstreams().get(id).is_some()
                });
            }
        }
    }
}

/// Logs what is newly believed of an upstream after an attempt.
fn log_health_change(
    spec: &UpstreamSpec,
    outcome: AttemptOutcome,
    before: UpstreamHealth,
    after: UpstreamHealth,
) {
    if after.backing_off && !before.backing_off {
        log::info!(
            event = "upstream_rests", upstream = &*spec.id, service = &*spec.service,
            reason = outcome.label();
            "an upstream could not be reached and gets nothing for a while"
        );
    }
    if after.group_suspended && !before.group_suspended {
        let group = spec.group.as_ref().map_or("", |group| &*group.name);
        log::info!(
            event = "group_shut", upstream = &*spec.id, group = group, reason = outcome.label();
            "a group gets nothing for a while"
        );
    }
}

/// The time between two looks for idle connections that are to be closed.
const POOL_SWEEP_INTERVAL: Millis = Millis(500);

impl State {
    fn deliver(&mut self, now: Millis, decided: Vec<QueueDecision>) {
        for one in decided {
            if let Some(waiting) = self.waiting.remove(&one.number)
                && let Err(verdict) = waiting.send(one.decision)
                && let Decision::Send(id) = verdict
            {
                // Whoever waited has left in this moment; its place is free again.
                let more = self.balancer.record_end(now, id, AttemptOutcome::Abandoned);
                self.deliver(now, more);
            }
        }
    }
}
