//! How often experts were chosen, and the form in which this travels between agents.
//!
//! The counts of a large group are its largest messages. A plan needs the shares of the experts, so that a count travels as one byte, in
//! units of a part of the highest one.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

/// How often the engine's own requests have chosen each expert since its counts were last read.
///
/// On the wire each count is rounded to a multiple of about the highest one divided by 255.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WireCounts", into = "WireCounts")]
pub struct CountIncrements {
    /// How many times the group had formed when the counts were read.
    pub epoch: u64,
    /// The increases of the counts of every expert, concatenated layer by layer.
    pub increments: Vec<u32>,
}

/// Counts as multiples of a unit.
#[derive(Debug, Serialize, Deserialize)]
struct WireCounts {
    epoch: u64,
    unit: u32,
    multiples: Vec<u8>,
}

impl From<CountIncrements> for WireCounts {
    fn from(counts: CountIncrements) -> Self {
        let highest = counts.increments.iter().copied().max().unwrap_or_default();
        let unit = highest.div_ceil(u32::from(u8::MAX)).max(1);
        let round = |count: &u32| u8::try_from(count.saturating_add(unit / 2) / unit);
        let multiples = counts.increments.iter().map(round);
        Self {
            epoch: counts.epoch,
            unit,
            multiples: multiples
                .map(|multiple| multiple.unwrap_or(u8::MAX))
                .collect(),
        }
    }
}

impl From<WireCounts> for CountIncrements {
    fn from(wire: WireCounts) -> Self {
        let counts = wire.multiples.into_iter();
        Self {
            epoch: wire.epoch,
            increments: counts
                .map(|multiple| u32::from(multiple).saturating_mul(wire.unit))
                .collect(),
        }
    }
}

/// Adds up counts of several ranks; those of another epoch than the first are left out.
pub(crate) fn sum_counts(
    counts: impl IntoIterator<Item = CountIncrements>,
) -> Option<CountIncrements> {
    counts.into_iter().reduce(|mut sum, next| {
        if next.epoch == sum.epoch && next.increments.len() == sum.increments.len() {
            for (sum, increment) in sum.increments.iter_mut().zip(next.increments) {
                *sum = sum.saturating_add(increment);
            }
        }
        sum
    })
}
