//! Which request goes to which upstream and when: placing, waiting and refusing.
//!
//! The load that this answers is many callers at once: a request is sent while an upstream has
//! room, waits while room is soon to come, and is refused as soon as neither holds.

use std::sync::Arc;

use rand::Rng as _;
use sardinepin_common::{Map, Millis, Rng, seeded};
use sardinepin_protocol::ErrorKind;

use crate::queue::{QueuedRequest, RequestQueue};
use crate::retry_budget::{BudgetSettings, RetryBudget};
use crate::upstream_set::{AttemptOutcome, LoadReport, UpstreamCounts, UpstreamId, UpstreamSet};
use crate::upstream_spec::UpstreamSpec;

/// Settings of a balance.
#[derive(Debug, Clone)]
pub struct BalancerSettings {
    /// The availability zone of the gateway.
    pub zone: String,
    /// The seed of the random source.
    pub seed: u64,
    /// How many requests beyond its slots an upstream may be thought to hold.
    pub backlog: f64,
    /// The longest wait of a request, as a share of its objective.
    pub wait_ratio: f64,
    /// The most requests that wait for one service.
    pub queue_max: usize,
    /// The retry budget of each service.
    pub retry_budget: BudgetSettings,
}

impl Default for BalancerSettings {
    fn default() -> Self {
        Self {
            zone: String::new(),
            seed: 0,
            backlog: 0.0,
            wait_ratio: 0.4,
            queue_max: 64,
            retry_budget: BudgetSettings::default(),
        }
    }
}

/// The number of a request within one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestNumber(pub u64);

/// A request that asks for an upstream.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// The request.
    pub number: RequestNumber,
    /// The service.
    pub service: Arc<str>,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The time within which the request is of full use.
    pub latency_objective: Millis,
    /// The time until which it may be sent at all.
    pub deadline: Millis,
    /// Upstreams that it was sent to.
    pub tried: Vec<UpstreamId>,
}

/// What becomes of a request that asked for an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is sent; an attempt is counted as in flight.
    Send(UpstreamId),
    /// It is refused.
    Refuse {
        /// The reason.
        kind: ErrorKind,
        /// When coming back makes sense.
        retry_after: Millis,
        /// How the upstreams of the service were.
        counts: UpstreamCounts,
    },
}

/// A verdict on a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueDecision {
    /// The request.
    pub number: RequestNumber,
    /// The verdict.
    pub decision: Decision,
}

/// The shortest time after which a refused caller is asked to come back.
const RETRY_MIN: Millis = Millis(300);

/// The spread of the times at which refused callers come back.
const RETRY_SPREAD: Millis = Millis(900);

/// The shortest such time while no upstream can be used: processes and groups take seconds to
/// come back.
const OUTAGE_RETRY_MIN: Millis = Millis(1_200);

/// The spread of such times.
const OUTAGE_RETRY_SPREAD: Millis = Millis(1_400);

/// Decides over the requests of one gateway.
#[derive(Debug)]
pub struct Balancer {
    settings: BalancerSettings,
    upstreams: UpstreamSet,
    queues: Map<Arc<str>, RequestQueue>,
    budgets: Map<Arc<str>, RetryBudget>,
    rng: Rng,
}

impl Balancer {
    /// Makes a balance without upstreams.
    #[must_use]
    pub fn new(settings: BalancerSettings) -> Self {
        Self {
            upstreams: UpstreamSet::default(),
            queues: Map::default(),
            budgets: Map::default(),
            rng: seeded(settings.seed),
            settings,
        }
    }

    /// Returns the upstreams.
    #[must_use]
    pub fn upstreams(&self) -> &UpstreamSet {
        &self.upstreams
    }

    /// Takes over a new list of upstreams.
    pub fn replace_upstreams(&mut self, now: Millis, specs: &[UpstreamSpec]) -> Vec<QueueDecision> {
        self.upstreams.replace_all(specs);
        self.process_queues(now)
    }

    /// Counts a request for a service, of which a share may be retried.
    pub fn record_request(&mut self, now: Millis, service: &Arc<str>) {
        let budget = self.budgets.entry(Arc::clone(service)).or_default();
        budget.record_request(now, &self.settings.retry_budget);
    }

    /// Takes a retry out of the budget of a service, if one is left.
    pub fn take_retry(&mut self, now: Millis, service: &Arc<str>) -> bool {
        let budget = self.budgets.entry(Arc::clone(service)).or_default();
        budget.try_take(now, &self.settings.retry_budget)
    }

    /// Decides over a request; `None` means that it waits.
    pub fn place(&mut self, now: Millis, demand: PlacementRequest) -> Option<Decision> {
        let waiting = self.queues.get(&demand.service);
        let overtakes = waiting.is_none_or(|queue| !queue.has_ahead(demand.priority));
        if overtakes && let Some(id) = self.choose(now, &demand.service, &demand.tried) {
            self.upstreams.record_start(now, id);
            return Some(Decision::Send(id));
        }
        if !self
            .upstreams
            .any_usable(now, &demand.service, &demand.tried)
        {
            return Some(self.refuse(now, &demand, ErrorKind::NoUpstream));
        }
        let wait = Millis((demand.latency_objective.as_f64() * self.settings.wait_ratio) as u64);
        let queue = self.queues.entry(Arc::clone(&demand.service)).or_default();
        if queue.len() >= self.settings.queue_max {
            return Some(self.refuse(now, &demand, ErrorKind::QueueFull));
        }
        queue.push(QueuedRequest {
            expires_at: demand.deadline.min(now + wait),
            request: demand,
        });
        None
    }

    /// Takes a request that waits out of its queue.
    pub fn withdraw(&mut self, service: &str, ticket: RequestNumber) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.remove(ticket);
        }
    }

    /// Counts an attempt as ended and decides over those that wait.
    pub fn record_end(
        &mut self,
        now: Millis,
        id: UpstreamId,
        ending: AttemptOutcome,
    ) -> Vec<QueueDecision> {
        self.upstreams.record_end(now, id, ending);
        self.process_queues(now)
    }

    /// Takes in what an upstream says of its load.
    pub fn record_load(&mut self, now: Millis, id: UpstreamId, report: LoadReport) {
        self.upstreams.record_load(now, id, report);
    }

    /// Takes in how many attempts other gateways have in flight at the upstream named `id`.
    pub fn record_peer_load(&mut self, now: Millis, id: &str, others: u32) {
        if let Some(id) = self.upstreams.find_by_name(id) {
            self.upstreams.record_peer_load(now, id, others);
        }
    }

    /// Counts a sign of life of an upstream.
    pub fn record_progress(&mut self, now: Millis, id: UpstreamId) {
        self.upstreams.record_progress(now, id);
    }

    /// Returns whether an attempt without a sign of life should go to another upstream: its group
    /// has stalled, another has room, and the budget allows a retry.
    #[must_use]
    pub fn should_move(&mut self, now: Millis, id: UpstreamId) -> bool {
        let Some(upstream) = self.upstreams.get(id) else {
            return false;
        };
        let service = Arc::clone(&upstream.spec.service);
        let budget = self.budgets.entry(service).or_default();
        budget.has_retry(now, &self.settings.retry_budget)
            && self.upstreams.should_move(now, id, self.settings.backlog)
    }

    /// Marks an upstream as taking no new work, before the list says so.
    pub fn mark_draining(&mut self, id: UpstreamId) {
        self.upstreams.mark_draining(id);
    }

    /// Decides over those that wait; call it often while some do.
    pub fn process_queues(&mut self, now: Millis) -> Vec<QueueDecision> {
        let mut decided = Vec::new();
        let services: Vec<Arc<str>> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| Arc::clone(service))
            .collect();
        for service in services {
            self.pump_service(now, &service, &mut decided);
        }
        decided
    }

    fn pump_service(&mut self, now: Millis, service: &Arc<str>, decided: &mut Vec<QueueDecision>) {
        let Some(mut queue) = self.queues.remove(service) else {
            return;
        };
        while let Some(late) = queue.pop_expired(now) {
            decided.push(QueueDecision {
                number: late.request.number,
                decision: self.refuse(now, &late.request, ErrorKind::TooLate),
            });
        }
        while let Some(first) = queue.first() {
            let Some(id) = self.choose(now, service, &first.request.tried) else {
                break;
            };
            let ticket = first.request.number;
            queue.remove(ticket);
            self.upstreams.record_start(now, id);
            decided.push(QueueDecision {
                number: ticket,
                decision: Decision::Send(id),
            });
        }
        self.queues.insert(Arc::clone(service), queue);
    }

    fn choose(&self, now: Millis, service: &str, tried: &[UpstreamId]) -> Option<UpstreamId> {
        let settings = &self.settings;
        self.upstreams
            .choose(now, service, &settings.zone, settings.backlog, tried)
    }

    fn refuse(&mut self, now: Millis, demand: &PlacementRequest, kind: ErrorKind) -> Decision {
        let counts = self
            .upstreams
            .count_by_state(now, &demand.service, &demand.tried);
        let retry_after = match kind {
            ErrorKind::NoUpstream => self.jitter(OUTAGE_RETRY_MIN, OUTAGE_RETRY_SPREAD),
            _ => self.retry_delay(),
        };
        Decision::Refuse {
            kind,
            retry_after,
            counts,
        }
    }

    /// Returns when a refused caller should come back, spread so that not all come at once.
    pub fn retry_delay(&mut self) -> Millis {
        self.jitter(RETRY_MIN, RETRY_SPREAD)
    }

    fn jitter(&mut self, least: Millis, over: Millis) -> Millis {
        least + Millis(self.rng.random_range(0..over.0))
    }
}
