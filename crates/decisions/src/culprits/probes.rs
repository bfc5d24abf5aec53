//! When a request is let through to find out whether its culprit still crashes upstreams.
//!
//! One process at a time tests a culprit for all of them: every process derives the same name for a test that is due, and whoever
//! claims the name may send one request. The wait grows with each test that has crashed an upstream and with each test that told
//! nothing, so that few upstreams are lost to a culprit that is at fault.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use sardinepin_common::Millis;

use super::{CrashEvidence, Culprit};

/// By how much the wait for the next test grows.
const GROWTH: u64 = 4;

/// The most steps by which the wait grows.
const STEPS_MAX: u32 = 8;

/// How many names of tests are remembered.
const TRIED_MAX: usize = 256;

/// The tests that this process has tried to claim, the newest last.
#[derive(Debug, Default)]
pub(super) struct TriedProbes {
    probes: VecDeque<TriedProbe>,
}

#[derive(Debug)]
struct TriedProbe {
    name: Arc<str>,
    /// When it may be tried again, if nobody told whether the claim was granted.
    retry_at: Option<Millis>,
}

impl TriedProbes {
    /// Records at `now` that a test is tried; returns false if it has been tried before.
    pub(super) fn insert(&mut self, now: Millis, name: &Arc<str>) -> bool {
        if let Some(tried) = self.probes.iter_mut().find(|tried| tried.name == *name) {
            let is_due = tried.retry_at.is_some_and(|at| now >= at);
            if is_due {
                tried.retry_at = None;
            }
            return is_due;
        }
        if self.probes.len() >= TRIED_MAX {
            self.probes.pop_front();
        }
        self.probes.push_back(TriedProbe {
            name: Arc::clone(name),
            retry_at: None,
        });
        true
    }

    /// Records that nobody told whether a claim was granted, so that it may be tried again from `retry_at` on.
    pub(super) fn record_failure(&mut self, name: &str, retry_at: Millis) {
        let tried = self.probes.iter_mut().find(|tried| *tried.name == *name);
        if let Some(tried) = tried {
            tried.retry_at = Some(retry_at);
        }
    }
}

/// Returns the name of the test of a culprit that is due at `now`, by the monotonic clock, or `None`.
///
/// `evidence` is all that is known, with the times at which it became known here; `delay` is the wait for the first test.
pub(super) fn due_probe<'a>(
    now: Millis,
    delay: Millis,
    culprit: &Culprit,
    evidence: impl Iterator<Item = &'a (Millis, CrashEvidence)>,
) -> Option<Arc<str>> {
    let mut crashes: BTreeSet<&str> = BTreeSet::new();
    let mut failed: BTreeSet<&str> = BTreeSet::new();
    let mut last = Millis::ZERO;
    for (known_at, one) in evidence.filter(|(_, one)| one.speaks_against(&culprit.traits)) {
        crashes.insert(&one.crash);
        if one.is_probe {
            failed.insert(&one.crash);
        }
        last = last.max(*known_at);
    }
    let waited = now.since(last);
    let step = u32::try_from(failed.len()).unwrap_or(STEPS_MAX);
    let is_due = |step: &u32| waited.0 >= delay.0 * GROWTH.pow(*step);
    let step = (step..=STEPS_MAX).take_while(is_due).last()?;
    let digest = culprit.most_specific()?;
    Some(Arc::from(format!("{digest}-{}-{step}", crashes.len())))
}
