//! Learns how long callers wait for the beginning of an answer.

use std::collections::VecDeque;

use sardinepin_common::Millis;

/// The number of departures from which the patience of callers is derived.
const DEPARTURES_MAX: usize = 16;

/// The fewest departures from which it is derived.
const DEPARTURES_MIN: usize = 3;

/// The part of the patience of callers that a request is held at most, so that its answer still finds the caller.
const PATIENCE_SHARE: f64 = 0.9;

/// How long callers wait for the beginning of an answer before they leave, as learnt from those that left.
#[derive(Debug, Default)]
pub(super) struct CallerPatience {
    /// How long the last callers that left without an answer had waited.
    waits: VecDeque<Millis>,
}

impl CallerPatience {
    pub(super) fn record(&mut self, waited: Millis) {
        if self.waits.len() == DEPARTURES_MAX {
            self.waits.pop_front();
        }
        self.waits.push_back(waited);
    }

    /// Returns the longest time that a request is held: less than the median wait of callers that left; `None` if too few have.
    pub(super) fn hold_max(&self) -> Option<Millis> {
        if self.waits.len() < DEPARTURES_MIN {
            return None;
        }
        let mut waits: Vec<Millis> = self.waits.iter().copied().collect();
        waits.sort_unstable();
        let median = waits[waits.len() / 2];
        Some(Millis((median.as_f64() * PATIENCE_SHARE) as u64))
    }
}
