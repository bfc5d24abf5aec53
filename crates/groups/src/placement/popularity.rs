//! How popular each expert is, from counts that only grow.
//!
//! The load that this answers is a popularity that stays for seconds and then shifts at once: what
//! was counted before a shift says nothing of the experts that are popular now.

use sardinepin_common::Millis;

/// Settings of the view of the popularity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PopularitySettings {
    /// The time after which what was counted weighs half.
    pub half_life: Millis,
    /// How far the newest counts lie from the earlier ones at a shift: the sum over a layer's
    /// experts of the differences of their shares, 2 at most.
    pub shift_threshold: f64,
}

impl Default for PopularitySettings {
    fn default() -> Self {
        Self {
            half_life: Millis(200),
            shift_threshold: 0.5,
        }
    }
}

/// The popularity of the experts of a group, layer after layer in one row.
#[derive(Debug, Default)]
pub struct Popularity {
    settings: PopularitySettings,
    /// The last counts of each rank.
    last: Vec<Option<Vec<u64>>>,
    /// The weight of each expert.
    weights: Vec<f64>,
    at: Millis,
    epoch: u64,
    /// Since when counts have been taken in.
    since: Millis,
}

impl Popularity {
    /// Makes a view that knows nothing.
    #[must_use]
    pub fn new(settings: PopularitySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes in the counts of all ranks, for layers of `experts` experts each.
    pub fn observe(
        &mut self,
        now: Millis,
        epoch: u64,
        counts: &[Option<Vec<u64>>],
        experts: usize,
    ) {
        if epoch != self.epoch || self.last.len() != counts.len() {
            self.begin(now, epoch, counts);
            return;
        }
        let age = now.since(self.at);
        self.at = now;
        let newest = self.grown(counts);
        if newest.iter().sum::<f64>() <= 0.0 {
            return;
        }
        let shifted = self.distance(&newest, experts) >= self.settings.shift_threshold;
        let kept = if shifted {
            0.0
        } else {
            halved(age, self.settings.half_life)
        };
        blend(&mut self.weights, kept, &newest);
    }

    fn begin(&mut self, now: Millis, epoch: u64, counts: &[Option<Vec<u64>>]) {
        *self = Self {
            settings: self.settings,
            last: counts.to_vec(),
            epoch,
            at: now,
            since: now,
            ..Self::default()
        };
    }

    /// Returns what was counted since the last time, over all ranks.
    fn grown(&mut self, counts: &[Option<Vec<u64>>]) -> Vec<f64> {
        let mut sum: Vec<f64> = Vec::new();
        for (last, new) in self.last.iter_mut().zip(counts) {
            let Some(new) = new else {
                continue;
            };
            if let Some(last) = &last {
                sum.resize(new.len().max(sum.len()), 0.0);
                for (sum, (last, new)) in sum.iter_mut().zip(last.iter().zip(new)) {
                    *sum += new.saturating_sub(*last) as f64;
                }
            }
            *last = Some(new.clone());
        }
        sum
    }

    /// Returns how far new counts lie from the earlier ones, as a mean over the layers.
    fn distance(&self, newest: &[f64], experts: usize) -> f64 {
        if self.weights.len() != newest.len() || experts == 0 {
            return 0.0;
        }
        let layers = newest.chunks(experts).zip(self.weights.chunks(experts));
        let distances: Vec<f64> = layers.map(|(new, old)| distance(new, old)).collect();
        distances.iter().sum::<f64>() / distances.len().max(1) as f64
    }

    /// Returns how long counts have been taken in.
    #[must_use]
    pub fn observation_time(&self) -> Millis {
        self.at.since(self.since)
    }

    /// Returns the demand, layer by layer of `experts` experts each, if any is known.
    #[must_use]
    pub fn demand(&self, layers: usize, experts: usize) -> Option<Vec<Vec<f64>>> {
        let known = self.weights.iter().sum::<f64>() > 0.0;
        if !known || self.weights.len() != layers * experts {
            return None;
        }
        let rows = self.weights.chunks(experts);
        Some(rows.map(<[f64]>::to_vec).collect())
    }
}

/// Returns the factor by which counts of age `age` weigh.
fn halved(age: Millis, half_life: Millis) -> f64 {
    (-(age.as_f64() / half_life.as_f64())).exp2()
}

fn blend(weights: &mut Vec<f64>, kept: f64, newest: &[f64]) {
    if weights.len() != newest.len() {
        weights.clear();
        weights.resize(newest.len(), 0.0);
    }
    for (weight, new) in weights.iter_mut().zip(newest) {
        *weight = *weight * kept + new;
    }
}

/// Returns the sum of the differences between the shares of two rows of weights.
fn distance(one: &[f64], other: &[f64]) -> f64 {
    let (all_one, all_other) = (one.iter().sum::<f64>(), other.iter().sum::<f64>());
    if all_one <= 0.0 || all_other <= 0.0 {
        return 0.0;
    }
    one.iter()
        .zip(other)
        .map(|(one, other)| (one / all_one - other / all_other).abs())
        .sum()
}
