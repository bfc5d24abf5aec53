//! Generates the calls of a simulation, the same for every policy.

use anyhow::Context;
use rand::Rng as _;
use rand_distr::{Distribution, Exp, LogNormal};
use sardinepin_common::{Millis, seeded_rng};

/// The highest throughput of today's deployment, in calls per second.
pub(crate) const CAPACITY_CALLS_PER_SECOND: f64 = 100.0;

/// The number of organisations; each sends half as many calls as the one before it, except that the
/// last two send equally many.
pub(crate) const ORGANISATIONS: usize = 5;

/// The mean and standard deviation of the logarithm of a prompt's tokens.
pub(crate) const PROMPT_TOKENS_LOG: (f64, f64) = (6.4, 0.7);

/// The mean and standard deviation of the logarithm of an answer's events.
pub(crate) const EVENTS_LOG: (f64, f64) = (3.1, 0.6);

/// The maximum number of events of an answer.
pub(crate) const EVENTS_MAX: f64 = 66.0;

/// The maximum number of tokens of a prompt.
pub(crate) const PROMPT_TOKENS_MAX: f64 = 2_880.0;

/// Settings of a simulation.
#[derive(Debug, Clone)]
pub(crate) struct WorkloadSettings {
    pub(crate) seed: u64,
    pub(crate) seconds: u64,
    /// The size, as a multiple of today's deployment.
    pub(crate) size: usize,
    /// The offered load, as a multiple of the capacity of the groups.
    pub(crate) load: f64,
    /// The duration of an outage of the first group from the middle of the run on, in
    /// milliseconds; 0 for none.
    pub(crate) outage_ms: u64,
}

/// A call of a caller, which may make several attempts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Call {
    pub(crate) at: Millis,
    pub(crate) organisation: usize,
    pub(crate) prompt: u32,
    pub(crate) events: u32,
    /// A random number that determines the gateway of each attempt.
    pub(crate) hash: u64,
}

/// All calls of a simulation, in order of arrival.
#[derive(Debug)]
pub(crate) struct Workload(pub(crate) Vec<Call>);

impl Workload {
    /// Generates the calls; the same settings give the same calls.
    ///
    /// # Errors
    ///
    /// Fails if the load is out of the range of the arrival distribution.
    pub(crate) fn generate(settings: &WorkloadSettings) -> anyhow::Result<Self> {
        let mut rng = seeded_rng(settings.seed);
        let calls_per_ms =
            CAPACITY_CALLS_PER_SECOND * settings.size as f64 * settings.load / 1_000.0;
        let interval = Exp::new(calls_per_ms).context("the load must be above 0")?;
        let prompt = LogNormal::new(PROMPT_TOKENS_LOG.0, PROMPT_TOKENS_LOG.1)?;
        let events = LogNormal::new(EVENTS_LOG.0, EVENTS_LOG.1)?;
        let mut calls = Vec::new();
        let mut at = 0.0;
        while at < settings.seconds as f64 * 1_000.0 {
            at += interval.sample(&mut rng);
            calls.push(Call {
                at: Millis(at as u64),
                organisation: organisation_from(rng.random_range(0.0..1.0)),
                prompt: prompt.sample(&mut rng).clamp(16.0, PROMPT_TOKENS_MAX) as u32,
                events: events.sample(&mut rng).clamp(1.0, EVENTS_MAX) as u32,
                hash: rng.random(),
            });
        }
        Ok(Self(calls))
    }
}

/// Maps a uniform number from 0 to 1 to an organisation.
fn organisation_from(mut uniform: f64) -> usize {
    for organisation in 0..ORGANISATIONS - 1 {
        uniform *= 2.0;
        if uniform < 1.0 {
            return organisation;
        }
        uniform -= 1.0;
    }
    ORGANISATIONS - 1
}
