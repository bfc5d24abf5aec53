//! What requests and whole answers contain, so that callers can check what workers wrote.

use rand::Rng as _;
use sardinepin_common::{Rng, seeded_rng};

/// The longest stream, as a multiple of the mean in percent, and the shortest one.
const LONGEST_PERCENT: f64 = 257.0;
const SHORTEST_PERCENT: f64 = 17.0;

/// The sizes of answers.
#[derive(Debug, Clone, Copy)]
pub(super) struct Content {
    /// The number of events of a stream, or their mean.
    pub(super) events: u64,
    /// Whether the number of events differs from stream to stream.
    pub(super) varies: bool,
    /// The length of what an event contains besides the identifier of its request.
    pub(super) event_bytes: usize,
    /// The length of a plain answer after the identifier.
    pub(super) answer_bytes: usize,
}

impl Content {
    /// Returns the number of events of the stream that answers a request.
    pub(super) fn events_of(&self, id: &str) -> u64 {
        if !self.varies {
            return self.events;
        }
        let draw: f64 = rng_of(id).random();
        let percent = SHORTEST_PERCENT + (LONGEST_PERCENT - SHORTEST_PERCENT) * draw * draw;
        let events = self.events as f64 * percent / 100.0;
        (events as u64).max(1)
    }

    /// Returns an event of a stream.
    pub(super) fn event(&self, number: u64, id: &str) -> String {
        let filling = ".".repeat(self.event_bytes);
        format!("id: {number}\ndata: {id}{filling}\n\n")
    }

    /// Returns the whole stream that answers a request.
    pub(super) fn stream(&self, id: &str) -> String {
        (1..=self.events_of(id))
            .map(|number| self.event(number, id))
            .collect()
    }

    /// Returns the whole answer to a plain request.
    pub(super) fn plain(&self, id: &str) -> String {
        id.to_owned() + &".".repeat(self.answer_bytes)
    }
}

/// Returns random numbers that are the same for the same request.
fn rng_of(id: &str) -> Rng {
    let seed = id.bytes().fold(17_u64, |seed, byte| {
        seed.wrapping_mul(0x100_0000_01b3) ^ u64::from(byte)
    });
    seeded_rng(seed)
}
