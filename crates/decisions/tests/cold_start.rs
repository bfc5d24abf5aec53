//! Cold upstreams: the bound on their requests, and what a gateway that has asked nobody sends.

// Clippy allows `unwrap` in tests only within test functions; this covers the helpers.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_decisions::direct::{
    AllowedRegions, AttemptEnd, Balancer, BalancerSettings, ColdService, Decision, GroupMembership,
    PlacementRequest, RequestNumber, UpstreamSpec,
};
use sardinepin_decisions::{ColdRule, PermitAllocator};

const NOW: Millis = Millis(10_000);

fn spec(id: &str, rank: usize, cold_remaining: Option<u64>) -> UpstreamSpec {
    UpstreamSpec {
        id: Arc::from(id),
        started_at: 1,
        service: Arc::from("llm"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: Arc::from("a"),
        slots: 8,
        draining: false,
        cold_remaining: cold_remaining.map(Millis),
        group: Some(GroupMembership {
            name: Arc::from("g"),
            rank,
            broken: false,
        }),
    }
}

fn placement(now: Millis, number: u64) -> PlacementRequest {
    PlacementRequest {
        number: RequestNumber(number),
        service: Arc::from("llm"),
        priority: 1,
        latency_objective: Millis(500),
        deadline: now + Millis(8_000),
        tried: Vec::new(),
        returning: false,
        is_retry: false,
        organisation: None,
        continues: false,
        regions: AllowedRegions::default(),
    }
}

fn balancer(per_second: f64, specs: &[UpstreamSpec]) -> Balancer {
    let mut balancer = Balancer::new(BalancerSettings::default());
    let service = ColdService {
        per_second,
        duration: Millis(5_000),
    };
    balancer.set_cold_services([(Arc::from("llm"), service)]);
    balancer.replace_upstreams(NOW, specs);
    balancer
}

/// The first request to an upstream that is listed as cold was sent without a permit.
#[test]
fn a_cold_upstream_gets_nothing_without_a_permit_until_it_is_no_longer_cold() {
    let mut balancer = balancer(26.0, &[spec("cold", 0, Some(3_000))]);
    balancer.record_request(NOW, &Arc::from("llm"));
    assert_eq!(balancer.place(NOW, placement(NOW, 1)), None);
    let asks = balancer.permit_asks(NOW);
    assert_eq!(asks.len(), 1);
    let mut agent = PermitAllocator::default();
    let first = agent.handle(NOW, &asks[0].request);
    assert_eq!(first.granted, 0, "the bucket of an agent starts empty");
    balancer.record_permits(NOW, &asks[0], Some(first));
    let later = NOW + Millis(150);
    let asks = balancer.permit_asks(later);
    let grant = agent.handle(later, &asks[0].request);
    let sent = balancer.record_permits(later, &asks[0], Some(grant));
    assert_eq!(sent.len(), 1);
    let id = balancer.upstreams().find_by_name("cold").unwrap();
    balancer.record_end(later, id, AttemptEnd::Served);
    let warm = NOW + Millis(3_000);
    balancer.permit_asks(warm);
    assert!(!balancer.has_limits(), "the cold state has ended");
    let decision = balancer.place(warm, placement(warm, 2));
    assert!(matches!(decision, Some(Decision::Send(_))));
}

/// Nothing changes where a service names no rate, or no upstream is cold.
#[test]
fn nothing_is_asked_without_a_rate_or_a_cold_upstream() {
    for (per_second, remaining) in [(0.0, Some(3_000)), (26.0, Some(0)), (26.0, None)] {
        let mut balancer = balancer(per_second, &[spec("one", 0, remaining)]);
        balancer.record_request(NOW, &Arc::from("llm"));
        let decision = balancer.place(NOW, placement(NOW, 1));
        assert!(matches!(decision, Some(Decision::Send(_))));
        assert!(balancer.permit_asks(NOW).is_empty());
    }
}

/// Gateways that no agent answers would add up: a first request of each would be 390.
#[test]
fn gateways_without_an_agent_send_a_small_part_together() {
    let mut sent = 0;
    for identity in 0..390 {
        let mut balancer = Balancer::new(BalancerSettings {
            identity,
            seed: identity,
            ..BalancerSettings::default()
        });
        let service = ColdService {
            per_second: 26.0,
            duration: Millis(5_000),
        };
        balancer.set_cold_services([(Arc::from("llm"), service)]);
        balancer.replace_upstreams(NOW, &[spec("cold", 0, Some(60_000))]);
        for step in 0..50 {
            let now = NOW + Millis(step * 20);
            balancer.record_request(now, &Arc::from("llm"));
            let placed = balancer.place(now, placement(now, step));
            sent += usize::from(matches!(placed, Some(Decision::Send(_))));
            for ask in balancer.permit_asks(now) {
                let decisions = balancer.record_permits(now, &ask, None);
                let decisions = decisions.iter();
                let of_queue = decisions.filter(|one| matches!(one.decision, Decision::Send(_)));
                sent += of_queue.count();
            }
        }
    }
    assert!(sent <= 13, "{sent} in a second, of which 44 are allowed");
}

/// Another process may be back at the address before the list says so.
#[test]
fn an_upstream_that_appears_and_does_not_say_is_cold() {
    let mut balancer = balancer(26.0, &[spec("one", 0, None)]);
    assert_eq!(
        balancer.count_cold(NOW),
        0,
        "it was there before this gateway"
    );
    let restarted = UpstreamSpec {
        started_at: 2,
        ..spec("one", 0, None)
    };
    balancer.replace_upstreams(
        NOW,
        &[restarted, spec("new", 1, None), spec("warm", 2, Some(0))],
    );
    assert_eq!(balancer.count_cold(NOW), 2);
    assert_eq!(balancer.count_cold(NOW + Millis(5_000)), 0);
}

#[test]
fn permits_are_granted_at_a_rate_that_the_rule_allows() {
    let rule = ColdRule::default();
    let rate = |per_second| rule.permit_rate(per_second).map(|rate| rate.per_second());
    assert_eq!(rate(0.0), None);
    assert_eq!(rate(2.0), Some(2.0));
    assert!((rate(26.0).unwrap() - 43.0 / 1.8).abs() < 0.01);
}
