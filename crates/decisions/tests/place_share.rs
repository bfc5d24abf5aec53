//! Replays many gateways before a rank group that is nearly full: all of them see the same few free places.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_decisions::direct::{
    AllowedRegions, AttemptEnd, Balancer, BalancerSettings, Decision, GroupMembership,
    PlacementRequest, Policy, RequestNumber, UpstreamId, UpstreamSpec,
};
use sardinepin_protocol::{GroupLoad, GroupSample, RankLoad};

const GATEWAYS: usize = 37;
const RANKS: usize = 63;
const SLOTS: u16 = 10;
const NOW: Millis = Millis(10_000);

/// All gateways of a deployment and the requests at the ranks.
struct Deployment {
    gateways: Vec<Balancer>,
    loads: Vec<u16>,
    step: u64,
    number: u64,
}

impl Deployment {
    fn new(policy: Policy, load: u16) -> Self {
        let specs: Vec<UpstreamSpec> = (0..RANKS).map(spec).collect();
        let gateways = (0..GATEWAYS).map(|seed| {
            let mut balancer = Balancer::new(BalancerSettings {
                seed: seed as u64,
                queue_max: 0,
                policy,
                ..BalancerSettings::default()
            });
            balancer.replace_upstreams(NOW, &specs);
            balancer
        });
        Self {
            gateways: gateways.collect(),
            loads: vec![load; RANKS],
            step: 0,
            number: 0,
        }
    }

    /// Passes the load of the group on to all gateways.
    fn sample(&mut self, now: Millis) {
        self.step += 1;
        let ranks = self.loads.iter().map(|load| {
            Some(RankLoad {
                running: (*load).min(SLOTS),
                waiting: load.saturating_sub(SLOTS),
                pace_percent: 100,
            })
        });
        let load = GroupLoad {
            group: Arc::from("g"),
            epoch: 1,
            open: true,
            step: self.step,
            sample: Some((
                Millis::ZERO,
                GroupSample {
                    ranks: ranks.collect(),
                    gateways: GATEWAYS as u32,
                    ..GroupSample::default()
                },
            )),
        };
        for gateway in &mut self.gateways {
            gateway.record_group_load(now, &load);
        }
    }

    /// Lets each gateway place `count` requests; returns where those that were sent went, with the gateway.
    fn place(&mut self, now: Millis, count: usize) -> Vec<(usize, UpstreamId)> {
        let mut sent = Vec::new();
        for at in 0..GATEWAYS * count {
            self.number += 1;
            let gateway = at % GATEWAYS;
            let request = PlacementRequest {
                number: RequestNumber(self.number),
                service: Arc::from("llm"),
                priority: 1,
                latency_objective: Millis(400),
                deadline: now + Millis(8_000),
                tried: Vec::new(),
                returning: false,
                is_retry: false,
                organisation: None,
                continues: false,
                regions: AllowedRegions::default(),
            };
            let decision = self.gateways[gateway].place(now, request);
            if let Some(Decision::Send(id)) = decision {
                let rank = self.rank_of(gateway, id);
                self.loads[rank] += 1;
                sent.push((gateway, id));
            }
        }
        sent
    }

    fn rank_of(&self, gateway: usize, id: UpstreamId) -> usize {
        let upstream = self.gateways[gateway].upstreams().get(id).unwrap();
        upstream.spec.group.as_ref().unwrap().rank
    }

    fn total(&self) -> usize {
        self.loads.iter().map(|load| usize::from(*load)).sum()
    }
}

fn spec(rank: usize) -> UpstreamSpec {
    UpstreamSpec {
        id: Arc::from(format!("r{rank}")),
        started_at: 1,
        service: Arc::from("llm"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: Arc::from("a"),
        slots: u32::from(SLOTS),
        draining: false,
        cold_remaining: None,
        group: Some(GroupMembership {
            name: Arc::from("g"),
            rank,
            broken: false,
        }),
    }
}

/// Without shares each gateway fills all free places, so that ranks get many times the requests that they have places for.
#[test]
fn free_places_are_filled_once_by_all_gateways_together() {
    let places = RANKS * usize::from(SLOTS);
    let mut deployment = Deployment::new(Policy::default(), SLOTS - 1);
    deployment.sample(NOW);
    deployment.place(NOW, 40);
    let total = deployment.total();
    // Each gateway rounds its share up by less than one.
    assert!(total <= places + GATEWAYS, "{total} of {places}");
    assert!(total >= places - GATEWAYS, "{total} of {places}");

    let unshared = Policy {
        shares_places: false,
        ..Policy::default()
    };
    let mut deployment = Deployment::new(unshared, SLOTS - 1);
    deployment.sample(NOW);
    deployment.place(NOW, 40);
    assert!(deployment.total() > 2 * places, "{}", deployment.total());
}

/// A share below one place must not round down to nothing for ever.
#[test]
fn single_free_places_are_used_within_a_few_samples() {
    let mut deployment = Deployment::new(Policy::default(), SLOTS);
    let mut used = 0;
    for round in 0..20 {
        deployment.loads[0] = SLOTS - 5;
        let now = NOW + Millis(100 * round);
        deployment.sample(now);
        let sent = deployment.place(now, 1);
        used += sent.len();
        for (gateway, id) in sent {
            deployment.gateways[gateway].record_end(now, id, AttemptEnd::Served);
        }
    }
    assert!((70..=130).contains(&used), "{used} of 100 free places");
}

/// A share that ignored what ends between two samples would leave places empty; one that counted it twice would fill the queues.
#[test]
fn the_group_stays_full_without_queues_while_requests_keep_coming() {
    let places = RANKS * usize::from(SLOTS);
    let mut deployment = Deployment::new(Policy::default(), 0);
    let mut held = Vec::new();
    for round in 0..12 {
        let now = NOW + Millis(100 * round);
        deployment.sample(now);
        held.extend(deployment.place(now, 10));
        // A tenth of the requests ends between two samples.
        let ended = held.len() / 10;
        for (gateway, id) in held.drain(..ended) {
            let rank = deployment.rank_of(gateway, id);
            deployment.loads[rank] -= 1;
            deployment.gateways[gateway].record_end(now, id, AttemptEnd::Served);
        }
    }
    let total = deployment.total();
    assert!(total <= places + GATEWAYS, "{total} of {places}");
    assert!(total >= places * 8 / 10, "{total} of {places}");
}
