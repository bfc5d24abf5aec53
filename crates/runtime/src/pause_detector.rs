//! Detects that the process was paused, for example because its instance was suspended.

use std::sync::{Mutex, PoisonError};

use sardinepin_common::Millis;

/// The shortest gap between two readings of the clock that counts as a pause.
///
/// A peer that hears nothing for this long begins to doubt a link, and may give it up.
pub const PAUSE_MIN: Millis = Millis(1_000);

/// Detects gaps between readings of the clock that are taken at short intervals.
///
/// What arrived during a pause may be outdated: its sender may have given up meanwhile. A task that
/// is about to act on a message compares [`PauseDetector::count`] with the value that it read when the
/// message's connection was opened.
#[derive(Debug)]
pub struct PauseDetector {
    state: Mutex<State>,
}

#[derive(Debug, Clone, Copy)]
struct State {
    last_reading: Millis,
    count: u64,
}

impl PauseDetector {
    /// Creates a detector whose last reading was taken at `now`.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        let state = State {
            last_reading: now,
            count: 0,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Takes a reading; returns the length of the pause that it ends, if it is the first after one.
    pub fn record_reading(&self, now: Millis) -> Option<Millis> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let gap = now.since(state.last_reading);
        state.last_reading = now.max(state.last_reading);
        if gap < PAUSE_MIN {
            return None;
        }
        state.count += 1;
        Some(gap)
    }

    /// Returns how many pauses have ended so far.
    #[must_use]
    pub fn count(&self) -> u64 {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.count
    }
}
