//! Load reports: the agent's own queue and slots, and what its engine last said.

use std::sync::atomic::{AtomicU32, Ordering};

use std::sync::{Mutex, PoisonError};

use sardinepin_common::Millis;
use sardinepin_protocol::Load;
use serde::Deserialize;

/// An engine's report of its own load.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default)]
pub(crate) struct EngineLoad {
    /// The requests that wait for a place in a step.
    waiting: u32,
    /// The time of a step, in microseconds.
    step_micros: u32,
}

/// Counts the attempts that wait and run.
#[derive(Debug, Default)]
pub(crate) struct LoadGauge {
    waiting: AtomicU32,
    running: AtomicU32,
    /// What the engine last said, and when.
    engine: Mutex<Option<(Millis, EngineLoad)>>,
}

impl LoadGauge {
    /// Counts an attempt as waiting, unless `max` wait already.
    pub(crate) fn try_enqueue(&self, max: usize) -> Option<CountGuard<'_>> {
        let max = u32::try_from(max).unwrap_or(u32::MAX);
        let increment = |waiting: u32| (waiting < max).then_some(waiting + 1);
        self.waiting
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, increment)
            .ok()
            .map(|_| CountGuard(&self.waiting))
    }

    /// Counts an attempt as running.
    pub(crate) fn count_running(&self) -> CountGuard<'_> {
        self.running.fetch_add(1, Ordering::AcqRel);
        CountGuard(&self.running)
    }

    /// Returns how many attempts run.
    pub(crate) fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// Takes in what the engine says at `now`.
    pub(crate) fn set_engine_load(&self, now: Millis, load: EngineLoad) {
        *self.engine.lock().unwrap_or_else(PoisonError::into_inner) = Some((now, load));
    }

    /// Returns a report at `now` for an upstream that runs `slots` attempts at once.
    pub(crate) fn report(&self, now: Millis, slots: usize) -> Load {
        let latest = *self.engine.lock().unwrap_or_else(PoisonError::into_inner);
        let (at, engine) = latest.unwrap_or((now, EngineLoad::default()));
        Load {
            running: self.running(),
            waiting: self.waiting.load(Ordering::Acquire) + engine.waiting,
            slots: u32::try_from(slots).unwrap_or(u32::MAX),
            step_micros: engine.step_micros,
            age_ms: u32::try_from(now.since(at).0).unwrap_or(u32::MAX),
            ..Load::default()
        }
    }
}

/// An attempt that is counted until this is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard<'a>(&'a AtomicU32);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
