//! Tests of requests that later ones to the same rank group have overtaken, without I/O.

// Clippy allows `unwrap` in tests only within test functions; this covers the helpers.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_decisions::BudgetSettings;
use sardinepin_decisions::direct::{
    AllowedRegions, Balancer, BalancerSettings, Decision, GroupMembership, PlacementRequest,
    Policy, RequestNumber, UpstreamId, UpstreamSpec,
};

const START: Millis = Millis(10_000);

const OBJECTIVE: Millis = Millis(400);

/// The time between two requests.
const INTERVAL: Millis = Millis(50);

const RANKS: usize = 8;

fn balancer(policy: Policy, budget: BudgetSettings) -> Balancer {
    let mut balancer = Balancer::new(BalancerSettings {
        zone: "a".to_owned(),
        retry_budget: budget,
        policy,
        ..BalancerSettings::default()
    });
    let ranks = (0..RANKS).map(|rank| UpstreamSpec {
        id: Arc::from(format!("rank-{rank}")),
        started_at: 1,
        service: Arc::from("llm"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: Arc::from("a"),
        slots: 10,
        draining: false,
        cold_remaining: None,
        group: Some(GroupMembership {
            name: Arc::from("g"),
            rank,
            broken: false,
        }),
    });
    balancer.replace_upstreams(START, &ranks.collect::<Vec<_>>());
    balancer.record_request(START, &Arc::from("llm"));
    balancer
}

fn plentiful() -> BudgetSettings {
    BudgetSettings {
        ratio: 1.0,
        shared_slack: 10_000.0,
        ..BudgetSettings::default()
    }
}

fn send(balancer: &mut Balancer, now: Millis, number: u64) -> UpstreamId {
    let request = PlacementRequest {
        number: RequestNumber(number),
        service: Arc::from("llm"),
        priority: 1,
        latency_objective: OBJECTIVE,
        deadline: now + Millis(8_000),
        tried: Vec::new(),
        regions: AllowedRegions::default(),
        returning: false,
        is_retry: false,
        organisation: None,
        continues: false,
    };
    match balancer.place(now, request) {
        Some(Decision::Send(id)) => id,
        other => panic!("not sent: {other:?}"),
    }
}

/// Sends a request that stays unanswered and `later` ones that are answered.
fn overtake(balancer: &mut Balancer, later: u64) -> UpstreamId {
    let silent = send(balancer, START, 0);
    for number in 1..=later {
        let sent_at = START + Millis(INTERVAL.0 * number);
        let id = send(balancer, sent_at, number);
        balancer.record_answer(id, sent_at);
    }
    silent
}

/// A rank that hung kept each of its requests until the caller left.
#[test]
fn request_that_later_ones_have_overtaken_moves_once_its_objective_has_passed() {
    let mut balancer = balancer(Policy::default(), plentiful());
    let silent = overtake(&mut balancer, 6);
    let before = START + OBJECTIVE - Millis(1);
    assert!(!balancer.is_overtaken(before, silent, START, OBJECTIVE));
    assert!(balancer.is_overtaken(START + OBJECTIVE, silent, START, OBJECTIVE));
}

/// Moving requests when the whole group is slow would only add to its load.
#[test]
fn request_that_waits_like_all_others_stays() {
    let mut balancer = balancer(Policy::default(), plentiful());
    let earlier = START - INTERVAL;
    for number in 100..110 {
        let id = send(&mut balancer, earlier, number);
        balancer.record_answer(id, earlier);
    }
    let silent = overtake(&mut balancer, 2);
    assert!(!balancer.is_overtaken(START + Millis(2_000), silent, START, OBJECTIVE));
}

/// All senders together may make only so many retries.
#[test]
fn overtaken_request_stays_without_a_retry_in_the_budget() {
    let scarce = BudgetSettings {
        ratio: 0.0,
        shared_slack: 0.0,
        ..BudgetSettings::default()
    };
    let mut balancer = balancer(Policy::default(), scarce);
    let silent = overtake(&mut balancer, 6);
    let now = START + OBJECTIVE;
    while balancer.try_reserve_retry(now, &Arc::from("llm")) {}
    assert!(!balancer.is_overtaken(now, silent, START, OBJECTIVE));
}

#[test]
fn overtaken_request_stays_if_the_policy_says_so() {
    let policy = Policy {
        moves_overtaken: false,
        ..Policy::default()
    };
    let mut balancer = balancer(policy, plentiful());
    let silent = overtake(&mut balancer, 6);
    assert!(!balancer.is_overtaken(START + OBJECTIVE, silent, START, OBJECTIVE));
}
