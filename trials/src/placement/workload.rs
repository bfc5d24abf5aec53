//! The popularity of experts over ten minutes, sampled steps, and what reports say of it.

use rand::Rng as _;
use rand::seq::SliceRandom;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Normal};
use sardinepin_common::{Rng, seeded_rng};

/// How many experts a token goes to.
pub(crate) const CHOSEN: usize = 8;

/// How many tokens a step has.
const TOKENS: usize = 16_384;

/// How long the trial runs, in seconds; one step is sampled in each.
pub(crate) const SECONDS: usize = 600;

/// How long reports come in before the trial begins, in seconds.
pub(crate) const WARM_UP: usize = 60;

/// How late reports are, in seconds.
const LATE: usize = 3;

/// The deviation of a report's noise, as a share of what it reports.
const NOISE: f64 = 0.1;

/// The share of reports that are missing.
const MISSING: f64 = 0.1;

/// When a surge begins and how long it takes to reach its height, in seconds.
const SURGE_AT: usize = 200;
const SURGE_RISE: usize = 10;

/// How many unpopular experts surge, and how much.
const SURGE_EXPERTS: usize = 3;
const SURGE_FACTOR: f64 = 3.0;

/// The shape of a trial.
#[derive(Debug, Clone)]
pub(crate) struct Shape {
    pub(crate) seed: u64,
    pub(crate) ranks: usize,
    pub(crate) experts: usize,
    pub(crate) spare: usize,
    pub(crate) zipf: f64,
    /// The share of the popularity that moves to other experts each minute.
    pub(crate) drift: f64,
    pub(crate) surge: bool,
}

impl Shape {
    /// Returns the slots of a rank.
    pub(crate) fn per_rank(&self) -> usize {
        (self.experts + self.spare) / self.ranks
    }
}

/// What happens, the same for every way of placement.
#[derive(Debug)]
pub(crate) struct Trace {
    /// The tokens of each expert in one step of each second, from the end of the warm-up on.
    pub(crate) steps: Vec<Vec<f64>>,
    /// The reports that arrive in each second; those of the warm-up come first.
    pub(crate) reports: Vec<Vec<Option<f64>>>,
}

impl Trace {
    /// Makes the trace of a shape; the same seed gives the same trace.
    pub(crate) fn make(shape: &Shape) -> anyhow::Result<Self> {
        let mut rng = seeded_rng(shape.seed);
        let mut popularity = Popularity::new(shape, &mut rng);
        let mut sampled = Vec::new();
        for second in 0..WARM_UP + SECONDS {
            if second >= WARM_UP {
                popularity.advance(second - WARM_UP, shape, &mut rng);
            }
            let weights = popularity.weights(second.saturating_sub(WARM_UP));
            sampled.push(sample(&weights, &mut rng)?);
        }
        let noise = Normal::new(1.0, NOISE)?;
        let reports = (0..sampled.len())
            .map(|second| {
                let seen = &sampled[second.saturating_sub(LATE)];
                seen.iter()
                    .map(|tokens| report(*tokens, &noise, &mut rng))
                    .collect()
            })
            .collect();
        Ok(Self {
            steps: sampled.split_off(WARM_UP),
            reports,
        })
    }
}

struct Popularity {
    now: Vec<f64>,
    /// What each expert gains or loses in a second of this minute.
    slope: Vec<f64>,
    surging: Vec<usize>,
}

impl Popularity {
    fn new(shape: &Shape, rng: &mut Rng) -> Self {
        let mut now: Vec<f64> = (1..=shape.experts)
            .map(|place| (place as f64).powf(-shape.zipf))
            .collect();
        let sum: f64 = now.iter().sum();
        now.iter_mut().for_each(|share| *share /= sum);
        now.shuffle(rng);
        let mut order: Vec<usize> = (0..now.len()).collect();
        order.sort_by(|a, b| now[*a].total_cmp(&now[*b]));
        let mut unpopular = order[..now.len() / 2].to_vec();
        unpopular.shuffle(rng);
        unpopular.truncate(if shape.surge { SURGE_EXPERTS } else { 0 });
        Self {
            slope: vec![0.0; now.len()],
            now,
            surging: unpopular,
        }
    }

    fn advance(&mut self, second: usize, shape: &Shape, rng: &mut Rng) {
        if second.is_multiple_of(60) {
            self.turn(shape.drift, rng);
        }
        for (share, slope) in self.now.iter_mut().zip(&self.slope) {
            *share = (*share + slope).max(0.0);
        }
    }

    /// Draws pairs of experts that trade places in the coming minute, until they move `drift`.
    fn turn(&mut self, drift: f64, rng: &mut Rng) {
        self.slope.iter_mut().for_each(|slope| *slope = 0.0);
        let mut order: Vec<usize> = (0..self.now.len()).collect();
        order.shuffle(rng);
        let mut left = drift;
        for pair in order.chunks_exact(2) {
            // The last pair trades only in part, so that exactly `drift` moves.
            let gap = self.now[pair[1]] - self.now[pair[0]];
            let moved = gap.clamp(-left, left);
            left -= moved.abs();
            self.slope[pair[0]] += moved / 60.0;
            self.slope[pair[1]] -= moved / 60.0;
            if left <= 0.0 {
                break;
            }
        }
    }

    fn weights(&self, second: usize) -> Vec<f64> {
        let risen = second.saturating_sub(SURGE_AT).min(SURGE_RISE) as f64 / SURGE_RISE as f64;
        let mut weights = self.now.clone();
        for expert in &self.surging {
            weights[*expert] *= 1.0 + (SURGE_FACTOR - 1.0) * risen;
        }
        weights
    }
}

/// Samples a step: each token goes to distinct experts, drawn by their popularity.
fn sample(weights: &[f64], rng: &mut Rng) -> anyhow::Result<Vec<f64>> {
    let index = WeightedAliasIndex::new(weights.to_vec())?;
    let mut tokens = vec![0.0; weights.len()];
    for _ in 0..TOKENS {
        let mut chosen = [usize::MAX; CHOSEN];
        let mut count = 0;
        while count < CHOSEN {
            let expert = index.sample(rng);
            if !chosen[..count].contains(&expert) {
                chosen[count] = expert;
                count += 1;
            }
        }
        chosen.iter().for_each(|expert| tokens[*expert] += 1.0);
    }
    Ok(tokens)
}

fn report(tokens: f64, noise: &Normal<f64>, rng: &mut Rng) -> Option<f64> {
    let said = tokens * noise.sample(rng).max(0.0);
    (rng.random::<f64>() >= MISSING).then_some(said)
}
