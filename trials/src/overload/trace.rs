//! The seeded open-loop trace: when each call comes, whose it is and how long its answer is.

use std::ops::Range;

use anyhow::Result;
use rand::Rng as _;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Exp};
use sardinepin_common::{Rng, seeded_rng};

use super::Plan;
use super::deployment::capacity;

/// The microseconds of a second.
pub(super) const SECOND: u64 = 1_000_000;

/// The load of the unloaded phase, as a share of the capacity.
const QUIET_LOAD: f64 = 0.2;

/// The load after the overload, as a share of the capacity.
const AFTER_LOAD: f64 = 0.5;

/// How long connections are made before anything is measured, in seconds.
const WARM_SECONDS: u64 = 1;

/// How long the unloaded phase lasts, in seconds.
const QUIET_SECONDS: u64 = 4;

/// How long the load after the overload lasts, in seconds.
const AFTER_SECONDS: u64 = 6;

/// How much of the overload passes before it is measured, so that queues are full, in seconds.
const FILL_SECONDS: u64 = 2;

/// The share of calls that are urgent.
const URGENT_SHARE: f64 = 0.2;

/// The tokens of an urgent answer.
const URGENT_TOKENS: u64 = 4;

/// The tokens of other answers.
const NORMAL_TOKENS: Range<u64> = 8..25;

/// One call.
#[derive(Debug, Clone, Copy)]
pub(super) struct Call {
    pub(super) number: usize,
    /// When it is due, in microseconds after the start.
    pub(super) at: u64,
    pub(super) organisation: usize,
    pub(super) urgent: bool,
    pub(super) tokens: u64,
    pub(super) entry: usize,
}

/// The phases, each in microseconds after the start.
#[derive(Debug, Clone)]
pub(super) struct Phases {
    pub(super) quiet: Range<u64>,
    pub(super) overload: Range<u64>,
    /// The part of the overload that is measured.
    pub(super) measured: Range<u64>,
    pub(super) after: Range<u64>,
}

impl Phases {
    /// Returns the phases of a plan.
    pub(super) fn new(plan: &Plan) -> Self {
        let quiet = WARM_SECONDS * SECOND;
        let overload = quiet + QUIET_SECONDS * SECOND;
        let after = overload + plan.seconds * SECOND;
        Self {
            quiet: quiet..overload,
            overload: overload..after,
            measured: overload + FILL_SECONDS * SECOND..after,
            after: after..after + AFTER_SECONDS * SECOND,
        }
    }

    /// Returns when the fault begins, in microseconds after the start.
    pub(super) fn fault(&self) -> u64 {
        u64::midpoint(self.overload.start, self.overload.end)
    }
}

/// Draws all calls, in the order in which they are due.
pub(super) fn draw(plan: &Plan, phases: &Phases) -> Result<Vec<Call>> {
    let mut rng = seeded_rng(plan.seed);
    // The organisation of rank r calls 1/r as often as the first.
    let sizes = (1..=plan.organisations).map(|rank| 1.0 / rank as f64);
    let organisations = WeightedAliasIndex::new(sizes.collect())?;
    let mut calls = Vec::new();
    for (phase, load) in [
        (0..phases.quiet.end, QUIET_LOAD),
        (phases.overload.clone(), plan.load),
        (phases.after.clone(), AFTER_LOAD),
    ] {
        let per_micro = load * capacity(plan.upstreams) / mean_tokens() / SECOND as f64;
        let gaps = Exp::new(per_micro)?;
        let mut at = phase.start as f64;
        loop {
            at += gaps.sample(&mut rng);
            if at >= phase.end as f64 {
                break;
            }
            let organisation = organisations.sample(&mut rng);
            calls.push(call(plan, &mut rng, calls.len(), at as u64, organisation));
        }
    }
    Ok(calls)
}

fn call(plan: &Plan, rng: &mut Rng, number: usize, at: u64, organisation: usize) -> Call {
    let urgent = rng.random_bool(URGENT_SHARE);
    let tokens = if urgent {
        URGENT_TOKENS
    } else {
        rng.random_range(NORMAL_TOKENS)
    };
    Call {
        number,
        at,
        organisation,
        urgent,
        tokens,
        entry: rng.random_range(0..plan.entries),
    }
}

/// Returns the mean tokens of an answer.
fn mean_tokens() -> f64 {
    let normal = (NORMAL_TOKENS.start + NORMAL_TOKENS.end - 1) as f64 / 2.0;
    URGENT_SHARE * URGENT_TOKENS as f64 + (1.0 - URGENT_SHARE) * normal
}
