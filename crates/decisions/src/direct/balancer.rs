//! Load balancing: selects an upstream for each request, queues requests and refuses them.
//!
//! Under a burst of requests, a request is sent while an upstream has capacity, waits while
//! capacity is expected soon, and is refused as soon as neither holds.

mod queueing;
mod retries;

use std::sync::Arc;

use rand::Rng as _;
use sardinepin_common::{Map, Millis, Rng, seeded_rng};
use sardinepin_protocol::{ErrorKind, GroupLoad};

use crate::cold_bound::ColdRule;
use crate::direct::admission::AdmissionGate;
use crate::direct::cold_start::Demand;
use crate::direct::hold::Holds;
use crate::direct::policy::Policy;
use crate::direct::queue::RequestQueue;
use crate::direct::request::{Decision, PlacementRequest, QueueDecision};
use crate::direct::returns::{Returns, exclusion_delay, overload_delay, turn_delay};
use crate::direct::upstream_set::{AttemptEnd, LoadReport, NextTurn, UpstreamId, UpstreamSet};
use crate::direct::upstream_spec::UpstreamSpec;
use crate::direct::zones::{AllowedRegions, Zones};
use crate::heard_limit::LimitNotice;
use crate::node_count::NodeCount;
use crate::retry_budget::{BudgetSettings, RetryBudget};

/// Settings of a balancer.
#[derive(Debug, Clone)]
pub struct BalancerSettings {
    /// The availability zone of the gateway; upstreams in it are preferred.
    pub zone: String,
    /// The region of each availability zone, as far as it is known.
    pub regions: Map<Arc<str>, Arc<str>>,
    /// A number that identifies the gateway among all.
    pub identity: u64,
    /// The seed of the random number generator that spreads retry delays.
    pub seed: u64,
    /// The maximum queue length of each service.
    pub queue_max: usize,
    /// The retry budget of each service.
    pub retry_budget: BudgetSettings,
    /// The rule for the requests to cold upstreams.
    pub cold_rule: ColdRule,
    /// The policies and their parameters.
    pub policy: Policy,
}

impl Default for BalancerSettings {
    fn default() -> Self {
        Self {
            zone: String::new(),
            regions: Map::default(),
            identity: 0,
            seed: 0,
            queue_max: 64,
            retry_budget: BudgetSettings::default(),
            cold_rule: ColdRule::default(),
            policy: Policy::default(),
        }
    }
}

/// Balances the requests of one gateway over its upstreams.
#[derive(Debug)]
pub struct Balancer {
    settings: BalancerSettings,
    upstreams: UpstreamSet,
    queues: Map<Arc<str>, RequestQueue>,
    budgets: Map<Arc<str>, RetryBudget>,
    returns: Map<Arc<str>, Returns>,
    pub(super) holds: Holds,
    /// When the last request for each service arrived.
    last_requests: Map<Arc<str>, Millis>,
    /// How many requests for each service arrive.
    demands: Map<Arc<str>, Demand>,
    /// How many gateways there are.
    gateways: NodeCount,
    /// This gateway's position among them, from 0 to 1.
    position: f64,
    pub(super) admission: AdmissionGate,
    rng: Rng,
}

impl Balancer {
    /// Creates a balancer without upstreams.
    #[must_use]
    pub fn new(settings: BalancerSettings) -> Self {
        let mut rng = seeded_rng(settings.seed);
        let position = rng.random();
        let mut upstreams = UpstreamSet::new(settings.policy, position);
        *upstreams.zones_mut() = Zones::new(settings.regions.clone(), position);
        Self {
            upstreams,
            queues: Map::default(),
            budgets: Map::default(),
            returns: Map::default(),
            holds: Holds::default(),
            last_requests: Map::default(),
            demands: Map::default(),
            gateways: NodeCount::default(),
            position,
            admission: AdmissionGate::default(),
            rng,
            settings,
        }
    }

    /// Returns the state of all upstreams.
    #[must_use]
    pub fn upstreams(&self) -> &UpstreamSet {
        &self.upstreams
    }

    pub(super) fn upstreams_mut(&mut self) -> &mut UpstreamSet {
        &mut self.upstreams
    }

    pub(super) fn rng_mut(&mut self) -> &mut Rng {
        &mut self.rng
    }

    pub(super) fn cold_rule(&self) -> ColdRule {
        self.settings.cold_rule
    }

    /// Returns the requests for a service, if there have been any.
    pub(super) fn demand_mut(&mut self, service: &str) -> Option<&mut Demand> {
        self.demands.get_mut(service)
    }

    pub(super) fn policy(&self) -> &Policy {
        &self.settings.policy
    }

    pub(super) fn admission_and_rng(&mut self) -> (&mut AdmissionGate, &mut Rng) {
        (&mut self.admission, &mut self.rng)
    }

    pub(super) fn identity(&self) -> u64 {
        self.settings.identity
    }

    pub(super) fn position(&self) -> f64 {
        self.position
    }

    /// Returns the number of gateways by which a limit is divided.
    pub(super) fn known_gateways(&self) -> f64 {
        self.gateways.divisor()
    }

    /// Returns when the last request for a service arrived.
    pub(super) fn last_request(&self, service: &str) -> Option<Millis> {
        self.last_requests.get(service).copied()
    }

    /// Returns the maximum queue length of each service.
    pub(super) fn queue_max(&self) -> usize {
        self.settings.queue_max
    }

    /// Returns how many requests for a service are queued.
    pub(super) fn queue_len(&self, service: &str) -> usize {
        self.queues.get(service).map_or(0, RequestQueue::len)
    }

    /// Replaces the list of upstreams; returns the decisions on queued requests that this allows.
    pub fn replace_upstreams(&mut self, now: Millis, specs: &[UpstreamSpec]) -> Vec<QueueDecision> {
        self.upstreams.replace_all(now, specs);
        self.process_queues(now)
    }

    /// Decides on a new request; `None` means that it is queued.
    pub fn place(&mut self, now: Millis, request: PlacementRequest) -> Option<Decision> {
        let retried = request.is_retry.then(|| Arc::clone(&request.service));
        let decision = self.decide(now, request);
        if let (Some(service), Some(decision)) = (retried, decision) {
            self.settle_retry(now, &service, decision);
        }
        decision
    }

    fn decide(&mut self, now: Millis, request: PlacementRequest) -> Option<Decision> {
        if now >= request.deadline {
            return Some(self.refuse(now, &request, ErrorKind::TooLate));
        }
        if let Some(retry_after) = self.refuse_by_level(now, &request) {
            let decision = self.refuse(now, &request, ErrorKind::NotAdmitted);
            return Some(decision.with_delay(retry_after));
        }
        let queue = self.queues.get(&request.service);
        let ahead = queue.map_or(0, |queue| queue.count_ahead(&request));
        if ahead == 0
            && let Some(id) = self.choose(now, &request)
        {
            self.record_send(now, id, &request);
            return Some(Decision::Send(id));
        }
        let turn = self.next_turn(now, &request);
        if turn.is_none()
            && let Some(kind) = self.exclusion(now, &request)
        {
            return Some(self.refuse(now, &request, kind));
        }
        let returns = self.returns.entry(Arc::clone(&request.service));
        returns.or_default().record_usable(now, turn.is_some());
        let Some(turn) = turn else {
            return match self.hold_until(now, &request) {
                Some(expires_at) => self.enqueue(now, request, expires_at),
                None => Some(self.refuse(now, &request, ErrorKind::NoUpstream)),
            };
        };
        let expires_at = request.deadline.min(now + self.longest_wait(&request));
        if turn.not_before > expires_at {
            return Some(self.refuse(now, &request, turn.refusal()));
        }
        self.enqueue(now, request, expires_at)
    }

    /// Returns when an upstream may take a request, as far as limits go; `None` if none is usable.
    fn next_turn(&self, now: Millis, request: &PlacementRequest) -> Option<NextTurn> {
        self.upstreams.next_turn(now, &request.needs())
    }

    /// Returns why a request without a usable upstream is refused, if an evacuation or its regions are the reason. Such an exclusion
    /// is no outage, and its duration is not learnt as one.
    fn exclusion(&self, now: Millis, request: &PlacementRequest) -> Option<ErrorKind> {
        let kind = self.upstreams.unusable_reason(now, &request.needs());
        (kind != ErrorKind::NoUpstream).then_some(kind)
    }

    /// Returns how long a request may wait in the queue.
    fn longest_wait(&self, request: &PlacementRequest) -> Millis {
        let policy = &self.settings.policy;
        if request.returning {
            return policy.return_wait;
        }
        Millis((request.latency_objective.as_f64() * policy.wait_ratio) as u64)
    }

    fn record_send(&mut self, now: Millis, id: UpstreamId, request: &PlacementRequest) {
        self.upstreams.record_start(now, id);
        let returns = self.returns.entry(Arc::clone(&request.service));
        returns.or_default().record_usable(now, true);
    }

    /// Records the end of an attempt and decides on queued requests.
    pub fn record_end(
        &mut self,
        now: Millis,
        id: UpstreamId,
        end: AttemptEnd,
    ) -> Vec<QueueDecision> {
        if let Some(group) = self.upstreams.group_of(id) {
            self.count_end(&group, end);
        }
        self.upstreams.record_end(now, id, end);
        self.process_queues(now)
    }

    /// Records the load that an upstream reports.
    pub fn record_load(&mut self, now: Millis, id: UpstreamId, report: LoadReport) {
        self.upstreams.record_load(now, id, report);
    }

    /// Records what an answer to a request sent at `sent_at` says about the limit of its upstream; returns whether the limit
    /// changed.
    pub fn record_limit(
        &mut self,
        now: Millis,
        id: UpstreamId,
        sent_at: Millis,
        notice: LimitNotice,
    ) -> bool {
        self.upstreams.record_limit(now, id, sent_at, notice)
    }

    /// Records how many attempts other gateways have in flight at the upstream with the identifier
    /// `id`.
    pub fn record_peer_load(&mut self, now: Millis, id: &str, peer_load: u32) {
        if let Some(id) = self.upstreams.find_by_name(id) {
            self.upstreams.record_peer_load(now, id, peer_load);
        }
    }

    /// Records a report of the load of a rank group; returns the decisions on queued requests that
    /// this allows.
    pub fn record_group_load(&mut self, now: Millis, load: &GroupLoad) -> Vec<QueueDecision> {
        self.upstreams.record_group_load(now, load);
        self.record_level(now, load);
        if let Some(gateways) = self.upstreams.gateways(now) {
            self.gateways.record(now, gateways);
        }
        self.process_queues(now)
    }

    /// Records that an upstream has sent data.
    pub fn record_progress(&mut self, now: Millis, id: UpstreamId) {
        self.upstreams.record_progress(now, id);
    }

    /// Records that an upstream has begun to answer a request that was sent at `sent_at`.
    pub fn record_answer(&mut self, id: UpstreamId, sent_at: Millis) {
        self.upstreams.record_answer(id, sent_at);
    }

    /// Returns whether a request that waits for its answer since `sent_at` should be sent to another rank: its objective has passed,
    /// later requests have overtaken it, and the retry budget allows a retry.
    #[must_use]
    pub fn is_overtaken(
        &mut self,
        now: Millis,
        id: UpstreamId,
        sent_at: Millis,
        objective: Millis,
    ) -> bool {
        let settings = self.settings.retry_budget;
        let is_late = self.settings.policy.moves_overtaken && now.since(sent_at) >= objective;
        if !is_late || !self.upstreams.is_overtaken(id, sent_at) {
            return false;
        }
        let Some(upstream) = self.upstreams.get(id) else {
            return false;
        };
        let service = Arc::clone(&upstream.spec.service);
        self.budget(now, &service).has_retry(now, &settings)
    }

    /// Returns whether a silent attempt should move to another upstream: its group has stalled,
    /// another group has capacity, and the retry budget allows a retry.
    #[must_use]
    pub fn should_move(&mut self, now: Millis, id: UpstreamId, regions: &AllowedRegions) -> bool {
        let Some(upstream) = self.upstreams.get(id) else {
            return false;
        };
        let service = Arc::clone(&upstream.spec.service);
        let settings = self.settings.retry_budget;
        self.budget(now, &service).has_retry(now, &settings)
            && self
                .upstreams
                .should_move(now, id, self.settings.policy.backlog, regions)
    }

    /// Records that an upstream has said that it is leaving; returns whether that is new.
    pub fn record_leaving(&mut self, now: Millis, id: UpstreamId) -> bool {
        self.upstreams.record_leaving(now, id)
    }

    /// Records that an upstream has turned a request away and wants none for `time`.
    pub fn record_rest(&mut self, now: Millis, id: UpstreamId, time: Millis) {
        self.upstreams.record_rest(now, id, time);
    }

    fn choose(&mut self, now: Millis, request: &PlacementRequest) -> Option<UpstreamId> {
        let backlog = self.prepare_choice(now);
        let settings = &self.settings;
        self.upstreams.choose(
            now,
            &mut self.rng,
            &settings.zone,
            backlog,
            &request.needs(),
        )
    }

    fn refuse(&mut self, now: Millis, request: &PlacementRequest, kind: ErrorKind) -> Decision {
        let counts = self.upstreams.count_by_state(now, &request.needs());
        let returns = self.returns.entry(Arc::clone(&request.service));
        let retry_after = match kind {
            ErrorKind::UpstreamLimited | ErrorKind::UpstreamResting => {
                let turn = self.next_turn(now, request);
                let wait = turn.map_or(Millis::ZERO, |turn| turn.expected.since(now));
                match kind {
                    // The end of a rest is known, so no time is added to it.
                    ErrorKind::UpstreamResting => wait,
                    _ => turn_delay(wait, &mut self.rng),
                }
            }
            ErrorKind::NoUpstream if self.settings.policy.expects_outages => {
                let returns = returns.or_default();
                returns.outage_delay(now, request.deadline, &mut self.rng)
            }
            ErrorKind::ZonesEvacuated | ErrorKind::RegionNotAllowed => {
                exclusion_delay(now, request.deadline, &mut self.rng)
            }
            _ => overload_delay(now, request.deadline, &mut self.rng),
        };
        Decision::Refuse {
            kind,
            retry_after,
            counts,
        }
    }

    /// Returns the retry delay of a caller whose request was refused by an upstream.
    pub fn retry_delay(&mut self, now: Millis, deadline: Millis) -> Millis {
        overload_delay(now, deadline, &mut self.rng)
    }
}
