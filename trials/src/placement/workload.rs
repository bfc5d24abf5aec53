//! Generates the popularity of experts over ten minutes, with sampled steps and noisy load reports.

use rand::Rng as _;
use rand::seq::SliceRandom;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Normal};
use sardinepin_common::{Rng, seeded_rng};

/// The number of experts that each token is routed to.
pub(crate) const EXPERTS_PER_TOKEN: usize = 8;

/// The number of tokens in a step.
const STEP_TOKENS: usize = 16_384;

/// The length of the trace, in seconds; one step is sampled in each second.
pub(crate) const TRACE_SECONDS: usize = 600;

/// The length of the warm-up before the trace, in seconds, during which only reports are taken in.
pub(crate) const WARM_UP_SECONDS: usize = 60;

/// The delay of reports, in seconds.
const REPORT_DELAY_SECONDS: usize = 3;

/// The standard deviation of the noise of a report, as a share of the reported load.
const REPORT_NOISE: f64 = 0.1;

/// The share of reports that are missing.
const MISSING_SHARE: f64 = 0.1;

/// The second of the trace in which a surge begins.
const SURGE_START_SECOND: usize = 200;

/// The time from the start of a surge to its peak, in seconds.
const SURGE_RISE_SECONDS: usize = 10;

/// The number of unpopular experts that surge.
const SURGE_EXPERTS: usize = 3;

/// The factor by which the popularity of a surging expert grows.
const SURGE_FACTOR: f64 = 3.0;

/// Settings of the workload.
#[derive(Debug, Clone)]
pub(crate) struct WorkloadSettings {
    pub(crate) seed: u64,
    pub(crate) ranks: usize,
    pub(crate) experts: usize,
    /// The slots for replicas, beyond one slot for each expert.
    pub(crate) spare_slots: usize,
    /// The Zipf exponent of the initial popularity.
    pub(crate) zipf_exponent: f64,
    /// The share of the popularity that moves to other experts each minute.
    pub(crate) drift: f64,
    pub(crate) surge: bool,
}

impl WorkloadSettings {
    /// Returns the number of expert slots of a rank.
    pub(crate) fn slots_per_rank(&self) -> usize {
        (self.experts + self.spare_slots) / self.ranks
    }
}

/// The simulated loads and reports, the same for every strategy.
#[derive(Debug)]
pub(crate) struct Trace {
    /// The tokens of each expert in the sampled step of each second after the warm-up.
    pub(crate) steps: Vec<Vec<f64>>,
    /// The reports that arrive in each second, starting with the warm-up.
    pub(crate) reports: Vec<Vec<Option<f64>>>,
}

impl Trace {
    /// Generates a trace; the same settings give the same trace.
    pub(crate) fn generate(settings: &WorkloadSettings) -> anyhow::Result<Self> {
        let mut rng = seeded_rng(settings.seed);
        let mut popularity = Popularity::new(settings, &mut rng);
        let mut step_loads = Vec::new();
        for second in 0..WARM_UP_SECONDS + TRACE_SECONDS {
            if second >= WARM_UP_SECONDS {
                popularity.advance(second - WARM_UP_SECONDS, settings, &mut rng);
            }
            let weights = popularity.weights(second.saturating_sub(WARM_UP_SECONDS));
            step_loads.push(sample_step(&weights, &mut rng)?);
        }
        let noise = Normal::new(1.0, REPORT_NOISE)?;
        let reports = (0..step_loads.len())
            .map(|second| {
                let loads = &step_loads[second.saturating_sub(REPORT_DELAY_SECONDS)];
                loads
                    .iter()
                    .map(|tokens| noisy_report(*tokens, &noise, &mut rng))
                    .collect()
            })
            .collect();
        Ok(Self {
            steps: step_loads.split_off(WARM_UP_SECONDS),
            reports,
        })
    }
}

/// The popularity of experts as it changes over the trace.
struct Popularity {
    /// The share of each expert in the current second, without surges.
    shares: Vec<f64>,
    /// The change of each expert's share per second in the current minute.
    slope: Vec<f64>,
    /// The experts that surge.
    surging: Vec<usize>,
}

impl Popularity {
    fn new(settings: &WorkloadSettings, rng: &mut Rng) -> Self {
        let mut shares: Vec<f64> = (1..=settings.experts)
            .map(|position| (position as f64).powf(-settings.zipf_exponent))
            .collect();
        let sum: f64 = shares.iter().sum();
        shares.iter_mut().for_each(|share| *share /= sum);
        shares.shuffle(rng);
        let mut order: Vec<usize> = (0..shares.len()).collect();
        order.sort_by(|a, b| shares[*a].total_cmp(&shares[*b]));
        let mut unpopular = order[..shares.len() / 2].to_vec();
        unpopular.shuffle(rng);
        unpopular.truncate(if settings.surge { SURGE_EXPERTS } else { 0 });
        Self {
            slope: vec![0.0; shares.len()],
            shares,
            surging: unpopular,
        }
    }

    fn advance(&mut self, second: usize, settings: &WorkloadSettings, rng: &mut Rng) {
        if second.is_multiple_of(60) {
            self.draw_drift(settings.drift, rng);
        }
        for (share, slope) in self.shares.iter_mut().zip(&self.slope) {
            *share = (*share + slope).max(0.0);
        }
    }

    /// Draws pairs of experts that exchange their shares in the coming minute, until the exchanged
    /// shares add up to `drift`.
    fn draw_drift(&mut self, drift: f64, rng: &mut Rng) {
        self.slope.iter_mut().for_each(|slope| *slope = 0.0);
        let mut order: Vec<usize> = (0..self.shares.len()).collect();
        order.shuffle(rng);
        let mut remaining = drift;
        for pair in order.chunks_exact(2) {
            // The last pair exchanges only a part, so that exactly `drift` is exchanged.
            let difference = self.shares[pair[1]] - self.shares[pair[0]];
            let moved = difference.clamp(-remaining, remaining);
            remaining -= moved.abs();
            self.slope[pair[0]] += moved / 60.0;
            self.slope[pair[1]] -= moved / 60.0;
            if remaining <= 0.0 {
                break;
            }
        }
    }

    /// Returns the popularity in a second of the trace, with surges.
    fn weights(&self, second: usize) -> Vec<f64> {
        let progress = second
            .saturating_sub(SURGE_START_SECOND)
            .min(SURGE_RISE_SECONDS) as f64
            / SURGE_RISE_SECONDS as f64;
        let mut weights = self.shares.clone();
        for expert in &self.surging {
            weights[*expert] *= 1.0 + (SURGE_FACTOR - 1.0) * progress;
        }
        weights
    }
}

/// Samples a step: each token is routed to distinct experts, drawn by their popularity.
fn sample_step(weights: &[f64], rng: &mut Rng) -> anyhow::Result<Vec<f64>> {
    let index = WeightedAliasIndex::new(weights.to_vec())?;
    let mut tokens = vec![0.0; weights.len()];
    for _ in 0..STEP_TOKENS {
        let mut experts = [usize::MAX; EXPERTS_PER_TOKEN];
        let mut count = 0;
        while count < EXPERTS_PER_TOKEN {
            let expert = index.sample(rng);
            if !experts[..count].contains(&expert) {
                experts[count] = expert;
                count += 1;
            }
        }
        experts.iter().for_each(|expert| tokens[*expert] += 1.0);
    }
    Ok(tokens)
}

/// Returns a report with noise, or `None` if the report is missing.
fn noisy_report(tokens: f64, noise: &Normal<f64>, rng: &mut Rng) -> Option<f64> {
    let reported = tokens * noise.sample(rng).max(0.0);
    (rng.random::<f64>() >= MISSING_SHARE).then_some(reported)
}
