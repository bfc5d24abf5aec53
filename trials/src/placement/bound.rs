//! What a planner could reach that knows each step in advance and moves for nothing.

use anyhow::Context;
use sardinepin_groups::place_experts;

use crate::placement::drive::skew;
use crate::placement::workload::{Shape, Trace};

/// How closely the floor is worked out, as a share of the mean load.
const CLOSE: f64 = 0.000_1;

/// The bound over a trace, as means of the steps' skews.
#[derive(Debug)]
pub(crate) struct Bound {
    /// What a new map for each step reaches.
    pub(crate) reached: f64,
    /// What no map can go below.
    pub(crate) floor: f64,
}

/// Returns the bound of a trace.
pub(crate) fn bound(trace: &Trace, shape: &Shape) -> anyhow::Result<Bound> {
    let mut reached = 0.0;
    let mut floor = 0.0;
    for tokens in &trace.steps {
        let map =
            place_experts(tokens, shape.ranks, shape.per_rank()).context("no placement fits")?;
        reached += skew(&map, tokens);
        floor += lowest(tokens, shape);
    }
    let count = trace.steps.len() as f64;
    Ok(Bound {
        reached: reached / count,
        floor: floor / count,
    })
}

/// Returns the least skew for which the slots suffice, were they free to stand anywhere.
fn lowest(tokens: &[f64], shape: &Shape) -> f64 {
    let mean = tokens.iter().sum::<f64>() / shape.ranks as f64;
    let slots = (shape.experts + shape.spare) as f64;
    let fits = |skew: f64| {
        let needed: f64 = tokens
            .iter()
            .map(|load| (load / (skew * mean)).ceil().max(1.0))
            .sum();
        needed <= slots
    };
    let mut low = 1.0;
    if fits(low) {
        return low;
    }
    let mut high = shape.ranks as f64;
    while high - low > CLOSE {
        let middle = f64::midpoint(low, high);
        if fits(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    low
}
