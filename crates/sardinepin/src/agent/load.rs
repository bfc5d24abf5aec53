//! Load reports: the agent's own queue and slots, and the last load that its engine reported.

use std::sync::atomic::{AtomicU32, Ordering};

use std::sync::{Mutex, PoisonError};

use sardinepin_common::Millis;
use sardinepin_protocol::Load;
use serde::Deserialize;

/// An engine's report of its own load, as JSON; a missing field counts as 0.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default)]
pub(crate) struct EngineLoad {
    /// The number of requests that wait to enter a step.
    waiting: u32,
    /// The duration of a step, in microseconds.
    step_micros: u32,
}

/// Counts the waiting and the running attempts, and holds the engine's last report.
#[derive(Debug, Default)]
pub(crate) struct LoadGauge {
    waiting: AtomicU32,
    running: AtomicU32,
    /// The engine's last report and the time when it was read.
    engine: Mutex<Option<(Millis, EngineLoad)>>,
}

impl LoadGauge {
    /// Counts an attempt as waiting; returns `None` if `max` attempts wait already.
    pub(crate) fn try_enqueue(&self, max: usize) -> Option<CountGuard<'_>> {
        let max = u32::try_from(max).unwrap_or(u32::MAX);
        let increment = |waiting: u32| (waiting < max).then_some(waiting + 1);
        self.waiting
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, increment)
            .ok()
            .map(|_| CountGuard(&self.waiting))
    }

    /// Counts an attempt as running until the guard is dropped.
    pub(crate) fn count_running(&self) -> CountGuard<'_> {
        self.running.fetch_add(1, Ordering::AcqRel);
        CountGuard(&self.running)
    }

    /// Returns the number of running attempts.
    pub(crate) fn running(&self) -> u32 {
        self.running.load(Ordering::Acquire)
    }

    /// Stores the load that the engine reported at `now`.
    pub(crate) fn set_engine_load(&self, now: Millis, load: EngineLoad) {
        *self.engine.lock().unwrap_or_else(PoisonError::into_inner) = Some((now, load));
    }

    /// Returns a load report at `now` for an upstream that runs up to `slots` attempts at once.
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

/// Keeps an attempt counted until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard<'a>(&'a AtomicU32);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
