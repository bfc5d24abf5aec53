//! What a node knows of another.

use sardinepin_common::{Millis, Revision};

use crate::message::{MemberState, MemberUpdate};
use crate::view::LinkState;
use crate::window::Window;

/// How many pings in a row stay unanswered before a link counts as broken.
const MISSES: u32 = 3;

/// Another node, as this one sees it.
#[derive(Debug)]
pub(crate) struct Record {
    /// The newest statement about it.
    pub(crate) update: MemberUpdate,
    /// When its state was taken on here.
    pub(crate) since: Millis,
    /// The revision that it last said it has, and when.
    pub(crate) held: Option<(Revision, Millis)>,
    /// When it was last heard directly.
    pub(crate) heard: Option<Millis>,
    /// When it last answered a ping directly.
    pub(crate) acked: Option<Millis>,
    /// When the first ping of the present row of misses was sent.
    pub(crate) missing: Option<Millis>,
    /// How many pings in a row it has not answered directly.
    pub(crate) misses: u32,
    window: Window,
}

impl Record {
    /// Begins a record.
    pub(crate) fn new(now: Millis, update: MemberUpdate) -> Self {
        Self {
            update,
            since: now,
            held: None,
            heard: None,
            acked: None,
            missing: None,
            misses: 0,
            window: Window::default(),
        }
    }

    /// Takes a statement that supersedes the present one.
    pub(crate) fn replace(&mut self, now: Millis, update: MemberUpdate) {
        if update.incarnation != self.update.incarnation {
            *self = Self::new(now, update);
            return;
        }
        if update.state != self.update.state {
            self.since = now;
        }
        self.update = update;
    }

    /// Returns whether a datagram of this counter is new.
    pub(crate) fn take_counter(&mut self, counter: u64) -> bool {
        self.window.take(counter)
    }

    /// Notes an answer.
    pub(crate) fn note_ack(&mut self, now: Millis) {
        self.acked = Some(now);
        self.missing = None;
        self.misses = 0;
    }

    /// Notes that a ping which was sent at `sent` stays unanswered.
    pub(crate) fn note_miss(&mut self, sent: Millis) {
        self.missing.get_or_insert(sent);
        self.misses += 1;
    }

    /// Returns whether the node is one to speak to.
    pub(crate) fn is_present(&self) -> bool {
        self.update.state != MemberState::Gone
    }

    /// Returns how the link to the node stands.
    pub(crate) fn reach(&self) -> LinkState {
        if self.misses < MISSES {
            return match self.acked {
                Some(_) => LinkState::Working,
                None => LinkState::Untested,
            };
        }
        let heard_since = self
            .heard
            .zip(self.missing)
            .is_some_and(|(heard, missing)| heard > missing);
        if heard_since {
            LinkState::ReceiveOnly
        } else {
            LinkState::Down
        }
    }
}
