//! Tests of a gateway that applies the admission level of a rank group.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_decisions::direct::{
    AllowedRegions, AttemptEnd, Balancer, BalancerSettings, Decision, GroupMembership,
    PlacementRequest, Policy, RequestNumber, UpstreamSpec,
};
use sardinepin_protocol::{AdmissionLevel, ErrorKind, GroupLoad, GroupSample, RankLoad};

const START: Millis = Millis(10_000);
const ARRIVAL_INTERVAL: Millis = Millis(10);

fn balancer(policy: Policy) -> Balancer {
    let mut balancer = Balancer::new(BalancerSettings {
        policy,
        ..BalancerSettings::default()
    });
    let rank = |rank: usize| UpstreamSpec {
        id: Arc::from(format!("u{rank}")),
        started_at: 1,
        service: Arc::from("llm"),
        address: ([127, 0, 0, 1], 1_024 + rank as u16).into(),
        zone: Arc::from(""),
        slots: 1_000,
        draining: false,
        cold_remaining: None,
        group: Some(GroupMembership {
            name: Arc::from("g0"),
            rank,
            broken: false,
        }),
    };
    balancer.replace_upstreams(START, &[rank(0), rank(1)]);
    balancer
}

fn load(now: Millis, term: u64, age: Millis, shares: Option<Vec<u8>>) -> GroupLoad {
    let rank = RankLoad {
        running: 1,
        waiting: 0,
        pace_percent: 100,
    };
    GroupLoad {
        group: Arc::from("g0"),
        epoch: 1,
        open: true,
        step: now.0,
        sample: Some((
            age,
            GroupSample {
                ranks: vec![Some(rank); 2],
                gateways: 37,
                term,
                level: shares.map(|shares| AdmissionLevel {
                    admitted_per_s: 350,
                    completed_per_s: 350,
                    shares,
                }),
                ..GroupSample::default()
            },
        )),
    }
}

fn request(now: Millis, number: u64, priority: u8, organisation: &str) -> PlacementRequest {
    PlacementRequest {
        number: RequestNumber(number),
        service: Arc::from("llm"),
        priority,
        latency_objective: Millis(1_000),
        deadline: now + Millis(4_000),
        tried: Vec::new(),
        returning: false,
        is_retry: false,
        regions: AllowedRegions::default(),
        organisation: Some(Arc::from(organisation)),
        continues: false,
    }
}

/// Places requests at an even pace under a level that is renewed; returns which were admitted.
fn place_all(
    balancer: &mut Balancer,
    shares: &[u8],
    requests: impl Iterator<Item = PlacementRequest>,
) -> Vec<bool> {
    let mut now = START;
    let mut admitted = Vec::new();
    for (index, mut request) in requests.enumerate() {
        now = now + ARRIVAL_INTERVAL;
        if index % 10 == 0 {
            balancer.record_group_load(now, &load(now, 1, Millis(100), Some(shares.to_vec())));
        }
        request.deadline = now + Millis(4_000);
        admitted.push(match balancer.place(now, request) {
            Some(Decision::Send(_)) => true,
            Some(Decision::Refuse { kind, .. }) => {
                assert_eq!(kind, ErrorKind::NotAdmitted);
                false
            }
            None => panic!("the request was queued"),
        });
    }
    admitted
}

fn count(admitted: &[bool]) -> usize {
    admitted.iter().filter(|admitted| **admitted).count()
}

/// Each gateway refused by its own estimate of each rank, and sent far more than the group completes.
#[test]
fn a_gateway_admits_the_share_of_each_priority_evenly() {
    let mut balancer = balancer(Policy::default());
    let requests = (0..900).map(|number| request(START, number, (number % 3) as u8, "a"));
    let admitted = place_all(&mut balancer, &[255, 102, 51], requests);
    for (priority, expected) in [(0, 300), (1, 120), (2, 60)] {
        let own: Vec<bool> = admitted.iter().copied().skip(priority).step_by(3).collect();
        assert!(
            count(&own).abs_diff(expected) <= 2,
            "{priority}: {}",
            count(&own)
        );
        // Evenly: any window of ten arrivals has its share, but for one.
        for window in own.windows(10) {
            assert!(
                count(window).abs_diff(expected / 30) <= 1,
                "{priority}: {window:?}"
            );
        }
    }
}

/// One organisation far above the others would take the share of all.
#[test]
fn a_large_organisation_is_refused_first() {
    let mut balancer = balancer(Policy::default());
    let organisation = |number: u64| match number % 8 {
        0 => "small",
        1 => "other",
        _ => "large",
    };
    let requests = (0..1_600).map(|number| request(START, number, 0, organisation(number)));
    let admitted = place_all(&mut balancer, &[128], requests);
    let of = |name: &str| {
        let own = (0..1_600).filter(|number| organisation(*number) == name);
        let own: Vec<bool> = own.map(|number| admitted[number as usize]).collect();
        count(&own) as f64 / own.len() as f64
    };
    assert!(
        of("small") > 0.95 && of("other") > 0.95,
        "{} {}",
        of("small"),
        of("other")
    );
    assert!((0.3..0.37).contains(&of("large")), "{}", of("large"));
}

/// Who comes back after a refusal has no further retry.
#[test]
fn callers_who_come_back_are_spared_within_the_same_share() {
    let mut balancer = balancer(Policy::default());
    let requests = (0..1_000).map(|number| PlacementRequest {
        returning: number % 5 == 0,
        ..request(START, number, 0, "a")
    });
    let admitted = place_all(&mut balancer, &[102], requests);
    let returning: Vec<bool> = admitted.iter().copied().step_by(5).collect();
    assert!(count(&returning) > 185, "{}", count(&returning));
    assert!(count(&admitted).abs_diff(400) < 20, "{}", count(&admitted));
}

/// A retry within the gateway or a resumed stream would be lost work; later arrivals make up for it.
#[test]
fn what_was_admitted_before_is_not_refused_but_counts() {
    let mut balancer = balancer(Policy::default());
    let requests = (0..1_000).map(|number| PlacementRequest {
        continues: number % 5 == 0,
        ..request(START, number, 0, "a")
    });
    let admitted = place_all(&mut balancer, &[102], requests);
    let continuing: Vec<bool> = admitted.iter().copied().step_by(5).collect();
    assert_eq!(count(&continuing), 200);
    assert!(count(&admitted).abs_diff(400) < 20, "{}", count(&admitted));
    let demand = balancer.take_demand(&Arc::from("g0"));
    assert_eq!(demand.arrived, [1_000]);
}

fn refuses(balancer: &mut Balancer, now: Millis, numbers: std::ops::Range<u64>) -> bool {
    numbers.fold(false, |refused, number| {
        let decision = balancer.place(now, request(now, number, 0, "a"));
        refused | matches!(decision, Some(Decision::Refuse { .. }))
    })
}

/// A coordinator that is frozen or cut off must not go on refusing callers.
#[test]
fn a_level_that_is_not_renewed_ends() {
    let mut balancer = balancer(Policy::default());
    balancer.record_group_load(START, &load(START, 1, Millis(200), Some(vec![25])));
    assert!(refuses(&mut balancer, START, 0..9));
    let later = START + Millis(450);
    assert!(refuses(&mut balancer, later, 10..19));
    let later = START + Millis(500);
    let decision = balancer.place(later, request(later, 20, 0, "a"));
    let refused =
        matches!(decision, Some(Decision::Refuse { kind, .. }) if kind == ErrorKind::NotAdmitted);
    assert!(!refused, "{decision:?}");
}

/// Two coordinators see different views for a while; their levels must not alternate.
#[test]
fn the_level_of_the_newer_term_applies() {
    let mut balancer = balancer(Policy::default());
    balancer.record_group_load(START, &load(START, 2, Millis(100), Some(vec![25])));
    let now = START + Millis(100);
    balancer.record_group_load(now, &load(now, 1, Millis(50), None));
    assert!(refuses(&mut balancer, now, 0..9));
    balancer.record_group_load(now, &load(now, 3, Millis(100), None));
    assert!(!refuses(&mut balancer, now, 10..19));
}

#[test]
fn without_the_policy_or_a_level_nothing_is_refused() {
    let mut off = balancer(Policy {
        admission: false,
        ..Policy::default()
    });
    off.record_group_load(START, &load(START, 1, Millis(100), Some(vec![25])));
    assert!(!refuses(&mut off, START, 0..9));
    let mut no_level = balancer(Policy::default());
    no_level.record_group_load(START, &load(START, 1, Millis(100), None));
    assert!(!refuses(&mut no_level, START, 0..9));
}

/// A caller that is asked back at once meets the same overload, and has no retry left then.
#[test]
fn a_refused_caller_is_asked_back_late_and_spread() {
    let mut balancer = balancer(Policy::default());
    balancer.record_group_load(START, &load(START, 1, Millis(100), Some(vec![0])));
    let mut delays: Vec<u64> = (0..50)
        .filter_map(
            |number| match balancer.place(START, request(START, number, 0, "a")) {
                Some(Decision::Refuse { retry_after, .. }) => Some(retry_after.0),
                _ => None,
            },
        )
        .collect();
    delays.sort_unstable();
    delays.dedup();
    assert!(
        delays.len() > 40 && delays[0] >= 666 && delays[delays.len() - 1] <= 1_333,
        "{delays:?}"
    );
}

/// Demand that did not reach an agent is told to the next one.
#[test]
fn demand_and_ends_are_counted_once() {
    let mut balancer = balancer(Policy::default());
    let group: Arc<str> = Arc::from("g0");
    let id = match balancer.place(START, request(START, 1, 2, "a")) {
        Some(Decision::Send(id)) => id,
        other => panic!("{other:?}"),
    };
    balancer.record_end(START, id, AttemptEnd::Served);
    let demand = balancer.take_demand(&group);
    assert_eq!(
        (demand.arrived.as_slice(), demand.ended),
        ([0, 0, 1].as_slice(), 1)
    );
    assert_eq!(balancer.take_demand(&group).ended, 0);
    balancer.restore_demand(&group, &demand);
    assert_eq!(balancer.take_demand(&group), demand);
    let id = match balancer.place(START, request(START, 2, 2, "a")) {
        Some(Decision::Send(id)) => id,
        other => panic!("{other:?}"),
    };
    // A request that did not run was not completed by the group.
    balancer.record_end(START, id, AttemptEnd::Rejected);
    assert_eq!(balancer.take_demand(&group).ended, 0);
}
