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

/// The idempotency keys of an agent and the store that holds their claims.
#[derive(Debug)]
pub(crate) struct IdempotencyKeys {
    /// The address at which other agents can query the claims of this one.
    pub(crate) address: SocketAddr,
    /// The platform's store; `None` if no platform is configured.
    pub(crate) store: Option<Arc<dyn Store>>,
    claims: Mutex<ClaimTable>,
    changed: Notify,
}

impl IdempotencyKeys {
    /// Creates an empty table.
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

    /// Applies an event to a key and wakes the attempts that wait for a key.
    pub(crate) fn handle(&self, now: Millis, key: &ClaimKey, event: KeyEvent) {
        self.claims().handle(now, key, event);
        self.changed.notify_waiters();
    }

    /// Replies to a query of another agent about the claim of a key.
    pub(crate) fn answer_query(&self, key: &ClaimKey, claimer: Incarnation) -> ClaimState {
        self.claims().answer_query(key, claimer)
    }

    /// Waits until an event is applied to any key, at most for `limit`.
    pub(crate) async fn wait_for_change(&self, limit: Millis) {
        let _ = tokio::time::timeout(limit.duration(), self.changed.notified()).await;
    }

    /// Removes the keys whose retention time is over.
    pub(crate) fn sweep(&self, now: Millis) {
        self.claims().sweep(now);
    }

    /// Locks the table and ignores lock poisoning: no operation leaves the table partly changed.
    pub(crate) fn claims(&self) -> MutexGuard<'_, ClaimTable> {
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
