//! The network between senders and upstreams: delays with a tail, and an availability zone that is cut off.

use rand::Rng as _;
use sardinepin_common::{Millis, Rng};

/// The number of availability zones.
pub(super) const ZONES: usize = 3;

/// Bytes that stay unacknowledged for this long are lost with their connection.
const USER_TIMEOUT: Millis = Millis(1_500);

/// The share of messages that are delayed by a retransmission.
const TAIL_SHARE: f64 = 0.01;

/// The delay of these.
const TAIL_DELAY_MS: std::ops::Range<u64> = 40..400;

/// The delay of the other messages.
const DELAY_MS: std::ops::Range<u64> = 1..5;

/// The network.
#[derive(Debug, Default)]
pub(super) struct Network {
    /// The zone that is cut off and when that ends.
    cut: Option<(usize, Millis)>,
}

impl Network {
    /// Cuts a zone off until `until`.
    pub(super) fn cut(&mut self, zone: usize, until: Millis) {
        self.cut = Some((zone, until));
    }

    /// Returns whether two zones reach each other.
    pub(super) fn connects(&self, now: Millis, one: usize, other: usize) -> bool {
        let separated = |(zone, until)| now < until && (one == zone) != (other == zone);
        !self.cut.is_some_and(separated)
    }

    /// Returns when a message arrives; `None` if it is lost in a cut.
    pub(super) fn arrival(
        &self,
        now: Millis,
        from: usize,
        to: usize,
        rng: &mut Rng,
    ) -> Option<Millis> {
        let delay = match rng.random_bool(TAIL_SHARE) {
            true => rng.random_range(TAIL_DELAY_MS),
            false => rng.random_range(DELAY_MS),
        };
        if self.connects(now, from, to) {
            return Some(now + Millis(delay));
        }
        // What was written before the end of a short cut is sent again by the transport.
        let (_, healed) = self.cut?;
        let waits = healed.since(now);
        (waits <= USER_TIMEOUT).then_some(healed + Millis(delay))
    }
}
