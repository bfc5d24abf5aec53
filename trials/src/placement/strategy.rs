//! The ways of placement that are compared.

use sardinepin_common::Millis;
use sardinepin_groups::{ExpertMap, LoadEstimate, PlacementSettings, Planner, place_experts};

use crate::placement::workload::Shape;

/// How often full re-placement runs, in seconds.
const FULL_EVERY: usize = 60;

/// How often the planner decides, in seconds.
const DECIDE_EVERY: usize = 1;

/// A way of placement.
pub(crate) trait Strategy {
    /// Takes the reports of a second in.
    fn report(&mut self, round: &[Option<f64>]);

    /// Returns whether it wants to decide in this second, counted from the end of the warm-up.
    fn is_due(&self, second: usize) -> bool;

    /// Returns the next map, if there should be one.
    fn decide(&mut self, now: Millis, map: &ExpertMap) -> Option<ExpertMap>;
}

/// Keeps the first map.
pub(crate) struct Static;

impl Strategy for Static {
    fn report(&mut self, _: &[Option<f64>]) {}

    fn is_due(&self, _: usize) -> bool {
        false
    }

    fn decide(&mut self, _: Millis, _: &ExpertMap) -> Option<ExpertMap> {
        None
    }
}

/// Places every expert anew each minute.
pub(crate) struct Full {
    estimate: LoadEstimate,
    ranks: usize,
    per_rank: usize,
}

impl Full {
    pub(crate) fn new(shape: &Shape, settings: &PlacementSettings) -> Self {
        Self {
            estimate: LoadEstimate::new(
                shape.experts,
                settings.report_weight,
                settings.forecast_rounds,
            ),
            ranks: shape.ranks,
            per_rank: shape.per_rank(),
        }
    }
}

impl Strategy for Full {
    fn report(&mut self, round: &[Option<f64>]) {
        self.estimate.record_loads(round);
    }

    fn is_due(&self, second: usize) -> bool {
        second > 0 && second.is_multiple_of(FULL_EVERY)
    }

    fn decide(&mut self, _: Millis, _: &ExpertMap) -> Option<ExpertMap> {
        place_experts(&self.estimate.loads(), self.ranks, self.per_rank)
    }
}

/// The product's planner.
pub(crate) struct Sardinepin {
    estimate: LoadEstimate,
    planner: Planner,
}

impl Sardinepin {
    pub(crate) fn new(shape: &Shape, settings: &PlacementSettings) -> Self {
        Self {
            estimate: LoadEstimate::new(
                shape.experts,
                settings.report_weight,
                settings.forecast_rounds,
            ),
            planner: Planner::new(*settings),
        }
    }
}

impl Strategy for Sardinepin {
    fn report(&mut self, round: &[Option<f64>]) {
        self.estimate.record_loads(round);
    }

    fn is_due(&self, second: usize) -> bool {
        second.is_multiple_of(DECIDE_EVERY)
    }

    fn decide(&mut self, now: Millis, map: &ExpertMap) -> Option<ExpertMap> {
        self.planner.decide(now, map, &self.estimate.loads()).map
    }
}
