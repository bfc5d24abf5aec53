//! The calls of a model run, the same for every policy.

use anyhow::Context;
use rand::Rng as _;
use rand_distr::{Distribution, Exp, LogNormal};
use sardinepin_common::{Millis, seeded_rng};

/// What today's deployment serves at its best, in calls a second.
pub(crate) const SERVED_BEST: f64 = 100.0;

/// How many organisations call; each has half the calls of the one before it.
pub(crate) const ORGANISATIONS: usize = 5;

/// The mean and the spread of the logarithm of a prompt's tokens.
const PROMPT: (f64, f64) = (6.4, 0.7);

/// The mean and the spread of the logarithm of an answer's events.
const EVENTS: (f64, f64) = (3.1, 0.6);

/// The most events of an answer.
const EVENTS_MAX: f64 = 66.0;

/// The most tokens of a prompt.
const PROMPT_MAX: f64 = 2_880.0;

/// Settings of a model run.
#[derive(Debug, Clone)]
pub(crate) struct CallsSettings {
    pub(crate) seed: u64,
    pub(crate) seconds: u64,
    /// How many times today's deployment.
    pub(crate) size: usize,
    /// The calls against what the groups can serve.
    pub(crate) load: f64,
    /// How long the first group is out, from the middle of the run on.
    pub(crate) outage_ms: u64,
}

/// One caller's wish.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Call {
    pub(crate) at: Millis,
    pub(crate) organisation: usize,
    pub(crate) prompt: u32,
    pub(crate) events: u32,
    /// A number from which the gateway of each attempt follows.
    pub(crate) hash: u64,
}

/// All calls of a run, by time.
#[derive(Debug)]
pub(crate) struct Calls(pub(crate) Vec<Call>);

impl Calls {
    /// Draws the calls; the same settings give the same ones.
    ///
    /// # Errors
    ///
    /// Fails if the settings give no distribution.
    pub(crate) fn draw(settings: &CallsSettings) -> anyhow::Result<Self> {
        let mut rng = seeded_rng(settings.seed);
        let rate = SERVED_BEST * settings.size as f64 * settings.load / 1_000.0;
        let gap = Exp::new(rate).context("the load has to be above 0")?;
        let prompt = LogNormal::new(PROMPT.0, PROMPT.1)?;
        let events = LogNormal::new(EVENTS.0, EVENTS.1)?;
        let mut calls = Vec::new();
        let mut at = 0.0;
        while at < settings.seconds as f64 * 1_000.0 {
            at += gap.sample(&mut rng);
            calls.push(Call {
                at: Millis(at as u64),
                organisation: organisation(rng.random_range(0.0..1.0)),
                prompt: prompt.sample(&mut rng).clamp(16.0, PROMPT_MAX) as u32,
                events: events.sample(&mut rng).clamp(1.0, EVENTS_MAX) as u32,
                hash: rng.random(),
            });
        }
        Ok(Self(calls))
    }
}

fn organisation(mut drawn: f64) -> usize {
    for at in 0..ORGANISATIONS - 1 {
        drawn *= 2.0;
        if drawn < 1.0 {
            return at;
        }
        drawn -= 1.0;
    }
    ORGANISATIONS - 1
}
