//! Groups of workers that make steps together, and stall together.

use std::sync::Arc;

use sardinepin_common::Millis;
use tokio::sync::watch;

/// A group of workers.
#[derive(Debug, Clone)]
pub(super) struct Group {
    pub(super) name: String,
    is_stalled: Arc<watch::Sender<bool>>,
}

impl Group {
    /// Creates a group that works.
    pub(super) fn new(name: String) -> Self {
        Self {
            name,
            is_stalled: Arc::new(watch::Sender::new(false)),
        }
    }

    /// Waits while the group is stalled.
    pub(super) async fn wait_for_step(&self) {
        // The sender lives as long as the group.
        let _ = self
            .is_stalled
            .subscribe()
            .wait_for(|is_stalled| !is_stalled)
            .await;
    }
}

/// When groups stall.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stalls {
    /// How long a group stalls; never if this is zero.
    pub(super) time: Millis,
    /// The pause between two stalls, of one group after the other.
    pub(super) pause: Millis,
}

/// Stalls one group after the other, until the task is aborted.
pub(super) async fn stall_in_turn(groups: Vec<Group>, stalls: Stalls) {
    if stalls.time == Millis::ZERO {
        return;
    }
    for group in groups.iter().cycle() {
        tokio::time::sleep(stalls.pause.duration()).await;
        group.is_stalled.send_replace(true);
        tokio::time::sleep(stalls.time.duration()).await;
        group.is_stalled.send_replace(false);
    }
}
