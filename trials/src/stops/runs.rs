//! What became of requests at the workers, by the workers' own times.

use std::sync::{Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Clock, Map, Millis, Set};

/// What became of a request at the workers.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Runs {
    /// How often a worker has read it.
    pub(super) arrivals: u64,
    /// How often a worker has begun to work on it.
    pub(super) count: u64,
    /// Whether an answer to it was wrong.
    pub(super) is_spoiled: bool,
    /// How many workers work on it.
    pub(super) at_work: u64,
    /// When the work on it ended last.
    pub(super) ended_at: Millis,
}

impl Runs {
    /// Returns whether a worker was at work on the request at `time` or later.
    pub(super) fn were_at_work(&self, time: Millis) -> bool {
        self.count > 0 && (self.at_work > 0 || self.ended_at >= time)
    }
}

/// What has run, by the identifier of the request.
pub(super) type RunsById = Map<String, Runs>;

/// The record that all workers keep.
#[derive(Debug)]
pub(super) struct RunLog {
    clock: Clock,
    runs: Mutex<RunsById>,
}

impl RunLog {
    /// Creates an empty record with times of `clock`.
    pub(super) fn new(clock: Clock) -> Self {
        Self {
            clock,
            runs: Mutex::default(),
        }
    }

    fn runs(&self) -> MutexGuard<'_, RunsById> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a copy of the record.
    pub(super) fn snapshot(&self) -> RunsById {
        self.runs().clone()
    }

    /// Records that a worker has read a request.
    pub(super) fn record_arrival(&self, id: &str) {
        self.runs().entry(id.to_owned()).or_default().arrivals += 1;
    }

    /// Records that a worker works on a request until the returned guard is dropped.
    pub(super) fn begin(&self, id: &str) -> RunningRequest<'_> {
        let mut all = self.runs();
        let runs = all.entry(id.to_owned()).or_default();
        runs.count += 1;
        runs.at_work += 1;
        RunningRequest {
            log: self,
            id: id.to_owned(),
        }
    }

    /// Records that the answers to these requests are wrong.
    pub(super) fn spoil(&self, ids: &Set<String>) {
        let mut all = self.runs();
        for id in ids {
            all.entry(id.clone()).or_default().is_spoiled = true;
        }
    }
}

/// A request that a worker works on, until it is dropped.
#[derive(Debug)]
pub(super) struct RunningRequest<'a> {
    log: &'a RunLog,
    id: String,
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        let now = self.log.clock.now();
        if let Some(runs) = self.log.runs().get_mut(&self.id) {
            runs.at_work -= 1;
            runs.ended_at = now;
        }
    }
}
