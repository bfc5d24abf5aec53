//! Whether the agent at the other end of a link still gives signs of life.

#[cfg(test)]
mod tests;

use std::sync::{Mutex, MutexGuard, PoisonError};

use sardinepin_common::Millis;

/// How long a link with attempts under way may be silent before the agent is asked for a sign of
/// life, and how long the answer may take.
const LIVENESS_TIMEOUT: Millis = Millis(1_000);

/// What a look at a link says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LivenessCheck {
    /// Nothing is to be done.
    Ok,
    /// It has been silent: ask for a sign of life.
    Ping,
    /// It was asked and did not answer in time.
    TimedOut,
}

/// When an agent was last heard, and when it was asked since.
#[derive(Debug)]
pub(crate) struct Liveness {
    state: Mutex<State>,
}

#[derive(Debug, Clone, Copy)]
struct State {
    last_frame: Millis,
    ping_sent: Option<Millis>,
}

impl Liveness {
    /// Starts with an agent that was heard at `now`.
    pub(crate) fn new(now: Millis) -> Self {
        let state = State {
            last_frame: now,
            ping_sent: None,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Takes in a frame that came at `now`.
    pub(crate) fn record_frame(&self, now: Millis) {
        let mut state = self.lock();
        state.last_frame = now;
        state.ping_sent = None;
    }

    /// Looks at the link at `now`; `busy` says whether an attempt waits for the agent.
    pub(crate) fn check(&self, now: Millis, awaiting_agent: bool) -> LivenessCheck {
        let mut state = self.lock();
        match state.ping_sent {
            // The time counts from the question: an idle link may have been silent for long.
            Some(ping_sent) if now.since(ping_sent) >= LIVENESS_TIMEOUT => LivenessCheck::TimedOut,
            Some(_) => LivenessCheck::Ok,
            None if awaiting_agent && now.since(state.last_frame) >= LIVENESS_TIMEOUT => {
                state.ping_sent = Some(now);
                LivenessCheck::Ping
            }
            None => LivenessCheck::Ok,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
