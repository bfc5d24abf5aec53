//! The decisions of a gateway, without I/O: placing, waiting, refusing, retries and groups.

// The helpers of a test file are part of its tests.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use assert_matches::assert_matches;
use sardinepin_common::Millis;
use sardinepin_gateway::{
    AttemptOutcome, Balancer, BalancerSettings, BudgetSettings, Decision, GroupMembership,
    LoadReport, PlacementRequest, RequestNumber, RetryBudget, UpstreamCounts, UpstreamId,
    UpstreamSpec,
};
use sardinepin_protocol::ErrorKind;

const NOW: Millis = Millis(10_000);

fn spec(id: &str, zone: &str, group: Option<&str>) -> UpstreamSpec {
    UpstreamSpec {
        id: Arc::from(id),
        started_at: 1,
        service: Arc::from("llm"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: Arc::from(zone),
        slots: 2,
        draining: false,
        group: group.map(|name| GroupMembership {
            name: Arc::from(name),
            rank: 0,
            broken: false,
        }),
    }
}

fn balance(specs: &[UpstreamSpec]) -> Balancer {
    let mut balance = Balancer::new(BalancerSettings {
        zone: "a".to_owned(),
        ..BalancerSettings::default()
    });
    balance.replace_upstreams(NOW, specs);
    balance
}

fn demand(ticket: u64, priority: u8) -> PlacementRequest {
    PlacementRequest {
        number: RequestNumber(ticket),
        service: Arc::from("llm"),
        priority,
        latency_objective: Millis(400),
        deadline: NOW + Millis(8_000),
        tried: Vec::new(),
    }
}

fn sent(verdict: Option<Decision>) -> UpstreamId {
    match verdict {
        Some(Decision::Send(id)) => id,
        other => panic!("not sent: {other:?}"),
    }
}

fn name_of(balance: &Balancer, id: UpstreamId) -> String {
    balance.upstreams().get(id).unwrap().spec.id.to_string()
}

#[test]
fn requests_spread_over_upstreams_and_prefer_the_own_zone() {
    let mut balance = balance(&[spec("near", "a", None), spec("far", "b", None)]);
    let first = sent(balance.place(NOW, demand(1, 1)));
    let second = sent(balance.place(NOW, demand(2, 1)));
    assert_eq!(name_of(&balance, first), "near");
    assert_eq!(name_of(&balance, second), "far");
}

#[test]
fn a_burst_waits_for_room_in_order_of_rank_and_is_refused_when_it_has_waited() {
    let mut balance = balance(&[spec("one", "a", None)]);
    let first = sent(balance.place(NOW, demand(1, 1)));
    sent(balance.place(NOW, demand(2, 1)));
    assert_eq!(balance.place(NOW, demand(3, 5)), None);
    assert_eq!(balance.place(NOW, demand(4, 1)), None);
    let decided = balance.record_end(NOW + Millis(10), first, AttemptOutcome::Served);
    assert_eq!(decided.len(), 1);
    assert_eq!(decided[0].number, RequestNumber(4));
    let decided = balance.process_queues(NOW + Millis(400));
    assert_eq!(decided.len(), 1);
    assert_eq!(decided[0].number, RequestNumber(3));
    assert_matches!(
        decided[0].decision,
        Decision::Refuse { kind: ErrorKind::TooLate, retry_after, counts }
            if retry_after > Millis::ZERO && counts.usable == 1
    );
}

#[test]
fn what_can_never_be_served_is_refused_at_once() {
    let mut balance = balance(&[]);
    let verdict = balance.place(NOW, demand(1, 1));
    assert_matches!(
        verdict,
        Some(Decision::Refuse {
            kind: ErrorKind::NoUpstream,
            ..
        })
    );
}

#[test]
fn a_full_queue_refuses_at_once() {
    let mut balance = Balancer::new(BalancerSettings {
        queue_max: 1,
        ..BalancerSettings::default()
    });
    balance.replace_upstreams(NOW, &[spec("one", "a", None)]);
    sent(balance.place(NOW, demand(1, 1)));
    sent(balance.place(NOW, demand(2, 1)));
    assert_eq!(balance.place(NOW, demand(3, 1)), None);
    let verdict = balance.place(NOW, demand(4, 1));
    assert_matches!(
        verdict,
        Some(Decision::Refuse {
            kind: ErrorKind::QueueFull,
            ..
        })
    );
}

#[test]
fn refused_callers_come_back_spread_over_time() {
    let mut balance = balance(&[]);
    let times: Vec<Millis> = (0..200).map(|_| balance.retry_delay()).collect();
    let (least, most) = (times.iter().min().unwrap(), times.iter().max().unwrap());
    assert!(most.since(*least) > Millis(500), "{least} to {most}");
}

#[test]
fn the_load_of_others_counts_until_it_is_old() {
    let mut balance = balance(&[spec("near", "a", None), spec("far", "b", None)]);
    let near = balance.upstreams().find_by_name("near").unwrap();
    let full = LoadReport {
        running: 2,
        waiting: 0,
    };
    balance.record_load(NOW, near, full);
    let id = sent(balance.place(NOW, demand(1, 1)));
    assert_eq!(name_of(&balance, id), "far");
    let later = NOW + Millis(20_000);
    let id = sent(balance.place(later, demand(2, 1)));
    assert_eq!(name_of(&balance, id), "near");
}

#[test]
fn an_upstream_that_started_anew_is_another_one() {
    let mut anew = spec("one", "a", None);
    let mut balance = balance(&[anew.clone()]);
    let before = sent(balance.place(NOW, demand(1, 1)));
    anew.started_at = 2;
    balance.replace_upstreams(NOW, &[anew]);
    let after = balance.upstreams().find_by_name("one").unwrap();
    assert_ne!(before, after);
    assert_eq!(balance.upstreams().get(after).unwrap().in_flight, 0);
    // The end of what went to the first does not free a place of the second.
    balance.record_end(NOW, before, AttemptOutcome::Served);
    assert!(balance.upstreams().get(before).is_none());
}

#[test]
fn an_upstream_that_fails_gets_less_and_one_that_cannot_be_reached_rests() {
    let mut balance = balance(&[spec("near", "a", None), spec("far", "b", None)]);
    let near = sent(balance.place(NOW, demand(1, 1)));
    balance.record_end(NOW, near, AttemptOutcome::Failed);
    let next = sent(balance.place(NOW, demand(2, 1)));
    assert_eq!(name_of(&balance, next), "far");
    balance.record_end(NOW, next, AttemptOutcome::Unreachable);
    for ticket in 3..5 {
        let id = sent(balance.place(NOW, demand(ticket, 1)));
        assert_eq!(name_of(&balance, id), "near");
    }
}

/// Ranks of a group that has lost one turn requests away and so look empty.
#[test]
fn a_group_that_lost_a_rank_is_left_and_tried_again_one_request_at_a_time() {
    let mut balance = balance(&[
        spec("one", "a", Some("g0")),
        spec("two", "a", Some("g0")),
        spec("three", "b", Some("g1")),
    ]);
    let first = sent(balance.place(NOW, demand(1, 1)));
    balance.record_end(NOW, first, AttemptOutcome::GroupBroken);
    let second = sent(balance.place(NOW, demand(2, 1)));
    assert_eq!(name_of(&balance, second), "three");
    let later = NOW + Millis(200);
    let trial = sent(balance.place(later, demand(3, 1)));
    assert_ne!(name_of(&balance, trial), "three");
    let next = sent(balance.place(later, demand(4, 1)));
    assert_eq!(name_of(&balance, next), "three");
    balance.record_progress(later, trial);
    let open = sent(balance.place(later, demand(5, 1)));
    assert_ne!(name_of(&balance, open), "three");
}

/// In a partition each rank that is tried costs the time of a connection that never opens.
#[test]
fn a_group_with_a_rank_out_of_reach_is_left_like_one_that_lost_it() {
    let mut balance = balance(&[
        spec("one", "a", Some("g0")),
        spec("two", "a", Some("g0")),
        spec("three", "b", Some("g1")),
    ]);
    let first = sent(balance.place(NOW, demand(1, 1)));
    balance.record_end(NOW, first, AttemptOutcome::Unreachable);
    let second = sent(balance.place(NOW, demand(2, 1)));
    assert_eq!(name_of(&balance, second), "three");
}

/// All streams of a group fall silent when one of its ranks is gone.
#[test]
fn a_stalled_group_is_left_if_another_has_room() {
    let mut balance = balance(&[spec("one", "a", Some("g0")), spec("two", "b", Some("g1"))]);
    let silent = sent(balance.place(NOW, demand(1, 1)));
    assert!(!balance.should_move(NOW + Millis(400), silent));
    assert!(balance.should_move(NOW + Millis(600), silent));
    let other = sent(balance.place(NOW + Millis(600), demand(2, 1)));
    assert_eq!(name_of(&balance, other), "two");
    balance.record_progress(NOW + Millis(600), silent);
    assert!(!balance.should_move(NOW + Millis(700), silent));
    let full = LoadReport {
        running: 9,
        waiting: 9,
    };
    balance.record_load(NOW + Millis(1_200), other, full);
    assert!(!balance.should_move(NOW + Millis(1_200), silent));
}

#[test]
fn retries_keep_to_a_share_of_the_requests_of_a_window() {
    let settings = BudgetSettings {
        ratio: 0.1,
        slack: 2.0,
        window: Millis(1_000),
    };
    let mut budget = RetryBudget::default();
    for _ in 0..30 {
        budget.record_request(NOW, &settings);
    }
    let taken = (0..50).filter(|_| budget.try_take(NOW, &settings)).count();
    assert_eq!(taken, 5);
    let later = NOW + Millis(1_001);
    let taken = (0..50)
        .filter(|_| budget.try_take(later, &settings))
        .count();
    assert_eq!(taken, 2);
}

#[test]
fn a_refusal_says_how_the_upstreams_were() {
    let mut leaving = spec("leaving", "a", None);
    leaving.draining = true;
    let shut = spec("shut", "a", Some("g"));
    let resting = spec("resting", "a", None);
    let mut balance = balance(&[leaving, shut, resting]);
    for ticket in 1..=2 {
        let id = sent(balance.place(NOW, demand(ticket, 1)));
        let ending = match name_of(&balance, id).as_str() {
            "shut" => AttemptOutcome::GroupBroken,
            _ => AttemptOutcome::Unreachable,
        };
        balance.record_end(NOW, id, ending);
        let belief = balance.upstreams().health(NOW, id);
        assert!(belief.backing_off || belief.group_suspended);
    }
    let verdict = balance.place(NOW, demand(3, 1));
    let expected = UpstreamCounts {
        listed: 3,
        draining: 1,
        backing_off: 1,
        group_suspended: 1,
        ..UpstreamCounts::default()
    };
    assert_matches!(verdict, Some(Decision::Refuse { counts: actual, .. }) if actual == expected);
}

#[test]
fn a_burst_does_not_go_where_others_have_filled_the_slots_for_a_while() {
    let mut balance = balance(&[spec("full", "a", None), spec("free", "b", None)]);
    let full = balance.upstreams().find_by_name("full").unwrap();
    let report = LoadReport {
        running: 2,
        waiting: 2,
    };
    balance.record_load(NOW, full, report);
    // Reports come with answers, so a gateway hears of an upstream every second or two only.
    let later = NOW + Millis(2_000);
    let mut names = Vec::new();
    for ticket in 1..=2 {
        let chosen = sent(balance.place(later, demand(ticket, 1)));
        names.push(name_of(&balance, chosen));
    }
    assert_eq!(names, ["free", "free"]);
    assert_eq!(balance.place(later, demand(3, 1)), None);
}
