//! Simulates one large rank group that many gateways share, under demand far above its capacity for a few seconds.
//!
//! Samples of the load reach gateways 100 to 250 ms late, ranks queue twice as many requests as they run, and callers retry at once
//! and often: that is what overfills ranks in real deployments.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use rand::Rng as _;
use rand_distr::{Distribution, Exp, LogNormal};
use sardinepin_common::{Millis, Rng, seeded_rng};
use sardinepin_decisions::direct::{
    AllowedRegions, AttemptEnd, Balancer, BalancerSettings, Decision, GroupMembership,
    PlacementRequest, Policy as GatewayPolicy, QueueDecision, RequestNumber, UpstreamId,
    UpstreamSpec,
};
use sardinepin_decisions::{AdmissionSettings, GroupAdmission, MemberState};
use sardinepin_protocol::{GroupDemand, GroupLoad, GroupSample};

use crate::fleet::engine::{EngineRequest, Group, GroupShape, PassResult};
use crate::fleet::workload::{EVENTS_LOG, EVENTS_MAX, PROMPT_TOKENS_LOG, PROMPT_TOKENS_MAX};

/// The gateways of the deployment.
const GATEWAYS: usize = 37;

/// The ranks of the group.
const SHAPE: GroupShape = GroupShape {
    ranks: 63,
    slots: 10,
    queue_max: 20,
    // So that the group completes about 350 requests per second, as the large deployment does.
    pass_time: 0.52,
};

/// The availability zones.
const ZONES: usize = 3;

/// The requests per second that the group completes with all slots in use, as measured by this model.
const CAPACITY_PER_S: f64 = 350.0;

/// The usual load, as a fraction of the capacity.
const USUAL_LOAD: f64 = 0.8;

/// When the burst begins.
const BURST_START: Millis = Millis(5_000);

/// When the burst ends.
const BURST_END: Millis = Millis(12_000);

/// When the last calls arrive.
const ARRIVALS_END: Millis = Millis(22_000);

/// The objective for the time to the first event, by priority.
const OBJECTIVES: [Millis; 3] = [Millis(400), Millis(700), Millis(1_500)];

/// The share of calls by priority.
const PRIORITY_SHARES: [f64; 3] = [0.3, 0.4, 0.3];

/// How long a call may take altogether.
const CALL_TIMEOUT: Millis = Millis(8_000);

/// How often a caller retries who does so at once.
const EAGER_RETRIES: u32 = 3;

/// How long such a caller waits.
const EAGER_DELAY: Millis = Millis(50);

/// The most upstreams that one attempt is sent to.
const SENDS_MAX: u32 = 2;

const TICK: Millis = Millis(20);

/// The interval of the coordinator's polls, and of each gateway's queries.
const POLL_INTERVAL: Millis = Millis(100);

/// The time that a query takes.
const QUERY_TIME: Millis = Millis(5);

/// The width of the windows in which the recovery is looked for.
const WINDOW_MS: u64 = 500;

/// The load over its target from which credits are needed.
const CREDITS_FROM: f64 = 0.9;

/// The most agents that a gateway asks for a credit for one request.
const CREDIT_ASKS_MAX: u32 = 3;

/// The pattern of a burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pattern {
    /// 2.6 times the capacity.
    Burst,
    /// As much, but all of the additional requests come from one organisation.
    OneOrganisation,
    /// 70% more requests in one zone.
    Zone,
}

impl Pattern {
    pub(crate) const ALL: [Self; 3] = [Self::Burst, Self::OneOrganisation, Self::Zone];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Burst => "burst",
            Self::OneOrganisation => "one_organisation",
            Self::Zone => "zone",
        }
    }
}

/// A policy for admission and placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BurstPolicy {
    /// The product.
    AdmissionLevel,
    /// The product without the level: each gateway goes by its own estimates.
    OwnEstimates,
    /// Without the level, but a rank's agent grants a credit for each request while the group is near its target.
    Credits,
    RoundRobin,
    LeastInFlight,
    TwoChoices,
}

impl BurstPolicy {
    pub(crate) const ALL: [Self; 6] = [
        Self::AdmissionLevel,
        Self::OwnEstimates,
        Self::Credits,
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::TwoChoices,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::AdmissionLevel => "admission_level",
            Self::OwnEstimates => "own_estimates",
            Self::Credits => "credits",
            Self::RoundRobin => "round_robin",
            Self::LeastInFlight => "least_in_flight",
            Self::TwoChoices => "two_choices",
        }
    }

    fn is_product(self) -> bool {
        matches!(
            self,
            Self::AdmissionLevel | Self::OwnEstimates | Self::Credits
        )
    }
}

#[derive(Debug, Clone, Copy)]
struct Call {
    at: Millis,
    priority: usize,
    organisation: usize,
    gateway: usize,
    prompt: u32,
    events: u32,
    /// Whether the caller retries at once whatever it is told.
    eager: bool,
}

/// What became of a call.
#[derive(Debug, Clone, Copy, Default)]
struct CallEnd {
    first_event: Option<Millis>,
    complete: bool,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    call: usize,
    gateway: usize,
    started_at: Millis,
    retries: u32,
    sends: u32,
    asks: u32,
    upstream: Option<usize>,
    has_event: bool,
    is_open: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives { call: usize, retries: u32 },
    PassEnds,
    Tick,
    Poll,
    Query(usize),
}

/// The figures of one run.
#[derive(Debug, Clone, Default)]
pub(crate) struct BurstSummary {
    pub(crate) arrivals: usize,
    /// The share of arrivals that a rank rejected.
    pub(crate) rejected: f64,
    /// The share of arrivals whose caller waited in vain for an event.
    pub(crate) abandoned: f64,
    /// The share of arrivals that a gateway refused.
    pub(crate) refused: f64,
    /// The share of calls of the burst that were complete with the first event in time, by priority.
    pub(crate) good: [f64; 3],
    /// The same over all calls of the run.
    pub(crate) good_all: f64,
    /// The requests per second that were good in the second half of the burst.
    pub(crate) good_per_s: f64,
    /// The share of good calls of the organisations but the largest, in the burst.
    pub(crate) good_small: f64,
    /// How long after the burst goodput was at 0.9 of its earlier value, in milliseconds.
    pub(crate) recovery_ms: u64,
    /// The lowest and highest number of requests at the group over its slots in the last 5 s of the burst.
    pub(crate) fill: (f64, f64),
    /// The requests per second that the group completed in the burst.
    pub(crate) completed_per_s: f64,
    /// The queries for credits.
    pub(crate) asks: usize,
}

struct Model {
    policy: BurstPolicy,
    calls: Vec<Call>,
    ends: Vec<CallEnd>,
    balancers: Vec<Balancer>,
    ids: Vec<Vec<UpstreamId>>,
    in_flight: Vec<Vec<u32>>,
    turns: Vec<usize>,
    rng: Rng,
    group: Group,
    admission: GroupAdmission,
    /// What the agents have heard, summed; the model has one agent for all gateways.
    totals: GroupDemand,
    /// The sample that agents hold, and the one that they get with the next poll.
    samples: [Option<(Millis, GroupSample)>; 2],
    attempts: Vec<Attempt>,
    open: Vec<usize>,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    event_count: u64,
    arrivals: usize,
    rejected: usize,
    abandoned: usize,
    refused: usize,
    asks: usize,
    completed: usize,
    fill: (f64, f64),
}

/// Simulates a policy under a pattern.
pub(crate) fn simulate_burst(seed: u64, pattern: Pattern, policy: BurstPolicy) -> BurstSummary {
    let calls = generate(seed, pattern);
    let gateway_policy = GatewayPolicy {
        admission: policy == BurstPolicy::AdmissionLevel,
        shares_places: policy == BurstPolicy::AdmissionLevel,
        ..GatewayPolicy::default()
    };
    let specs: Vec<UpstreamSpec> = (0..SHAPE.ranks).map(upstream_spec).collect();
    let balancers = (0..GATEWAYS).map(|gateway| {
        let mut balancer = Balancer::new(BalancerSettings {
            seed: seed * 1_000 + gateway as u64,
            zone: zone_name(gateway),
            policy: gateway_policy,
            ..BalancerSettings::default()
        });
        balancer.replace_upstreams(Millis::ZERO, &specs);
        balancer
    });
    let balancers: Vec<Balancer> = balancers.collect();
    let ids = balancers.iter().map(|balancer| {
        let ids = specs
            .iter()
            .filter_map(|spec| balancer.upstreams().find_by_name(&spec.id));
        ids.collect()
    });
    let mut model = Model {
        policy,
        ends: vec![CallEnd::default(); calls.len()],
        ids: ids.collect(),
        balancers,
        in_flight: vec![vec![0; SHAPE.ranks]; GATEWAYS],
        turns: (0..GATEWAYS).collect(),
        rng: seeded_rng(seed),
        group: Group::new(SHAPE),
        admission: GroupAdmission::new(AdmissionSettings::default()),
        totals: GroupDemand::default(),
        samples: [None, None],
        attempts: Vec::new(),
        open: Vec::new(),
        events: BinaryHeap::new(),
        event_count: 0,
        arrivals: 0,
        rejected: 0,
        abandoned: 0,
        refused: 0,
        asks: 0,
        completed: 0,
        fill: (f64::INFINITY, 0.0),
        calls,
    };
    for call in 0..model.calls.len() {
        model.schedule(model.calls[call].at, Event::Arrives { call, retries: 0 });
    }
    model.schedule(TICK, Event::Tick);
    model.schedule(POLL_INTERVAL, Event::Poll);
    for gateway in 0..GATEWAYS {
        let phase = POLL_INTERVAL.0 * gateway as u64 / GATEWAYS as u64;
        model.schedule(Millis(phase), Event::Query(gateway));
    }
    while let Some(Reverse((now, _, event))) = model.events.pop() {
        if now > ARRIVALS_END + CALL_TIMEOUT {
            break;
        }
        model.handle(now, event);
    }
    model.summary()
}

fn generate(seed: u64, pattern: Pattern) -> Vec<Call> {
    let mut rng = seeded_rng(seed);
    let interval = Exp::new(CAPACITY_PER_S / 1_000.0).expect("the rate is above 0");
    let prompt = LogNormal::new(PROMPT_TOKENS_LOG.0, PROMPT_TOKENS_LOG.1).expect("finite");
    let events = LogNormal::new(EVENTS_LOG.0, EVENTS_LOG.1).expect("finite");
    let mut calls = Vec::new();
    let mut at = 0.0;
    loop {
        let in_burst = (BURST_START.as_f64()..BURST_END.as_f64()).contains(&at);
        let load = match pattern {
            Pattern::Zone if in_burst => USUAL_LOAD * (1.0 + 0.7 / ZONES as f64),
            _ if in_burst => 2.6,
            _ => USUAL_LOAD,
        };
        at += interval.sample(&mut rng) / load;
        if at >= ARRIVALS_END.as_f64() {
            return calls;
        }
        let extra = in_burst && rng.random_bool(1.0 - USUAL_LOAD / load);
        let mut priority = 0;
        let mut drawn: f64 = rng.random_range(0.0..1.0);
        while priority < 2 && drawn >= PRIORITY_SHARES[priority] {
            drawn -= PRIORITY_SHARES[priority];
            priority += 1;
        }
        let gateway = match pattern {
            Pattern::Zone if extra => rng.random_range(0..GATEWAYS.div_ceil(ZONES)) * ZONES,
            _ => rng.random_range(0..GATEWAYS),
        };
        calls.push(Call {
            at: Millis(at as u64),
            priority,
            organisation: match pattern {
                Pattern::OneOrganisation if extra => 0,
                _ => rng.random_range(0..12),
            },
            gateway,
            prompt: prompt.sample(&mut rng).clamp(16.0, PROMPT_TOKENS_MAX) as u32,
            events: events.sample(&mut rng).clamp(1.0, EVENTS_MAX) as u32,
            eager: rng.random_bool(0.5),
        });
    }
}

impl Model {
    fn schedule(&mut self, at: Millis, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn handle(&mut self, now: Millis, event: Event) {
        match event {
            Event::Arrives { call, retries } => self.arrive(now, call, retries),
            Event::PassEnds => self.end_pass(now),
            Event::Tick => self.tick(now),
            Event::Poll => self.poll(now),
            Event::Query(gateway) => self.query(now, gateway),
        }
    }

    fn arrive(&mut self, now: Millis, call: usize, retries: u32) {
        self.arrivals += 1;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            call,
            // A retry reaches another gateway.
            gateway: (self.calls[call].gateway + 7 * retries as usize) % GATEWAYS,
            started_at: now,
            retries,
            sends: 0,
            asks: 0,
            upstream: None,
            has_event: false,
            is_open: true,
        });
        self.open.push(attempt);
        self.place(now, attempt, Vec::new());
    }

    fn deadline(&self, call: usize) -> Millis {
        self.calls[call].at + CALL_TIMEOUT
    }

    fn place(&mut self, now: Millis, attempt: usize, tried: Vec<UpstreamId>) {
        let Attempt {
            call,
            gateway,
            retries,
            ..
        } = self.attempts[attempt];
        if !self.policy.is_product() {
            let chosen = self.choose_simply(gateway);
            return self.send(now, attempt, chosen);
        }
        let state = self.calls[call];
        let request = PlacementRequest {
            number: RequestNumber(attempt as u64),
            service: Arc::from("llm"),
            priority: state.priority as u8,
            latency_objective: OBJECTIVES[state.priority],
            deadline: self.deadline(call),
            continues: !tried.is_empty(),
            tried,
            returning: retries > 0,
            is_retry: false,
            regions: AllowedRegions::default(),
            organisation: Some(Arc::from(format!("o{}", state.organisation))),
        };
        if let Some(decision) = self.balancers[gateway].place(now, request) {
            self.apply(now, attempt, decision);
        }
    }

    fn choose_simply(&mut self, gateway: usize) -> usize {
        let loads = &self.in_flight[gateway];
        self.turns[gateway] += 1;
        let turn = self.turns[gateway] % SHAPE.ranks;
        match self.policy {
            BurstPolicy::LeastInFlight => {
                let order = (0..SHAPE.ranks).map(|index| (turn + index) % SHAPE.ranks);
                order.min_by_key(|index| loads[*index]).unwrap_or_default()
            }
            BurstPolicy::TwoChoices => {
                let first = self.rng.random_range(0..SHAPE.ranks);
                let second = self.rng.random_range(0..SHAPE.ranks);
                match loads[first] <= loads[second] {
                    true => first,
                    false => second,
                }
            }
            _ => turn,
        }
    }

    fn apply(&mut self, now: Millis, attempt: usize, decision: Decision) {
        match decision {
            Decision::Send(id) => {
                let gateway = self.attempts[attempt].gateway;
                let index = self.ids[gateway].iter().position(|known| *known == id);
                self.send(now, attempt, index.unwrap_or_default());
            }
            Decision::Refuse { retry_after, .. } => {
                self.refused += 1;
                self.turn_away(now, attempt, retry_after);
            }
        }
    }

    fn apply_all(&mut self, now: Millis, decisions: Vec<QueueDecision>) {
        for queued in decisions {
            self.apply(now, queued.number.0 as usize, queued.decision);
        }
    }

    fn send(&mut self, now: Millis, attempt: usize, upstream: usize) {
        let Attempt { gateway, call, .. } = self.attempts[attempt];
        self.in_flight[gateway][upstream] += 1;
        if !self.attempts[attempt].is_open {
            return self.record_end(now, gateway, upstream, AttemptEnd::Abandoned);
        }
        let report = self.group.report(upstream);
        let load = (report.running + report.waiting) as usize;
        if self.policy == BurstPolicy::Credits && self.fill() >= CREDITS_FROM {
            self.asks += 1;
            self.attempts[attempt].asks += 1;
            if load > SHAPE.slots {
                self.record_end(now, gateway, upstream, AttemptEnd::Rejected);
                if self.attempts[attempt].asks < CREDIT_ASKS_MAX {
                    return self.place(now, attempt, vec![self.ids[gateway][upstream]]);
                }
                self.refused += 1;
                let deadline = self.deadline(call);
                let delay = self.balancers[gateway].retry_delay(now, deadline);
                return self.turn_away(now, attempt, delay);
            }
        }
        self.attempts[attempt].sends += 1;
        let request = EngineRequest {
            attempt,
            prompt: self.calls[call].prompt,
            events: self.calls[call].events,
            // The code before did not pass the priority on.
            priority: match self.policy {
                BurstPolicy::AdmissionLevel => self.calls[call].priority as u8,
                _ => 0,
            },
        };
        if self.group.accept(upstream, request) {
            self.attempts[attempt].upstream = Some(upstream);
            return self.start_pass(now);
        }
        self.rejected += 1;
        self.record_end(now, gateway, upstream, AttemptEnd::Rejected);
        if self.policy.is_product() && self.attempts[attempt].sends < SENDS_MAX {
            return self.place(now, attempt, vec![self.ids[gateway][upstream]]);
        }
        let deadline = self.deadline(call);
        let delay = self.balancers[gateway].retry_delay(now, deadline);
        self.turn_away(now, attempt, delay);
    }

    /// Answers a caller that its request did not run.
    fn turn_away(&mut self, now: Millis, attempt: usize, retry_after: Millis) {
        let Attempt { call, retries, .. } = self.attempts[attempt];
        self.close(attempt);
        let left = self.deadline(call).since(now);
        let (most, delay) = match self.calls[call].eager {
            true => (EAGER_RETRIES, EAGER_DELAY),
            false if retry_after.0 * 3 <= left.0 => (1, retry_after),
            false => (0, retry_after),
        };
        if retries < most {
            let retries = retries + 1;
            self.schedule(now + delay, Event::Arrives { call, retries });
        }
    }

    fn close(&mut self, attempt: usize) {
        self.attempts[attempt].is_open = false;
        self.open.retain(|open| *open != attempt);
    }

    fn record_end(&mut self, now: Millis, gateway: usize, upstream: usize, end: AttemptEnd) {
        self.in_flight[gateway][upstream] -= 1;
        if self.policy.is_product() {
            let id = self.ids[gateway][upstream];
            let decisions = self.balancers[gateway].record_end(now, id, end);
            self.apply_all(now, decisions);
        }
    }

    fn start_pass(&mut self, now: Millis) {
        if !self.group.in_pass
            && let Some(time) = self.group.start_pass()
        {
            self.schedule(now + time, Event::PassEnds);
        }
    }

    fn end_pass(&mut self, now: Millis) {
        for result in self.group.end_pass() {
            let (PassResult::Event(attempt) | PassResult::Last(attempt)) = result;
            let Attempt {
                call,
                gateway,
                upstream,
                ..
            } = self.attempts[attempt];
            self.attempts[attempt].has_event = true;
            let elapsed = now.since(self.calls[call].at);
            self.ends[call].first_event.get_or_insert(elapsed);
            let Some(upstream) = upstream else { continue };
            let id = self.ids[gateway][upstream];
            self.balancers[gateway].record_progress(now, id);
            if matches!(result, PassResult::Last(_)) {
                self.ends[call].complete = true;
                self.completed += usize::from((BURST_START..BURST_END).contains(&now));
                self.close(attempt);
                self.record_end(now, gateway, upstream, AttemptEnd::Served);
            }
        }
        self.start_pass(now);
    }

    fn fill(&self) -> f64 {
        let loads = (0..SHAPE.ranks).map(|rank| self.group.report(rank));
        let load: u32 = loads.map(|report| report.running + report.waiting).sum();
        f64::from(load) / (SHAPE.ranks * SHAPE.slots) as f64
    }

    /// The coordinator's poll: agents get the last sample, and the next one is taken.
    fn poll(&mut self, now: Millis) {
        self.schedule(now + POLL_INTERVAL, Event::Poll);
        self.samples[0] = self.samples[1].take();
        let demand = &self.totals;
        let members = (0..SHAPE.ranks).map(|rank| {
            let report = self.group.report(rank);
            Some(MemberState {
                load: report.running + report.waiting,
                slots: SHAPE.slots as u32,
                // The agent of the first rank stands for those of all.
                demand: (rank == 0).then_some(demand),
            })
        });
        let members: Vec<_> = members.collect();
        let gateways = GATEWAYS as u32;
        let level = self.admission.observe(now, 1, gateways, &members).cloned();
        let mut sample = self.group.sample(GATEWAYS);
        sample.term = 1;
        sample.level = level;
        self.samples[1] = Some((now, sample));
        if (BURST_END.0 - 5_000..BURST_END.0).contains(&now.0) {
            let fill = self.fill();
            self.fill = (self.fill.0.min(fill), self.fill.1.max(fill));
        }
    }

    fn query(&mut self, now: Millis, gateway: usize) {
        self.schedule(now + POLL_INTERVAL + QUERY_TIME, Event::Query(gateway));
        if !self.policy.is_product() {
            return;
        }
        let name: Arc<str> = Arc::from("g0");
        let demand = self.balancers[gateway].take_demand(&name);
        self.totals.add(&demand);
        let load = GroupLoad {
            group: name,
            epoch: 1,
            open: true,
            step: self.group.step,
            sample: self.samples[0]
                .clone()
                .map(|(at, sample)| (now.since(at), sample)),
        };
        let decisions = self.balancers[gateway].record_group_load(now, &load);
        self.apply_all(now, decisions);
    }

    fn tick(&mut self, now: Millis) {
        self.schedule(now + TICK, Event::Tick);
        if self.policy.is_product() {
            for gateway in 0..GATEWAYS {
                let decisions = self.balancers[gateway].process_queues(now);
                self.apply_all(now, decisions);
            }
        }
        let gives_up = |attempt: &usize| {
            let state = &self.attempts[*attempt];
            let objective = OBJECTIVES[self.calls[state.call].priority];
            let patience = Millis((4 * objective.0).max(2_000));
            !state.has_event && now.since(state.started_at) > patience
        };
        let gone: Vec<usize> = self.open.iter().copied().filter(gives_up).collect();
        for attempt in gone {
            let Attempt {
                gateway, upstream, ..
            } = self.attempts[attempt];
            self.abandoned += 1;
            self.close(attempt);
            if let Some(upstream) = upstream {
                self.group.cancel(upstream, attempt);
                self.record_end(now, gateway, upstream, AttemptEnd::Abandoned);
            } else {
                let service = Arc::from("llm");
                let number = RequestNumber(attempt as u64);
                self.balancers[gateway].withdraw(now, &service, number);
            }
        }
        self.start_pass(now);
    }

    fn is_good(&self, call: usize) -> bool {
        let end = &self.ends[call];
        let objective = OBJECTIVES[self.calls[call].priority];
        end.complete && end.first_event.is_some_and(|first| first <= objective)
    }

    fn share_good(&self, holds: impl Fn(&Call) -> bool) -> f64 {
        let chosen = (0..self.calls.len()).filter(|call| holds(&self.calls[*call]));
        let (mut total, mut good) = (0_usize, 0_usize);
        for call in chosen {
            total += 1;
            good += usize::from(self.is_good(call));
        }
        good as f64 / total.max(1) as f64
    }

    fn summary(&self) -> BurstSummary {
        let in_burst = |call: &Call| (BURST_START..BURST_END).contains(&call.at);
        let of_priority =
            |priority| self.share_good(|call| in_burst(call) && call.priority == priority);
        let before = self.share_good(|call| (Millis(2_000)..BURST_START).contains(&call.at));
        let mut windows: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
        for (index, call) in self.calls.iter().enumerate() {
            if call.at >= BURST_END {
                let window = call.at.since(BURST_END).0 / WINDOW_MS;
                let (total, good) = windows.entry(window).or_default();
                *total += 1;
                *good += usize::from(self.is_good(index));
            }
        }
        // The end of the last window that is too low.
        let low = windows
            .iter()
            .rev()
            .find(|(_, (total, good))| (*good as f64) < 0.9 * before * *total as f64);
        let share = |count: usize| count as f64 / self.arrivals.max(1) as f64;
        let half = Millis((BURST_START.0 + BURST_END.0) / 2);
        let late_half = |call: &Call| (half..BURST_END).contains(&call.at);
        let late_calls = self.calls.iter().filter(|call| late_half(call)).count();
        let seconds = BURST_END.since(half).as_f64() / 1_000.0;
        BurstSummary {
            arrivals: self.arrivals,
            rejected: share(self.rejected),
            abandoned: share(self.abandoned),
            refused: share(self.refused),
            good: [of_priority(0), of_priority(1), of_priority(2)],
            good_all: self.share_good(|_| true),
            good_per_s: self.share_good(late_half) * late_calls as f64 / seconds,
            good_small: self.share_good(|call| in_burst(call) && call.organisation != 0),
            recovery_ms: low.map_or(0, |(window, _)| (window + 1) * WINDOW_MS),
            fill: self.fill,
            completed_per_s: self.completed as f64 * 1_000.0
                / BURST_END.since(BURST_START).as_f64(),
            asks: self.asks,
        }
    }
}

fn zone_name(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

fn upstream_spec(rank: usize) -> UpstreamSpec {
    UpstreamSpec {
        id: Arc::from(format!("u{rank}")),
        started_at: 1,
        service: Arc::from("llm"),
        address: ([127, 0, 0, 1], 1_024 + rank as u16).into(),
        zone: Arc::from(zone_name(rank)),
        slots: SHAPE.slots as u32,
        draining: false,
        cold_remaining: None,
        group: Some(GroupMembership {
            name: Arc::from("g0"),
            rank,
            broken: false,
        }),
    }
}
