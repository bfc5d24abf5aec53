//! Groups of workers that make steps together, and stand still together.

use std::sync::Arc;

use sardinepin_common::Millis;
use tokio::sync::watch;

/// A group of workers.
#[derive(Debug, Clone)]
pub(super) struct Group {
    pub(super) name: String,
    stands_still: Arc<watch::Sender<bool>>,
}

impl Group {
    /// Creates a group that works.
    pub(super) fn new(name: String) -> Self {
        Self {
            name,
            stands_still: Arc::new(watch::Sender::new(false)),
        }
    }

    /// Waits while the group stands still.
    pub(super) async fn wait_for_step(&self) {
        // The sender lives as long as the group.
        let _ = self
            .stands_still
            .subscribe()
            .wait_for(|stands_still| !stands_still)
            .await;
    }
}

/// When groups stand still.
#[derive(Debug, Clone, Copy)]
pub(super) struct Standstills {
    /// How long a group stands still; never if this is zero.
    pub(super) time: Millis,
    /// The pause between two standstills, of one group after the other.
    pub(super) pause: Millis,
}

/// Lets one group after the other stand still, until the task is aborted.
pub(super) async fn stand_still_in_turn(groups: Vec<Group>, standstills: Standstills) {
    if standstills.time == Millis::ZERO {
        return;
    }
    for group in groups.iter().cycle() {
        tokio::time::sleep(standstills.pause.duration()).await;
        group.stands_still.send_replace(true);
        tokio::time::sleep(standstills.time.duration()).await;
        group.stands_still.send_replace(false);
    }
}
