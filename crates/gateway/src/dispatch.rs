//! The one owner of the balance: tasks ask it for an upstream and tell it how attempts end.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Clock, Map, Millis};
use tokio::sync::oneshot;

use crate::balance::{
    Balancer, BalancerSettings, Decision, PlacementRequest, QueueDecision, RequestNumber,
};
use crate::connection::Pool;
use crate::constants::TICK;
use crate::fleet::{AttemptOutcome, Belief, LoadReport, Room, UpstreamId};
use crate::upstream::UpstreamSpec;

/// Hands out places at upstreams.
#[derive(Debug)]
pub(crate) struct Dispatch {
    clock: Clock,
    state: Mutex<State>,
    tickets: AtomicU64,
    pub(crate) pool: Pool,
}

#[derive(Debug)]
struct State {
    balance: Balancer,
    waiting: Map<RequestNumber, oneshot::Sender<Decision>>,
}

/// A place at an upstream; the attempt counts as ended when it is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    dispatch: Arc<Dispatch>,
    pub(crate) id: UpstreamId,
    pub(crate) spec: UpstreamSpec,
    ending: AttemptOutcome,
}

impl Place {
    /// Sets how the attempt ended; without it the attempt counts as abandoned.
    pub(crate) fn end(&mut self, ending: AttemptOutcome) {
        self.ending = ending;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.dispatch.ended(self.id, self.ending);
    }
}

/// A request that waits; it leaves its queue when this is dropped.
struct Waiting<'a> {
    dispatch: &'a Dispatch,
    service: Arc<str>,
    ticket: RequestNumber,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.dispatch.state();
        if state.waiting.remove(&self.ticket).is_some() {
            state.balance.withdraw(&self.service, self.ticket);
        }
    }
}

impl Dispatch {
    /// Makes a dispatch without upstreams.
    pub(crate) fn new(clock: Clock, settings: BalancerSettings) -> Arc<Self> {
        Arc::new(Self {
            clock,
            state: Mutex::new(State {
                balance: Balancer::new(settings),
                waiting: Map::default(),
            }),
            tickets: AtomicU64::new(0),
            pool: Pool::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks at the balance.
    pub(crate) fn with<T>(&self, look: impl FnOnce(&mut Balancer, Millis) -> T) -> T {
        let now = self.clock.now();
        look(&mut self.state().balance, now)
    }

    /// Returns a number that no other request of this gateway has.
    pub(crate) fn ticket(&self) -> RequestNumber {
        RequestNumber(self.tickets.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Waits for a place at an upstream.
    pub(crate) async fn place(
        self: &Arc<Self>,
        demand: PlacementRequest,
    ) -> Result<Place, Decision> {
        let ticket = demand.number;
        let service = Arc::clone(&demand.service);
        let receiver = {
            let mut state = self.state();
            match state.balance.place(self.clock.now(), demand) {
                Some(verdict) => {
                    drop(state);
                    return self.settle(verdict);
                }
                None => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiting.insert(ticket, sender);
                    receiver
                }
            }
        };
        let waiting = Waiting {
            dispatch: self,
            service,
            ticket,
        };
        let verdict = receiver.await;
        drop(waiting);
        match verdict {
            Ok(verdict) => self.settle(verdict),
            Err(_) => Err(Decision::Refuse {
                kind: sardinepin_protocol::ErrorKind::Internal,
                retry_after: Millis::ZERO,
                room: Room::default(),
            }),
        }
    }

    fn settle(self: &Arc<Self>, verdict: Decision) -> Result<Place, Decision> {
        let Decision::Send(id) = verdict else {
            return Err(verdict);
        };
        let spec = self
            .state()
            .balance
            .upstreams()
            .get(id)
            .map(|one| one.spec.clone());
        match spec {
            Some(spec) => Ok(Place {
                dispatch: Arc::clone(self),
                id,
                spec,
                ending: AttemptOutcome::Abandoned,
            }),
            None => Err(Decision::Refuse {
                kind: sardinepin_protocol::ErrorKind::NoUpstream,
                retry_after: Millis::ZERO,
                room: Room::default(),
            }),
        }
    }

    fn ended(&self, id: UpstreamId, ending: AttemptOutcome) {
        let mut state = self.state();
        let now = self.clock.now();
        let before = state.balance.upstreams().belief(now, id);
        let spec = state
            .balance
            .upstreams()
            .get(id)
            .map(|one| one.spec.clone());
        let decided = state.balance.record_end(now, id, ending);
        let after = state.balance.upstreams().belief(now, id);
        state.tell(now, decided);
        drop(state);
        if let Some(spec) = spec {
            log_belief(&spec, ending, before, after);
        }
    }

    /// Takes over a new list of upstreams.
    pub(crate) fn replace(&self, specs: &[UpstreamSpec]) {
        let mut state = self.state();
        let now = self.clock.now();
        let decided = state.balance.replace_upstreams(now, specs);
        state.tell(now, decided);
    }

    /// Takes in what an upstream says of its load.
    pub(crate) fn reported(&self, id: UpstreamId, report: LoadReport) {
        let mut state = self.state();
        state.balance.record_load(self.clock.now(), id, report);
    }

    /// Looks at what waits and what has gone stale, for as long as the process lives.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK.duration());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut swept = Millis::ZERO;
        loop {
            ticks.tick().await;
            let now = self.clock.now();
            let mut state = self.state();
            if !state.waiting.is_empty() {
                let decided = state.balance.process_queues(now);
                state.tell(now, decided);
            }
            drop(state);
            if now.since(swept) >= SWEEP {
                swept = now;
                self.pool
                    .sweep(now, |id| self.state().balance.upstreams().get(id).is_some());
            }
        }
    }
}

/// Logs what is newly believed of an upstream after an attempt.
fn log_belief(spec: &UpstreamSpec, ending: AttemptOutcome, before: Belief, after: Belief) {
    if after.resting && !before.resting {
        log::info!(
            event = "upstream_rests", upstream = &*spec.id, service = &*spec.service,
            reason = ending.label();
            "an upstream could not be reached and gets nothing for a while"
        );
    }
    if after.shut && !before.shut {
        let group = spec.group.as_ref().map_or("", |group| &*group.name);
        log::info!(
            event = "group_shut", upstream = &*spec.id, group = group, reason = ending.label();
            "a group gets nothing for a while"
        );
    }
}

/// The time between two looks for idle connections that are to be closed.
const SWEEP: Millis = Millis(500);

impl State {
    fn tell(&mut self, now: Millis, decided: Vec<QueueDecision>) {
        for one in decided {
            if let Some(waiting) = self.waiting.remove(&one.number)
                && let Err(verdict) = waiting.send(one.decision)
                && let Decision::Send(id) = verdict
            {
                // Whoever waited has left in this moment; its place is free again.
                let more = self.balance.record_end(now, id, AttemptOutcome::Abandoned);
                self.tell(now, more);
            }
        }
    }
}
