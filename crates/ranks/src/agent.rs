//! The agent of one engine: replies to coordinators and records which one was heard last.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Clock, Map, Millis};
use sardinepin_decisions::{NodeCount, PermitAllocator};
use sardinepin_protocol::{GroupDemand, GroupLoad, GroupSample, PermitGrant, PermitRequest};
use sardinepin_runtime::PauseWatch;

use crate::counts::CountIncrements;
use crate::engine::{EngineApi, EngineCounts, EngineOrder, EngineReply, EngineReport};
use crate::messages::{Call, EngineView, Look, Reply, ViewScope};
use crate::relay::Neighbours;

/// The timeout of a query to the engine.
const QUERY_TIMEOUT: Millis = Millis(200);

/// The timeout of an order to the engine; shorter than that of a query, because a step may be held
/// meanwhile.
const ORDER_TIMEOUT: Millis = Millis(40);

/// The oldest report of the engine that is passed on to a gateway.
const REPORT_AGE_MAX: Millis = Millis(60);

/// How long a gateway counts as a reader of the load after its last query.
const GATEWAY_RETENTION: Millis = Millis(3_000);

/// How long the admission level of a newer coordinator goes before that of an older one.
const SAMPLE_RETENTION: Millis = Millis(700);

/// The agent on the same instance as one engine.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) clock: Clock,
    pub(crate) pauses: Arc<PauseWatch>,
    engines: Arc<dyn EngineApi>,
    engine: SocketAddr,
    last_coordinator: Mutex<LastCoordinator>,
    last_counts: Mutex<Option<EngineCounts>>,
    load: Mutex<LoadState>,
    permits: Mutex<PermitAllocator>,
    neighbours: Mutex<Neighbours>,
}

/// The last coordinator heard.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LastCoordinator {
    /// When it was heard; zero if none has been.
    pub(crate) at: Millis,
    /// The highest term heard; 0 if no coordinator has been heard.
    pub(crate) term: u64,
}

/// What the agent knows of the load of its group, and who asks for it.
#[derive(Debug, Default)]
struct LoadState {
    /// The engine's last report and when it was read.
    report: Option<(Millis, EngineReport)>,
    /// The coordinator's last sample and when it was taken.
    sample: Option<(Millis, GroupSample)>,
    /// When each gateway last asked.
    gateways: Map<u64, Millis>,
    /// The most gateways that samples counted lately; in a partition a sample counts only some.
    largest: NodeCount,
    /// What gateways have reported since this agent started.
    demand: GroupDemand,
}

impl LoadState {
    /// Returns how many gateways have asked lately; forgets the others.
    fn count_gateways(&mut self, now: Millis) -> u32 {
        self.gateways
            .retain(|_, at| now.since(*at) <= GATEWAY_RETENTION);
        u32::try_from(self.gateways.len()).unwrap_or(u32::MAX)
    }
}

impl Agent {
    /// Returns the agent of the engine at `engine`, and starts to watch for pauses.
    pub(crate) fn new(clock: Clock, engines: Arc<dyn EngineApi>, engine: SocketAddr) -> Self {
        Self {
            clock,
            pauses: PauseWatch::start(),
            engines,
            engine,
            last_coordinator: Mutex::default(),
            last_counts: Mutex::default(),
            load: Mutex::default(),
            permits: Mutex::default(),
            neighbours: Mutex::default(),
        }
    }

    fn last_coordinator_mut(&self) -> MutexGuard<'_, LastCoordinator> {
        lock(&self.last_coordinator)
    }

    /// Returns the last coordinator heard.
    pub(crate) fn last_coordinator(&self) -> LastCoordinator {
        *self.last_coordinator_mut()
    }

    /// Handles a coordinator's call and returns the reply.
    pub(crate) async fn handle_call(&self, call: Call) -> Reply {
        match call {
            Call::Look(look) => {
                self.record_look(&look);
                match self.view(look.scope).await {
                    Some(view) => Reply::View(Box::new(view)),
                    None => Reply::Silent,
                }
            }
            Call::LookAll { look, others } => {
                self.record_look(&look);
                Reply::Views(self.look_at_all(&look, &others).await)
            }
            Call::OrderAll { order, others } => {
                self.record_coordinator(order.term);
                Reply::Orders(self.order_all(&order, &others).await)
            }
            Call::Order(order) => {
                self.record_coordinator(order.term);
                match self.order(&order).await {
                    Some(reply) => Reply::Order(reply),
                    None => Reply::Silent,
                }
            }
            Call::Permits(request) => Reply::Permits(self.grant_permits(&request)),
            Call::Load { gateway, demand } => match self.group_load(gateway, &demand).await {
                Some(load) => Reply::Load(load),
                None => Reply::Silent,
            },
        }
    }

    fn record_look(&self, look: &Look) {
        self.record_coordinator(look.term);
        if let Some((age, sample)) = &look.sample {
            self.record_sample(*age, sample.clone());
        }
    }

    fn record_coordinator(&self, term: u64) {
        let now = self.clock.now();
        let mut heard = self.last_coordinator_mut();
        if term >= heard.term {
            *heard = LastCoordinator { at: now, term };
        }
    }

    /// Queries the engine; returns `None` if it does not report in time.
    pub(crate) async fn view(&self, scope: ViewScope) -> Option<EngineView> {
        let report = with_timeout(QUERY_TIMEOUT, self.engines.report(self.engine)).await?;
        let counts = match scope.counts {
            true => self.count_increments().await,
            false => None,
        };
        let experts = match scope.experts {
            true => with_timeout(QUERY_TIMEOUT, self.engines.experts(self.engine)).await,
            false => None,
        };
        let now = self.clock.now();
        let mut load = self.load_state();
        load.report = Some((now, report.clone()));
        Some(EngineView {
            report,
            counts,
            experts,
            gateways: load.count_gateways(now),
            limits: lock(&self.permits).limits(now),
            demand: Some(load.demand.clone()),
        })
    }

    /// Reads the expert counts; returns their increases since the last time, or `None` if there is
    /// no earlier reading of this epoch.
    async fn count_increments(&self) -> Option<CountIncrements> {
        let counts = with_timeout(QUERY_TIMEOUT, self.engines.counts(self.engine)).await?;
        let last = lock(&self.last_counts).replace(counts.clone())?;
        if last.epoch != counts.epoch || last.counts.len() != counts.counts.len() {
            return None;
        }
        let pairs = counts.counts.iter().zip(&last.counts);
        let increments =
            pairs.map(|(new, last)| u32::try_from(new.saturating_sub(*last)).unwrap_or(u32::MAX));
        Some(CountIncrements {
            epoch: counts.epoch,
            increments: increments.collect(),
        })
    }

    /// Answers a gateway that wants permits for an upstream.
    fn grant_permits(&self, request: &PermitRequest) -> PermitGrant {
        let grant = lock(&self.permits).handle(self.clock.now(), request);
        let label = if grant.granted > 0 {
            "granted"
        } else {
            "denied"
        };
        metrics::counter!("sardinepin_permit_requests_total", "reply" => label).increment(1);
        grant
    }

    pub(crate) fn neighbours(&self) -> MutexGuard<'_, Neighbours> {
        lock(&self.neighbours)
    }

    fn load_state(&self) -> MutexGuard<'_, LoadState> {
        lock(&self.load)
    }

    /// Records the load of the group that the coordinator sampled `age` ago.
    pub(crate) fn record_sample(&self, age: Millis, mut sample: GroupSample) {
        let now = self.clock.now();
        let mut load = self.load_state();
        load.largest.record(now, f64::from(sample.gateways));
        let largest = load.largest.known().unwrap_or_default();
        sample.gateways = sample.gateways.max(largest as u32);
        if let Some((at, last)) = &load.sample
            && last.term > sample.term
            && now.since(*at) <= SAMPLE_RETENTION
        {
            // Of two coordinators the newer one decides on admission.
            sample.term = last.term;
            sample.level.clone_from(&last.level);
        }
        load.sample = Some((Millis(now.0.saturating_sub(age.0)), sample));
    }

    /// Returns the load of the group for a gateway; `None` if the engine does not report in time.
    async fn group_load(&self, gateway: u64, demand: &GroupDemand) -> Option<GroupLoad> {
        let now = self.clock.now();
        let recent = {
            let mut load = self.load_state();
            load.gateways.insert(gateway, now);
            load.demand.add(demand);
            let recent = load.report.clone();
            recent.filter(|(at, _)| now.since(*at) <= REPORT_AGE_MAX)
        };
        let report = match recent {
            Some((_, report)) => report,
            None => self.view(ViewScope::default()).await?.report,
        };
        let now = self.clock.now();
        let sample = self.load_state().sample.clone();
        Some(GroupLoad {
            group: report.group,
            epoch: report.rank.epoch,
            open: report.rank.open,
            step: report.rank.step,
            sample: sample.map(|(at, sample)| (now.since(at), sample)),
        })
    }

    /// Sends an order to the engine; `None` means that it may or may not be carried out.
    pub(crate) async fn order(&self, order: &EngineOrder) -> Option<EngineReply> {
        let reply = with_timeout(ORDER_TIMEOUT, self.engines.order(self.engine, order)).await;
        let label = reply.map_or("no_answer", EngineReply::label);
        metrics::counter!("sardinepin_rank_orders_total", "action" => order.action.label(), "reply" => label)
            .increment(1);
        log::debug!(
            event = "order", action = order.action.label(), reply = label, term = order.term,
            epoch = order.epoch;
            "order sent to the engine"
        );
        reply
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits for the result of a call to an engine; returns `None` after `limit` or an error.
async fn with_timeout<T, E: std::fmt::Display>(
    limit: Millis,
    call: impl Future<Output = Result<T, E>>,
) -> Option<T> {
    match tokio::time::timeout(limit.duration(), call).await {
        Ok(Ok(result)) => Some(result),
        Ok(Err(error)) => {
            log::debug!(event = "engine_silent", error:% = error; "the engine did not respond");
            None
        }
        Err(_) => None,
    }
}
