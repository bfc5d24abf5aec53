//! What each gateway does with a call: the product's balance, and plain policies beside it.

use std::sync::Arc;

use rand::Rng as _;
use rand::seq::SliceRandom;
use sardinepin_common::{Millis, Rng, seeded_rng};
use sardinepin_gateway::{
    AttemptEnd, Balancer, BalancerSettings, Decision, GroupMembership, LoadReport,
    PlacementRequest, QueueDecision, RequestNumber, UpstreamId, UpstreamSpec,
};

use crate::fleet::engine::{RANKS, SLOTS};

/// When a plain policy asks refused callers back.
const PLAIN_RETRY: Millis = Millis(1_000);

/// The objective for the first event.
pub(crate) const OBJECTIVE: Millis = Millis(400);

/// A way to place calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The product's own.
    Product,
    /// Each upstream in turn.
    RoundRobin,
    /// The upstream with fewest calls of this gateway in flight.
    LeastInFlight,
    /// The better of two drawn ones.
    TwoChoices,
}

/// Every policy.
pub(crate) const POLICIES: [Policy; 4] = [
    Policy::Product,
    Policy::RoundRobin,
    Policy::LeastInFlight,
    Policy::TwoChoices,
];

impl Policy {
    /// Returns the name in reports.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::RoundRobin => "round_robin",
            Self::LeastInFlight => "least_in_flight",
            Self::TwoChoices => "two_choices",
        }
    }
}

/// What becomes of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Choice {
    /// It goes to an upstream.
    Send(usize),
    /// Its caller is asked to come back.
    Refuse(Millis),
}

/// One gateway.
#[derive(Debug)]
pub(crate) enum Gateway {
    Product(Box<Product>),
    Plain(Box<Plain>),
}

/// The product's balance; upstreams are numbered by their place in the list.
#[derive(Debug)]
pub(crate) struct Product {
    balance: Balancer,
    ids: Vec<UpstreamId>,
}

/// A policy without state but calls in flight.
#[derive(Debug)]
pub(crate) struct Plain {
    policy: Policy,
    own: Vec<usize>,
    next: usize,
    rng: Rng,
}

impl Gateway {
    pub(crate) fn new(policy: Policy, at: usize, groups: usize) -> Self {
        if policy != Policy::Product {
            return Self::Plain(Box::new(Plain {
                policy,
                own: vec![0; groups * RANKS],
                next: at,
                rng: seeded_rng(at as u64),
            }));
        }
        let mut balance = Balancer::new(BalancerSettings {
            seed: at as u64,
            ..BalancerSettings::default()
        });
        let count = groups * RANKS;
        // Each gateway has the upstreams in an order of its own.
        let mut order: Vec<usize> = (0..count).collect();
        order.shuffle(&mut seeded_rng(at as u64));
        let specs: Vec<UpstreamSpec> = order.into_iter().map(spec).collect();
        balance.replace_upstreams(Millis::ZERO, &specs);
        let ids = (0..count).filter_map(|at| balance.upstreams().find_by_name(&spec(at).id));
        let ids = ids.collect();
        Self::Product(Box::new(Product { balance, ids }))
    }

    /// Decides over an attempt; `None` means that it waits.
    pub(crate) fn choose(&mut self, now: Millis, attempt: usize, end: Millis) -> Option<Choice> {
        match self {
            Self::Product(product) => product.choose(now, attempt, end),
            Self::Plain(plain) => Some(Choice::Send(plain.choose())),
        }
    }

    /// Takes in how an attempt ended; returns the attempts that this decides over.
    pub(crate) fn ended(
        &mut self,
        now: Millis,
        upstream: usize,
        ending: AttemptEnd,
    ) -> Vec<(usize, Choice)> {
        match self {
            Self::Product(product) => product.ended(now, upstream, ending),
            Self::Plain(plain) => {
                plain.own[upstream] -= 1;
                Vec::new()
            }
        }
    }

    /// Counts a sign of life of an upstream.
    pub(crate) fn progressed(&mut self, now: Millis, upstream: usize) {
        if let Self::Product(product) = self {
            product.balance.record_progress(now, product.ids[upstream]);
        }
    }

    /// Takes in the load that an upstream reports with the head of an answer.
    pub(crate) fn reported(&mut self, now: Millis, upstream: usize, report: LoadReport) {
        if let Self::Product(product) = self {
            let id = product.ids[upstream];
            product.balance.record_load(now, id, report);
        }
    }

    /// Decides over what waits.
    pub(crate) fn tick(&mut self, now: Millis) -> Vec<(usize, Choice)> {
        match self {
            Self::Product(product) => {
                let decided = product.balance.process_queues(now);
                product.choices(decided)
            }
            Self::Plain(_) => Vec::new(),
        }
    }

    /// Returns when the caller of an attempt that did not run is asked back.
    pub(crate) fn come_back(&mut self) -> Millis {
        match self {
            Self::Product(product) => product.balance.retry_delay(),
            Self::Plain(_) => PLAIN_RETRY,
        }
    }
}

impl Product {
    fn choose(&mut self, now: Millis, attempt: usize, end: Millis) -> Option<Choice> {
        let verdict = self.balance.place(
            now,
            PlacementRequest {
                number: RequestNumber(attempt as u64),
                service: service(),
                priority: 1,
                latency_objective: OBJECTIVE,
                deadline: end,
                tried: Vec::new(),
            },
        )?;
        Some(self.choice(verdict))
    }

    fn ended(&mut self, now: Millis, upstream: usize, ending: AttemptEnd) -> Vec<(usize, Choice)> {
        let decided = self.balance.record_end(now, self.ids[upstream], ending);
        self.choices(decided)
    }

    fn choices(&self, decided: Vec<QueueDecision>) -> Vec<(usize, Choice)> {
        let choices = decided.into_iter();
        let choices = choices.map(|one| (one.number.0 as usize, self.choice(one.decision)));
        choices.collect()
    }

    fn choice(&self, verdict: Decision) -> Choice {
        match verdict {
            Decision::Refuse { retry_after, .. } => Choice::Refuse(retry_after),
            Decision::Send(id) => {
                let at = self.ids.iter().position(|one| *one == id);
                at.map_or(Choice::Refuse(PLAIN_RETRY), Choice::Send)
            }
        }
    }
}

impl Plain {
    fn choose(&mut self) -> usize {
        let count = self.own.len();
        let chosen = match self.policy {
            Policy::LeastInFlight => {
                let first = self.next % count;
                let order = (0..count).map(|at| (first + at) % count);
                order.min_by_key(|at| self.own[*at]).unwrap_or_default()
            }
            Policy::TwoChoices => {
                let one = self.rng.random_range(0..count);
                let other = self.rng.random_range(0..count);
                if self.own[one] <= self.own[other] {
                    one
                } else {
                    other
                }
            }
            Policy::Product | Policy::RoundRobin => self.next % count,
        };
        self.next += 1;
        self.own[chosen] += 1;
        chosen
    }
}

fn service() -> Arc<str> {
    Arc::from("llm")
}

fn spec(at: usize) -> UpstreamSpec {
    UpstreamSpec {
        id: Arc::from(format!("u{at}")),
        started_at: 1,
        service: service(),
        address: ([127, 0, 0, 1], 1_024 + at as u16).into(),
        zone: Arc::from(""),
        slots: SLOTS as u32,
        draining: false,
        group: Some(GroupMembership {
            name: Arc::from(format!("g{}", at / RANKS)),
            rank: at % RANKS,
            broken: false,
        }),
    }
}
