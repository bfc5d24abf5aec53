//! The retry budget of one service.
//!
//! This answers a group that breaks with many requests in flight. Each gateway limits its own retries
//! in proportion to its own requests, and takes an even part of the slack that all gateways share. The
//! budget therefore holds for all gateways together.

use std::collections::VecDeque;

use sardinepin_common::Millis;

/// Settings of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetSettings {
    /// The allowed retries per request of the window.
    pub ratio: f64,
    /// The additional retries that all gateways together may make in a window, whatever the number
    /// of requests.
    pub shared_slack: f64,
    /// The additional retries that one gateway may make in a window while it does not know how many
    /// gateways there are.
    pub own_slack: f64,
    /// The length of the sliding window.
    pub window: Millis,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            shared_slack: 20.0,
            own_slack: 1.0,
            window: Millis(10_000),
        }
    }
}

/// What is left of a budget, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetStatus {
    /// The retries that may still be made now.
    pub remaining: f64,
    /// How many gateways the shared part is divided by; `None` if that is unknown.
    pub gateways: Option<f64>,
}

/// The times of the requests and retries within the last window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
    /// The most gateways that were known at once lately, and when; a partition hides some of them.
    gateways: Option<(Millis, f64)>,
}

/// How long the largest known number of gateways is remembered.
const GATEWAYS_RETENTION: Millis = Millis(60_000);

impl RetryBudget {
    /// Counts a request.
    pub fn record_request(&mut self, now: Millis, settings: &BudgetSettings) {
        expire(&mut self.requests, now, settings.window);
        self.requests.push_back(now);
    }

    /// Records how many gateways share the budget.
    pub fn record_gateways(&mut self, now: Millis, gateways: f64) {
        let outdated =
            |(at, known): (Millis, f64)| gateways >= known || now.since(at) >= GATEWAYS_RETENTION;
        if self.gateways.is_none_or(outdated) {
            self.gateways = Some((now, gateways));
        }
    }

    /// Returns what is left of the budget.
    pub fn status(&mut self, now: Millis, settings: &BudgetSettings) -> BudgetStatus {
        expire(&mut self.requests, now, settings.window);
        expire(&mut self.retries, now, settings.window);
        let gateways = self.gateways.map(|(_, gateways)| gateways);
        let slack = gateways.map_or(settings.own_slack, |gateways| {
            settings.shared_slack / gateways.max(1.0)
        });
        let allowed = settings.ratio * self.requests.len() as f64 + slack;
        BudgetStatus {
            remaining: allowed - self.retries.len() as f64,
            gateways,
        }
    }

    /// Returns whether the budget allows a retry, without using it.
    pub fn has_retry(&mut self, now: Millis, settings: &BudgetSettings) -> bool {
        self.status(now, settings).remaining >= 1.0
    }

    /// Counts a retry if the budget allows one; returns whether it does.
    pub fn try_take(&mut self, now: Millis, settings: &BudgetSettings) -> bool {
        let allowed = self.has_retry(now, settings);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }
}

fn expire(times: &mut VecDeque<Millis>, now: Millis, window: Millis) {
    while times
        .front()
        .is_some_and(|first| now.since(*first) > window)
    {
        times.pop_front();
    }
}
