//! Generates the open-loop trace: the due time, organisation and answer length of each call.

use std::ops::Range;

use anyhow::Result;
use rand::Rng as _;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Exp};
use sardinepin_common::{Rng, seeded_rng};

use super::Options;
use super::deployment::capacity_tokens_per_second;

/// The number of microseconds in a second.
pub(super) const MICROS_PER_SECOND: u64 = 1_000_000;

/// The load of the unloaded phase, as a share of the capacity.
const UNLOADED_LOAD: f64 = 0.2;

/// The load after the overload, as a share of the capacity.
const AFTER_LOAD: f64 = 0.5;

/// The duration of the warm-up, in which connections are established, in seconds.
const WARM_UP_SECONDS: u64 = 1;

/// The duration of the unloaded phase, in seconds.
const UNLOADED_SECONDS: u64 = 4;

/// The duration of the load after the overload, in seconds.
const AFTER_SECONDS: u64 = 6;

/// The unmeasured start of the overload, in which queues fill, in seconds.
const FILL_SECONDS: u64 = 2;

/// The share of calls that are urgent.
const URGENT_SHARE: f64 = 0.2;

/// The number of tokens of an urgent answer.
const URGENT_TOKENS: u64 = 4;

/// The range of the number of tokens of other answers.
const NORMAL_TOKENS: Range<u64> = 8..25;

/// A call of the trace.
#[derive(Debug, Clone, Copy)]
pub(super) struct Call {
    pub(super) number: usize,
    /// When the call is due, in microseconds after the start.
    pub(super) due_at: u64,
    pub(super) organisation: usize,
    pub(super) urgent: bool,
    pub(super) tokens: u64,
    pub(super) entry: usize,
}

/// The phases of a run, each in microseconds after the start.
#[derive(Debug, Clone)]
pub(super) struct Phases {
    pub(super) unloaded: Range<u64>,
    pub(super) overload: Range<u64>,
    /// The part of the overload that is measured.
    pub(super) measured: Range<u64>,
    pub(super) after: Range<u64>,
}

impl Phases {
    /// Returns the phases of a run.
    pub(super) fn new(options: &Options) -> Self {
        let unloaded = WARM_UP_SECONDS * MICROS_PER_SECOND;
        let overload = unloaded + UNLOADED_SECONDS * MICROS_PER_SECOND;
        let after = overload + options.seconds * MICROS_PER_SECOND;
        Self {
            unloaded: unloaded..overload,
            overload: overload..after,
            measured: overload + FILL_SECONDS * MICROS_PER_SECOND..after,
            after: after..after + AFTER_SECONDS * MICROS_PER_SECOND,
        }
    }

    /// Returns when the fault begins, in microseconds after the start.
    pub(super) fn fault_start(&self) -> u64 {
        u64::midpoint(self.overload.start, self.overload.end)
    }
}

/// Generates all calls, in the order of their due times.
pub(super) fn generate_calls(options: &Options, phases: &Phases) -> Result<Vec<Call>> {
    let mut rng = seeded_rng(options.seed);
    // The r-th organisation sends 1/r as many calls as the first.
    let call_weights = (1..=options.organisations).map(|rank| 1.0 / rank as f64);
    let organisations = WeightedAliasIndex::new(call_weights.collect())?;
    let mut calls = Vec::new();
    for (phase, load) in [
        (0..phases.unloaded.end, UNLOADED_LOAD),
        (phases.overload.clone(), options.load),
        (phases.after.clone(), AFTER_LOAD),
    ] {
        let calls_per_micro = load * capacity_tokens_per_second(options.upstreams)
            / mean_tokens()
            / MICROS_PER_SECOND as f64;
        let intervals = Exp::new(calls_per_micro)?;
        let mut due_at = phase.start as f64;
        loop {
            due_at += intervals.sample(&mut rng);
            if due_at >= phase.end as f64 {
                break;
            }
            let organisation = organisations.sample(&mut rng);
            calls.push(generate_call(
                options,
                &mut rng,
                calls.len(),
                due_at as u64,
                organisation,
            ));
        }
    }
    Ok(calls)
}

fn generate_call(
    options: &Options,
    rng: &mut Rng,
    number: usize,
    due_at: u64,
    organisation: usize,
) -> Call {
    let urgent = rng.random_bool(URGENT_SHARE);
    let tokens = if urgent {
        URGENT_TOKENS
    } else {
        rng.random_range(NORMAL_TOKENS)
    };
    Call {
        number,
        due_at,
        organisation,
        urgent,
        tokens,
        entry: rng.random_range(0..options.entries),
    }
}

/// Returns the mean number of tokens of an answer.
fn mean_tokens() -> f64 {
    let normal = (NORMAL_TOKENS.start + NORMAL_TOKENS.end - 1) as f64 / 2.0;
    URGENT_SHARE * URGENT_TOKENS as f64 + (1.0 - URGENT_SHARE) * normal
}
