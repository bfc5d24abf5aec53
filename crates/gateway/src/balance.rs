//! Which request goes to which upstream and when: placing, waiting and refusing.
//!
//! The load that this answers is many callers at once: a request is sent while an upstream has
//! room, waits while room is soon to come, and is refused as soon as neither holds.

use std::sync::Arc;

use rand::Rng as _;
use sardinepin_common::{Map, Millis, Rng, seeded_rng};
use sardinepin_protocol::ErrorKind;

use crate::budget::{BudgetSettings, RetryBudget};
use crate::fleet::{AttemptOutcome, Fleet, LoadReport, Room, UpstreamId};
use crate::queue::{Queue, Waiter};
use crate::upstream::UpstreamSpec;

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
        room: Room,
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
const COME_BACK_MIN: Millis = Millis(300);

/// The spread of the times at which refused callers come back.
const COME_BACK_SPREAD: Millis = Millis(900);

/// The shortest such time while no upstream can be used: processes and groups take seconds to
/// come back.
const OUTAGE_MIN: Millis = Millis(1_200);

/// The spread of such times.
const OUTAGE_SPREAD: Millis = Millis(1_400);

/// Decides over the requests of one gateway.
#[derive(Debug)]
pub struct Balancer {
    settings: BalancerSettings,
    fleet: Fleet,
    queues: Map<Arc<str>, Queue>,
    budgets: Map<Arc<str>, RetryBudget>,
    rng: Rng,
}

impl Balancer {
    /// Makes a balance without upstreams.
    #[must_use]
    pub fn new(settings: BalancerSettings) -> Self {
        Self {
            fleet: Fleet::default(),
            queues: Map::default(),
            budgets: Map::default(),
            rng: seeded_rng(settings.seed),
            settings,
        }
    }

    /// Returns the upstreams.
    #[must_use]
    pub fn upstreams(&self) -> &Fleet {
        &self.fleet
    }

    /// Takes over a new list of upstreams.
    pub fn replace_upstreams(&mut self, now: Millis, specs: &[UpstreamSpec]) -> Vec<QueueDecision> {
        self.fleet.replace(specs);
        self.process_queues(now)
    }

    /// Counts a request for a service, of which a share may be retried.
    pub fn requested(&mut self, now: Millis, service: &Arc<str>) {
        let budget = self.budgets.entry(Arc::clone(service)).or_default();
        budget.requested(now, &self.settings.retry_budget);
    }

    /// Takes a retry out of the budget of a service, if one is left.
    pub fn take_retry(&mut self, now: Millis, service: &Arc<str>) -> bool {
        let budget = self.budgets.entry(Arc::clone(service)).or_default();
        budget.take(now, &self.settings.retry_budget)
    }

    /// Decides over a request; `None` means that it waits.
    pub fn place(&mut self, now: Millis, demand: PlacementRequest) -> Option<Decision> {
        let waiting = self.queues.get(&demand.service);
        let overtakes = waiting.is_none_or(|queue| !queue.has_before(demand.priority));
        if overtakes && let Some(id) = self.choose(now, &demand.service, &demand.tried) {
            self.fleet.sent(now, id);
            return Some(Decision::Send(id));
        }
        if !self.fleet.is_served(now, &demand.service, &demand.tried) {
            return Some(self.refuse(now, &demand, ErrorKind::NoUpstream));
        }
        let wait = Millis((demand.latency_objective.as_f64() * self.settings.wait_ratio) as u64);
        let queue = self.queues.entry(Arc::clone(&demand.service)).or_default();
        if queue.len() >= self.settings.queue_max {
            return Some(self.refuse(now, &demand, ErrorKind::QueueFull));
        }
        queue.push(Waiter {
            until: demand.deadline.min(now + wait),
            demand,
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
        self.fleet.ended(now, id, ending);
        self.process_queues(now)
    }

    /// Takes in what an upstream says of its load.
    pub fn record_load(&mut self, now: Millis, id: UpstreamId, report: LoadReport) {
        self.fleet.reported(now, id, report);
    }

    /// Takes in how many attempts other gateways have in flight at the upstream named `id`.
    pub fn heard(&mut self, now: Millis, id: &str, others: u32) {
        if let Some(id) = self.fleet.find_by_name(id) {
            self.fleet.heard(now, id, others);
        }
    }

    /// Counts a sign of life of an upstream.
    pub fn record_progress(&mut self, now: Millis, id: UpstreamId) {
        self.fleet.progressed(now, id);
    }

    /// Returns whether an attempt without a sign of life should go to another upstream: its group
    /// has stalled, another has room, and the budget allows a retry.
    #[must_use]
    pub fn should_move(&mut self, now: Millis, id: UpstreamId) -> bool {
        let Some(upstream) = self.fleet.get(id) else {
            return false;
        };
        let service = Arc::clone(&upstream.spec.service);
        let budget = self.budgets.entry(service).or_default();
        budget.has_left(now, &self.settings.retry_budget)
            && self.fleet.should_move(now, id, self.settings.backlog)
    }

    /// Marks an upstream as taking no new work, before the list says so.
    pub fn leave(&mut self, id: UpstreamId) {
        self.fleet.leave(id);
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
        while let Some(late) = queue.pop_late(now) {
            decided.push(QueueDecision {
                number: late.demand.number,
                decision: self.refuse(now, &late.demand, ErrorKind::TooLate),
            });
        }
        while let Some(first) = queue.first() {
            let Some(id) = self.choose(now, service, &first.demand.tried) else {
                break;
            };
            let ticket = first.demand.number;
            queue.remove(ticket);
            self.fleet.sent(now, id);
            decided.push(QueueDecision {
                number: ticket,
                decision: Decision::Send(id),
            });
        }
        self.queues.insert(Arc::clone(service), queue);
    }

    fn choose(&self, now: Millis, service: &str, tried: &[UpstreamId]) -> Option<UpstreamId> {
        let settings = &self.settings;
        self.fleet
            .choose(now, service, &settings.zone, settings.backlog, tried)
    }

    fn refuse(&mut self, now: Millis, demand: &PlacementRequest, kind: ErrorKind) -> Decision {
        let room = self.fleet.room(now, &demand.service, &demand.tried);
        let retry_after = match kind {
            ErrorKind::NoUpstream => self.spread(OUTAGE_MIN, OUTAGE_SPREAD),
            _ => self.retry_delay(),
        };
        Decision::Refuse {
            kind,
            retry_after,
            room,
        }
    }

    /// Returns when a refused caller should come back, spread so that not all come at once.
    pub fn retry_delay(&mut self) -> Millis {
        self.spread(COME_BACK_MIN, COME_BACK_SPREAD)
    }

    fn spread(&mut self, least: Millis, over: Millis) -> Millis {
        least + Millis(self.rng.random_range(0..over.0))
    }
}
