//! The history of load reports, from which delayed reports are served.

use std::collections::VecDeque;

use sardinepin_common::Millis;
use sardinepin_protocol::Load;

/// The number of reports that are kept; older ones are discarded.
const MAX_REPORTS: usize = 10_000;

/// The load after each step, oldest first.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    reports: VecDeque<(Millis, Load)>,
}

impl LoadHistory {
    /// Adds the load as of `now`.
    pub(super) fn record(&mut self, now: Millis, load: Load) {
        self.reports.push_back((now, load));
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
    }

    /// Returns the latest report that is at least `lag` old at `now`, with its age; an empty report
    /// if there is none.
    pub(super) fn report_at(&self, now: Millis, lag: Millis) -> Load {
        let until = now.since(lag);
        let visible = self.reports.partition_point(|(at, _)| *at <= until);
        let Some((at, load)) = visible
            .checked_sub(1)
            .and_then(|last| self.reports.get(last))
        else {
            return Load::default();
        };
        Load {
            age_ms: u32::try_from(now.since(*at).0).unwrap_or(u32::MAX),
            ..*load
        }
    }
}
