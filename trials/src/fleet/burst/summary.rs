//! The figures of a run.

use std::collections::BTreeMap;

use sardinepin_common::Millis;

use super::calls::Call;
use super::{BURST_END, BURST_START, BurstSummary, Model, OBJECTIVES};

/// The width of the windows in which the recovery is looked for.
const WINDOW_MS: u64 = 500;

impl Model {
    fn is_good(&self, call: usize) -> bool {
        let end = &self.ends[call];
        let objective = OBJECTIVES[self.calls[call].priority];
        end.complete && end.first_event.is_some_and(|first| first <= objective)
    }

    fn share_good(&self, holds: impl Fn(&Call) -> bool) -> f64 {
        let chosen = (0..self.calls.len()).filter(|call| holds(&self.calls[*call]));
        let (mut total, mut good) = (0_usize, 0_usize);
        for call in chosen {
            total += 1;
            good += usize::from(self.is_good(call));
        }
        good as f64 / total.max(1) as f64
    }

    /// Returns the figures of the run.
    pub(super) fn summary(&self) -> BurstSummary {
        let in_burst = |call: &Call| (BURST_START..BURST_END).contains(&call.at);
        let of_priority =
            |priority| self.share_good(|call| in_burst(call) && call.priority == priority);
        let before = self.share_good(|call| (Millis(2_000)..BURST_START).contains(&call.at));
        let mut windows: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
        for (index, call) in self.calls.iter().enumerate() {
            if call.at >= BURST_END {
                let window = call.at.since(BURST_END).0 / WINDOW_MS;
                let (total, good) = windows.entry(window).or_default();
                *total += 1;
                *good += usize::from(self.is_good(index));
            }
        }
        // The end of the last window that is too low.
        let low = windows
            .iter()
            .rev()
            .find(|(_, (total, good))| (*good as f64) < 0.9 * before * *total as f64);
        let share = |count: usize| count as f64 / self.arrivals.max(1) as f64;
        let half = Millis((BURST_START.0 + BURST_END.0) / 2);
        let late_half = |call: &Call| (half..BURST_END).contains(&call.at);
        let late_calls = self.calls.iter().filter(|call| late_half(call)).count();
        let seconds = BURST_END.since(half).as_f64() / 1_000.0;
        BurstSummary {
            arrivals: self.arrivals,
            rejected: share(self.rejected),
            abandoned: share(self.abandoned),
            refused: share(self.refused),
            good: [of_priority(0), of_priority(1), of_priority(2)],
            good_all: self.share_good(|_| true),
            good_per_s: self.share_good(late_half) * late_calls as f64 / seconds,
            good_small: self.share_good(|call| in_burst(call) && call.organisation != 0),
            recovery_ms: low.map_or(0, |(window, _)| (window + 1) * WINDOW_MS),
            fill: self.fill,
            completed_per_s: self.completed as f64 * 1_000.0
                / BURST_END.since(BURST_START).as_f64(),
            asks: self.asks,
        }
    }
}
