//! Checks requests to upstreams that have said that they leave, or that they want none for some time, in the words of the users' rules and
//! apart from the code that keeps them.
//!
//! A request that a caller sent later than a while after its sender was told that an upstream leaves must not reach that upstream. From half a
//! second after an upstream told a sender for how long it wants nothing, until that time ends, two requests of the sender at most reach it. A
//! restart, a standstill or a cut of the sender since then excuses it.

use sardinepin_common::Millis;

use crate::bounds::record::{Arrival, Record, Withdrawn};

/// How long requests may still reach an upstream that leaves.
const DRAIN_TIME: Millis = Millis(2_000);

/// How long requests may still be on their way to an upstream that rests.
const ON_WAY_TIME: Millis = Millis(500);

/// How many requests of a sender may reach an upstream during a rest.
const STRAYS_MAX: usize = 2;

/// Returns how many requests broke a rule.
pub(super) fn count_broken(record: &Record) -> usize {
    let told = record.withdrawn.iter();
    let broken = told.map(|told| match told.rest {
        None => count_late(record, told),
        Some(time) => count_strays(record, told, time),
    });
    broken.sum()
}

/// Returns how many requests were sent on to an upstream that leaves.
fn count_late(record: &Record, told: &Withdrawn) -> usize {
    let arrivals = arrivals_of(record, told).filter(|arrival| {
        let asked_at = record.requests[arrival.request as usize];
        asked_at > told.at + DRAIN_TIME
    });
    arrivals.count()
}

/// Returns how many requests beyond those allowed reached an upstream during a rest.
fn count_strays(record: &Record, told: &Withdrawn, time: Millis) -> usize {
    let from = told.at + ON_WAY_TIME;
    let until = told.at + time;
    let strays = arrivals_of(record, told)
        .filter(|arrival| from <= arrival.at && arrival.at < until)
        .count();
    strays.saturating_sub(STRAYS_MAX)
}

/// Returns what reached the upstream from the sender that it told, unless that was disturbed since.
fn arrivals_of<'a>(record: &'a Record, told: &'a Withdrawn) -> impl Iterator<Item = &'a Arrival> {
    let first = record
        .arrivals
        .partition_point(|arrival| arrival.at < told.at);
    let later = record.arrivals[first..].iter();
    later.filter(|arrival| {
        let is_same = arrival.sender == told.sender && arrival.upstream == told.upstream;
        is_same && !is_excused(record, told, arrival.at)
    })
}

fn is_excused(record: &Record, told: &Withdrawn, at: Millis) -> bool {
    record.excuses.iter().any(|excuse| {
        excuse.sender == told.sender && excuse.from <= at && told.at < excuse.until + ON_WAY_TIME
    })
}
