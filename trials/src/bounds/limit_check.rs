//! Checks the limits of upstreams in the words of the users' rule, apart from the code that keeps them.
//!
//! From a while after an upstream first named its limit, it gets in no four seconds more than one and a half times what that allows
//! and five requests, from the senders that had passed on such an answer half a second before or earlier. A restart, a standstill or a
//! cut excuses a sender.

use sardinepin_common::{Map, Millis};

use crate::bounds::budget_check::Window;
use crate::bounds::day::LimitPlan;
use crate::bounds::record::{Arrival, Record};

/// The time from the first answer that names a limit until the rule holds.
const SETTLE_TIME: Millis = Millis(3_000);

/// The time after an answer from which its sender counts.
const TOLD_TIME: Millis = Millis(500);

/// The length of the rule's window.
const WINDOW: Millis = Millis(4_000);

/// How much more than its limit an upstream may get, as a factor and in requests.
const FACTOR: f64 = 1.5;
const EXTRA: f64 = 5.0;

/// Returns the worst window of all upstreams.
pub(super) fn worst_window(record: &Record, plan: &LimitPlan) -> Window {
    let upstreams = plan.upstreams.iter();
    let worst = upstreams.map(|upstream| worst_of_upstream(record, plan, *upstream));
    Window::worst(worst).unwrap_or_default()
}

fn worst_of_upstream(record: &Record, plan: &LimitPlan, upstream: usize) -> Window {
    let allowed = FACTOR * plan.rate.per_second() * WINDOW.as_f64() / 1_000.0 + EXTRA;
    let told = first_told(record, upstream);
    let counts = |arrival: &&Arrival| {
        let in_force = plan.from + SETTLE_TIME <= arrival.at && arrival.at < plan.until;
        let told = told.get(&arrival.sender);
        let was_told = told.is_some_and(|at| *at + TOLD_TIME <= arrival.at);
        arrival.upstream == upstream && in_force && was_told && !is_excused(record, arrival)
    };
    let counted: Vec<Millis> = record
        .arrivals
        .iter()
        .filter(counts)
        .map(|arrival| arrival.at)
        .collect();
    // The count is highest in a window that begins with an arrival.
    let windows = counted.iter().enumerate().map(|(position, from)| {
        let end = counted.partition_point(|at| *at <= *from + WINDOW);
        Window {
            from: *from,
            counted: end - position,
            allowed,
        }
    });
    Window::worst(windows).unwrap_or(Window {
        allowed,
        ..Window::default()
    })
}

/// Returns when each sender was first told of the limit of an upstream.
fn first_told(record: &Record, upstream: usize) -> Map<usize, Millis> {
    let mut first = Map::default();
    for told in record.told.iter().filter(|told| told.upstream == upstream) {
        first.entry(told.sender).or_insert(told.at);
    }
    first
}

fn is_excused(record: &Record, arrival: &Arrival) -> bool {
    record.excuses.iter().any(|excuse| {
        let during = excuse.from <= arrival.at && arrival.at < excuse.until + TOLD_TIME;
        excuse.sender == arrival.sender && during
    })
}

/// Returns which part of its limit the upstream that is alone got, while it named one.
pub(super) fn used_share(record: &Record, plan: &LimitPlan) -> f64 {
    let Some(alone) = plan.upstreams.last() else {
        return 0.0;
    };
    let from = plan.from + SETTLE_TIME;
    let arrivals = record.arrivals.iter();
    let counted = arrivals.filter(|arrival| {
        arrival.upstream == *alone && from <= arrival.at && arrival.at < plan.until
    });
    let seconds = plan.until.since(from).as_f64() / 1_000.0;
    counted.count() as f64 / (plan.rate.per_second() * seconds)
}
