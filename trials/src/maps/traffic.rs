//! Counts of a group's experts: drawn, or recorded.

use std::path::Path;

use anyhow::Context;
use rand::Rng as _;
use rand::seq::SliceRandom;
use rand_distr::{Distribution, Zipf};
use sardinepin_common::{Millis, Rng, seeded_rng};
use serde::Deserialize;

/// The shape of a group.
pub(crate) const LAYERS: usize = 6;
pub(crate) const EXPERTS: usize = 64;
pub(crate) const RANKS: usize = 8;
pub(crate) const PLACES: usize = 11;

/// The time between two looks at the counts.
const LOOK: Millis = Millis(120);

/// Settings of drawn traffic.
#[derive(Debug, Clone)]
pub(crate) struct TrafficSettings {
    pub(crate) seed: u64,
    pub(crate) seconds: u64,
    /// The time between two shifts of the popularity.
    pub(crate) shift_ms: u64,
    /// How many topics there are, each with experts of its own.
    pub(crate) topics: usize,
    /// The exponent of the popularity of a topic's experts.
    pub(crate) exponent: f64,
    /// The share of the tokens that belong to the topic of the moment.
    pub(crate) common: f64,
    /// The tokens of one look.
    pub(crate) tokens: f64,
    /// How many requests share the other tokens of one look.
    pub(crate) requests: usize,
}

impl Default for TrafficSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            seconds: 60,
            shift_ms: 3_400,
            topics: 9,
            exponent: 1.6,
            common: 0.75,
            tokens: 1e6,
            requests: 12,
        }
    }
}

/// The counts at one look, since the beginning.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Look {
    pub(crate) at: Millis,
    pub(crate) counts: Vec<u64>,
}

/// The looks at a group.
#[derive(Debug)]
pub(crate) struct Traffic {
    pub(crate) looks: Vec<Look>,
}

impl Traffic {
    /// Reads recorded counts.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or a line is none of counts.
    pub(crate) fn read(path: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("{} cannot be read", path.display()))?;
        let looks: Result<Vec<Look>, _> = text.lines().map(serde_json::from_str).collect();
        let looks = looks.with_context(|| format!("{} holds a bad line", path.display()))?;
        let whole = looks
            .iter()
            .all(|look| look.counts.len() == LAYERS * EXPERTS);
        anyhow::ensure!(whole, "every line has to hold {} counts", LAYERS * EXPERTS);
        Ok(Self { looks })
    }

    /// Draws counts; the same settings give the same ones.
    ///
    /// # Errors
    ///
    /// Fails if the settings give no distribution.
    pub(crate) fn draw(settings: &TrafficSettings) -> anyhow::Result<Self> {
        let mut rng = seeded_rng(settings.seed);
        let topics: Vec<Vec<f64>> = (0..settings.topics)
            .map(|_| topic(settings, &mut rng))
            .collect();
        let choice = Zipf::new(settings.topics as f64, 1.0)?;
        let mut counts = vec![0; LAYERS * EXPERTS];
        let mut looks = Vec::new();
        let mut at = Millis::ZERO;
        let mut topic_now = 0;
        let mut shift = Millis(settings.shift_ms);
        while at < Millis(settings.seconds * 1_000) {
            if at >= shift {
                topic_now = (topic_now + rng.random_range(1..settings.topics)) % settings.topics;
                shift = shift + Millis(settings.shift_ms);
            }
            add(
                &mut counts,
                &topics[topic_now],
                settings.tokens * settings.common,
            );
            let rest = settings.tokens * (1.0 - settings.common) / settings.requests as f64;
            for _ in 0..settings.requests {
                let one = choice.sample(&mut rng) as usize - 1;
                add(&mut counts, &topics[one], rest * rng.random_range(0.0..2.0));
            }
            looks.push(Look {
                at,
                counts: counts.clone(),
            });
            at = at + LOOK;
        }
        Ok(Self { looks })
    }

    /// Returns what was counted between two looks in a row, layer by layer.
    pub(crate) fn between(&self, at: usize) -> Option<Vec<Vec<f64>>> {
        let (one, next) = (self.looks.get(at)?, self.looks.get(at + 1)?);
        let grown: Vec<f64> = one
            .counts
            .iter()
            .zip(&next.counts)
            .map(|(one, next)| next.saturating_sub(*one) as f64)
            .collect();
        Some(grown.chunks(EXPERTS).map(<[f64]>::to_vec).collect())
    }
}

/// Returns the shares of the experts of one topic, layer after layer.
fn topic(settings: &TrafficSettings, rng: &mut Rng) -> Vec<f64> {
    let weights: Vec<f64> = (1..=EXPERTS)
        .map(|place| (place as f64).powf(-settings.exponent))
        .collect();
    let sum: f64 = weights.iter().sum();
    let mut shares = Vec::new();
    for _ in 0..LAYERS {
        let mut layer: Vec<f64> = weights.iter().map(|weight| weight / sum).collect();
        layer.shuffle(rng);
        shares.extend(layer);
    }
    shares
}

fn add(counts: &mut [u64], shares: &[f64], tokens: f64) {
    for (count, share) in counts.iter_mut().zip(shares) {
        *count += (share * tokens) as u64;
    }
}
