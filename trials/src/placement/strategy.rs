//! The placement strategies that the trial compares.

use sardinepin_common::Millis;
use sardinepin_groups::{ExpertMap, LoadEstimate, PlacementSettings, Planner, place_experts};

use crate::placement::workload::WorkloadSettings;

/// The interval of full re-placement, in seconds.
const FULL_PLACEMENT_SECONDS: usize = 60;

/// The interval of the planner's decisions, in seconds.
const DECISION_SECONDS: usize = 1;

/// A placement strategy.
pub(crate) trait Strategy {
    /// Takes in the load reports of one second, one for each expert; `None` if it is missing.
    fn observe(&mut self, reports: &[Option<f64>]);

    /// Returns whether a decision is due in this second, counted from the end of the warm-up.
    fn is_due(&self, second: usize) -> bool;

    /// Returns the next map, or `None` to keep the current one.
    fn decide(&mut self, now: Millis, map: &ExpertMap) -> Option<ExpertMap>;
}

/// Keeps the initial map.
pub(crate) struct StaticMap;

impl Strategy for StaticMap {
    fn observe(&mut self, _: &[Option<f64>]) {}

    fn is_due(&self, _: usize) -> bool {
        false
    }

    fn decide(&mut self, _: Millis, _: &ExpertMap) -> Option<ExpertMap> {
        None
    }
}

/// Places all experts anew each minute.
pub(crate) struct FullPlacement {
    estimate: LoadEstimate,
    ranks: usize,
    slots_per_rank: usize,
}

impl FullPlacement {
    pub(crate) fn new(workload: &WorkloadSettings, settings: &PlacementSettings) -> Self {
        Self {
            estimate: LoadEstimate::new(
                workload.experts,
                settings.report_weight,
                settings.forecast_rounds,
            ),
            ranks: workload.ranks,
            slots_per_rank: workload.slots_per_rank(),
        }
    }
}

impl Strategy for FullPlacement {
    fn observe(&mut self, reports: &[Option<f64>]) {
        self.estimate.record_loads(reports);
    }

    fn is_due(&self, second: usize) -> bool {
        second > 0 && second.is_multiple_of(FULL_PLACEMENT_SECONDS)
    }

    fn decide(&mut self, _: Millis, _: &ExpertMap) -> Option<ExpertMap> {
        place_experts(&self.estimate.loads(), self.ranks, self.slots_per_rank)
    }
}

/// The product's planner.
pub(crate) struct ProductPlanner {
    estimate: LoadEstimate,
    planner: Planner,
}

impl ProductPlanner {
    pub(crate) fn new(workload: &WorkloadSettings, settings: &PlacementSettings) -> Self {
        Self {
            estimate: LoadEstimate::new(
                workload.experts,
                settings.report_weight,
                settings.forecast_rounds,
            ),
            planner: Planner::new(*settings),
        }
    }
}

impl Strategy for ProductPlanner {
    fn observe(&mut self, reports: &[Option<f64>]) {
        self.estimate.record_loads(reports);
    }

    fn is_due(&self, second: usize) -> bool {
        second.is_multiple_of(DECISION_SECONDS)
    }

    fn decide(&mut self, now: Millis, map: &ExpertMap) -> Option<ExpertMap> {
        self.planner.decide(now, map, &self.estimate.loads()).map
    }
}
