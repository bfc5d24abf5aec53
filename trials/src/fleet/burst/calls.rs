//! The calls of a run: usual load, and far more of it for some seconds.

use rand::Rng as _;
use rand_distr::{Distribution, Exp, LogNormal};
use sardinepin_common::{Millis, seeded_rng};

use super::{ARRIVALS_END, BURST_END, BURST_START, GATEWAYS, Pattern, ZONES};
use crate::fleet::workload::{EVENTS_LOG, EVENTS_MAX, PROMPT_TOKENS_LOG, PROMPT_TOKENS_MAX};

/// The requests per second that the group completes with all slots in use, as measured by this model.
const CAPACITY_PER_S: f64 = 350.0;

/// The usual load, as a fraction of the capacity.
const USUAL_LOAD: f64 = 0.8;

/// The share of calls by priority.
const PRIORITY_SHARES: [f64; 3] = [0.3, 0.4, 0.3];

/// A call, which its caller may repeat.
#[derive(Debug, Clone, Copy)]
pub(super) struct Call {
    pub(super) at: Millis,
    pub(super) priority: usize,
    pub(super) organisation: usize,
    pub(super) gateway: usize,
    pub(super) prompt: u32,
    pub(super) events: u32,
    /// Whether the caller retries at once whatever it is told.
    pub(super) eager: bool,
}

/// Draws the calls of a run.
pub(super) fn generate(seed: u64, pattern: Pattern) -> Vec<Call> {
    let mut rng = seeded_rng(seed);
    let interval = Exp::new(CAPACITY_PER_S / 1_000.0).expect("the rate is above 0");
    let prompt = LogNormal::new(PROMPT_TOKENS_LOG.0, PROMPT_TOKENS_LOG.1).expect("finite");
    let events = LogNormal::new(EVENTS_LOG.0, EVENTS_LOG.1).expect("finite");
    let mut calls = Vec::new();
    let mut at = 0.0;
    loop {
        let in_burst = (BURST_START.as_f64()..BURST_END.as_f64()).contains(&at);
        let load = match pattern {
            Pattern::Zone if in_burst => USUAL_LOAD * (1.0 + 0.7 / ZONES as f64),
            _ if in_burst => 2.6,
            _ => USUAL_LOAD,
        };
        at += interval.sample(&mut rng) / load;
        if at >= ARRIVALS_END.as_f64() {
            return calls;
        }
        let extra = in_burst && rng.random_bool(1.0 - USUAL_LOAD / load);
        let mut priority = 0;
        let mut drawn: f64 = rng.random_range(0.0..1.0);
        while priority < 2 && drawn >= PRIORITY_SHARES[priority] {
            drawn -= PRIORITY_SHARES[priority];
            priority += 1;
        }
        let gateway = match pattern {
            Pattern::Zone if extra => rng.random_range(0..GATEWAYS.div_ceil(ZONES)) * ZONES,
            _ => rng.random_range(0..GATEWAYS),
        };
        calls.push(Call {
            at: Millis(at as u64),
            priority,
            organisation: match pattern {
                Pattern::OneOrganisation if extra => 0,
                _ => rng.random_range(0..12),
            },
            gateway,
            prompt: prompt.sample(&mut rng).clamp(16.0, PROMPT_TOKENS_MAX) as u32,
            events: events.sample(&mut rng).clamp(1.0, EVENTS_MAX) as u32,
            eager: rng.random_bool(0.5),
        });
    }
}
