//! Reports the admission level of a rank group in the log and in metrics.

use std::sync::Arc;

use sardinepin_protocol::AdmissionLevel;

use crate::call::Call;

/// The change of the admitted share of the least urgent priority that is logged.
const LOGGED_CHANGE: f64 = 0.2;

/// What has been reported of the level of one group.
#[derive(Debug)]
pub(crate) struct LevelReport {
    group: Arc<str>,
    logged: Option<AdmissionLevel>,
    /// For how many priorities a share was reported.
    priorities: u8,
}

impl LevelReport {
    pub(crate) fn new(group: Arc<str>) -> Self {
        Self {
            group,
            logged: None,
            priorities: 0,
        }
    }

    /// Sets the gauges to the level in force and logs when one comes into force, changes much or ends.
    pub(crate) fn update(&mut self, level: Option<AdmissionLevel>) {
        if level.is_none() && self.logged.is_none() {
            return;
        }
        let known = level.as_ref().map_or(0, |level| level.shares.len() as u8);
        self.priorities = self.priorities.max(known);
        for priority in 0..self.priorities {
            let share = level.as_ref().map_or(1.0, |level| level.share(priority));
            metrics::gauge!("sardinepin_admitted_share",
                "group" => Arc::clone(&self.group), "priority" => priority.to_string())
            .set(share);
        }
        let change = match (&self.logged, &level) {
            (None, Some(_)) => "began",
            (Some(_), None) => "ended",
            (Some(logged), Some(level)) if differs_much(logged, level) => "changed",
            _ => return,
        };
        let shares = level.iter().flat_map(|level| &level.shares);
        let percent: Vec<u32> = shares.map(|share| u32::from(*share) * 100 / 255).collect();
        log::info!(
            event = "admission_level", group = &*self.group, change = change,
            admitted_per_s = level.as_ref().map(|level| level.admitted_per_s), shares_percent:? = percent;
            "the share of requests that the group takes has changed"
        );
        self.logged = level;
    }
}

/// Returns whether the share of any priority differs much between two levels.
fn differs_much(logged: &AdmissionLevel, level: &AdmissionLevel) -> bool {
    let priorities = logged.shares.len().max(level.shares.len()) as u8;
    (0..priorities)
        .any(|priority| (logged.share(priority) - level.share(priority)).abs() > LOGGED_CHANGE)
}

/// Counts a request that was refused by the level.
pub(crate) fn count_refusal(call: &Call) {
    let service = Arc::clone(&call.service);
    metrics::counter!("sardinepin_not_admitted_total",
        "service" => service, "priority" => call.priority.to_string())
    .increment(1);
}
