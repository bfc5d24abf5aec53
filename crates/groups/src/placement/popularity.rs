//! Derives the popularity of each expert from the increases of counts.
//!
//! The expected workload has a popularity that is stable for seconds and then shifts abruptly.
//! Counts from before a shift do not indicate which experts are popular after it.

use sardinepin_common::Millis;
use serde::{Deserialize, Serialize};

/// Settings of how popularity is derived from counts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PopularitySettings {
    /// The time after which the weight of a count has halved.
    pub half_life: Millis,
    /// The least distance between the newest and the earlier counts that is taken for a shift.
    ///
    /// The distance is the sum of the absolute differences of the experts' shares in a layer, at most
    /// 2, averaged over the layers.
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

/// The popularity of the experts of a group.
#[derive(Debug, Default)]
pub struct Popularity {
    settings: PopularitySettings,
    /// The number of ranks whose counts are summed.
    ranks: usize,
    /// The weight of each expert, concatenated layer by layer.
    weights: Vec<f64>,
    observed_at: Millis,
    epoch: u64,
    /// When the first counts of this epoch were observed.
    started_at: Millis,
}

impl Popularity {
    /// Returns a popularity without any counts.
    #[must_use]
    pub fn new(settings: PopularitySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Updates the popularity with increases of the counts since the last update, each of a rank or summed over some of the
    /// `ranks` ranks; those of others are unknown.
    ///
    /// Each layer has `experts` experts.
    pub fn record_increments(
        &mut self,
        now: Millis,
        epoch: u64,
        ranks: usize,
        increments: &[Vec<u32>],
        experts: usize,
    ) {
        if epoch != self.epoch || self.ranks != ranks {
            // What was popular before the group formed again is the best guess until it is counted.
            *self = Self {
                settings: self.settings,
                weights: std::mem::take(&mut self.weights),
                ranks,
                epoch,
                observed_at: now,
                started_at: now,
            };
        }
        let age = now.since(self.observed_at);
        let newest = sum_of(increments);
        if newest.iter().sum::<f64>() <= 0.0 {
            return;
        }
        self.observed_at = now;
        let shifted = self.mean_distance(&newest, experts) >= self.settings.shift_threshold;
        let kept = if shifted {
            0.0
        } else {
            decay_factor(age, self.settings.half_life)
        };
        blend(&mut self.weights, kept, &newest);
    }

    /// Returns the distance between the newest counts and the weights, averaged over the layers.
    fn mean_distance(&self, newest: &[f64], experts: usize) -> f64 {
        if self.weights.len() != newest.len() || experts == 0 {
            return 0.0;
        }
        let layers = newest.chunks(experts).zip(self.weights.chunks(experts));
        let distances: Vec<f64> = layers.map(|(new, old)| share_distance(new, old)).collect();
        distances.iter().sum::<f64>() / distances.len().max(1) as f64
    }

    /// Returns the time between the first and the last observation of this epoch.
    #[must_use]
    pub fn observation_time(&self) -> Millis {
        self.observed_at.since(self.started_at)
    }

    /// Returns the demand of each expert, layer by layer.
    ///
    /// Returns `None` if nothing has been counted, or the counts do not fit these dimensions.
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

/// Returns the increases added up.
fn sum_of(increments: &[Vec<u32>]) -> Vec<f64> {
    let mut sum: Vec<f64> = Vec::new();
    for rank in increments {
        sum.resize(rank.len().max(sum.len()), 0.0);
        for (sum, increment) in sum.iter_mut().zip(rank) {
            *sum += f64::from(*increment);
        }
    }
    sum
}

/// Returns the weight of counts of this age.
fn decay_factor(age: Millis, half_life: Millis) -> f64 {
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

/// Returns the sum of the absolute differences between the shares of two rows of weights.
fn share_distance(one: &[f64], other: &[f64]) -> f64 {
    let (all_one, all_other) = (one.iter().sum::<f64>(), other.iter().sum::<f64>());
    if all_one <= 0.0 || all_other <= 0.0 {
        return 0.0;
    }
    one.iter()
        .zip(other)
        .map(|(one, other)| (one / all_one - other / all_other).abs())
        .sum()
}
