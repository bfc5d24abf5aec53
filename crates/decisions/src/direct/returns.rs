//! When refused callers should come back.
//!
//! This answers an outage and the return after it. A caller has few retries and waits at most a part
//! of the time that it has left, so a retry during the same outage is lost. Callers are asked back when
//! the outage is expected to be over, and not all at once.

use rand::Rng as _;
use sardinepin_common::{Millis, Rng};

/// The part of the time left that a caller waits at most before a retry.
const WAIT_DIVISOR: u64 = 3;

/// The shortest retry delay.
const DELAY_MIN: Millis = Millis(300);

/// The duration of an outage that is expected before any has been observed.
const OUTAGE_EXPECTED: Millis = Millis(4_000);

/// The weight of the newest outage in the moving average of their durations.
const OUTAGE_GAIN: f64 = 0.3;

/// The outages of one service, and the retry delays that follow from them.
#[derive(Debug)]
pub(super) struct Returns {
    /// When the current outage began; `None` while an upstream is usable.
    out_since: Option<Millis>,
    /// The moving average of the durations of outages, in milliseconds.
    outage_ms: f64,
}

impl Default for Returns {
    fn default() -> Self {
        Self {
            out_since: None,
            outage_ms: OUTAGE_EXPECTED.as_f64(),
        }
    }
}

impl Returns {
    /// Records whether any upstream of the service is usable.
    pub(super) fn record_usable(&mut self, now: Millis, usable: bool) {
        match (usable, self.out_since) {
            (false, None) => self.out_since = Some(now),
            (true, Some(since)) => {
                self.out_since = None;
                let lasted = now.since(since).as_f64();
                self.outage_ms += (lasted - self.outage_ms) * OUTAGE_GAIN;
            }
            _ => {}
        }
    }

    /// Returns how much longer the current outage is expected to last: until the usual duration, and
    /// once that has passed, as long again as it has lasted.
    fn outage_left(&self, now: Millis) -> Millis {
        let Some(since) = self.out_since else {
            return Millis::ZERO;
        };
        let elapsed = now.since(since);
        let usual = Millis(self.outage_ms as u64);
        elapsed.max(usual.since(elapsed))
    }

    /// Returns the retry delay of a caller that is refused because no upstream is usable.
    pub(super) fn outage_delay(&self, now: Millis, deadline: Millis, rng: &mut Rng) -> Millis {
        let longest = longest_wait(now, deadline);
        let wanted = self.outage_left(now).clamp(DELAY_MIN, longest);
        spread(wanted, rng)
    }
}

/// Returns the retry delay of a caller that is refused because all upstreams are full.
pub(super) fn overload_delay(now: Millis, deadline: Millis, rng: &mut Rng) -> Millis {
    let longest = longest_wait(now, deadline);
    Millis(rng.random_range(DELAY_MIN.0..=longest.0))
}

/// Returns the retry delay of a caller that is refused because its group takes only a share of all requests. How long that lasts is
/// not known and the caller may have no further retry, so it comes back in the later half of the time that it can wait.
pub(super) fn late_delay(now: Millis, deadline: Millis, rng: &mut Rng) -> Millis {
    let longest = longest_wait(now, deadline);
    let shortest = Millis(longest.0 / 2).max(DELAY_MIN);
    Millis(rng.random_range(shortest.0..=longest.0))
}

/// Returns the retry delay of a caller that is refused because of the limits that upstreams have named; `turn` is the time until they
/// allow a request.
pub(super) fn turn_delay(turn: Millis, rng: &mut Rng) -> Millis {
    let wanted = turn.max(DELAY_MIN);
    Millis(wanted.0 + rng.random_range(0..=wanted.0 / 10))
}

/// Returns the retry delay of a caller that is refused because of an evacuation or of its regions: an operator ends these, at a time
/// that is not known.
pub(super) fn exclusion_delay(now: Millis, deadline: Millis, rng: &mut Rng) -> Millis {
    spread(longest_wait(now, deadline), rng)
}

fn longest_wait(now: Millis, deadline: Millis) -> Millis {
    Millis(deadline.since(now).0 / WAIT_DIVISOR).max(DELAY_MIN)
}

/// Returns a delay between nine tenths of `wanted` and all of it.
fn spread(wanted: Millis, rng: &mut Rng) -> Millis {
    let tenth = wanted.0 / 10;
    Millis(wanted.0 - rng.random_range(0..=tenth))
}
