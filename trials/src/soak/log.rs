//! The time line of a soak: faults, what callers saw each second, and failed checks.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Clock, Millis};
use sardinepin_protocol::Outcome;
use sardinepin_standins::load::Report;
use serde_json::{Value, json};

use super::checks::{self, Violation};
use crate::outcomes::violations::RunCounts;

/// The lines and failed checks so far.
#[derive(Debug)]
pub(super) struct SoakLog {
    clock: Clock,
    started_at: Millis,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    lines: Vec<Value>,
    violations: usize,
    /// Calls without an answer, by `half/reason`.
    reasons: BTreeMap<String, u64>,
}

impl Default for SoakLog {
    fn default() -> Self {
        Self {
            clock: Clock::start(),
            started_at: Clock::wall_time(),
            state: Mutex::default(),
        }
    }
}

impl SoakLog {
    /// Returns the time since the start of the log.
    pub(super) fn now(&self) -> Millis {
        self.clock.now()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a fault that began at `began` and was cleared at `cleared`; the deployment is ready again now.
    pub(super) fn fault(
        &self,
        half: &str,
        name: &str,
        target: &str,
        began: Millis,
        cleared: Millis,
    ) {
        self.state().lines.push(json!({
            "kind": "fault", "half": half, "at_ms": began.0, "fault": name, "target": target,
            "cleared_ms": cleared.0, "ready_ms": self.now().since(cleared).0,
        }));
    }

    /// Records the highest configuration version that a process was seen to apply.
    pub(super) fn config(&self, half: &str, process: &str, seen: u64) {
        self.state().lines.push(json!({
            "kind": "config", "half": half, "at_ms": self.now().0, "process": process, "seen": seen,
        }));
    }

    /// Records a failed check.
    pub(super) fn violation(&self, half: &str, check: &str, detail: &str) {
        let mut state = self.state();
        state.violations += 1;
        state.lines.push(json!({
            "kind": "violation", "half": half, "at_ms": self.now().0, "check": check, "detail": detail,
        }));
    }

    /// Records what callers saw in each second, and checks it against what ran.
    pub(super) fn callers(&self, half: &str, report: &Report, runs: &RunCounts) {
        let mut seconds: BTreeMap<u64, [u64; 3]> = BTreeMap::new();
        for record in &report.records {
            let second = record.ended_at.since(self.started_at).0 / 1_000;
            if record.outcome != Outcome::Answered {
                let reason = format!("{half}/{}", record.reason);
                *self.state().reasons.entry(reason).or_default() += 1;
            }
            let counts = seconds.entry(second).or_default();
            counts[match record.outcome {
                Outcome::Answered => 0,
                Outcome::NotRun => 1,
                Outcome::Unknown => 2,
            }] += 1;
        }
        for (second, [answered, not_run, unknown]) in seconds {
            self.state().lines.push(json!({
                "kind": "callers", "half": half, "at_ms": second * 1_000, "sent": answered + not_run + unknown,
                "answered": answered, "not_run": not_run, "unknown": unknown,
            }));
        }
        for Violation { check, detail } in checks::find(report, runs) {
            self.violation(half, check, &detail);
        }
    }

    /// Returns all lines in the order of time, the number of failed checks, and how many calls were not
    /// answered for each reason.
    pub(super) fn finish(self) -> (Vec<Value>, usize, BTreeMap<String, u64>) {
        let state = self
            .state
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner);
        let mut lines = state.lines;
        lines.sort_by_key(|line| line["at_ms"].as_u64());
        (lines, state.violations, state.reasons)
    }
}
