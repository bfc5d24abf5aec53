//! Counts of requests by what became of them.

use std::fmt;

use super::outcome::RequestResult;

/// Counts of requests by what became of them.
#[derive(Debug, Default)]
pub(super) struct Tally {
    requests: u64,
    in_time: u64,
    late: u64,
    refused: u64,
    failed: u64,
    left: u64,
}

impl Tally {
    /// The names of the values that are printed.
    pub(super) const HEADER: &'static str = "requests,in_time,late,refused,failed,left";

    /// Counts a request.
    pub(super) fn add(&mut self, result: RequestResult) {
        self.requests += 1;
        let count = match result {
            RequestResult::InTime => &mut self.in_time,
            RequestResult::Late => &mut self.late,
            RequestResult::Refused => &mut self.refused,
            RequestResult::Failed => &mut self.failed,
            RequestResult::Left => &mut self.left,
        };
        *count += 1;
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            requests,
            in_time,
            late,
            refused,
            failed,
            left,
        } = self;
        write!(out, "{requests},{in_time},{late},{refused},{failed},{left}")
    }
}
