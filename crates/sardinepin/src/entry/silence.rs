//! Whether the agent at the other end of a link still gives signs of life.

#[cfg(test)]
mod tests;

use std::sync::{Mutex, MutexGuard, PoisonError};

use sardinepin_common::Millis;

/// How long a link with attempts under way may be silent before the agent is asked for a sign of
/// life, and how long the answer may take.
const SILENCE_MAX: Millis = Millis(1_000);

/// What a look at a link says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Look {
    /// Nothing is to be done.
    Fine,
    /// It has been silent: ask for a sign of life.
    Ask,
    /// It was asked and did not answer in time.
    Silent,
}

/// When an agent was last heard, and when it was asked since.
#[derive(Debug)]
pub(crate) struct Silence {
    state: Mutex<State>,
}

#[derive(Debug, Clone, Copy)]
struct State {
    heard: Millis,
    asked: Option<Millis>,
}

impl Silence {
    /// Starts with an agent that was heard at `now`.
    pub(crate) fn new(now: Millis) -> Self {
        let state = State {
            heard: now,
            asked: None,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Takes in a frame that came at `now`.
    pub(crate) fn hear(&self, now: Millis) {
        let mut state = self.state();
        state.heard = now;
        state.asked = None;
    }

    /// Looks at the link at `now`; `busy` says whether an attempt waits for the agent.
    pub(crate) fn look(&self, now: Millis, busy: bool) -> Look {
        let mut state = self.state();
        match state.asked {
            // The time counts from the question: an idle link may have been silent for long.
            Some(asked) if now.since(asked) >= SILENCE_MAX => Look::Silent,
            Some(_) => Look::Fine,
            None if busy && now.since(state.heard) >= SILENCE_MAX => {
                state.asked = Some(now);
                Look::Ask
            }
            None => Look::Fine,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
