//! How many nodes share a bound, as far as one node knows.

use sardinepin_common::Millis;

/// How long the largest known number is remembered: a partition hides some of the nodes.
const RETENTION: Millis = Millis(60_000);

/// The number of nodes that is assumed while none is known.
const ASSUMED: f64 = 400.0;

/// The largest number of nodes that was known lately.
#[derive(Debug, Default)]
pub struct NodeCount {
    largest: Option<(Millis, f64)>,
}

impl NodeCount {
    /// Records how many nodes are known now.
    pub fn record(&mut self, now: Millis, nodes: f64) {
        let outdated = |(at, known): (Millis, f64)| nodes >= known || now.since(at) >= RETENTION;
        if self.largest.is_none_or(outdated) {
            self.largest = Some((now, nodes));
        }
    }

    /// Returns the largest number that was known lately; `None` if none is known.
    #[must_use]
    pub fn known(&self) -> Option<f64> {
        self.largest.map(|(_, nodes)| nodes)
    }

    /// Returns the number by which something shared is divided: one that is safe if none is known.
    #[must_use]
    pub fn divisor(&self) -> f64 {
        self.known().unwrap_or(ASSUMED).max(1.0)
    }
}
