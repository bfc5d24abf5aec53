//! Tests of all agents of a group over loopback, with fake engines that run steps together.

// Clippy allows `unwrap` in tests only within test functions; this covers the helpers.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use futures_util::{SinkExt, StreamExt};
use sardinepin_common::{Clock, Millis};
use sardinepin_groups::{ArmedVersion, LayerMap, RankReport, version_above};
use sardinepin_protocol::{GroupDemand, RankLoad, encode, framed};
use sardinepin_runtime::PAUSE_MIN;
use sardinepin_store::BoxFuture;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use crate::agent::Agent;
use crate::coordinator::{Coordinator, CoordinatorSettings};
use crate::engine::{
    Action, Directory, EngineApi, EngineCounts, EngineError, EngineExperts, EngineFuture,
    EngineOrder, EngineReply, EngineReport, ExpertShape, Member,
};
use crate::messages::{Call, Reply};
use crate::peer::{self, PeerClient};
use crate::policy::RankPolicy;

const RANKS: usize = 5;
const EXPERTS: usize = 12;
const STEP_TIME: Millis = Millis(20);
const WAIT_TIMEOUT: Millis = Millis(60_000);
const POLL_INTERVAL: Millis = Millis(20);

/// Longer than any agent of the group waits before it takes over.
const STARTUP_TIME: Millis = Millis(1_500);

const SHAPE: ExpertShape = ExpertShape {
    layers: 1,
    experts: EXPERTS,
    rank_slots: 6,
    layer_transfers: 4,
    load_time: Millis(10),
};

/// The state of one engine.
#[derive(Debug, Clone)]
struct FakeEngine {
    term: u64,
    sequence: u64,
    active: u64,
    map: Vec<u16>,
    prepared: Option<(u64, Vec<u16>)>,
    highest_version: u64,
    armed: Option<ArmedVersion>,
    held: Option<u64>,
}

/// The engines of a group and the faults injected into their network.
#[derive(Debug)]
struct FakeGroup {
    step: u64,
    ranks: Vec<FakeEngine>,
    maps_mixed: bool,
    switches: usize,
    /// Every n-th order gets no reply and is carried out later; 0 disables this fault.
    loss_interval: u64,
    orders: u64,
    delayed: Vec<(usize, EngineOrder)>,
    /// The rank whose next order to arm is answered as done, and carried out later.
    copied_answer: Option<usize>,
    /// Whether orders of the first coordinator that holds a step get no reply afterwards.
    cut_after_hold: bool,
    /// The term of that coordinator, once it has held a step.
    cut_term: Option<u64>,
    /// Whether the instance of the coordinator freezes once it has held a step.
    freeze_after_hold: bool,
    /// The rank whose instance is frozen: its engine is out of reach, but computes steps.
    frozen: Option<usize>,
    /// Whether engines report.
    is_up: bool,
    /// The terms of all orders.
    terms: BTreeSet<u64>,
    /// How many times the list of members was read, which each coordinator does.
    member_reads: usize,
    /// Entries of the list of members that are no members. They are listed first.
    odd_members: Vec<Member>,
    /// The member that is not listed.
    unlisted: Option<usize>,
    /// Engines that are no ranks of the group, and what they report; `None` if they are out of reach.
    foreign: Vec<(SocketAddr, Option<EngineReport>)>,
    /// How many orders they were sent.
    foreign_orders: usize,
    /// The ranks that were ordered to be disarmed, whether or not the order was carried out.
    disarms: Vec<usize>,
    /// How many of those orders named a version that no other rank had replaced by a newer one.
    unsafe_disarms: usize,
}

#[derive(Debug, Clone)]
struct SharedGroup(Arc<Mutex<FakeGroup>>);

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

impl FakeGroup {
    fn new(loss_interval: u64) -> Self {
        let engine = |at: usize| FakeEngine {
            term: 0,
            sequence: 0,
            active: 0,
            map: (0..EXPERTS)
                .filter(|one| one % RANKS == at)
                .map(|one| one as u16)
                .collect(),
            prepared: None,
            highest_version: 0,
            armed: None,
            held: None,
        };
        Self {
            step: 0,
            ranks: (0..RANKS).map(engine).collect(),
            maps_mixed: false,
            switches: 0,
            loss_interval,
            orders: 0,
            delayed: Vec::new(),
            copied_answer: None,
            cut_after_hold: false,
            cut_term: None,
            freeze_after_hold: false,
            frozen: None,
            is_up: true,
            terms: BTreeSet::new(),
            member_reads: 0,
            odd_members: Vec::new(),
            unlisted: None,
            foreign: Vec::new(),
            foreign_orders: 0,
            disarms: Vec::new(),
            unsafe_disarms: 0,
        }
    }

    /// Returns what an engine reports that is no rank of the group.
    fn foreign_report(&self, engine: SocketAddr) -> Option<Option<EngineReport>> {
        let mut foreign = self.foreign.iter();
        let (_, report) = foreign.find(|(address, _)| *address == engine)?;
        Some(report.clone())
    }

    fn begin_step(&mut self) {
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
        self.maps_mixed |= self.ranks.iter().any(|rank| rank.active != active);
        self.switches = self.switches.max(usize::from(active > 0));
    }

    fn apply_order(&mut self, at: usize, order: &EngineOrder) -> EngineReply {
        let step = self.step;
        let rank = &mut self.ranks[at];
        if order.term < rank.term {
            return EngineReply::Superseded;
        }
        rank.term = order.term;
        if order
            .sequence
            .is_some_and(|sequence| sequence != rank.sequence)
        {
            return EngineReply::Conflict;
        }
        match &order.action {
            Action::Prepare { version, layers } => {
                if *version <= rank.highest_version || rank.armed.is_some() {
                    return EngineReply::Conflict;
                }
                rank.highest_version = *version;
                rank.prepared = Some((*version, layers[0][at].clone()));
                rank.sequence += 1;
                EngineReply::Begun
            }
            Action::Arm {
                version,
                step: wanted,
            } => {
                let loaded = rank.prepared.as_ref().map(|(version, _)| *version);
                if loaded != Some(*version) || *wanted <= step {
                    return EngineReply::Conflict;
                }
                rank.armed = Some(ArmedVersion {
                    version: *version,
                    step: *wanted,
                });
                rank.sequence += 1;
                EngineReply::Begun
            }
            Action::Disarm { version } => {
                if rank.active == *version {
                    return EngineReply::Conflict;
                }
                rank.armed = None;
                EngineReply::Done
            }
            Action::Hold { step: wanted } => {
                if *wanted <= step || rank.held.is_some_and(|held| held != *wanted) {
                    return EngineReply::Conflict;
                }
                rank.held = Some(*wanted);
                EngineReply::Done
            }
            Action::Release { step: wanted } => {
                rank.held.take_if(|held| held == wanted);
                EngineReply::Done
            }
        }
    }

    /// Records an order to disarm a rank. It may be carried out late, so it must be safe at any later time.
    fn record_disarm(&mut self, at: usize, version: u64) {
        self.disarms.push(at);
        let mut ranks = self.ranks.iter().enumerate();
        let is_replaced =
            ranks.any(|(rank, engine)| rank != at && engine.highest_version > version);
        self.unsafe_disarms += usize::from(!is_replaced);
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
            load: RankLoad {
                running: at as u16,
                waiting: 1,
                pace_percent: 100,
            },
        }
    }
}

impl EngineApi for SharedGroup {
    fn report(&self, engine: SocketAddr) -> EngineFuture<'_, EngineReport> {
        let group = self.0.lock().unwrap();
        if let Some(foreign) = group.foreign_report(engine) {
            let result = foreign.ok_or_else(|| EngineError("out of reach".to_owned()));
            return Box::pin(async move { result });
        }
        let report = group.report(rank_of(engine));
        let is_reachable = group.is_up && group.frozen != Some(rank_of(engine));
        let result = match is_reachable {
            true => Ok(report),
            false => Err(EngineError("out of reach".to_owned())),
        };
        Box::pin(async move { result })
    }

    fn counts(&self, _: SocketAddr) -> EngineFuture<'_, EngineCounts> {
        let step = self.0.lock().unwrap().step;
        // Expert 0 takes about half of all tokens.
        let mut counts = vec![step; EXPERTS];
        counts[0] = step * EXPERTS as u64;
        Box::pin(async move { Ok(EngineCounts { epoch: 1, counts }) })
    }

    fn experts(&self, engine: SocketAddr) -> EngineFuture<'_, EngineExperts> {
        let rank = self.0.lock().unwrap().ranks[rank_of(engine) % RANKS].clone();
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
    ) -> EngineFuture<'a, EngineReply> {
        let mut group = self.0.lock().unwrap();
        if group.foreign_report(engine).is_some() {
            group.foreign_orders += 1;
            return Box::pin(async { Ok(EngineReply::Done) });
        }
        group.orders += 1;
        group.terms.insert(order.term);
        let at = rank_of(engine);
        if let Action::Disarm { version } = order.action {
            group.record_disarm(at, version);
        }
        if group.cut_term == Some(order.term) || group.frozen == Some(at) {
            return Box::pin(async { Err(EngineError("cut".to_owned())) });
        }
        if group.loss_interval > 0 && group.orders.is_multiple_of(group.loss_interval) {
            group.delayed.push((at, order.clone()));
            return Box::pin(async { Err(EngineError("lost".to_owned())) });
        }
        if matches!(order.action, Action::Arm { .. }) && group.copied_answer == Some(at) {
            group.copied_answer = None;
            group.delayed.push((at, order.clone()));
            return Box::pin(async { Ok(EngineReply::Done) });
        }
        let reply = group.apply_order(at, order);
        if group.freeze_after_hold && matches!(order.action, Action::Hold { .. }) {
            group.freeze_after_hold = false;
            // The low bits of a term hold the rank of its coordinator.
            group.frozen = Some(usize::from(order.term as u8));
        }
        if group.cut_after_hold && matches!(order.action, Action::Hold { .. }) {
            group.cut_after_hold = false;
            group.cut_term = Some(order.term);
        }
        Box::pin(async move { Ok(reply) })
    }
}

impl Directory for SharedGroup {
    fn members(&self) -> BoxFuture<'_, anyhow::Result<Vec<Member>>> {
        self.0.lock().unwrap().member_reads += 1;
        let (odd, unlisted) = {
            let group = self.0.lock().unwrap();
            (group.odd_members.clone(), group.unlisted)
        };
        let ranks = (0..RANKS).filter(|rank| Some(*rank) != unlisted);
        let members = ranks.map(|rank| member(rank, address(rank)));
        let members: Vec<Member> = odd.into_iter().chain(members).collect();
        Box::pin(async move { Ok(members) })
    }
}

fn member(rank: usize, engine: SocketAddr) -> Member {
    Member {
        group: Arc::from("g0"),
        rank,
        engine,
        zone: Arc::from("zone-a"),
        slots: 10,
    }
}

/// Returns a group whose list of members names an engine for a rank that is none of its ranks, and what that engine reports.
fn group_with_foreign_engine(rank: usize, report: Option<EngineReport>) -> SharedGroup {
    let mut group = FakeGroup::new(0);
    let engine = address(RANKS);
    group.odd_members = vec![member(rank, engine)];
    group.foreign = vec![(engine, report)];
    SharedGroup(Arc::new(Mutex::new(group)))
}

/// Returns reports of engines that are not rank 2 of the group.
fn foreign_reports() -> Vec<EngineReport> {
    let own = FakeGroup::new(0).report(2);
    let with_rank = |rank| EngineReport {
        rank,
        ..own.clone()
    };
    vec![
        EngineReport {
            group: Arc::from("g1"),
            ..own.clone()
        },
        with_rank(RankReport {
            rank: 3,
            ..own.rank
        }),
        with_rank(RankReport {
            size: RANKS + 1,
            ..own.rank
        }),
    ]
}

/// Binds the same port on the address of every rank, and on that of an engine which is no rank.
async fn bind_listeners() -> (u16, Vec<TcpListener>) {
    'ports: loop {
        let first = TcpListener::bind((address(0).ip(), 0)).await.unwrap();
        let port = first.local_addr().unwrap().port();
        let mut bound = vec![first];
        for rank in 1..=RANKS {
            match TcpListener::bind((address(rank).ip(), port)).await {
                Ok(listener) => bound.push(listener),
                Err(_) => continue 'ports,
            }
        }
        return (port, bound);
    }
}

/// Starts the agents of a group and its steps; returns the handles that abort each agent.
async fn start_agents(shared: &SharedGroup) -> Vec<Vec<AbortHandle>> {
    start_agents_with_port(shared, RankPolicy::default())
        .await
        .1
}

/// Starts agents like [`start_agents`], of which some pass calls on.
async fn start_agents_with_relays(shared: &SharedGroup) -> Vec<Vec<AbortHandle>> {
    let policy = RankPolicy {
        direct_members: 1,
        ..RankPolicy::default()
    };
    start_agents_with_port(shared, policy).await.1
}

/// Starts agents like [`start_agents`]; returns the port of all agents, too.
async fn start_agents_with_port(
    shared: &SharedGroup,
    policy: RankPolicy,
) -> (u16, Vec<Vec<AbortHandle>>) {
    let (port, mut listeners) = bind_listeners().await;
    let beside_foreign = listeners.pop().unwrap();
    if matches!(shared.0.lock().unwrap().foreign.first(), Some((_, Some(_)))) {
        let engines: Arc<dyn EngineApi> = Arc::new(shared.clone());
        let agent = Agent::new(Clock::start(), engines, address(RANKS));
        tokio::spawn(peer::serve(Arc::new(agent), beside_foreign));
    }
    let mut handles = Vec::new();
    for (rank, listener) in listeners.into_iter().enumerate() {
        let engines: Arc<dyn EngineApi> = Arc::new(shared.clone());
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
            policy,
        };
        let directory = Arc::new(shared.clone());
        let coordinator = Coordinator::new(agent, engines, directory, settings);
        let led = tokio::spawn(coordinator.run());
        handles.push(vec![served.abort_handle(), led.abort_handle()]);
    }
    let group = shared.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(STEP_TIME.duration()).await;
            let mut group = group.0.lock().unwrap();
            group.begin_step();
            // An order without a reply is carried out some steps later.
            if group.step.is_multiple_of(16)
                && let Some((at, order)) = group.delayed.pop()
            {
                group.apply_order(at, &order);
            }
        }
    });
    (port, handles)
}

async fn wait_for(condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT.duration(), waiting)
        .await
        .expect("the condition was not met in time");
}

fn copies(map: &LayerMap, expert: u16) -> usize {
    map.iter()
        .filter(|experts| experts.contains(&expert))
        .count()
}

/// Waits until every rank holds expert 0, which takes at least one switch.
async fn wait_until_replicated(shared: &SharedGroup) {
    wait_for(|| {
        let group = shared.0.lock().unwrap();
        let map: LayerMap = group.ranks.iter().map(|rank| rank.map.clone()).collect();
        assert!(!group.maps_mixed, "a step began on two different maps");
        assert_eq!(group.unsafe_disarms, 0);
        assert_eq!(group.foreign_orders, 0, "orders to an engine of no rank");
        copies(&map, 0) == RANKS
    })
    .await;
}

#[tokio::test]
async fn a_popular_expert_is_replicated_to_every_rank_without_a_step_on_two_maps() {
    let shared = SharedGroup(Arc::new(Mutex::new(FakeGroup::new(0))));
    start_agents(&shared).await;
    wait_until_replicated(&shared).await;
    wait_for(|| {
        let group = shared.0.lock().unwrap();
        group.ranks.iter().all(|rank| rank.held.is_none())
    })
    .await;
}

/// Guards against a group that stops switching maps because another writer left an entry with an impossible rank among its members.
#[tokio::test]
async fn an_odd_entry_among_the_members_does_not_block_the_group() {
    for (rank, engine) in [(RANKS, address(1)), (usize::MAX, address(2))] {
        let shared = SharedGroup(Arc::new(Mutex::new(FakeGroup::new(0))));
        shared.0.lock().unwrap().odd_members = vec![member(rank, engine)];
        start_agents(&shared).await;
        wait_until_replicated(&shared).await;
    }
}

/// Guards against orders to an engine that is listed for a rank which it is not, as an entry of another writer can have it, and against
/// a group that such an entry keeps from switching its maps.
#[tokio::test]
async fn an_engine_that_does_not_report_to_be_a_rank_gets_no_orders_for_it() {
    for report in foreign_reports() {
        let shared = group_with_foreign_engine(2, Some(report));
        start_agents(&shared).await;
        wait_until_replicated(&shared).await;
        assert_eq!(shared.0.lock().unwrap().foreign_orders, 0);
    }
}

/// Guards against the same where the rank itself is not listed, or where members pass calls on.
#[tokio::test]
async fn a_group_with_an_unlisted_rank_sends_no_orders_to_the_engine_listed_for_it() {
    for report in foreign_reports() {
        let shared = group_with_foreign_engine(2, Some(report));
        shared.0.lock().unwrap().unlisted = Some(2);
        start_agents_with_relays(&shared).await;
        wait_for(|| {
            let group = shared.0.lock().unwrap();
            assert_eq!(group.foreign_orders, 0, "orders to an engine of no rank");
            group.member_reads >= 3
        })
        .await;
        let orders = {
            let mut group = shared.0.lock().unwrap();
            group.unlisted = None;
            (group.foreign_orders, group.orders)
        };
        assert_eq!(orders, (0, 0));
        wait_until_replicated(&shared).await;
        assert_eq!(shared.0.lock().unwrap().foreign_orders, 0);
    }
}

/// Guards against a group that stops switching its maps while the entry of a rank is still listed which has started again elsewhere.
#[tokio::test]
async fn an_earlier_entry_of_a_rank_does_not_block_the_group() {
    for rank in [0, 1, 4] {
        let shared = group_with_foreign_engine(rank, None);
        start_agents(&shared).await;
        wait_until_replicated(&shared).await;
        assert_eq!(shared.0.lock().unwrap().foreign_orders, 0);
    }
}

/// Guards against the copy of an earlier answer being taken for the answer to an order to arm that is carried out late: the step would
/// begin on two maps.
#[tokio::test]
async fn a_step_is_released_only_once_all_ranks_report_to_be_armed() {
    for rank in 0..RANKS {
        let shared = SharedGroup(Arc::new(Mutex::new(FakeGroup::new(0))));
        shared.0.lock().unwrap().copied_answer = Some(rank);
        start_agents(&shared).await;
        wait_until_replicated(&shared).await;
        let group = shared.0.lock().unwrap();
        assert_eq!((group.copied_answer, group.maps_mixed), (None, false));
    }
}

#[tokio::test]
async fn lost_and_delayed_orders_do_not_block_the_group() {
    for loss_interval in [2, 3, 5, 7] {
        let shared = SharedGroup(Arc::new(Mutex::new(FakeGroup::new(loss_interval))));
        start_agents(&shared).await;
        wait_until_replicated(&shared).await;
        let step = shared.0.lock().unwrap().step;
        wait_for(|| shared.0.lock().unwrap().step > step + 50).await;
        assert!(!shared.0.lock().unwrap().maps_mixed);
    }
}

#[tokio::test]
async fn a_group_switches_maps_through_members_that_pass_calls_on() {
    for loss_interval in [0, 2, 5] {
        let shared = SharedGroup(Arc::new(Mutex::new(FakeGroup::new(loss_interval))));
        start_agents_with_relays(&shared).await;
        wait_until_replicated(&shared).await;
        let step = shared.0.lock().unwrap().step;
        wait_for(|| shared.0.lock().unwrap().step > step + 50).await;
        assert!(!shared.0.lock().unwrap().maps_mixed);
    }
}

/// The members of its neighbourhood are called directly instead.
#[tokio::test]
async fn a_member_that_does_not_pass_calls_on_does_not_block_the_group() {
    let shared = SharedGroup(Arc::new(Mutex::new(FakeGroup::new(0))));
    let agents = start_agents_with_relays(&shared).await;
    wait_for(|| !shared.0.lock().unwrap().terms.is_empty()).await;
    // The coordinator, rank 1, calls rank 4 through rank 3.
    for handle in &agents[3] {
        handle.abort();
    }
    wait_until_replicated(&shared).await;
}

/// Engines that start later than their agents are reached by all of them at the same moment.
#[tokio::test]
async fn agents_whose_engines_start_at_once_do_not_all_coordinate() {
    let shared = SharedGroup(Arc::new(Mutex::new(FakeGroup::new(0))));
    shared.0.lock().unwrap().is_up = false;
    start_agents(&shared).await;
    tokio::time::sleep(STARTUP_TIME.duration()).await;
    shared.0.lock().unwrap().is_up = true;
    wait_until_replicated(&shared).await;
    let group = shared.0.lock().unwrap();
    assert_eq!((group.member_reads, group.terms.len()), (1, 1));
}

/// Guards against a group that stays blocked after its coordinator fails right after holding a
/// step, before any rank is armed.
#[tokio::test]
async fn another_agent_completes_the_switch_of_a_failed_coordinator() {
    let shared = SharedGroup(Arc::new(Mutex::new(FakeGroup::new(0))));
    shared.0.lock().unwrap().cut_after_hold = true;
    let agents = start_agents(&shared).await;
    wait_for(|| shared.0.lock().unwrap().cut_term.is_some()).await;
    // The first rank in the order of takeover.
    for handle in &agents[1] {
        handle.abort();
    }
    wait_until_replicated(&shared).await;
    let step = shared.0.lock().unwrap().step;
    wait_for(|| shared.0.lock().unwrap().step > step + 20).await;
}

#[tokio::test]
async fn a_step_is_released_although_the_instance_of_its_coordinator_froze_after_the_hold() {
    let shared = SharedGroup(Arc::new(Mutex::new(FakeGroup::new(0))));
    shared.0.lock().unwrap().freeze_after_hold = true;
    let agents = start_agents(&shared).await;
    wait_for(|| shared.0.lock().unwrap().frozen.is_some()).await;
    let frozen = shared.0.lock().unwrap().frozen.unwrap();
    for handle in &agents[frozen] {
        handle.abort();
    }
    let step = shared.0.lock().unwrap().step;
    wait_for(|| shared.0.lock().unwrap().step > step + 20).await;
    let group = shared.0.lock().unwrap();
    assert_eq!((group.frozen, group.maps_mixed), (Some(frozen), false));
}

#[tokio::test]
async fn a_hold_without_a_switch_is_released() {
    let shared = SharedGroup(Arc::new(Mutex::new(FakeGroup::new(0))));
    shared.0.lock().unwrap().ranks[2].held = Some(3);
    start_agents(&shared).await;
    wait_for(|| shared.0.lock().unwrap().step > 10).await;
}

/// Returns a group in which every rank has loaded a version, `armed` ranks are armed for it in step 12, and step 3 is held.
fn group_held_before_an_armed_step(armed: impl Fn(usize) -> bool) -> (u64, SharedGroup) {
    let version = version_above(0, 1);
    let mut group = FakeGroup::new(0);
    for (at, rank) in group.ranks.iter_mut().enumerate() {
        rank.highest_version = version;
        rank.prepared = Some((version, rank.map.clone()));
        rank.armed = Some(ArmedVersion { version, step: 12 }).filter(|_| armed(at));
    }
    group.ranks[0].held = Some(3);
    (version, SharedGroup(Arc::new(Mutex::new(group))))
}

/// Guards against an order to disarm that is carried out once the rank has been armed again: a delayed hold of an earlier step must
/// not take back a switch for which all ranks are armed.
#[tokio::test]
async fn a_step_held_before_the_one_that_all_ranks_are_armed_for_is_released_without_a_disarm() {
    let (version, shared) = group_held_before_an_armed_step(|_| true);
    start_agents(&shared).await;
    wait_for(|| shared.0.lock().unwrap().step >= 12).await;
    let group = shared.0.lock().unwrap();
    assert!(group.ranks.iter().all(|rank| rank.active >= version));
    assert_eq!((group.maps_mixed, group.disarms.len()), (false, 0));
}

/// Guards against the same where only one rank is armed: it is disarmed once another rank has loaded a newer version.
#[tokio::test]
async fn a_rank_is_disarmed_after_another_one_has_loaded_a_newer_version() {
    let (version, shared) = group_held_before_an_armed_step(|at| at == 2);
    start_agents(&shared).await;
    wait_for(|| shared.0.lock().unwrap().step > 20).await;
    let group = shared.0.lock().unwrap();
    assert!(group.ranks.iter().all(|rank| rank.active > version));
    assert_eq!((group.maps_mixed, group.unsafe_disarms), (false, 0));
    assert_eq!(group.disarms, [2]);
}

/// Gateways learn the load of a whole group from the agent in their zone.
#[tokio::test]
async fn every_agent_passes_on_the_load_of_the_group() {
    let shared = SharedGroup(Arc::new(Mutex::new(FakeGroup::new(0))));
    let (port, _) = start_agents_with_port(&shared, RankPolicy::default()).await;
    for rank in 0..RANKS {
        let client = PeerClient::new(SocketAddr::new(address(rank).ip(), port));
        let load = loop {
            let reply = client
                .call(&Call::Load {
                    gateway: 7,
                    demand: GroupDemand::default(),
                })
                .await;
            if let Some(Reply::Load(load)) = reply
                && let Some((age, sample)) = load.sample
                && sample.gateways > 0
            {
                assert!(load.open && age < WAIT_TIMEOUT);
                break sample;
            }
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        };
        let running: Vec<_> = load
            .ranks
            .iter()
            .map(|rank| rank.unwrap().running)
            .collect();
        assert_eq!(running, [0, 1, 2, 3, 4]);
    }
}

/// The runtime of a test has one thread, so an agent does nothing while the test blocks it.
#[tokio::test]
async fn an_order_that_arrived_during_a_pause_is_not_carried_out() {
    let shared = SharedGroup(Arc::new(Mutex::new(FakeGroup::new(0))));
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let target = listener.local_addr().unwrap();
    let agent = Agent::new(Clock::start(), Arc::new(shared.clone()), address(0));
    tokio::spawn(peer::serve(Arc::new(agent), listener));
    let hold = Call::Order(EngineOrder {
        term: 1,
        epoch: 1,
        sequence: Some(0),
        action: Action::Hold { step: 9 },
    });
    let connect = async || framed(TcpStream::connect(target).await.unwrap());
    let mut open = connect().await;
    open.send(
        encode(&Call::Load {
            gateway: 7,
            demand: GroupDemand::default(),
        })
        .unwrap(),
    )
    .await
    .unwrap();
    open.next().await.unwrap().unwrap();
    let mut new = connect().await;
    for connection in [&mut open, &mut new] {
        connection.send(encode(&hold).unwrap()).await.unwrap();
    }
    std::thread::sleep(PAUSE_MIN.duration() + POLL_INTERVAL.duration());
    drop((open, new));
    tokio::time::sleep(POLL_INTERVAL.duration() * 5).await;
    assert_eq!(shared.0.lock().unwrap().orders, 0);
    let client = PeerClient::new(target);
    wait_for_reply(&client, &hold).await;
    assert_eq!(shared.0.lock().unwrap().orders, 1);
}

async fn wait_for_reply(client: &PeerClient, call: &Call) {
    while client.call(call).await.is_none() {
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
    }
}
