//! Engines in lock-step change their map in one step, or stay with the old one.

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

/// How many steps after those that stalled ranks may yet begin the switch is set.
const MARGIN: u64 = 10;

fn settings() -> Settings {
    Settings {
        ranked: true,
        step_micros: 500,
        idle_ms: 0,
        map_bytes: 1_000,
        ..Settings::default()
    }
}

/// Starts three ranks and returns where they take orders.
async fn start(fencing: Fencing) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    let mut peers = Vec::new();
    for _ in 0..3 {
        let settings = Settings {
            fencing,
            ..settings()
        };
        let engine = Engine::start(settings).await.expect("an engine");
        peers.push(engine.rank_address().expect("a rank"));
        addresses.push(spawn_server(engine).await.expect("a port"));
    }
    for (rank, to) in (0..).zip(&addresses) {
        let peers = peers.clone();
        let ranks = RankPeers { rank, peers };
        let told = HttpClient::default()
            .post_json(*to, "/ranks/peers", &ranks)
            .await;
        told.expect("the rank is told");
    }
    addresses
}

async fn order(to: SocketAddr, term: u64, order: Order) -> OrderReply {
    let fenced = FencedOrder {
        term: Term(term),
        order,
    };
    let caller = HttpClient::default();
    let answer = caller.send_json(Method::POST, to, "/orders", &fenced).await;
    answer.expect("an answer").json().expect("a reply")
}

async fn until(to: SocketAddr, holds: impl Fn(&OrderReply) -> bool) -> OrderReply {
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
        .expect("the engine gets there")
}

/// Arms all ranks for the same step, while one of them holds the group up, and returns it.
async fn arm(ranks: &[SocketAddr]) -> u64 {
    let caller = HttpClient::default();
    let stall = Faults {
        stall: true,
        ..Faults::default()
    };
    caller
        .post_json(ranks[0], "/faults", &stall)
        .await
        .expect("a stall");
    for to in ranks {
        assert_eq!(order(*to, 1, Order::Stage(MAP)).await.rejection, None);
        until(*to, |state| {
            state.gate.staged.is_some_and(|staged| staged.ready)
        })
        .await;
    }
    let step = order(ranks[0], 1, Order::Look).await.next_step + MARGIN;
    for to in ranks {
        let reply = order(*to, 1, Order::Arm { map: MAP, step }).await;
        assert_eq!(reply.rejection, None);
    }
    caller
        .post_json(ranks[0], "/release", &())
        .await
        .expect("a release");
    step
}

async fn steps(to: SocketAddr) -> Vec<StepRange> {
    HttpClient::default()
        .get_json(to, "/steps")
        .await
        .expect("steps")
}

#[tokio::test]
async fn ranks_wait_at_the_step_and_then_change_their_map_together() {
    let ranks = start(Fencing::Enforced).await;
    let step = arm(&ranks).await;
    for to in &ranks {
        until(*to, |state| state.next_step == step).await;
        assert_eq!(steps(*to).await.last().unwrap().to, step - 1);
    }
    for to in &ranks {
        order(*to, 1, Order::Commit(MAP.version)).await;
    }
    for to in &ranks {
        until(*to, |state| state.next_step > step).await;
        let changed = steps(*to).await.into_iter().find(|range| range.to >= step);
        let changed = changed.unwrap();
        assert_eq!((changed.from, changed.version), (step, MAP.version));
        let old = order(*to, 0, Order::Fence).await;
        assert_eq!(old.rejection, Some(Rejection::Fenced));
    }
}

#[tokio::test]
async fn ranks_go_on_with_the_old_map_after_an_abort() {
    let ranks = start(Fencing::Ignored).await;
    let step = arm(&ranks).await;
    for to in &ranks {
        let reply = order(*to, 0, Order::Abort(MAP.version)).await;
        assert_eq!(reply.rejection, None);
    }
    for to in &ranks {
        until(*to, |state| state.next_step > step).await;
        let versions = steps(*to).await;
        let is_old = |range: &StepRange| range.version == MapVersion(0);
        assert!(versions.iter().all(is_old), "{versions:?}");
    }
}
