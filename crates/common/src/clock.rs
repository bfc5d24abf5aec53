//! Monotonic and wall-clock time in milliseconds, the only source of time in the workspace.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// A point in time or a duration, in milliseconds. Addition and subtraction saturate.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Zero duration, and the reading of a [`Clock`] when it starts.
    pub const ZERO: Self = Self(0);

    /// Returns the duration from `earlier` to `self`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns the value as a [`Duration`].
    #[must_use]
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the number of milliseconds as a floating-point number.
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
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}

/// A monotonic clock that reads zero when it is created.
///
/// It stands still where a test pauses the time of its runtime, so that it agrees with timers.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that reads zero now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock was created.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis(self.now_micros() / 1_000)
    }

    /// Returns the microseconds since the clock was created, for measurements that need finer resolution.
    #[must_use]
    pub fn now_micros(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Returns the wall-clock time since the Unix epoch.
    ///
    /// Wall-clock time may jump, so use it only for logs and for records that outlive the process,
    /// never for timeouts.
    #[must_use]
    pub fn wall_time() -> Millis {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Millis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::start()
    }
}
