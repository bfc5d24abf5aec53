//! The injected faults of the platform and its rate limits.

use sardinepin_common::Millis;
use serde::{Deserialize, Serialize};

use super::counts::ApiCall;

/// Injected faults, all off by default; `POST /faults` replaces all of them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every call is closed at once without an answer and has no effect.
    pub down: bool,
    /// The delay of each call before it is handled, in milliseconds.
    pub slow_ms: u64,
    /// The number of next writes that take effect but are closed without an answer.
    pub lose_answers: u32,
    /// The number of next writes that are closed without an answer and take effect later.
    pub late_writes: u32,
    /// The delay of such a late write, in milliseconds.
    pub late_ms: u64,
    /// The number of next reads, listings and watches that show an older state.
    pub stale: u32,
    /// How many revisions a stale read is behind; 0 counts as 1.
    pub stale_by: u64,
    /// The delay until a change of the instance list becomes visible, in milliseconds.
    pub instance_lag_ms: u64,
    /// The maximum number of writes per second, beyond which a call is answered with 429; 0 means
    /// no limit.
    pub writes_rate: u32,
    /// The maximum number of reads and watches per second; 0 means no limit.
    pub reads_rate: u32,
}

/// How a write and its answer are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteFault {
    /// The write is applied and answered.
    None,
    /// The write is applied, and the connection is closed without an answer.
    AnswerLost,
    /// The connection is closed without an answer, and the write is applied after this delay.
    Late(Millis),
}

/// The faults that remain, and the calls counted against the rates.
#[derive(Debug, Default)]
pub(super) struct FaultState {
    faults: Faults,
    writes: RateWindow,
    reads: RateWindow,
}

/// The number of calls within the current second.
#[derive(Debug, Default)]
struct RateWindow {
    second: u64,
    calls: u32,
}

impl FaultState {
    /// Replaces the faults and restarts the rate windows at `now`.
    pub(super) fn set(&mut self, now: Millis, faults: Faults) {
        self.faults = faults;
        self.writes = RateWindow::at(now);
        self.reads = RateWindow::at(now);
    }

    /// Returns the faults that remain.
    pub(super) fn current(&self) -> &Faults {
        &self.faults
    }

    /// Counts a call and returns whether it is within its rate.
    pub(super) fn allows(&mut self, now: Millis, kind: ApiCall) -> bool {
        match kind {
            ApiCall::Write => self.writes.allows(now, self.faults.writes_rate),
            ApiCall::Read | ApiCall::Watch => self.reads.allows(now, self.faults.reads_rate),
        }
    }

    /// Returns how the next write is treated, and uses up one lost answer or late write.
    pub(super) fn take_write_fault(&mut self) -> WriteFault {
        if take_one(&mut self.faults.lose_answers) {
            WriteFault::AnswerLost
        } else if take_one(&mut self.faults.late_writes) {
            WriteFault::Late(Millis(self.faults.late_ms))
        } else {
            WriteFault::None
        }
    }

    /// Uses up one stale read and returns how many revisions it is behind.
    pub(super) fn take_stale_read(&mut self) -> u64 {
        if take_one(&mut self.faults.stale) {
            self.faults.stale_by.max(1)
        } else {
            0
        }
    }
}

impl RateWindow {
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

fn take_one(remaining: &mut u32) -> bool {
    let is_left = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    is_left
}
