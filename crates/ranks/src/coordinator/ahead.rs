//! How many steps ahead of the last one a switch is put.
//!
//! What a coordinator knows of the last step is as old as its look, which takes long in a large
//! group or on a slow instance; a step that has begun cannot be held any more.

/// The fewest steps: the next one is about to begin.
const LEAST: u64 = 2;

/// The most steps; a group that is faster than this allows is left alone for a while.
const MOST: u64 = 10;

/// How many switches in a row have to succeed before one step less is tried.
const PATIENCE: u32 = 12;

/// The distance, from what became of earlier switches.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ahead {
    steps: u64,
    successes: u32,
}

impl Default for Ahead {
    fn default() -> Self {
        Self {
            steps: LEAST,
            successes: 0,
        }
    }
}

impl Ahead {
    /// Returns the distance in steps.
    pub(crate) fn steps(self) -> u64 {
        self.steps
    }

    /// Notes that a step could be held.
    pub(crate) fn held(&mut self) {
        self.successes += 1;
        if self.successes >= PATIENCE && self.steps > LEAST {
            self.steps -= 1;
            self.successes = 0;
        }
    }

    /// Notes that a step had begun before it could be held.
    pub(crate) fn missed(&mut self) {
        self.steps = (self.steps + 1).min(MOST);
        self.successes = 0;
    }
}
