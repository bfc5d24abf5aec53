//! Tests of evacuated zones and allowed regions without I/O: queued requests, the gradual return, and regions that share a queue.

// Clippy allows `unwrap` in tests only within test functions; this covers the helpers.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use assert_matches::assert_matches;
use sardinepin_common::{Millis, Set};
use sardinepin_decisions::BudgetSettings;
use sardinepin_decisions::direct::{
    AllowedRegions, AttemptEnd, Balancer, BalancerSettings, Decision, GroupMembership,
    PlacementRequest, RequestNumber, UpstreamId, UpstreamSpec,
};
use sardinepin_protocol::ErrorKind;

const NOW: Millis = Millis(10_000);

fn spec(id: &str, zone: &str, slots: u32) -> UpstreamSpec {
    UpstreamSpec {
        id: Arc::from(id),
        started_at: 1,
        service: Arc::from("llm"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: Arc::from(zone),
        slots,
        draining: false,
        cold_remaining: None,
        group: None,
    }
}

/// A balancer in zone `a`; `a` and `b` are in the north, `c` is in the south.
fn balancer(seed: u64, specs: &[UpstreamSpec]) -> Balancer {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let regions = regions.map(|(zone, region)| (Arc::from(zone), Arc::from(region)));
    let mut balancer = Balancer::new(BalancerSettings {
        zone: "a".to_owned(),
        seed,
        regions: regions.into_iter().collect(),
        retry_budget: BudgetSettings::default(),
        ..BalancerSettings::default()
    });
    balancer.replace_upstreams(NOW, specs);
    balancer
}

fn request(number: u64, regions: &[&str]) -> PlacementRequest {
    PlacementRequest {
        number: RequestNumber(number),
        service: Arc::from("llm"),
        priority: 1,
        latency_objective: Millis(4_000),
        deadline: NOW + Millis(60_000),
        tried: Vec::new(),
        regions: AllowedRegions::new(regions.iter().map(|name| Arc::from(*name)).collect()),
        returning: false,
        is_retry: false,
        organisation: None,
        continues: false,
    }
}

fn zones(names: &[&str]) -> Set<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

fn sent_to(decision: Option<Decision>) -> UpstreamId {
    match decision {
        Some(Decision::Send(id)) => id,
        other => panic!("not sent: {other:?}"),
    }
}

/// Places as many requests as are sent at once, and returns their number.
fn fill(balancer: &mut Balancer, now: Millis, first: u64) -> usize {
    let mut sent = 0;
    for number in first.. {
        let Some(Decision::Send(_)) = balancer.place(now, request(number, &[])) else {
            balancer.withdraw(now, &Arc::from("llm"), RequestNumber(number));
            break;
        };
        sent += 1;
    }
    sent
}

#[test]
fn queued_requests_are_refused_as_soon_as_their_last_zone_is_evacuated() {
    let mut balancer = balancer(1, &[spec("one", "a", 1), spec("far", "c", 1)]);
    sent_to(balancer.place(NOW, request(1, &["north"])));
    assert_eq!(balancer.place(NOW, request(2, &["north"])), None);
    let (changes, decisions) = balancer.replace_evacuated(NOW, zones(&["a"]));
    assert_eq!(changes.evacuated, [Arc::from("a")]);
    assert_eq!(decisions.len(), 1);
    assert_matches!(
        decisions[0].decision,
        Decision::Refuse { kind: ErrorKind::ZonesEvacuated, retry_after, counts }
            if retry_after > Millis::ZERO && counts.evacuated == 1 && counts.outside_regions == 1
    );
    // What runs in the zone goes on, and other requests go elsewhere.
    let other = sent_to(balancer.place(NOW, request(3, &[])));
    assert_eq!(&*balancer.upstreams().get(other).unwrap().spec.id, "far");
}

#[test]
fn an_outage_beside_an_evacuation_is_told_apart() {
    let mut balancer = balancer(1, &[spec("one", "a", 2), spec("two", "b", 2)]);
    let one = balancer.upstreams().find_by_name("one").unwrap();
    let two = balancer.upstreams().find_by_name("two").unwrap();
    for id in [one, two] {
        balancer.record_end(NOW, id, AttemptEnd::Unreachable);
    }
    balancer.replace_evacuated(NOW, zones(&["a"]));
    assert_matches!(
        balancer.place(NOW, request(1, &[])),
        Some(Decision::Refuse {
            kind: ErrorKind::NoUpstream,
            ..
        })
    );
    balancer.replace_evacuated(NOW, zones(&["a", "b"]));
    assert_matches!(
        balancer.place(NOW, request(2, &[])),
        Some(Decision::Refuse {
            kind: ErrorKind::ZonesEvacuated,
            ..
        })
    );
}

#[test]
fn a_rank_group_across_zones_goes_on_without_the_evacuated_ranks() {
    let ranks = [("r0", "a", 0), ("r1", "b", 1)].map(|(id, zone, rank)| {
        let mut spec = spec(id, zone, 4);
        spec.group = Some(GroupMembership {
            name: Arc::from("g"),
            rank,
            broken: false,
        });
        spec
    });
    let mut balancer = balancer(1, &ranks);
    balancer.replace_evacuated(NOW, zones(&["a"]));
    for number in 1..=4 {
        let id = sent_to(balancer.place(NOW, request(number, &[])));
        assert_eq!(&*balancer.upstreams().get(id).unwrap().spec.id, "r1");
    }
    let members = balancer.upstreams().group_members();
    assert_eq!(members[0].members.len(), 2, "all ranks stay in the group");
}

/// All gateways see an empty zone at the same moment when its evacuation ends.
#[test]
fn the_slots_of_a_zone_that_returns_are_used_gradually_and_by_gateways_one_after_another() {
    const GATEWAYS: u64 = 37;
    let mut balancers: Vec<Balancer> = (0..GATEWAYS)
        .map(|seed| balancer(seed, &[spec("one", "a", 20)]))
        .collect();
    let mut used = Vec::new();
    for balancer in &mut balancers {
        balancer.replace_evacuated(NOW, zones(&["a"]));
        balancer.replace_evacuated(NOW, Set::default());
    }
    let mut first = 1;
    for elapsed in [0, 100, 500, 1_000, 1_500, 2_000] {
        let now = NOW + Millis(elapsed);
        let sent: usize = balancers
            .iter_mut()
            .map(|balancer| fill(balancer, now, first))
            .sum();
        first += 1_000;
        used.push(used.last().copied().unwrap_or(0) + sent);
    }
    let all = 20 * GATEWAYS as usize;
    assert!(used[0] <= 1, "{used:?}");
    assert!(used[1] <= all / 20, "{used:?}");
    assert!((all / 20..=all / 2).contains(&used[2]), "{used:?}");
    assert!((all / 4..=3 * all / 4).contains(&used[3]), "{used:?}");
    assert!(used[4] < all && used[5] == all, "{used:?}");
}

#[test]
fn a_second_evacuation_during_the_return_is_in_force_at_once() {
    let mut balancer = balancer(3, &[spec("one", "a", 20)]);
    balancer.replace_evacuated(NOW, zones(&["a"]));
    balancer.replace_evacuated(NOW, Set::default());
    let now = NOW + Millis(1_900);
    assert!(fill(&mut balancer, now, 1) > 0);
    balancer.replace_evacuated(now, zones(&["a"]));
    assert_eq!(fill(&mut balancer, now, 1_000), 0);
    assert!(balancer.is_evacuated("a"));
}

/// Requests for a full region must not hold back those for another one.
#[test]
fn a_queue_serves_each_region_when_it_has_capacity() {
    let mut balancer = balancer(1, &[spec("north", "a", 1), spec("south", "c", 1)]);
    sent_to(balancer.place(NOW, request(1, &["north"])));
    let south = sent_to(balancer.place(NOW, request(2, &["south"])));
    assert_eq!(balancer.place(NOW, request(3, &["north"])), None);
    assert_eq!(balancer.place(NOW, request(4, &["south"])), None);
    let decisions = balancer.record_end(NOW, south, AttemptEnd::Served);
    assert_eq!(decisions.len(), 1);
    assert_eq!(decisions[0].number, RequestNumber(4));
    assert_eq!(decisions[0].decision, Decision::Send(south));
}

#[test]
fn regions_of_route_and_organisation_are_combined() {
    let regions =
        |names: &[&str]| AllowedRegions::new(names.iter().map(|name| Arc::from(*name)).collect());
    let anywhere = regions(&[]);
    assert!(!anywhere.is_restricted());
    assert_eq!(anywhere.both(&regions(&["north"])), regions(&["north"]));
    assert_eq!(regions(&["north"]).both(&anywhere), regions(&["north"]));
    let none = regions(&["north"]).both(&regions(&["south"]));
    assert!(none.is_restricted());
    let mut balancer = balancer(1, &[spec("one", "a", 1), spec("two", "c", 1)]);
    let request = PlacementRequest {
        regions: none,
        ..request(1, &[])
    };
    assert_matches!(
        balancer.place(NOW, request),
        Some(Decision::Refuse {
            kind: ErrorKind::RegionNotAllowed,
            ..
        })
    );
}
