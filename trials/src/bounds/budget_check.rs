//! Checks the retry budget in the words of the users' rule, apart from the code that keeps it.
//!
//! In each window a service may get so many arrivals beyond the first of each request: a ratio of the requests for it, and a
//! slack. The requests are counted in that window, in the one before it or in the one half a window before it, whichever has most.

use sardinepin_common::Millis;

use crate::bounds::record::Record;

/// The rule's figures.
#[derive(Debug, Clone, Copy)]
pub(super) struct BudgetRule {
    pub(super) ratio: f64,
    pub(super) slack: f64,
    pub(super) window: Millis,
}

impl Default for BudgetRule {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 192.0,
            window: Millis(10_000),
        }
    }
}

/// A window and what was counted in it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Window {
    pub(super) from: Millis,
    pub(super) counted: usize,
    pub(super) allowed: f64,
}

impl Window {
    /// Returns whether no more was counted than allowed.
    pub(super) fn is_kept(&self) -> bool {
        self.counted as f64 <= self.allowed
    }

    fn margin(&self) -> f64 {
        self.allowed - self.counted as f64
    }
}

impl BudgetRule {
    /// Returns the window with repeats that comes closest to breaking the rule, or breaks it most.
    pub(super) fn worst_window(&self, record: &Record) -> Window {
        let repeats = record.repeat_times();
        // The count changes only where a window begins or ends with a repeat, or with a request.
        let starts = repeats.iter().copied();
        let ends = repeats.iter().map(|end| end.since(self.window));
        let shifted = (0..).map(|step| Millis(step * SHIFT.0));
        let last = repeats.last().copied().unwrap_or_default();
        let shifted = shifted.take_while(|from| *from <= last);
        let windows = starts.chain(ends).chain(shifted);
        let windows = windows.map(|from| self.count(&repeats, &record.requests, from));
        let windows = windows.filter(|window| window.counted > 0);
        let worst = windows.min_by(|one, other| one.margin().total_cmp(&other.margin()));
        worst.unwrap_or(Window {
            allowed: self.slack,
            ..Window::default()
        })
    }

    fn count(&self, repeats: &[Millis], requests: &[Millis], from: Millis) -> Window {
        let half = Millis(self.window.0 / 2);
        let earlier = [Millis::ZERO, half, self.window];
        let requests = earlier.map(|shift| {
            // A window that would begin before the day has its part of it.
            let until = (from + self.window).since(shift);
            count_between(requests, from.since(shift), until)
        });
        let most = requests.into_iter().max().unwrap_or_default();
        Window {
            from,
            counted: count_between(repeats, from, from + self.window),
            allowed: self.ratio * most as f64 + self.slack,
        }
    }
}

/// The distance between two windows that are looked at whatever arrives.
const SHIFT: Millis = Millis(25);

/// Returns how many of the sorted times lie in a window, both ends included.
fn count_between(times: &[Millis], from: Millis, until: Millis) -> usize {
    let begin = times.partition_point(|at| *at < from);
    let end = times.partition_point(|at| *at <= until);
    end.saturating_sub(begin)
}
