//! Tests of the limits that upstreams name.

// Clippy allows `unwrap` in tests only within test functions; this covers the helpers.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use assert_matches::assert_matches;
use rand::Rng as _;
use sardinepin_common::{Millis, seeded_rng};
use sardinepin_decisions::direct::{
    AllowedRegions, AttemptEnd, Balancer, BalancerSettings, Decision, GroupMembership,
    PlacementRequest, RequestNumber, UpstreamId, UpstreamSpec,
};
use sardinepin_decisions::{HeardLimit, LimitNotice, PermitAllocator};
use sardinepin_protocol::{
    ErrorKind, GroupLoad, GroupSample, LimitReport, PermitGrant, PermitRequest, RequestRate,
    UpstreamLimit,
};

const NOW: Millis = Millis(10_000);

fn notice(values: &[&str]) -> LimitNotice {
    LimitNotice::from_values(values.iter().map(|value| Some(*value)))
}

fn named(milli: u32) -> LimitNotice {
    LimitNotice::Named(RequestRate(milli))
}

#[test]
fn of_several_limits_in_one_answer_the_lowest_holds() {
    assert_eq!(notice(&[]), LimitNotice::None);
    assert_eq!(notice(&["2"]), named(2_000));
    assert_eq!(notice(&["2", "0.5"]), named(500));
    assert_eq!(notice(&["3, 1"]), named(1_000));
    assert_eq!(notice(&["none", "4"]), named(4_000));
    assert_eq!(notice(&["4", "none"]), named(4_000));
    assert_eq!(notice(&["none"]), LimitNotice::Unreadable);
    assert_eq!(LimitNotice::from_values([None]), LimitNotice::Unreadable);
}

#[test]
fn the_last_sound_limit_holds_until_an_answer_names_none() {
    let mut limit = HeardLimit::default();
    assert!(!limit.record_answer(NOW, NOW, LimitNotice::None));
    assert!(limit.record_answer(NOW, NOW, named(1_000)));
    assert!(!limit.record_answer(NOW + Millis(10), NOW, named(1_000)));
    assert!(!limit.record_answer(NOW + Millis(20), NOW + Millis(15), LimitNotice::Unreadable));
    assert_eq!(limit.rate(), Some(RequestRate(1_000)));
    assert!(limit.record_answer(NOW + Millis(30), NOW + Millis(15), named(0)));
    assert_eq!(limit.rate(), Some(RequestRate(0)));
    let later = NOW + Millis(1_000);
    assert!(limit.record_answer(later, later, LimitNotice::None));
    assert_eq!(limit.rate(), None);
}

/// An answer to a request that was sent before the limit was heard may have been written before it was named.
#[test]
fn an_answer_to_an_earlier_request_does_not_lift_a_limit() {
    let mut limit = HeardLimit::default();
    limit.record_answer(NOW, NOW, named(1_000));
    let overtaken = NOW.since(Millis(1));
    assert!(!limit.record_answer(NOW + Millis(50), overtaken, LimitNotice::None));
    assert_eq!(limit.rate(), Some(RequestRate(1_000)));
}

#[test]
fn of_two_reports_the_later_holds() {
    let mut limit = HeardLimit::default();
    assert!(limit.record_report(NOW, Some(RequestRate(2_000))));
    assert!(!limit.record_report(NOW, None));
    assert!(!limit.record_report(NOW.since(Millis(5)), Some(RequestRate(9_000))));
    assert!(limit.record_report(NOW + Millis(5), None));
    assert_eq!(limit.rate(), None);
    // What was lifted is not taken up again from an older report.
    assert!(!limit.record_report(NOW + Millis(1), Some(RequestRate(2_000))));
}

fn request(gateway: u64, wanted: u16, rate: u32) -> PermitRequest {
    PermitRequest {
        gateway,
        upstream: Arc::from("one"),
        limit: LimitReport {
            started_at: 1,
            rate: Some(RequestRate(rate)),
            age: Millis::ZERO,
            cold: None,
        },
        wanted,
        spare: 0,
        on_way: 0,
    }
}

/// Many gateways ask at random times for as much as they can, and the agent restarts.
#[test]
fn an_agent_grants_no_more_than_the_limit_in_any_window() {
    const WINDOW: Millis = Millis(4_000);
    for (gateways, milli) in [(6, 200), (32, 1_000), (32, 5_000), (390, 50_000)] {
        let mut rng = seeded_rng(gateways);
        let mut allocator = PermitAllocator::default();
        let mut granted: Vec<Millis> = Vec::new();
        let mut now = NOW;
        while now < NOW + Millis(60_000) {
            now = now + Millis(rng.random_range(0..20));
            let one = PermitRequest {
                spare: rng.random_range(0..3),
                ..request(rng.random_range(0..gateways), rng.random_range(0..9), milli)
            };
            let grant = allocator.handle(now, &one);
            granted.extend(std::iter::repeat_n(now, usize::from(grant.granted)));
            if rng.random_bool(0.000_1) {
                allocator = PermitAllocator::default();
            }
        }
        let per_window = f64::from(milli) * 4.0 / 1_000.0;
        let allowed = per_window + (f64::from(milli) / 4_000.0).max(1.0);
        for (position, from) in granted.iter().enumerate() {
            let counted = granted.partition_point(|at| *at < *from + WINDOW) - position;
            assert!(counted as f64 <= allowed + 1e-6, "{counted} of {allowed}");
        }
        let used = granted.len() as f64 / (per_window * 15.0);
        assert!(used > 0.7, "{used} of {milli} used");
    }
}

#[test]
fn an_agent_tells_when_the_next_permit_can_be_had() {
    let mut allocator = PermitAllocator::default();
    let first = allocator.handle(NOW, &request(1, 1, 1_000));
    assert_eq!((first.granted, first.next), (0, Millis(1_000)));
    assert_eq!(first.turn, first.next);
    let second = allocator.handle(NOW + Millis(400), &request(2, 2, 1_000));
    assert_eq!((second.granted, second.next), (0, Millis(600)));
    assert_eq!(second.turn, Millis(2_600), "two gateways want three");
    let third = allocator.handle(NOW + Millis(1_000), &request(1, 1, 1_000));
    assert_eq!(third.granted, 1);
}

/// Requests that were sent before their gateway heard of the limit are counted against it.
#[test]
fn requests_on_their_way_delay_the_first_permits_by_two_seconds_at_most() {
    for (on_way, delay) in [(0, 1_000), (1, 2_000), (200, 3_000)] {
        let mut allocator = PermitAllocator::default();
        let mut first = request(1, 1, 1_000);
        first.on_way = on_way;
        assert_eq!(
            allocator.handle(NOW, &first).next,
            Millis(delay),
            "{on_way}"
        );
    }
}

#[test]
fn spare_permits_are_not_granted_while_requests_wait() {
    let mut allocator = PermitAllocator::default();
    let spare = PermitRequest {
        spare: 1,
        ..request(2, 0, 1_000)
    };
    allocator.handle(NOW, &request(1, 1, 1_000));
    let soon = NOW + Millis(1_000);
    assert_eq!(
        allocator.handle(soon, &spare).granted,
        1,
        "nobody has waited lately"
    );
    allocator.handle(soon, &request(1, 1, 1_000));
    let later = soon + Millis(499);
    assert_eq!(allocator.handle(later, &spare).granted, 0);
    assert_eq!(
        allocator
            .handle(soon + Millis(1_000), &request(1, 1, 1_000))
            .granted,
        1
    );
}

#[test]
fn an_agent_knows_the_limit_of_the_latest_process_and_the_latest_word_only() {
    let mut allocator = PermitAllocator::default();
    allocator.handle(NOW, &request(1, 1, 1_000));
    let mut restarted = request(2, 3, 1_000);
    restarted.limit.started_at = 2;
    restarted.limit.rate = None;
    let grant = allocator.handle(NOW, &restarted);
    assert_eq!((grant.granted, grant.limit.rate), (3, None));
    let mut older = request(3, 1, 7_000);
    older.limit.started_at = 2;
    older.limit.age = Millis(500);
    let grant = allocator.handle(NOW + Millis(400), &older);
    assert_eq!(grant.limit.rate, None, "heard before it was lifted");
    older.limit.age = Millis(100);
    let grant = allocator.handle(NOW + Millis(400), &older);
    assert_eq!(grant.limit.rate, Some(RequestRate(7_000)));
}

fn spec(id: &str, group: Option<usize>) -> UpstreamSpec {
    UpstreamSpec {
        id: Arc::from(id),
        started_at: 1,
        service: Arc::from("llm"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: Arc::from("a"),
        slots: 8,
        draining: false,
        cold_remaining: None,
        group: group.map(|rank| GroupMembership {
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
        regions: AllowedRegions::default(),
        returning: false,
        is_retry: false,
        organisation: None,
        continues: false,
    }
}

fn balancer(specs: &[UpstreamSpec]) -> Balancer {
    let mut balancer = Balancer::new(BalancerSettings::default());
    balancer.replace_upstreams(NOW, specs);
    balancer
}

fn limit(balancer: &mut Balancer, name: &str, milli: u32) -> UpstreamId {
    let id = balancer.upstreams().find_by_name(name).unwrap();
    assert!(balancer.record_limit(NOW, id, NOW, named(milli)));
    id
}

fn grant(granted: u16, next: u64, rate: Option<u32>) -> PermitGrant {
    PermitGrant {
        granted,
        limit: LimitReport {
            started_at: 1,
            rate: rate.map(RequestRate),
            age: Millis::ZERO,
            cold: None,
        },
        next: Millis(next),
        turn: Millis(next),
    }
}

#[test]
fn a_limited_upstream_gets_a_request_for_each_permit_and_others_get_the_rest() {
    let mut balancer = balancer(&[spec("limited", Some(0)), spec("other", Some(1))]);
    let limited = limit(&mut balancer, "limited", 1_000);
    balancer.record_request(NOW, &Arc::from("llm"));
    let asks = balancer.permit_asks(NOW);
    assert_eq!(asks.len(), 1);
    assert_eq!((asks[0].request.wanted, asks[0].request.spare), (0, 1));
    assert!(
        balancer.permit_asks(NOW).is_empty(),
        "one request at a time"
    );
    balancer.record_permits(NOW, &asks[0], Some(grant(1, 1_000, Some(1_000))));
    let sent = (1..=6).map(|number| match balancer.place(NOW, placement(NOW, number)) {
        Some(Decision::Send(id)) => id,
        other => panic!("not sent: {other:?}"),
    });
    let sent: Vec<UpstreamId> = sent.collect();
    assert_eq!(
        sent.iter().filter(|id| **id == limited).count(),
        1,
        "{sent:?}"
    );
}

#[test]
fn a_permit_that_is_not_used_at_once_expires() {
    let mut balancer = balancer(&[spec("limited", Some(0))]);
    limit(&mut balancer, "limited", 1_000);
    assert_eq!(balancer.place(NOW, placement(NOW, 1)), None);
    let asks = balancer.permit_asks(NOW);
    assert_eq!(asks[0].request.wanted, 1);
    balancer.withdraw(NOW, &Arc::from("llm"), RequestNumber(1));
    balancer.record_permits(NOW, &asks[0], Some(grant(1, 1_000, Some(1_000))));
    let late = NOW + Millis(300);
    let decision = balancer.place(late, placement(late, 2));
    assert_matches!(decision, Some(Decision::Refuse { .. }));
}

#[test]
fn what_no_limit_allows_in_time_is_refused_at_once_with_the_time_of_its_turn() {
    let mut balancer = balancer(&[spec("limited", Some(0))]);
    limit(&mut balancer, "limited", 1_000);
    assert_eq!(balancer.place(NOW, placement(NOW, 1)), None);
    let asks = balancer.permit_asks(NOW);
    let soon = NOW + Millis(3);
    let decisions = balancer.record_permits(soon, &asks[0], Some(grant(0, 900, Some(1_000))));
    let refused = |decision| {
        assert_matches!(decision, Decision::Refuse { kind, retry_after, counts } => {
            assert_eq!(kind, ErrorKind::UpstreamLimited);
            assert!((900..=1_000).contains(&retry_after.0), "{retry_after}");
            assert_eq!((counts.limited, counts.usable), (1, 0));
        });
    };
    assert_eq!(decisions.len(), 1);
    refused(decisions[0].decision);
    refused(balancer.place(soon, placement(soon, 2)).unwrap());
    // Close to the turn a request waits for it.
    let near = soon + Millis(700);
    assert_eq!(balancer.place(near, placement(near, 3)), None);
    let turn = soon + Millis(900);
    let asks = balancer.permit_asks(turn);
    let decisions = balancer.record_permits(turn, &asks[0], Some(grant(1, 1_000, Some(1_000))));
    assert_matches!(decisions[0].decision, Decision::Send(_));
}

#[test]
fn a_new_process_with_the_same_identifier_has_named_no_limit() {
    let mut balancer = balancer(&[spec("limited", Some(0))]);
    limit(&mut balancer, "limited", 1_000);
    let mut restarted = spec("limited", Some(0));
    restarted.started_at = 2;
    balancer.replace_upstreams(NOW, &[restarted]);
    assert_matches!(
        balancer.place(NOW, placement(NOW, 1)),
        Some(Decision::Send(_))
    );
    assert!(!balancer.has_limits());
}

#[test]
fn a_lifted_limit_is_told_to_the_agent_and_a_reported_one_is_taken_up() {
    let mut balancer = balancer(&[spec("limited", Some(0))]);
    let id = limit(&mut balancer, "limited", 1_000);
    let asks = balancer.permit_asks(NOW);
    balancer.record_permits(NOW, &asks[0], Some(grant(0, 900, Some(1_000))));
    let later = NOW + Millis(50);
    assert!(balancer.record_limit(later, id, later, LimitNotice::None));
    let asks = balancer.permit_asks(later);
    assert_eq!(
        (asks[0].request.limit.rate, asks[0].request.wanted),
        (None, 0)
    );
    balancer.record_permits(later, &asks[0], Some(grant(0, 0, None)));
    assert!(!balancer.has_limits());
    // Another gateway has heard of a limit, and agents pass it on.
    let sample = GroupSample {
        limits: vec![UpstreamLimit {
            upstream: Arc::from("limited"),
            limit: LimitReport {
                started_at: 1,
                rate: Some(RequestRate(2_000)),
                age: Millis(10),
                cold: None,
            },
        }],
        ..GroupSample::default()
    };
    let load = GroupLoad {
        group: Arc::from("g"),
        epoch: 0,
        open: true,
        step: 1,
        sample: Some((Millis(20), sample)),
    };
    balancer.record_group_load(later + Millis(100), &load);
    let upstream = balancer.upstreams().get(id).unwrap();
    assert_eq!(upstream.named_limit(), Some(RequestRate(2_000)));
}

/// While no agent replies, gateways take turns: together a part of the limit, without a word between them.
#[test]
fn gateways_without_agents_take_turns_within_the_limit() {
    for (gateways, milli) in [(6_u32, 1_000), (32, 5_000), (390, 50_000), (390, 1_000)] {
        let mut sent: Vec<Millis> = Vec::new();
        let mut nodes: Vec<Balancer> = (0..gateways)
            .map(|index| {
                let mut node = Balancer::new(BalancerSettings {
                    identity: u64::from(index),
                    seed: u64::from(index),
                    ..BalancerSettings::default()
                });
                node.replace_upstreams(NOW, &[spec("alone", None)]);
                node.record_group_load(NOW, &count_report(gateways));
                let known = NOW + Millis(1_000);
                node.record_group_load(known, &count_report(gateways));
                limit(&mut node, "alone", milli);
                node
            })
            .collect();
        let began = NOW + Millis(1_000);
        for tick in 0..1_500 {
            let now = began + Millis(tick * 20);
            for (index, node) in nodes.iter_mut().enumerate() {
                let number = tick * 1_000 + index as u64;
                let mut decisions: Vec<Decision> = Vec::new();
                decisions.extend(node.place(now, placement(now, number)));
                for ask in node.permit_asks(now) {
                    assert_eq!(ask.agent, None);
                    let later = node.record_permits(now, &ask, None);
                    decisions.extend(later.iter().map(|one| one.decision));
                }
                let later = node.process_queues(now);
                decisions.extend(later.iter().map(|one| one.decision));
                for decision in decisions {
                    if let Decision::Send(id) = decision {
                        sent.push(now);
                        node.record_end(now, id, AttemptEnd::Served);
                    }
                }
            }
        }
        let allowed = 1.5 * f64::from(milli) * 4.0 / 1_000.0 + 5.0;
        for (position, from) in sent.iter().enumerate() {
            let counted = sent.partition_point(|at| *at <= *from + Millis(4_000)) - position;
            assert!(
                counted as f64 <= allowed,
                "{counted} of {allowed} at {gateways}"
            );
        }
        assert!(!sent.is_empty(), "{gateways} gateways, {milli}");
    }
}

fn count_report(gateways: u32) -> GroupLoad {
    GroupLoad {
        group: Arc::from("g"),
        epoch: 0,
        open: true,
        step: 1,
        sample: Some((
            Millis::ZERO,
            GroupSample {
                gateways,
                ..GroupSample::default()
            },
        )),
    }
}

/// An earlier process with requests in flight kept its limit, and could get requests through permits that were left.
#[test]
fn nothing_of_the_limit_of_an_earlier_process_is_kept_while_it_has_requests_in_flight() {
    let mut balancer = balancer(&[spec("one", Some(0))]);
    let earlier = limit(&mut balancer, "one", 1_000);
    balancer.record_request(NOW, &Arc::from("llm"));
    let asks = balancer.permit_asks(NOW);
    balancer.place(NOW, placement(NOW, 1));
    let asks = match asks.is_empty() {
        true => balancer.permit_asks(NOW),
        false => asks,
    };
    let sent = balancer.record_permits(NOW, &asks[0], Some(grant(2, 0, Some(1_000))));
    assert_eq!(
        sent.len(),
        1,
        "one request is in flight, and one permit is left"
    );
    let restarted = UpstreamSpec {
        started_at: 2,
        ..spec("one", Some(0))
    };
    balancer.replace_upstreams(NOW, std::slice::from_ref(&restarted));
    let later = balancer.upstreams().find_by_name("one").unwrap();
    assert_ne!(later, earlier);
    assert!(!balancer.has_limits());
    for number in 2..6 {
        let decision = balancer.place(NOW, placement(NOW, number));
        assert_eq!(decision, Some(Decision::Send(later)));
    }
    balancer.record_limit(NOW, earlier, NOW, named(3_000));
    assert!(!balancer.has_limits(), "an answer of the earlier process");
}

/// The wall clock of an instance may have been set back before its upstream restarted.
#[test]
fn an_agent_follows_a_process_whose_start_is_lower() {
    let mut allocator = PermitAllocator::default();
    let mut later = request(1, 1, 1_000);
    later.limit.started_at = 9;
    allocator.handle(NOW, &later);
    let lower = request(1, 1, 3_000);
    let grant = allocator.handle(NOW + Millis(500), &lower);
    assert_eq!(
        grant.limit.started_at, 9,
        "a gateway that has not heard of the later process"
    );
    let grant = allocator.handle(NOW + Millis(1_600), &lower);
    assert_eq!(
        (grant.limit.started_at, grant.granted),
        (1, 0),
        "starts with nothing"
    );
}
