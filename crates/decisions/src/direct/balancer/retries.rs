//! The retry budgets of the services.

use std::sync::Arc;

use sardinepin_common::Millis;

use super::Balancer;
use crate::direct::request::Decision;
use crate::retry_budget::{BudgetStatus, RetryBudget};

impl Balancer {
    /// Counts a request in the retry budget of its service.
    pub fn record_request(&mut self, now: Millis, service: &Arc<str>) {
        self.last_requests.insert(Arc::clone(service), now);
        let demand = self.demands.entry(Arc::clone(service)).or_default();
        demand.record(now);
        let settings = self.settings.retry_budget;
        self.budget(now, service).record_request(now, &settings);
    }

    /// Reserves a retry in the budget of a service; returns whether one was left. A request for which one is reserved is placed
    /// with `is_retry`, or the retry is released.
    pub fn try_reserve_retry(&mut self, now: Millis, service: &Arc<str>) -> bool {
        let settings = self.settings.retry_budget;
        self.budget(now, service).try_reserve(now, &settings)
    }

    /// Gives back a reserved retry that will not be placed.
    pub fn release_retry(&mut self, now: Millis, service: &Arc<str>) {
        let settings = self.settings.retry_budget;
        self.budget(now, service).release(now, &settings);
    }

    /// Returns what is left of the retry budget of a service.
    pub fn retry_budget(&mut self, now: Millis, service: &Arc<str>) -> BudgetStatus {
        let settings = self.settings.retry_budget;
        self.budget(now, service).status(now, &settings)
    }

    /// Returns the retry budget of a service, which knows how many gateways share it.
    pub(super) fn budget(&mut self, now: Millis, service: &Arc<str>) -> &mut RetryBudget {
        let settings = &self.settings.retry_budget;
        let position = self.position;
        let budgets = self.budgets.entry(Arc::clone(service));
        let budget = budgets.or_insert_with(|| RetryBudget::new(now, position, settings));
        if let Some(gateways) = self.upstreams.gateways(now) {
            budget.record_nodes(now, gateways);
        }
        budget
    }

    /// Records what became of a reserved retry.
    pub(super) fn settle_retry(&mut self, now: Millis, service: &Arc<str>, decision: Decision) {
        match decision {
            Decision::Send(_) => self.budget(now, service).record_sent(),
            Decision::Refuse { .. } => self.release_retry(now, service),
        }
    }
}
