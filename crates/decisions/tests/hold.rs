//! Tests of the requests that are held while a rank group is out, without I/O.

// Clippy allows `unwrap` in tests only within test functions; this covers the helpers.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use assert_matches::assert_matches;
use sardinepin_common::Millis;
use sardinepin_decisions::direct::{
    AllowedRegions, Balancer, BalancerSettings, Decision, GroupMembership, PlacementRequest,
    Policy, QueueDecision, RequestNumber, UpstreamSpec,
};
use sardinepin_protocol::{ErrorKind, GroupLoad};

const START: Millis = Millis(10_000);

/// The time budget of a caller.
const BUDGET: Millis = Millis(8_000);

/// The time after its first attempt at which a caller that was refused comes back.
const RETURN_DELAY: Millis = Millis(2_600);

/// The length of a queue.
const QUEUE_MAX: usize = 8;

fn balancer(policy: Policy) -> Balancer {
    let mut balancer = Balancer::new(BalancerSettings {
        zone: "a".to_owned(),
        queue_max: QUEUE_MAX,
        policy,
        ..BalancerSettings::default()
    });
    let ranks = (0..2).map(|rank| UpstreamSpec {
        id: Arc::from(format!("rank-{rank}")),
        started_at: 1,
        service: Arc::from("llm"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: Arc::from("a"),
        slots: 2,
        draining: false,
        cold_remaining: None,
        group: Some(GroupMembership {
            name: Arc::from("g"),
            rank,
            broken: false,
        }),
    });
    balancer.replace_upstreams(START, &ranks.collect::<Vec<_>>());
    balancer
}

/// Reports that the group takes requests or does not.
fn report(balancer: &mut Balancer, now: Millis, open: bool) -> Vec<QueueDecision> {
    let load = GroupLoad {
        group: Arc::from("g"),
        epoch: if open { 2 } else { 1 },
        open,
        step: now.0,
        sample: None,
    };
    balancer.record_group_load(now, &load)
}

fn first_attempt(now: Millis, number: u64) -> PlacementRequest {
    PlacementRequest {
        number: RequestNumber(number),
        service: Arc::from("llm"),
        priority: 1,
        latency_objective: Millis(400),
        deadline: now + BUDGET,
        tried: Vec::new(),
        regions: AllowedRegions::default(),
        returning: false,
        is_retry: false,
        organisation: None,
        continues: false,
    }
}

/// Returns the request of a caller that was refused `RETURN_DELAY` ago.
fn returning(now: Millis, number: u64) -> PlacementRequest {
    PlacementRequest {
        deadline: now + BUDGET - RETURN_DELAY,
        returning: true,
        ..first_attempt(now, number)
    }
}

fn refusal(kind: ErrorKind) -> impl Fn(&Decision) -> bool {
    move |decision| matches!(decision, Decision::Refuse { kind: found, .. } if *found == kind)
}

/// A caller that came back into the same outage was refused for the second and last time.
#[test]
fn returning_request_is_held_through_an_outage_and_sent_when_the_group_is_back() {
    let mut balancer = balancer(Policy::default());
    report(&mut balancer, START, false);
    let first = balancer.place(START, first_attempt(START, 1)).unwrap();
    assert!(refusal(ErrorKind::NoUpstream)(&first));
    let returned = START + RETURN_DELAY;
    report(&mut balancer, returned, false);
    assert_eq!(balancer.place(returned, returning(returned, 2)), None);
    let later = returned + Millis(2_000);
    assert_eq!(report(&mut balancer, later, false), Vec::new());
    let decisions = report(&mut balancer, later + Millis(100), true);
    assert_eq!(decisions.len(), 1);
    assert_matches!(decisions[0].decision, Decision::Send(_));
}

/// A request that starts too late uses places of the group until its deadline and is lost all the same.
#[test]
fn held_request_is_refused_once_it_could_not_end_before_its_deadline() {
    let mut balancer = balancer(Policy::default());
    for _ in 0..100 {
        balancer.record_service_time(&Arc::from("llm"), Millis(1_500));
    }
    report(&mut balancer, START, false);
    assert_eq!(balancer.place(START, returning(START, 1)), None);
    let latest = START + BUDGET - RETURN_DELAY - Millis(1_500);
    report(&mut balancer, latest - Millis(100), false);
    assert_eq!(balancer.process_queues(latest - Millis(100)), Vec::new());
    let decisions = balancer.process_queues(latest);
    assert_eq!(decisions.len(), 1);
    assert!(refusal(ErrorKind::NoUpstream)(&decisions[0].decision));
    let hopeless = PlacementRequest {
        deadline: latest + Millis(1_400),
        ..returning(latest, 2)
    };
    let decision = balancer.place(latest, hopeless).unwrap();
    assert!(refusal(ErrorKind::NoUpstream)(&decision));
}

/// No outage ends the wait of a request that every usable upstream has already been tried for.
#[test]
fn request_that_was_sent_to_all_usable_upstreams_is_not_held() {
    let mut balancer = balancer(Policy::default());
    report(&mut balancer, START, true);
    let mut request = returning(START, 1);
    for attempt in 0..2 {
        let decision = balancer.place(START, request.clone()).unwrap();
        let Decision::Send(id) = decision else {
            panic!("attempt {attempt} was not sent: {decision:?}");
        };
        request.tried.push(id);
    }
    let decision = balancer.place(START, request).unwrap();
    assert!(refusal(ErrorKind::NoUpstream)(&decision));
}

/// Callers that had left before the hold ended never learnt that their requests did not run.
#[test]
fn held_request_is_refused_before_its_caller_would_leave() {
    let mut balancer = balancer(Policy::default());
    for waited in [2_000, 2_001, 150, 2_000] {
        balancer.record_departure(Millis(waited));
    }
    report(&mut balancer, START, false);
    assert_eq!(balancer.place(START, returning(START, 1)), None);
    report(&mut balancer, START + Millis(1_700), false);
    assert_eq!(balancer.process_queues(START + Millis(1_700)), Vec::new());
    let decisions = balancer.process_queues(START + Millis(1_900));
    assert_eq!(decisions.len(), 1);
    assert!(refusal(ErrorKind::NoUpstream)(&decisions[0].decision));
}

/// Held requests that took all places of a queue would keep out new ones, which can still be on time.
#[test]
fn held_requests_leave_room_in_the_queue_and_go_after_new_ones() {
    let mut balancer = balancer(Policy::default());
    report(&mut balancer, START, false);
    let held = (0..QUEUE_MAX as u64).map(|number| returning(START, number));
    let decisions: Vec<_> = held.map(|request| balancer.place(START, request)).collect();
    let refused = decisions.iter().flatten();
    assert_eq!(refused.count(), QUEUE_MAX / 2);
    report(&mut balancer, START + Millis(50), true);
    let sent = START + Millis(60);
    for number in 0..QUEUE_MAX as u64 / 2 {
        let decision = balancer.place(sent, first_attempt(sent, 100 + number));
        assert_matches!(decision, None | Some(Decision::Send(_)));
    }
}

/// Callers of a service without rank groups are told at once, as its upstreams come back one by one.
#[test]
fn requests_to_a_service_without_groups_are_not_held() {
    let mut balancer = Balancer::new(BalancerSettings::default());
    let decision = balancer.place(START, returning(START, 1)).unwrap();
    assert!(refusal(ErrorKind::NoUpstream)(&decision));
}

/// A gateway that stops takes no held requests into its last seconds.
#[test]
fn held_requests_are_refused_at_once_when_the_gateway_stops() {
    let mut balancer = balancer(Policy::default());
    report(&mut balancer, START, false);
    assert_eq!(balancer.place(START, returning(START, 1)), None);
    let decisions = balancer.stop_holding(START + Millis(10));
    assert_eq!(decisions.len(), 1);
    assert!(refusal(ErrorKind::NoUpstream)(&decisions[0].decision));
    let now = START + Millis(20);
    let decision = balancer.place(now, returning(now, 2)).unwrap();
    assert!(refusal(ErrorKind::NoUpstream)(&decision));
}

/// A caller that leaves gives its place in the queue back.
#[test]
fn held_request_whose_caller_leaves_is_forgotten() {
    let mut balancer = balancer(Policy::default());
    report(&mut balancer, START, false);
    assert_eq!(balancer.place(START, returning(START, 1)), None);
    balancer.withdraw(START + Millis(10), &Arc::from("llm"), RequestNumber(1));
    assert_eq!(report(&mut balancer, START + Millis(100), true), Vec::new());
}
