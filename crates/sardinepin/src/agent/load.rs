//! Load reports of the agent's own queue and slots.

use std::sync::atomic::{AtomicU32, Ordering};

use sardinepin_protocol::Load;

/// Counts the attempts that wait and run.
#[derive(Debug, Default)]
pub(crate) struct Gauge {
    waiting: AtomicU32,
    running: AtomicU32,
}

impl Gauge {
    /// Counts an attempt as waiting, unless `max` wait already.
    pub(crate) fn try_wait(&self, max: usize) -> Option<Counted<'_>> {
        let max = u32::try_from(max).unwrap_or(u32::MAX);
        let add = |waiting: u32| (waiting < max).then_some(waiting + 1);
        self.waiting
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .ok()
            .map(|_| Counted(&self.waiting))
    }

    /// Counts an attempt as running.
    pub(crate) fn run(&self) -> Counted<'_> {
        self.running.fetch_add(1, Ordering::AcqRel);
        Counted(&self.running)
    }

    /// Returns a report for an upstream that runs `slots` attempts at once.
    pub(crate) fn report(&self, slots: usize) -> Load {
        Load {
            running: self.running.load(Ordering::Acquire),
            waiting: self.waiting.load(Ordering::Acquire),
            slots: u32::try_from(slots).unwrap_or(u32::MAX),
            ..Load::default()
        }
    }
}

/// An attempt that is counted until this is dropped.
#[derive(Debug)]
pub(crate) struct Counted<'a>(&'a AtomicU32);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
