//! The skew of an ideal planner that knows each step in advance and moves experts at no cost.

use anyhow::Context;
use sardinepin_groups::place_experts;

use crate::placement::simulation::skew;
use crate::placement::workload::{Trace, WorkloadSettings};

/// The precision of the floor, as a share of the mean load.
const FLOOR_PRECISION: f64 = 0.000_1;

/// Bounds of the skew, each the mean over the steps of a trace.
#[derive(Debug)]
pub(crate) struct Bound {
    /// The skew with a new map for each step.
    pub(crate) reached: f64,
    /// A lower limit of the skew of any map.
    pub(crate) floor: f64,
}

/// Computes the bounds of a trace.
pub(crate) fn bound(trace: &Trace, workload: &WorkloadSettings) -> anyhow::Result<Bound> {
    let mut reached = 0.0;
    let mut floor = 0.0;
    for tokens in &trace.steps {
        let map = place_experts(tokens, workload.ranks, workload.slots_per_rank())
            .context("the experts do not fit into the slots of the ranks")?;
        reached += skew(&map, tokens);
        floor += skew_floor(tokens, workload);
    }
    let count = trace.steps.len() as f64;
    Ok(Bound {
        reached: reached / count,
        floor: floor / count,
    })
}

/// Returns the least skew for which the slots suffice if each may be on any rank.
fn skew_floor(tokens: &[f64], workload: &WorkloadSettings) -> f64 {
    let mean = tokens.iter().sum::<f64>() / workload.ranks as f64;
    let slots = (workload.experts + workload.spare_slots) as f64;
    let is_feasible = |skew: f64| {
        let needed: f64 = tokens
            .iter()
            .map(|load| (load / (skew * mean)).ceil().max(1.0))
            .sum();
        needed <= slots
    };
    let mut low = 1.0;
    if is_feasible(low) {
        return low;
    }
    let mut high = workload.ranks as f64;
    while high - low > FLOOR_PRECISION {
        let middle = f64::midpoint(low, high);
        if is_feasible(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    low
}
