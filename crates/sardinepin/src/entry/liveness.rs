//! Detects an agent that no longer responds on an open link.

#[cfg(test)]
mod tests;

use std::sync::{Mutex, MutexGuard, PoisonError};

use sardinepin_common::Millis;

/// How long a link with attempts in flight may receive nothing before a ping is sent, and how long
/// the agent may then take to send any frame.
const LIVENESS_TIMEOUT: Millis = Millis(1_000);

/// The result of a liveness check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LivenessCheck {
    /// No action is needed.
    Ok,
    /// Nothing was received for [`LIVENESS_TIMEOUT`]: send a ping.
    Ping,
    /// Nothing was received for [`LIVENESS_TIMEOUT`] after the ping.
    TimedOut,
}

/// The times of the last received frame and of a ping that is still unanswered.
#[derive(Debug)]
pub(crate) struct Liveness {
    state: Mutex<LivenessState>,
}

#[derive(Debug, Clone, Copy)]
struct LivenessState {
    last_frame: Millis,
    ping_sent: Option<Millis>,
}

impl Liveness {
    /// Starts as if a frame was received at `now`.
    pub(crate) fn new(now: Millis) -> Self {
        let state = LivenessState {
            last_frame: now,
            ping_sent: None,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Records that a frame was received at `now`.
    pub(crate) fn record_frame(&self, now: Millis) {
        let mut state = self.lock();
        state.last_frame = now;
        state.ping_sent = None;
    }

    /// Checks the link at `now`; pings are due only while an attempt waits for the agent.
    pub(crate) fn check(&self, now: Millis, awaiting_agent: bool) -> LivenessCheck {
        let mut state = self.lock();
        match state.ping_sent {
            // The timeout starts at the ping, because an idle link may have received nothing for
            // long.
            Some(ping_sent) if now.since(ping_sent) >= LIVENESS_TIMEOUT => LivenessCheck::TimedOut,
            Some(_) => LivenessCheck::Ok,
            None if awaiting_agent && now.since(state.last_frame) >= LIVENESS_TIMEOUT => {
                state.ping_sent = Some(now);
                LivenessCheck::Ping
            }
            None => LivenessCheck::Ok,
        }
    }

    fn lock(&self) -> MutexGuard<'_, LivenessState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
