//! Token counts of a rank group's experts, generated or read from a recording.

use std::path::Path;

use anyhow::Context;
use rand::Rng as _;
use rand::seq::SliceRandom;
use rand_distr::{Distribution, Zipf};
use sardinepin_common::{Millis, Rng, seeded_rng};
use serde::Deserialize;

/// The dimensions of the simulated rank group.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GroupShape {
    /// The layers whose experts have a map of their own.
    pub(crate) layers: usize,
    /// The experts of each layer.
    pub(crate) experts: usize,
    /// The ranks of the group.
    pub(crate) ranks: usize,
    /// The experts of each layer that a rank has room for, replicas included.
    pub(crate) rank_slots: usize,
    /// The experts of each layer that a rank may load for one change.
    pub(crate) layer_transfers: usize,
}

impl Default for GroupShape {
    fn default() -> Self {
        Self {
            layers: 6,
            experts: 64,
            ranks: 8,
            rank_slots: 11,
            layer_transfers: 4,
        }
    }
}

/// The time between two samples of the counts.
const SAMPLE_INTERVAL: Millis = Millis(120);

/// Settings of generated traffic.
#[derive(Debug, Clone)]
pub(crate) struct TrafficSettings {
    pub(crate) shape: GroupShape,
    pub(crate) seed: u64,
    pub(crate) seconds: u64,
    /// The time between two shifts of the popularity.
    pub(crate) shift_ms: u64,
    /// The number of topics, each with its own popularity of experts.
    pub(crate) topics: usize,
    /// The Zipf exponent of the popularity of a topic's experts.
    pub(crate) zipf_exponent: f64,
    /// The share of tokens that belong to the current topic.
    pub(crate) topic_share: f64,
    /// The tokens between two samples.
    pub(crate) sample_tokens: f64,
    /// The number of requests, each of a random topic, that share the remaining tokens of a sample.
    pub(crate) other_requests: usize,
}

impl Default for TrafficSettings {
    fn default() -> Self {
        Self {
            shape: GroupShape::default(),
            seed: 1,
            seconds: 60,
            shift_ms: 3_400,
            topics: 9,
            zipf_exponent: 1.6,
            topic_share: 0.75,
            sample_tokens: 1e6,
            other_requests: 12,
        }
    }
}

/// A sample of the cumulative token counts, layer by layer.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Sample {
    pub(crate) at: Millis,
    pub(crate) counts: Vec<u64>,
}

/// The samples of a rank group's counts, in order of time.
#[derive(Debug)]
pub(crate) struct Traffic {
    pub(crate) shape: GroupShape,
    pub(crate) samples: Vec<Sample>,
}

impl Traffic {
    /// Reads recorded counts.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or a line is not a sample with a count for each expert.
    pub(crate) fn read(path: &Path, shape: GroupShape) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read {}", path.display()))?;
        let samples: Result<Vec<Sample>, _> = text.lines().map(serde_json::from_str).collect();
        let samples = samples.with_context(|| {
            format!(
                "{} has a line that is not a sample of counts",
                path.display()
            )
        })?;
        let is_complete = samples
            .iter()
            .all(|sample| sample.counts.len() == shape.layers * shape.experts);
        anyhow::ensure!(
            is_complete,
            "every line must hold {} counts",
            shape.layers * shape.experts
        );
        Ok(Self { shape, samples })
    }

    /// Generates random counts; the same settings give the same counts.
    ///
    /// # Errors
    ///
    /// Fails if the settings are out of the range of the topic distribution.
    pub(crate) fn generate(settings: &TrafficSettings) -> anyhow::Result<Self> {
        let mut rng = seeded_rng(settings.seed);
        let topics: Vec<Vec<f64>> = (0..settings.topics)
            .map(|_| draw_expert_shares(settings, &mut rng))
            .collect();
        let topic_distribution = Zipf::new(settings.topics as f64, 1.0)?;
        let mut counts = vec![0; settings.shape.layers * settings.shape.experts];
        let mut samples = Vec::new();
        let mut at = Millis::ZERO;
        let mut current_topic = 0;
        let mut next_shift = Millis(settings.shift_ms);
        while at < Millis(settings.seconds * 1_000) {
            if at >= next_shift {
                current_topic =
                    (current_topic + rng.random_range(1..settings.topics)) % settings.topics;
                next_shift = next_shift + Millis(settings.shift_ms);
            }
            add_tokens(
                &mut counts,
                &topics[current_topic],
                settings.sample_tokens * settings.topic_share,
            );
            let request_tokens = settings.sample_tokens * (1.0 - settings.topic_share)
                / settings.other_requests as f64;
            for _ in 0..settings.other_requests {
                let topic = topic_distribution.sample(&mut rng) as usize - 1;
                add_tokens(
                    &mut counts,
                    &topics[topic],
                    request_tokens * rng.random_range(0.0..2.0),
                );
            }
            samples.push(Sample {
                at,
                counts: counts.clone(),
            });
            at = at + SAMPLE_INTERVAL;
        }
        Ok(Self {
            shape: settings.shape,
            samples,
        })
    }

    /// Returns the tokens of each expert between a sample and the one before it; `None` for the first
    /// sample.
    pub(crate) fn increments_before(&self, index: usize) -> Option<Vec<u32>> {
        let before = self.samples.get(index.checked_sub(1)?)?;
        let pairs = self.samples.get(index)?.counts.iter().zip(&before.counts);
        let increments = pairs.map(|(now, before)| now.saturating_sub(*before) as u32);
        Some(increments.collect())
    }

    /// Returns the tokens of each expert between a sample and the next one, layer by layer; `None`
    /// for the last sample.
    pub(crate) fn counts_after(&self, index: usize) -> Option<Vec<Vec<f64>>> {
        let (sample, next) = (self.samples.get(index)?, self.samples.get(index + 1)?);
        let increase: Vec<f64> = sample
            .counts
            .iter()
            .zip(&next.counts)
            .map(|(before, after)| after.saturating_sub(*before) as f64)
            .collect();
        let layers = increase.chunks(self.shape.experts);
        Some(layers.map(<[f64]>::to_vec).collect())
    }
}

/// Draws the token shares of all experts for one topic, layer by layer.
fn draw_expert_shares(settings: &TrafficSettings, rng: &mut Rng) -> Vec<f64> {
    let weights: Vec<f64> = (1..=settings.shape.experts)
        .map(|position| (position as f64).powf(-settings.zipf_exponent))
        .collect();
    let sum: f64 = weights.iter().sum();
    let mut shares = Vec::new();
    for _ in 0..settings.shape.layers {
        let mut layer: Vec<f64> = weights.iter().map(|weight| weight / sum).collect();
        layer.shuffle(rng);
        shares.extend(layer);
    }
    shares
}

fn add_tokens(counts: &mut [u64], shares: &[f64], tokens: f64) {
    for (count, share) in counts.iter_mut().zip(shares) {
        *count += (share * tokens) as u64;
    }
}
