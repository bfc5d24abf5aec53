//! Simulates one large rank group that many gateways share, under demand far above its capacity for a few seconds.
//!
//! Samples of the load reach gateways 100 to 250 ms late, ranks queue twice as many requests as they run, and callers retry at once
//! and often: that is what overfills ranks in real deployments.

mod calls;
mod run;
mod summary;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use sardinepin_common::{Millis, Rng, seeded_rng};
use sardinepin_decisions::direct::{
    Balancer, BalancerSettings, GroupMembership, Policy as GatewayPolicy, UpstreamId, UpstreamSpec,
};
use sardinepin_decisions::{AdmissionSettings, GroupAdmission};
use sardinepin_protocol::{GroupDemand, GroupSample};

use crate::fleet::burst::calls::{Call, generate};
use crate::fleet::engine::{Group, GroupShape};

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

/// When the burst begins.
const BURST_START: Millis = Millis(5_000);

/// When the burst ends.
const BURST_END: Millis = Millis(12_000);

/// When the last calls arrive.
const ARRIVALS_END: Millis = Millis(22_000);

/// The objective for the time to the first event, by priority.
const OBJECTIVES: [Millis; 3] = [Millis(400), Millis(700), Millis(1_500)];

/// How long a call may take altogether.
const CALL_TIMEOUT: Millis = Millis(8_000);

const TICK: Millis = Millis(20);

/// The interval of the coordinator's polls, and of each gateway's queries.
const POLL_INTERVAL: Millis = Millis(100);

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
