//! How many steps after the last reported step a switch is scheduled.
//!
//! The reported step is as old as the poll, which takes long in a large group or on a slow
//! instance. A step that has already begun cannot be held.

/// The smallest margin: the step after the last reported one is about to begin.
const MIN_STEPS: u64 = 2;

/// The largest margin. A group whose steps outpace it keeps its map until a later attempt
/// succeeds.
const MAX_STEPS: u64 = 10;

/// How many holds in a row succeed before the margin decreases by one step.
const SUCCESSES_PER_DECREASE: u32 = 12;

/// The margin in steps, adapted to whether earlier steps could be held in time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StepMargin {
    steps: u64,
    successes: u32,
}

impl Default for StepMargin {
    fn default() -> Self {
        Self {
            steps: MIN_STEPS,
            successes: 0,
        }
    }
}

impl StepMargin {
    /// Returns the margin in steps.
    pub(crate) fn steps(self) -> u64 {
        self.steps
    }

    /// Records that a step was held in time.
    pub(crate) fn record_success(&mut self) {
        self.successes += 1;
        if self.successes >= SUCCESSES_PER_DECREASE && self.steps > MIN_STEPS {
            self.steps -= 1;
            self.successes = 0;
        }
    }

    /// Records that a step had begun before it could be held.
    pub(crate) fn record_miss(&mut self) {
        self.steps = (self.steps + 1).min(MAX_STEPS);
        self.successes = 0;
    }
}
