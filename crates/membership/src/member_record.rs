//! What a node knows about another node.

use sardinepin_common::{Millis, Revision};

use crate::message::{MemberState, MemberUpdate};
use crate::replay_window::ReplayWindow;
use crate::view::Reachability;

/// Number of consecutive unanswered pings after which a node no longer counts as reachable.
const UNREACHABLE_MISSES: u32 = 3;

/// The local record of another node.
#[derive(Debug)]
pub(crate) struct MemberRecord {
    /// The latest update about the node.
    pub(crate) update: MemberUpdate,
    /// When the node's current state was set in the local table.
    pub(crate) state_since: Millis,
    /// The revision that the node last reported to have in force, and when it did.
    pub(crate) reported_revision: Option<(Revision, Millis)>,
    /// When the last datagram arrived directly from the node.
    pub(crate) last_received: Option<Millis>,
    /// When the node last answered a ping directly.
    pub(crate) last_ack: Option<Millis>,
    /// When the first ping of the current run of misses was sent.
    pub(crate) first_miss: Option<Millis>,
    /// The number of consecutive pings that the node did not answer directly.
    pub(crate) misses: u32,
    replay_window: ReplayWindow,
}

impl MemberRecord {
    /// Creates the record of a node from which no datagram has arrived yet.
    pub(crate) fn new(now: Millis, update: MemberUpdate) -> Self {
        Self {
            update,
            state_since: now,
            reported_revision: None,
            last_received: None,
            last_ack: None,
            first_miss: None,
            misses: 0,
            replay_window: ReplayWindow::default(),
        }
    }

    /// Applies an update that supersedes the current one; a new incarnation resets the record.
    pub(crate) fn replace(&mut self, now: Millis, update: MemberUpdate) {
        if update.incarnation != self.update.incarnation {
            *self = Self::new(now, update);
            return;
        }
        if update.state != self.update.state {
            self.state_since = now;
        }
        self.update = update;
    }

    /// Records the counter of a datagram and returns whether it is new.
    pub(crate) fn accept_counter(&mut self, counter: u64) -> bool {
        self.replay_window.accept(counter)
    }

    /// Records a direct answer to a ping.
    pub(crate) fn record_ack(&mut self, now: Millis) {
        self.last_ack = Some(now);
        self.first_miss = None;
        self.misses = 0;
    }

    /// Records that a ping sent at `sent` was not answered directly.
    pub(crate) fn record_miss(&mut self, sent: Millis) {
        self.first_miss.get_or_insert(sent);
        self.misses += 1;
    }

    /// Returns whether the node counts as present, that is, in any state but gone.
    pub(crate) fn is_present(&self) -> bool {
        self.update.state != MemberState::Gone
    }

    /// Returns the direct reachability of the node.
    pub(crate) fn reachability(&self) -> Reachability {
        if self.misses < UNREACHABLE_MISSES {
            return match self.last_ack {
                Some(_) => Reachability::Reachable,
                None => Reachability::Untested,
            };
        }
        let received_since = self
            .last_received
            .zip(self.first_miss)
            .is_some_and(|(received, first_miss)| received > first_miss);
        if received_since {
            Reachability::ReceiveOnly
        } else {
            Reachability::Unreachable
        }
    }
}
