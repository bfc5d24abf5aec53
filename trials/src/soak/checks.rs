//! Checks of what callers were answered against what ran, and of processes and configurations.

use anyhow::Result;
use sardinepin_standins::fleet::ChildProcess;
use sardinepin_standins::load::Report;

use crate::outcomes::violations::{RunCounts, find_violations};

/// A failed check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Violation {
    pub(super) check: &'static str,
    pub(super) detail: String,
}

/// Checks the answers of a load run: complete, to the right caller, at most once, and "not run" is true.
pub(super) fn find(report: &Report, runs: &RunCounts) -> Vec<Violation> {
    let found = find_violations(&report.records, runs);
    let mut violations = Vec::new();
    let mut add = |check, details: Vec<String>| {
        violations.extend(
            details
                .into_iter()
                .map(|detail| Violation { check, detail }),
        );
    };
    // The report describes only the first wrong answers.
    let undescribed = report.wrong.saturating_sub(report.faults.len() as u64);
    add("answer", report.faults.clone());
    add(
        "answer",
        vec!["not described".to_owned(); usize::try_from(undescribed).unwrap_or(usize::MAX)],
    );
    add("at_most_once", found.ran_twice);
    add("not_run", found.false_not_run);
    add("never_ran", found.never_ran);
    violations
}

/// The highest configuration version that a process was seen to apply.
#[derive(Debug, Default)]
pub(super) struct ConfigHistory {
    pub(super) highest: u64,
}

impl ConfigHistory {
    /// Records whether `version` was applied; returns `false` if the configuration has gone back.
    pub(super) fn record(&mut self, version: u64, is_applied: bool) -> bool {
        if is_applied {
            self.highest = self.highest.max(version);
        }
        is_applied || version > self.highest
    }
}

/// Returns the last output of each process that has exited although nothing has stopped it.
pub(super) fn find_exited<'a>(
    processes: impl IntoIterator<Item = (&'a str, &'a mut ChildProcess)>,
) -> Result<Vec<String>> {
    let mut exited = Vec::new();
    for (name, process) in processes {
        if process.has_exited()? {
            exited.push(format!("{name}: {}", process.recent_output()));
        }
    }
    Ok(exited)
}
