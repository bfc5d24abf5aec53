//! Whether the known evacuations are recent enough to send requests, and the sending that waits for it.
//!
//! A process that was frozen, or whose store call is overdue, may have missed the evacuation of a zone. It sends nothing until a call
//! has returned, which also holds if that call shows that the store cannot be reached.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use sardinepin_common::Millis;
use tokio::sync::Notify;

use crate::gateway::Gateway;
use crate::settings::EvacuationSettings;

/// The shortest time that a watch waits, after a change has shortened it.
const WATCH_WAIT_MIN: Millis = Millis(100);

/// How recent the knowledge of the evacuations is.
#[derive(Debug, Default)]
struct Recency {
    /// Every evacuation that the store had acknowledged by this time is known, as far as the store can be reached.
    current_at: Millis,
}

/// The recency of the evacuations of one gateway.
#[derive(Debug)]
pub(crate) struct EvacuationRecency {
    /// `None` if evacuations are not watched.
    settings: Option<EvacuationSettings>,
    /// Whether they have been read at all.
    known: AtomicBool,
    recency: Mutex<Recency>,
    /// Notified when `recency` changes.
    changed: Notify,
}

impl EvacuationRecency {
    pub(crate) fn new(settings: Option<EvacuationSettings>) -> Self {
        Self {
            settings,
            known: AtomicBool::new(false),
            recency: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Returns whether the evacuations have been read, or are not watched.
    pub(crate) fn are_known(&self) -> bool {
        self.settings.is_none() || self.known.load(Ordering::Acquire)
    }

    fn recency(&self) -> MutexGuard<'_, Recency> {
        self.recency.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_current_at(&self, at: Millis) {
        let mut recency = self.recency();
        recency.current_at = recency.current_at.max(at);
        drop(recency);
        self.changed.notify_waiters();
    }

    /// Records that a list call, begun at `began`, has returned and has been applied.
    pub(crate) fn record_list(&self, began: Millis) {
        self.known.store(true, Ordering::Release);
        self.set_current_at(began);
    }

    /// Records that a watch, begun at `began`, has returned and has been applied. One that has waited to its end saw all changes up to
    /// then; any other is only known to have seen those before it began.
    pub(crate) fn record_watch(&self, now: Millis, began: Millis, wait: Millis) {
        let ended = began + wait;
        self.set_current_at(if now >= ended { ended } else { began });
    }

    /// Records that a list call, begun at `began`, has failed: the store cannot be reached, and what is known is kept.
    ///
    /// A call that took longer than any time-out allows failed because the process was frozen, and shows nothing.
    pub(crate) fn record_unreachable(&self, now: Millis, began: Millis) {
        if let Some(settings) = &self.settings
            && now.since(began) < settings.bound
        {
            self.set_current_at(now);
        }
    }

    /// Returns how long the next watch may wait, so that it is noticed in time if it never returns.
    pub(crate) fn next_wait(&self, now: Millis, settings: &EvacuationSettings) -> Millis {
        let age = now.since(self.recency().current_at);
        settings.wait.since(age).max(WATCH_WAIT_MIN)
    }

    fn is_overdue(&self, now: Millis) -> bool {
        let Some(settings) = &self.settings else {
            return false;
        };
        now.since(self.recency().current_at) >= settings.bound
    }
}

impl Gateway {
    /// Waits until the evacuations are recent enough to send a request; returns whether the zone gets requests.
    pub(crate) async fn wait_to_send(&self, zone: &str) -> bool {
        let recency = &self.evacuations;
        if recency.settings.is_none() {
            return true;
        }
        let mut is_held = false;
        loop {
            let changed = recency.changed.notified();
            if !recency.is_overdue(self.clock.now()) {
                break;
            }
            if !std::mem::replace(&mut is_held, true) {
                metrics::counter!("sardinepin_evacuation_holds_total").increment(1);
            }
            changed.await;
        }
        !self.is_evacuated(zone)
    }

    /// Returns whether a zone is evacuated.
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        self.dispatcher
            .with_balancer(|balancer, _| balancer.is_evacuated(zone))
    }
}
