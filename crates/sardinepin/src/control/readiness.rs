//! When a fresh process may be relied on.

use std::sync::Arc;

use sardinepin_common::{Millis, Revision};
use sardinepin_membership::Input;

use super::hub::Hub;
use super::watcher;

/// The time between two looks.
const LOOK: Millis = Millis(50);

/// How long peers have to say what they hold, counted in rounds.
const ROUNDS: u64 = 3;

/// Makes this node ready once it holds the platform's revision or, with the platform out, the
/// highest that its reachable peers hold.
pub(super) async fn settle(hub: Arc<Hub>) {
    let window = Millis(hub.settings.cluster.round_ms * ROUNDS);
    let start = hub.now();
    let mut heard_at = None;
    let mut polled = None;
    loop {
        let now = hub.now();
        let (highest, heard) = hub.highest();
        if heard > 0 {
            heard_at.get_or_insert(now);
        }
        let due = Millis(hub.settings.cluster.round_ms);
        if polled.is_none_or(|last| now.since(last) >= due) {
            polled = Some(now);
            hub.input(Input::PollRevision(Revision(u64::MAX)));
        }
        let first = Facts {
            read: hub.has_read(),
            alone: is_alone(&hub),
            store: hub.store().is_some(),
            waited: now.since(start) >= window,
            asked: heard_at.is_some_and(|at| now.since(at) >= window),
            heard: heard > 0,
            holds: hub.revision() > Revision::default(),
            newest: hub.revision() >= highest,
        };
        if is_ready(&first) {
            break;
        }
        tokio::time::sleep(LOOK.duration()).await;
    }
    log::info!(event = "ready", revision = hub.revision().0; "the configuration may be relied on");
    hub.set_ready();
}

/// What a fresh process knows.
struct Facts {
    /// It has read the platform.
    read: bool,
    /// It knows of no other node to ask.
    alone: bool,
    /// It has a platform.
    store: bool,
    /// Peers have had time to answer since the start.
    waited: bool,
    /// They have had time since the first was heard.
    asked: bool,
    /// A peer was heard.
    heard: bool,
    /// It holds some configuration.
    holds: bool,
    /// No live peer is known to hold more.
    newest: bool,
}

fn is_ready(facts: &Facts) -> bool {
    if !facts.newest {
        return false;
    }
    // The platform's answer may be older than what peers hold, so they are waited for a little.
    let by_platform = facts.read && (facts.alone || facts.heard || facts.waited);
    // Peers that are all fresh themselves have nothing that could be relied on.
    let by_peers = facts.asked && facts.holds;
    let by_itself = facts.alone && !facts.store;
    by_platform || by_peers || by_itself
}

fn is_alone(hub: &Hub) -> bool {
    hub.udp().is_none() || (hub.settings.cluster.seeds.is_empty() && hub.rows().len() == 1)
}

/// Reads the platform once, however long it takes until it can be read.
pub(super) async fn read_platform(hub: Arc<Hub>) {
    let Some(store) = hub.store().map(Arc::clone) else {
        return;
    };
    watcher::read_instances(&hub).await;
    while !hub.has_read() {
        if watcher::read(&hub, store.as_ref()).await.is_err() {
            let pause = Millis(hub.settings.cluster.round_ms);
            tokio::time::sleep(pause.duration()).await;
        }
    }
    watcher::read_instances(&hub).await;
}
