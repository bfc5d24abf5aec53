//! Agents of a whole group on loopback, before engines that share their steps.

// The helpers of a test file are part of its tests.
#![allow(clippy::unwrap_used)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use sardinepin_common::{Clock, Millis};
use sardinepin_groups::{ArmedVersion, LayerMap, RankReport};
use sardinepin_store::BoxFuture;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

use crate::agent::Agent;
use crate::coordinator::{Coordinator, CoordinatorSettings};
use crate::engine::{
    Action, Directory, EngineApi, EngineCounts, EngineError, EngineExperts, EngineFuture,
    EngineOrder, EngineReport, ExpertShape, Member, OrderReply,
};
use crate::peer;

const RANKS: usize = 3;
const EXPERTS: usize = 12;
const STEP: Millis = Millis(20);
const PATIENCE: Millis = Millis(60_000);
const POLL: Millis = Millis(20);

const SHAPE: ExpertShape = ExpertShape {
    layers: 1,
    experts: EXPERTS,
    rank_slots: 6,
    layer_transfers: 4,
    load_time: Millis(10),
};

/// One engine.
#[derive(Debug, Clone)]
struct Rank {
    term: u64,
    sequence: u64,
    active: u64,
    map: Vec<u16>,
    prepared: Option<(u64, Vec<u16>)>,
    highest: u64,
    armed: Option<ArmedVersion>,
    held: Option<u64>,
}

/// The engines of a group, and what is wrong with their network.
#[derive(Debug)]
struct Group {
    step: u64,
    ranks: Vec<Rank>,
    mixed: bool,
    switches: usize,
    /// Of so many orders one gets no answer and is carried out later; 0 for none.
    lose_each: u64,
    orders: u64,
    late: Vec<(usize, EngineOrder)>,
    /// Whether the first coordinator that holds a step gets no answer from then on.
    cut_at_hold: bool,
    /// The term of that coordinator.
    cut: Option<u64>,
}

#[derive(Debug, Clone)]
struct Fake(Arc<Mutex<Group>>);

fn address(rank: usize) -> SocketAddr {
    let last = u8::try_from(rank + 1).unwrap();
    SocketAddr::from((Ipv4Addr::new(127, 0, 0, last), 9))
}

fn rank_of(engine: SocketAddr) -> usize {
    let SocketAddr::V4(engine) = engine else {
        return 0;
    };
    usize::from(engine.ip().octets()[3]) - 1
}

impl Group {
    fn new(lose_each: u64) -> Self {
        let rank = |at: usize| Rank {
            term: 0,
            sequence: 0,
            active: 0,
            map: (0..EXPERTS)
                .filter(|one| one % RANKS == at)
                .map(|one| one as u16)
                .collect(),
            prepared: None,
            highest: 0,
            armed: None,
            held: None,
        };
        Self {
            step: 0,
            ranks: (0..RANKS).map(rank).collect(),
            mixed: false,
            switches: 0,
            lose_each,
            orders: 0,
            late: Vec::new(),
            cut_at_hold: false,
            cut: None,
        }
    }

    fn begin(&mut self) {
        let next = self.step + 1;
        if self.ranks.iter().any(|rank| rank.held == Some(next)) {
            return;
        }
        self.step = next;
        for rank in &mut self.ranks {
            if rank.armed.is_some_and(|armed| armed.step == next) {
                rank.armed = None;
                let (version, map) = rank.prepared.take().unwrap();
                rank.active = version;
                rank.map = map;
            }
        }
        let active = self.ranks[0].active;
        self.mixed |= self.ranks.iter().any(|rank| rank.active != active);
        self.switches = self.switches.max(usize::from(active > 0));
    }

    fn take(&mut self, at: usize, order: &EngineOrder) -> OrderReply {
        let step = self.step;
        let rank = &mut self.ranks[at];
        if order.term < rank.term {
            return OrderReply::Superseded;
        }
        rank.term = order.term;
        if order
            .sequence
            .is_some_and(|sequence| sequence != rank.sequence)
        {
            return OrderReply::Conflict;
        }
        match &order.action {
            Action::Prepare { version, layers } => {
                if *version <= rank.highest || rank.armed.is_some() {
                    return OrderReply::Conflict;
                }
                rank.highest = *version;
                rank.prepared = Some((*version, layers[0][at].clone()));
                rank.sequence += 1;
                OrderReply::Begun
            }
            Action::Arm {
                version,
                step: wanted,
            } => {
                let loaded = rank.prepared.as_ref().map(|(version, _)| *version);
                if loaded != Some(*version) || *wanted <= step {
                    return OrderReply::Conflict;
                }
                rank.armed = Some(ArmedVersion {
                    version: *version,
                    step: *wanted,
                });
                rank.sequence += 1;
                OrderReply::Begun
            }
            Action::Disarm { version } => {
                if rank.active == *version {
                    return OrderReply::Conflict;
                }
                rank.armed = None;
                OrderReply::Done
            }
            Action::Hold { step: wanted } => {
                if *wanted <= step || rank.held.is_some_and(|held| held != *wanted) {
                    return OrderReply::Conflict;
                }
                rank.held = Some(*wanted);
                OrderReply::Done
            }
            Action::Release { step: wanted } => {
                rank.held.take_if(|held| held == wanted);
                OrderReply::Done
            }
        }
    }

    fn report(&self, at: usize) -> EngineReport {
        let rank = &self.ranks[at];
        EngineReport {
            group: Arc::from("g0"),
            rank: RankReport {
                rank: at,
                size: RANKS,
                epoch: 1,
                open: true,
                step: self.step,
                sequence: rank.sequence,
                active: rank.active,
                prepared: rank.prepared.as_ref().map(|(version, _)| *version),
                armed: rank.armed,
                held: rank.held,
            },
            busy: false,
        }
    }
}

impl EngineApi for Fake {
    fn report(&self, engine: SocketAddr) -> EngineFuture<'_, EngineReport> {
        let report = self.0.lock().unwrap().report(rank_of(engine));
        Box::pin(async move { Ok(report) })
    }

    fn counts(&self, _: SocketAddr) -> EngineFuture<'_, EngineCounts> {
        let step = self.0.lock().unwrap().step;
        // One expert takes half of all tokens.
        let mut counts = vec![step; EXPERTS];
        counts[0] = step * EXPERTS as u64;
        Box::pin(async move { Ok(EngineCounts { epoch: 1, counts }) })
    }

    fn experts(&self, engine: SocketAddr) -> EngineFuture<'_, EngineExperts> {
        let rank = self.0.lock().unwrap().ranks[rank_of(engine)].clone();
        Box::pin(async move {
            Ok(EngineExperts {
                version: rank.active,
                layers: vec![rank.map],
            })
        })
    }

    fn order<'a>(
        &'a self,
        engine: SocketAddr,
        order: &'a EngineOrder,
    ) -> EngineFuture<'a, OrderReply> {
        let mut group = self.0.lock().unwrap();
        group.orders += 1;
        let at = rank_of(engine);
        if group.cut == Some(order.term) {
            return Box::pin(async { Err(EngineError("cut".to_owned())) });
        }
        if group.lose_each > 0 && group.orders.is_multiple_of(group.lose_each) {
            group.late.push((at, order.clone()));
            return Box::pin(async { Err(EngineError("lost".to_owned())) });
        }
        let reply = group.take(at, order);
        if group.cut_at_hold && matches!(order.action, Action::Hold { .. }) {
            group.cut_at_hold = false;
            group.cut = Some(order.term);
        }
        Box::pin(async move { Ok(reply) })
    }
}

impl Directory for Fake {
    fn members(&self) -> BoxFuture<'_, anyhow::Result<Vec<Member>>> {
        let members = (0..RANKS).map(|rank| Member {
            group: Arc::from("g0"),
            rank,
            engine: address(rank),
        });
        let members: Vec<Member> = members.collect();
        Box::pin(async move { Ok(members) })
    }
}

/// Binds one port on the address of every rank.
async fn listeners() -> (u16, Vec<TcpListener>) {
    'ports: loop {
        let first = TcpListener::bind((address(0).ip(), 0)).await.unwrap();
        let port = first.local_addr().unwrap().port();
        let mut bound = vec![first];
        for rank in 1..RANKS {
            match TcpListener::bind((address(rank).ip(), port)).await {
                Ok(listener) => bound.push(listener),
                Err(_) => continue 'ports,
            }
        }
        return (port, bound);
    }
}

/// Starts the agents of a group and its steps; returns what ends each agent.
async fn start(fake: &Fake) -> Vec<Vec<AbortHandle>> {
    let (port, listeners) = listeners().await;
    let mut handles = Vec::new();
    for (rank, listener) in listeners.into_iter().enumerate() {
        let engines: Arc<dyn EngineApi> = Arc::new(fake.clone());
        let agent = Arc::new(Agent::new(
            Clock::start(),
            Arc::clone(&engines),
            address(rank),
        ));
        let served = tokio::spawn(peer::serve(Arc::clone(&agent), listener));
        let settings = CoordinatorSettings {
            engine: address(rank),
            peer_port: port,
            shape: SHAPE,
        };
        let directory = Arc::new(fake.clone());
        let coordinator = Coordinator::new(agent, engines, directory, settings);
        let led = tokio::spawn(coordinator.run());
        handles.push(vec![served.abort_handle(), led.abort_handle()]);
    }
    let group = fake.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(STEP.duration()).await;
            let mut group = group.0.lock().unwrap();
            group.begin();
            // What was lost is carried out some steps later.
            if group.step.is_multiple_of(16)
                && let Some((at, order)) = group.late.pop()
            {
                group.take(at, &order);
            }
        }
    });
    handles
}

async fn wait_for(holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(POLL.duration()).await;
        }
    };
    tokio::time::timeout(PATIENCE.duration(), waiting)
        .await
        .expect("the condition never held");
}

fn copies(map: &LayerMap, expert: u16) -> usize {
    map.iter()
        .filter(|experts| experts.contains(&expert))
        .count()
}

/// Waits until the hot expert lies on every rank, which takes at least one switch.
async fn wait_spread(fake: &Fake) {
    wait_for(|| {
        let group = fake.0.lock().unwrap();
        let map: LayerMap = group.ranks.iter().map(|rank| rank.map.clone()).collect();
        assert!(!group.mixed, "a step began on two maps");
        copies(&map, 0) == RANKS
    })
    .await;
}

#[tokio::test]
async fn a_hot_expert_comes_to_every_rank_and_no_step_begins_on_two_maps() {
    let fake = Fake(Arc::new(Mutex::new(Group::new(0))));
    start(&fake).await;
    wait_spread(&fake).await;
    wait_for(|| {
        let group = fake.0.lock().unwrap();
        group.ranks.iter().all(|rank| rank.held.is_none())
    })
    .await;
}

#[tokio::test]
async fn lost_and_late_orders_hold_nothing_for_good() {
    for lose_each in [2, 3, 5, 7] {
        let fake = Fake(Arc::new(Mutex::new(Group::new(lose_each))));
        start(&fake).await;
        wait_spread(&fake).await;
        let step = fake.0.lock().unwrap().step;
        wait_for(|| fake.0.lock().unwrap().step > step + 50).await;
        assert!(!fake.0.lock().unwrap().mixed);
    }
}

/// A coordinator that dies leaves a held step behind at the worst moment.
#[tokio::test]
async fn a_step_that_a_dead_coordinator_held_is_finished_by_another_agent() {
    let fake = Fake(Arc::new(Mutex::new(Group::new(0))));
    fake.0.lock().unwrap().cut_at_hold = true;
    let agents = start(&fake).await;
    wait_for(|| fake.0.lock().unwrap().cut.is_some()).await;
    for handle in &agents[0] {
        handle.abort();
    }
    wait_spread(&fake).await;
    let step = fake.0.lock().unwrap().step;
    wait_for(|| fake.0.lock().unwrap().step > step + 20).await;
}

#[tokio::test]
async fn a_hold_without_a_switch_is_released() {
    let fake = Fake(Arc::new(Mutex::new(Group::new(0))));
    fake.0.lock().unwrap().ranks[2].held = Some(3);
    start(&fake).await;
    wait_for(|| fake.0.lock().unwrap().step > 10).await;
}
