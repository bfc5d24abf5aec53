//! The faults of the platform and the rates that it allows.

use sardinepin_common::Millis;
use serde::{Deserialize, Serialize};

use super::counts::Kind;

/// Faults, all off by default; setting them replaces those set before.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every call is closed at once without an answer, and has no effect.
    pub down: bool,
    /// How long each call is delayed before it is served, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next writes take effect but are closed without an answer.
    pub lose_answers: u32,
    /// How many of the next writes are closed without an answer and take effect later.
    pub late_writes: u32,
    /// How much later, in milliseconds.
    pub late_ms: u64,
    /// How many of the next reads, listings and watches show an older state.
    pub stale: u32,
    /// How many revisions older; the last one if it is 0.
    pub stale_by: u64,
    /// How long a change of the instance list stays unseen, in milliseconds.
    pub instance_lag_ms: u64,
    /// The most writes each second; what is over is answered with 429; 0 for no limit.
    pub writes_rate: u32,
    /// The most reads and watches each second; 0 for no limit.
    pub reads_rate: u32,
}

/// What becomes of a write and its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoseMode {
    /// It is applied and answered.
    Answer,
    /// It is applied, and the answer is lost.
    AnswerLost,
    /// The connection is closed, and it is applied after this time.
    Late(Millis),
}

/// The faults as they are used up.
#[derive(Debug, Default)]
pub(super) struct Gate {
    faults: Faults,
    writes: Window,
    reads: Window,
}

/// Calls within the current second.
#[derive(Debug, Default)]
struct Window {
    second: u64,
    calls: u32,
}

impl Gate {
    /// Replaces the faults; `now` opens new windows of the rates.
    pub(super) fn set(&mut self, now: Millis, faults: Faults) {
        self.faults = faults;
        self.writes = Window::at(now);
        self.reads = Window::at(now);
    }

    /// Returns the faults that are left.
    pub(super) fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns whether a call is within its rate.
    pub(super) fn allows(&mut self, now: Millis, kind: Kind) -> bool {
        match kind {
            Kind::Write => self.writes.allows(now, self.faults.writes_rate),
            Kind::Read | Kind::Watch => self.reads.allows(now, self.faults.reads_rate),
        }
    }

    /// Uses up one lost or late write.
    pub(super) fn lose(&mut self) -> LoseMode {
        if take(&mut self.faults.lose_answers) {
            LoseMode::AnswerLost
        } else if take(&mut self.faults.late_writes) {
            LoseMode::Late(Millis(self.faults.late_ms))
        } else {
            LoseMode::Answer
        }
    }

    /// Uses up one stale read and returns how many revisions it is behind.
    pub(super) fn stale(&mut self) -> u64 {
        if take(&mut self.faults.stale) {
            self.faults.stale_by.max(1)
        } else {
            0
        }
    }
}

impl Window {
    fn at(now: Millis) -> Self {
        Self {
            second: now.0 / 1_000,
            calls: 0,
        }
    }

    fn allows(&mut self, now: Millis, rate: u32) -> bool {
        if now.0 / 1_000 != self.second {
            *self = Self::at(now);
        }
        self.calls += 1;
        rate == 0 || self.calls <= rate
    }
}

fn take(left: &mut u32) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
}
