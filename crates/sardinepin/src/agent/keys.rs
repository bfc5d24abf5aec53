//! The idempotency keys of an agent, shared by its tasks.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Incarnation, Millis};
use sardinepin_decisions::{ClaimSettings, ClaimTable, KeyEvent};
use sardinepin_protocol::{ClaimKey, ClaimState};
use sardinepin_store::Store;
use tokio::sync::Notify;

use crate::node::Node;
use crate::options::Settings;

/// The keys of an agent and the store of their claims.
#[derive(Debug)]
pub(crate) struct Keys {
    /// Where other agents can ask about the claims of this one.
    pub(crate) address: SocketAddr,
    /// The platform's store, if there is one.
    pub(crate) store: Option<Arc<dyn Store>>,
    claims: Mutex<ClaimTable>,
    changed: Notify,
}

impl Keys {
    /// Makes an empty table.
    pub(crate) fn new(settings: &Settings, node: &Node, address: SocketAddr) -> Self {
        let claims = ClaimTable::new(
            ClaimSettings {
                keep_ms: settings.agent.keep_ms,
                ..ClaimSettings::default()
            },
            node.identity.incarnation,
        );
        Self {
            address,
            store: node.store.clone(),
            claims: Mutex::new(claims),
            changed: Notify::new(),
        }
    }

    /// Takes in what happened to a key, and wakes up the attempts that wait for it.
    pub(crate) fn handle(&self, now: Millis, key: &ClaimKey, event: KeyEvent) {
        self.claims().handle(now, key, event);
        self.changed.notify_waiters();
    }

    /// Answers another agent that asks about a claim.
    pub(crate) fn answer_query(&self, key: &ClaimKey, claimer: Incarnation) -> ClaimState {
        self.claims().answer_query(key, claimer)
    }

    /// Waits until something happened to a key, or a moment has passed.
    pub(crate) async fn wait_for_change(&self, limit: Millis) {
        let _ = tokio::time::timeout(limit.duration(), self.changed.notified()).await;
    }

    /// Forgets what ended long ago.
    pub(crate) fn sweep(&self, now: Millis) {
        self.claims().sweep(now);
    }

    /// A poisoned lock is taken over: no step leaves the table half changed.
    pub(crate) fn claims(&self) -> MutexGuard<'_, ClaimTable> {
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
