//! Until when an entry of the list says that its upstream is cold.
//!
//! An entry says how much longer, and its writer may write it again and again while that time falls. Neither that nor reading it
//! again is a change. Ages count on the monotonic clock from when the entry was read, so that a clock that jumps ends nothing early.

use sardinepin_common::Millis;

/// How much earlier a later entry has to end the cold state for it to be taken up. Reading an entry late only prolongs it.
const EARLIER_END_MIN: Millis = Millis(1_000);

/// Until when an upstream is cold; `None` if its entry does not say.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ColdEntry(Option<Millis>);

impl ColdEntry {
    /// Takes up what an entry says that was read at `now`.
    pub(super) fn new(now: Millis, remaining: Option<Millis>) -> Self {
        Self(remaining.map(|remaining| now + remaining))
    }

    /// Takes up what a later entry of the same process says; returns whether that changes when the cold state ends.
    pub(super) fn update(&mut self, now: Millis, remaining: Option<Millis>) -> bool {
        let later = Self::new(now, remaining);
        let changed = match (self.0, later.0) {
            (Some(known), Some(until)) if known <= now && until <= now => false,
            (Some(known), Some(until)) => until > known || until + EARLIER_END_MIN <= known,
            (known, until) => known != until,
        };
        if changed {
            *self = later;
        }
        changed
    }

    /// Returns how much longer the upstream is cold.
    pub(super) fn remaining(self, now: Millis) -> Option<Millis> {
        Some(self.0?.since(now))
    }
}
