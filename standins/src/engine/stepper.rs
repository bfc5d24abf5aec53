//! The step loop of the engine.

use std::sync::Arc;
use std::time::Duration;

use sardinepin_common::Millis;
use sardinepin_protocol::Load;

use super::{Engine, EngineState};
use crate::pause::pause;

/// The exit code of a process that a request crashes.
const CRASH_EXIT_CODE: i32 = 70;

/// Runs the step loop until the runtime shuts down.
pub(super) async fn run(engine: Arc<Engine>) {
    if let Some(lock_step) = &engine.lock_step {
        let step = lock_step.join().await;
        engine.state().switch.skip_to(step);
    }
    let mut due = 0;
    loop {
        engine.wait_for_ranks().await;
        let Some(micros) = engine.begin_step() else {
            engine.wake.notified().await;
            continue;
        };
        // Each step is due a fixed time after the previous due time, so timer rounding does not add
        // up.
        let now = engine.clock.now_micros();
        due = if due + micros < now { now } else { due } + micros;
        tokio::time::sleep(Duration::from_micros(due.saturating_sub(now))).await;
        engine.end_step(micros);
    }
}

impl Engine {
    /// Waits until this engine may step and all ranks of its group are ready for the step.
    async fn wait_for_ranks(&self) {
        let mut faults = self.faults.subscribe();
        // The sender lives as long as the engine, so the wait cannot fail.
        let _ = faults.wait_for(|faults| !faults.stall).await;
        let Some(lock_step) = &self.lock_step else {
            return;
        };
        while !self.state().switch.may_begin() {
            self.wake.notified().await;
        }
        let (step, busy) = {
            let state = self.state();
            (state.switch.step(), !state.batch.is_empty())
        };
        if !lock_step.wait_for_all(step, busy).await {
            pause(Millis(self.settings.idle_ms)).await;
        }
        let _ = faults.wait_for(|faults| !faults.stall).await;
    }

    /// Fills the batch, starts the step and returns its duration in microseconds.
    ///
    /// Returns `None` if the gate is closed, or if an engine outside a group has no requests.
    fn begin_step(&self) -> Option<u64> {
        let faults = self.faults.borrow().clone();
        let mut state = self.state();
        let EngineState {
            batch,
            counts,
            switch,
            ..
        } = &mut *state;
        counts.cancelled += batch.drop_closed();
        if batch.is_empty() && self.lock_step.is_none() {
            self.record_load(&mut state, 0);
            return None;
        }
        if !switch.begin_step() {
            return None;
        }
        counts.steps += 1;
        let mut micros = self.settings.step_micros + faults.slow_micros;
        for job in batch.admit(self.settings.slots) {
            micros += job.prefill_micros;
            *counts.runs.entry(job.id.clone()).or_default() += 1;
        }
        let running = batch.running();
        if running
            .iter()
            .any(|job| faults.crashes(&job.body, job.sent))
        {
            std::process::exit(CRASH_EXIT_CODE);
        }
        Some(micros + self.settings.batch_micros * running.len() as u64)
    }

    fn end_step(&self, micros: u64) {
        let break_after = self.faults.borrow().break_after;
        let mut state = self.state();
        let step_counts = state.batch.advance(break_after);
        state.counts.tokens += step_counts.tokens;
        state.counts.finished += step_counts.finished;
        state.counts.cancelled += step_counts.cancelled;
        self.record_load(&mut state, micros);
    }

    fn record_load(&self, state: &mut EngineState, micros: u64) {
        let saturate = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        let load = Load {
            running: saturate(state.batch.running().len() as u64),
            waiting: saturate(state.batch.waiting() as u64),
            slots: saturate(self.settings.slots as u64),
            step_micros: saturate(micros),
            ..Load::default()
        };
        state.load_history.record(self.clock.now(), load);
    }
}
