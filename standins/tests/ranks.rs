//! Tests that the ranks of a group switch their map in the same step, or keep the old one.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use sardinepin_common::{MapVersion, Term};
use sardinepin_groups::{Fencing, MapId, Order, OrderReply, Rejection};
use sardinepin_standins::engine::{Engine, Faults, FencedOrder, RankPeers, Settings, StepRange};
use sardinepin_standins::http::{HttpClient, spawn_server};

const MAP: MapId = MapId {
    version: MapVersion(1),
    digest: 7,
};

/// The distance of the switch from the next step, in steps: stalled ranks may still start a few.
const SWITCH_MARGIN: u64 = 10;

fn settings() -> Settings {
    Settings {
        ranked: true,
        step_micros: 500,
        idle_ms: 0,
        map_bytes: 1_000,
        ..Settings::default()
    }
}

/// Starts a group of three ranks and returns their HTTP addresses.
async fn start(fencing: Fencing) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    let mut peers = Vec::new();
    for _ in 0..3 {
        let settings = Settings {
            fencing,
            ..settings()
        };
        let engine = Engine::start(settings).await.expect("the engine starts");
        peers.push(engine.rank_address().expect("the engine is a rank"));
        addresses.push(spawn_server(engine).await.expect("a port is bound"));
    }
    for (rank, to) in (0..).zip(&addresses) {
        let peers = peers.clone();
        let ranks = RankPeers { rank, peers };
        let sent = HttpClient::default()
            .post_json(*to, "/ranks/peers", &ranks)
            .await;
        sent.expect("the rank accepts its peers");
    }
    addresses
}

async fn order(to: SocketAddr, term: u64, order: Order) -> OrderReply {
    let fenced = FencedOrder {
        term: Term(term),
        order,
    };
    let client = HttpClient::default();
    let answer = client.send_json(Method::POST, to, "/orders", &fenced).await;
    answer
        .expect("the order is answered")
        .json()
        .expect("the answer is an order reply")
}

/// Reads the state of a rank until `holds` accepts it, for at most 60 seconds.
async fn wait_for_state(to: SocketAddr, holds: impl Fn(&OrderReply) -> bool) -> OrderReply {
    let wait = async {
        loop {
            let state = order(to, 0, Order::Look).await;
            if holds(&state) {
                return state;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(60), wait)
        .await
        .expect("the engine reaches the state")
}

/// Arms all ranks for the same step while rank 0 stalls the group, and returns that step.
async fn arm_ranks(ranks: &[SocketAddr]) -> u64 {
    let client = HttpClient::default();
    let stall = Faults {
        stall: true,
        ..Faults::default()
    };
    client
        .post_json(ranks[0], "/faults", &stall)
        .await
        .expect("the stall is set");
    for to in ranks {
        assert_eq!(order(*to, 1, Order::Stage(MAP)).await.rejection, None);
        wait_for_state(*to, |state| {
            state.gate.staged.is_some_and(|staged| staged.ready)
        })
        .await;
    }
    let step = order(ranks[0], 1, Order::Look).await.next_step + SWITCH_MARGIN;
    for to in ranks {
        let reply = order(*to, 1, Order::Arm { map: MAP, step }).await;
        assert_eq!(reply.rejection, None);
    }
    client
        .post_json(ranks[0], "/release", &())
        .await
        .expect("the stall is released");
    step
}

async fn step_ranges(to: SocketAddr) -> Vec<StepRange> {
    HttpClient::default()
        .get_json(to, "/steps")
        .await
        .expect("the step ranges")
}

#[tokio::test]
async fn ranks_wait_at_the_armed_step_and_switch_their_map_together() {
    let ranks = start(Fencing::Enforced).await;
    let step = arm_ranks(&ranks).await;
    for to in &ranks {
        wait_for_state(*to, |state| state.next_step == step).await;
        assert_eq!(step_ranges(*to).await.last().unwrap().to, step - 1);
    }
    for to in &ranks {
        order(*to, 1, Order::Commit(MAP.version)).await;
    }
    for to in &ranks {
        wait_for_state(*to, |state| state.next_step > step).await;
        let range = step_ranges(*to)
            .await
            .into_iter()
            .find(|range| range.to >= step);
        let range = range.unwrap();
        assert_eq!((range.from, range.version), (step, MAP.version));
        let stale = order(*to, 0, Order::Fence).await;
        assert_eq!(stale.rejection, Some(Rejection::Fenced));
    }
}

#[tokio::test]
async fn ranks_continue_with_the_old_map_after_an_abort() {
    let ranks = start(Fencing::Ignored).await;
    let step = arm_ranks(&ranks).await;
    for to in &ranks {
        let reply = order(*to, 0, Order::Abort(MAP.version)).await;
        assert_eq!(reply.rejection, None);
    }
    for to in &ranks {
        wait_for_state(*to, |state| state.next_step > step).await;
        let ranges = step_ranges(*to).await;
        let is_old = |range: &StepRange| range.version == MapVersion(0);
        assert!(ranges.iter().all(is_old), "{ranges:?}");
    }
}
