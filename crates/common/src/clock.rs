//! The one clock of the system, in milliseconds.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// A point in time or a span of time, in milliseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// No time at all, and the start of every clock.
    pub const ZERO: Self = Self(0);

    /// Returns the span from `earlier` to `self`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns the value as a [`Duration`].
    #[must_use]
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the value as a floating point number of milliseconds.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.since(other)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} ms", self.0)
    }
}

/// A monotonic clock that starts at zero when it is made.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the milliseconds since the clock was started.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis(self.now_micros() / 1_000)
    }

    /// Returns the microseconds since the clock was started, for measurements.
    #[must_use]
    pub fn now_micros(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Returns the wall-clock time, in milliseconds since the Unix epoch.
    ///
    /// It may jump, so it serves logs and records that outlive a process, never time-outs.
    #[must_use]
    pub fn wall_time() -> Millis {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::start()
    }
}
