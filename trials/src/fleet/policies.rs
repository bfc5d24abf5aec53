//! The policies by which a gateway places calls: the product's balancer and simple baselines.

use std::sync::Arc;

use rand::Rng as _;
use rand::seq::SliceRandom;
use sardinepin_common::{Millis, Rng, seeded_rng};
use sardinepin_decisions::direct::{
    AllowedRegions, AttemptEnd, Balancer, BalancerSettings, Decision, GroupMembership, LoadReport,
    PlacementRequest, QueueDecision, RequestNumber, UpstreamId, UpstreamSpec,
};

use sardinepin_protocol::GroupLoad;

use crate::fleet::engine::{RANK_SLOTS, RANKS};

/// The delay after which baseline policies ask refused callers to retry.
const BASELINE_RETRY_DELAY: Millis = Millis(1_000);

/// The objective for the time to the first event.
pub(crate) const FIRST_EVENT_OBJECTIVE: Millis = Millis(400);

/// A policy for placing calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The product's balancer.
    Product,
    /// The product's balancer without the loads that agents pass on: it knows the load of other
    /// gateways from responses only.
    WithoutLoads,
    /// Each upstream in turn.
    RoundRobin,
    /// The upstream with the fewest calls of this gateway in flight.
    LeastInFlight,
    /// The one of two random upstreams with fewer calls of this gateway in flight.
    TwoChoices,
}

/// All policies, in the order of the output.
pub(crate) const POLICIES: [Policy; 5] = [
    Policy::Product,
    Policy::WithoutLoads,
    Policy::RoundRobin,
    Policy::LeastInFlight,
    Policy::TwoChoices,
];

impl Policy {
    /// Returns the name in the JSON lines and the plot.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::WithoutLoads => "without_loads",
            Self::RoundRobin => "round_robin",
            Self::LeastInFlight => "least_in_flight",
            Self::TwoChoices => "two_choices",
        }
    }
}

/// The decision on an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Choice {
    /// The attempt is sent to the upstream with this index.
    Send(usize),
    /// The attempt is refused; its caller is asked to retry after this delay.
    Refuse(Millis),
}

/// A gateway with its policy.
#[derive(Debug)]
pub(crate) enum Gateway {
    Product(Box<Product>),
    Baseline(Box<Baseline>),
}

/// The product's balancer, with the identifier of each upstream by index.
#[derive(Debug)]
pub(crate) struct Product {
    balancer: Balancer,
    ids: Vec<UpstreamId>,
    /// Whether it reads the loads of groups from their agents.
    reads_loads: bool,
}

/// A baseline policy, whose state is the calls in flight at each upstream and a turn counter.
#[derive(Debug)]
pub(crate) struct Baseline {
    policy: Policy,
    /// The calls of this gateway in flight, by upstream.
    in_flight: Vec<usize>,
    /// The number of calls so far, offset by the index of the gateway.
    next: usize,
    rng: Rng,
}

impl Gateway {
    pub(crate) fn new(policy: Policy, index: usize, groups: usize) -> Self {
        if !matches!(policy, Policy::Product | Policy::WithoutLoads) {
            return Self::Baseline(Box::new(Baseline {
                policy,
                in_flight: vec![0; groups * RANKS],
                next: index,
                rng: seeded_rng(index as u64),
            }));
        }
        let mut balancer = Balancer::new(BalancerSettings {
            seed: index as u64,
            ..BalancerSettings::default()
        });
        let count = groups * RANKS;
        // Each gateway lists the upstreams in its own order.
        let mut order: Vec<usize> = (0..count).collect();
        order.shuffle(&mut seeded_rng(index as u64));
        let specs: Vec<UpstreamSpec> = order.into_iter().map(upstream_spec).collect();
        balancer.replace_upstreams(Millis::ZERO, &specs);
        let ids = (0..count)
            .filter_map(|index| balancer.upstreams().find_by_name(&upstream_spec(index).id));
        let ids = ids.collect();
        Self::Product(Box::new(Product {
            balancer,
            ids,
            reads_loads: policy == Policy::Product,
        }))
    }

    /// Places an attempt; `None` means that it is queued.
    pub(crate) fn choose(
        &mut self,
        now: Millis,
        attempt: usize,
        deadline: Millis,
    ) -> Option<Choice> {
        match self {
            Self::Product(product) => product.choose(now, attempt, deadline),
            Self::Baseline(baseline) => Some(Choice::Send(baseline.choose())),
        }
    }

    /// Records the end of an attempt; returns decisions on queued attempts.
    pub(crate) fn record_end(
        &mut self,
        now: Millis,
        upstream: usize,
        end: AttemptEnd,
    ) -> Vec<(usize, Choice)> {
        match self {
            Self::Product(product) => product.record_end(now, upstream, end),
            Self::Baseline(baseline) => {
                baseline.in_flight[upstream] -= 1;
                Vec::new()
            }
        }
    }

    /// Records that an upstream sent an event.
    pub(crate) fn record_progress(&mut self, now: Millis, upstream: usize) {
        if let Self::Product(product) = self {
            product.balancer.record_progress(now, product.ids[upstream]);
        }
    }

    /// Records the load that an upstream reports with the head of an answer.
    pub(crate) fn record_load(&mut self, now: Millis, upstream: usize, report: LoadReport) {
        if let Self::Product(product) = self {
            let id = product.ids[upstream];
            product.balancer.record_load(now, id, report);
        }
    }

    /// Records a report of the load of a group; returns decisions on queued attempts.
    pub(crate) fn record_group_load(
        &mut self,
        now: Millis,
        load: &GroupLoad,
    ) -> Vec<(usize, Choice)> {
        match self {
            Self::Product(product) if product.reads_loads => {
                let decisions = product.balancer.record_group_load(now, load);
                product.to_choices(decisions)
            }
            _ => Vec::new(),
        }
    }

    /// Processes the queue; returns decisions on queued attempts.
    pub(crate) fn tick(&mut self, now: Millis) -> Vec<(usize, Choice)> {
        match self {
            Self::Product(product) => {
                let decisions = product.balancer.process_queues(now);
                product.to_choices(decisions)
            }
            Self::Baseline(_) => Vec::new(),
        }
    }

    /// Returns the delay after which the caller of an attempt that did not run should retry.
    pub(crate) fn retry_delay(&mut self, now: Millis, deadline: Millis) -> Millis {
        match self {
            Self::Product(product) => product.balancer.retry_delay(now, deadline),
            Self::Baseline(_) => BASELINE_RETRY_DELAY,
        }
    }
}

impl Product {
    fn choose(&mut self, now: Millis, attempt: usize, deadline: Millis) -> Option<Choice> {
        let decision = self.balancer.place(
            now,
            PlacementRequest {
                number: RequestNumber(attempt as u64),
                service: service_name(),
                priority: 1,
                latency_objective: FIRST_EVENT_OBJECTIVE,
                deadline,
                tried: Vec::new(),
                regions: AllowedRegions::default(),
                returning: false,
                is_retry: false,
                organisation: None,
                continues: false,
            },
        )?;
        Some(self.to_choice(decision))
    }

    fn record_end(
        &mut self,
        now: Millis,
        upstream: usize,
        end: AttemptEnd,
    ) -> Vec<(usize, Choice)> {
        let decisions = self.balancer.record_end(now, self.ids[upstream], end);
        self.to_choices(decisions)
    }

    fn to_choices(&self, decisions: Vec<QueueDecision>) -> Vec<(usize, Choice)> {
        let choices = decisions.into_iter();
        let choices =
            choices.map(|queued| (queued.number.0 as usize, self.to_choice(queued.decision)));
        choices.collect()
    }

    fn to_choice(&self, decision: Decision) -> Choice {
        match decision {
            Decision::Refuse { retry_after, .. } => Choice::Refuse(retry_after),
            Decision::Send(id) => {
                let index = self.ids.iter().position(|known| *known == id);
                index.map_or(Choice::Refuse(BASELINE_RETRY_DELAY), Choice::Send)
            }
        }
    }
}

impl Baseline {
    fn choose(&mut self) -> usize {
        let count = self.in_flight.len();
        let chosen = match self.policy {
            Policy::LeastInFlight => {
                let start = self.next % count;
                let order = (0..count).map(|index| (start + index) % count);
                order
                    .min_by_key(|index| self.in_flight[*index])
                    .unwrap_or_default()
            }
            Policy::TwoChoices => {
                let first = self.rng.random_range(0..count);
                let second = self.rng.random_range(0..count);
                if self.in_flight[first] <= self.in_flight[second] {
                    first
                } else {
                    second
                }
            }
            Policy::Product | Policy::WithoutLoads | Policy::RoundRobin => self.next % count,
        };
        self.next += 1;
        self.in_flight[chosen] += 1;
        chosen
    }
}

/// Returns the name of a group.
pub(crate) fn group_name(index: usize) -> Arc<str> {
    Arc::from(format!("g{index}"))
}

fn service_name() -> Arc<str> {
    Arc::from("llm")
}

fn upstream_spec(index: usize) -> UpstreamSpec {
    UpstreamSpec {
        id: Arc::from(format!("u{index}")),
        started_at: 1,
        service: service_name(),
        address: ([127, 0, 0, 1], 1_024 + index as u16).into(),
        zone: Arc::from(""),
        slots: RANK_SLOTS as u32,
        draining: false,
        cold_remaining: None,
        group: Some(GroupMembership {
            name: group_name(index / RANKS),
            rank: index % RANKS,
            broken: false,
        }),
    }
}
