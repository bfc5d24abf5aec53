//! Checks the retry budget in the words of the users' rule, apart from the code that keeps it.
//!
//! In each window a service may get so many arrivals beyond the first of each request: a ratio of the requests for it, and a
//! slack. The requests are counted in that window, in the one before it or in the one half a window before it, whichever has most.

use sardinepin_common::Millis;

use crate::bounds::record::Record;
use crate::bounds::upstreams::{SERVICES, ServiceIndex};

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

    /// Returns which part of what was allowed was counted.
    pub(super) fn used(&self) -> f64 {
        // The order of the quotient of two zeros depends on the processor.
        match self.counted {
            0 => 0.0,
            counted => counted as f64 / self.allowed,
        }
    }

    /// Returns the window that comes closest to breaking a rule, or breaks it most.
    pub(super) fn worst(windows: impl Iterator<Item = Self>) -> Option<Self> {
        windows.max_by(|one, other| one.used().total_cmp(&other.used()))
    }
}

impl BudgetRule {
    /// Returns the worst window of all services.
    pub(super) fn worst_window(&self, record: &Record) -> Window {
        let services = 0..SERVICES.len();
        let worst = services.map(|service| self.worst_of_service(record, service));
        Window::worst(worst).unwrap_or_default()
    }

    fn worst_of_service(&self, record: &Record, service: ServiceIndex) -> Window {
        let repeats = record.repeats_of(service);
        let requests = record.requests_of(service);
        // The count changes only where a window begins or ends with a repeat, or with a request.
        let starts = repeats.iter().copied();
        let ends = repeats.iter().map(|end| end.since(self.window));
        let shifted = (0..).map(|step| Millis(step * SHIFT.0));
        let last = repeats.last().copied().unwrap_or_default();
        let shifted = shifted.take_while(|from| *from <= last);
        let windows = starts.chain(ends).chain(shifted);
        let windows = windows.map(|from| self.count(&repeats, &requests, from));
        Window::worst(windows).unwrap_or(Window {
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
