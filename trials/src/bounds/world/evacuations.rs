//! How senders learn of evacuations: by a watch of the store, or when they start.

use rand::Rng as _;
use sardinepin_common::Millis;

use super::World;
use crate::bounds::evacuation_check::{DEAD_WATCH_MS, evacuated_at};
use crate::bounds::event::Event;

/// The time until a watch returns after a change, in milliseconds.
const WATCH_MS: std::ops::Range<u64> = 1..60;

/// The share of watches that are never answered.
const DEAD_WATCH_SHARE: f64 = 0.2;

impl World<'_> {
    /// Lets all senders learn of a change, once the store responds.
    pub(super) fn change_evacuations(&mut self, now: Millis) {
        let base = now.max(self.store_silent_until);
        for index in 0..self.nodes.len() {
            let delay = match self.rng.random_bool(DEAD_WATCH_SHARE) {
                true => self.rng.random_range(0..DEAD_WATCH_MS),
                false => self.rng.random_range(WATCH_MS),
            };
            self.schedule(base + Millis(delay), Event::ReadEvacuations(index));
        }
    }

    /// Lets a sender read which zones are evacuated. The store may have gone silent since the change.
    pub(super) fn read_evacuations(&mut self, now: Millis, index: usize) {
        let event = Event::ReadEvacuations(index);
        if now < self.store_silent_until {
            let until = self.store_silent_until;
            return self.schedule(until, event);
        }
        let zones = evacuated_at(&self.day.evacuations, now);
        self.with_sender(now, index, event, |sender, actions| {
            sender.replace_evacuated(now, zones, actions);
        });
    }
}
