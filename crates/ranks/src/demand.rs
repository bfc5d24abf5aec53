//! How much each expert is asked for, from counts that only grow.

use sardinepin_common::Millis;

use crate::engine::{EngineCounts, Shape};

/// The time after which what was counted weighs half.
const HALF_LIFE: Millis = Millis(200);

/// The demand for the experts of a group.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    /// The last counts of each rank.
    last: Vec<Option<EngineCounts>>,
    weights: Vec<f64>,
    at: Millis,
    epoch: u64,
    /// Since when counts have been taken in.
    since: Millis,
}

impl Demand {
    /// Takes in the counts of all ranks.
    pub(crate) fn observe(&mut self, now: Millis, epoch: u64, counts: &[Option<EngineCounts>]) {
        if epoch != self.epoch || self.last.len() != counts.len() {
            *self = Self {
                last: counts.to_vec(),
                epoch,
                at: now,
                since: now,
                ..Self::default()
            };
            return;
        }
        let age = now.since(self.at).as_f64() / HALF_LIFE.as_f64();
        for weight in &mut self.weights {
            *weight *= (-age).exp2();
        }
        self.at = now;
        for (last, new) in self.last.iter_mut().zip(counts) {
            if let (Some(last), Some(new)) = (&last, new) {
                add(&mut self.weights, last, new);
            }
            if new.is_some() {
                last.clone_from(new);
            }
        }
    }

    /// Returns how long counts have been taken in.
    pub(crate) fn span(&self) -> Millis {
        self.at.since(self.since)
    }

    /// Returns the demand, layer by layer, if any is known.
    pub(crate) fn layers(&self, shape: &Shape) -> Option<Vec<Vec<f64>>> {
        let known = self.weights.iter().sum::<f64>() > 0.0;
        if !known || self.weights.len() != shape.layers * shape.experts {
            return None;
        }
        let layers = self.weights.chunks(shape.experts);
        Some(layers.map(<[f64]>::to_vec).collect())
    }
}

fn add(weights: &mut Vec<f64>, last: &EngineCounts, new: &EngineCounts) {
    if weights.len() != new.counts.len() {
        weights.clear();
        weights.resize(new.counts.len(), 0.0);
    }
    let grown = last.counts.iter().zip(&new.counts);
    for (weight, (last, new)) in weights.iter_mut().zip(grown) {
        *weight += new.saturating_sub(*last) as f64;
    }
}
