//! The adaptive limit on this entry's attempts in flight on one upstream.
//!
//! It uses additive increase and multiplicative decrease, driven by refusals, waiting attempts and the
//! time to the first byte.

use sardinepin_common::Millis;
use sardinepin_protocol::Load;

use crate::settings::ConcurrencySettings;

/// The factor on the limit after a refusal.
const REFUSAL_FACTOR: f32 = 0.5;

/// The factor on the limit after a window in which attempts waited or were slow.
const CONGESTION_FACTOR: f32 = 0.9;

/// The increase after a window in which the limit was reached.
const ADDITIVE_INCREASE: f32 = 0.5;

/// The factor after such a window during slow start.
const SLOW_START_FACTOR: f32 = 2.0;

/// The share of the limit at which it counts as reached.
const REACHED_SHARE: f32 = 0.9;

/// The number of an upstream's slots for each attempt that may wait there, so that it never runs
/// idle.
const SLOTS_PER_WAITING: u32 = 32;

/// The multiple of the best time to the first byte that counts as slow.
const SLOW_FACTOR: f32 = 2.0;

/// The same if load reports arrive and show no excess of waiting attempts.
const SLOW_FACTOR_REPORTED: f32 = 4.0;

/// The milliseconds added to that multiple.
const SLOW_SLACK_MS: f32 = 10.0;

/// The number of samples whose shortest is compared with the best time.
const SAMPLES_MIN: u32 = 8;

/// The factor by which the best time grows after that many samples, so that it follows changes.
const BEST_LATENCY_DRIFT: f32 = 1.002;

/// The first pause after a refusal at the lowest limit, which doubles with each further refusal.
const PAUSE_MIN: Millis = Millis(25);

/// The longest such pause.
const PAUSE_MAX: Millis = Millis(1_000);

/// The concurrency limit of one upstream.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f32,
    slow_start: bool,
    /// The best time to the first byte, in milliseconds; 0 before the first measurement.
    best_latency: f32,
    /// The shortest time to the first byte of the current samples, in milliseconds.
    recent_latency: f32,
    samples: u32,
    /// The length of the last pause; zero after a first byte.
    pause: Millis,
    /// When the current pause ends; `None` if sending is not paused.
    paused_until: Option<Millis>,
    window: Window,
}

/// The observations since the last adjustment of the limit.
#[derive(Debug, Default)]
struct Window {
    ends: Millis,
    reached: bool,
    refused: bool,
    /// The waiting attempts in load reports; `None` if no report arrived.
    waiting: Option<WaitingReports>,
}

/// The attempts that wait on an upstream according to its load reports.
#[derive(Debug, Clone, Copy)]
struct WaitingReports {
    /// The fewest in any report of the window.
    fewest: u32,
    /// How many may wait without congestion.
    allowed: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit in slow start.
    pub(crate) fn new(settings: &ConcurrencySettings) -> Self {
        Self {
            limit: settings.initial as f32,
            slow_start: true,
            best_latency: 0.0,
            recent_latency: f32::MAX,
            samples: 0,
            pause: Millis::ZERO,
            paused_until: None,
            window: Window::default(),
        }
    }

    /// Returns to slow start after the upstream has come back.
    pub(crate) fn restart(&mut self, settings: &ConcurrencySettings) {
        self.limit = settings.initial as f32;
        self.slow_start = true;
        self.pause = Millis::ZERO;
        self.paused_until = None;
        self.window = Window::default();
    }

    /// Returns whether sending is paused.
    pub(crate) fn is_paused(&self) -> bool {
        self.paused_until.is_some()
    }

    /// Returns the limit in attempts, at least 1.
    pub(crate) fn value(&self) -> f32 {
        self.limit
    }

    /// Records that an attempt was sent; `in_flight` includes it.
    pub(crate) fn record_send(&mut self, in_flight: usize) {
        self.window.reached |= in_flight as f32 >= self.limit.floor() * REACHED_SHARE;
    }

    /// Records a time to the first byte.
    pub(crate) fn record_first_byte(&mut self, time: Millis) {
        self.recent_latency = self.recent_latency.min(time.0 as f32);
        self.samples += 1;
        self.pause = Millis::ZERO;
    }

    /// Records a load report.
    pub(crate) fn record_load(&mut self, load: &Load) {
        let fewest = self
            .window
            .waiting
            .map_or(load.waiting, |seen| seen.fewest.min(load.waiting));
        self.window.waiting = Some(WaitingReports {
            fewest,
            allowed: (load.slots / SLOTS_PER_WAITING).max(1),
        });
    }

    /// Lowers the limit after a refusal, at most once per window, and pauses at the lowest limit.
    ///
    /// `in_flight` includes the refused attempt.
    pub(crate) fn record_refusal(
        &mut self,
        now: Millis,
        in_flight: usize,
        settings: &ConcurrencySettings,
    ) {
        if self.limit <= 1.0 {
            self.pause = Millis(self.pause.0 * 2).clamp(PAUSE_MIN, PAUSE_MAX);
            self.paused_until = Some(now + self.pause);
        }
        if self.window.refused {
            return;
        }
        self.limit = (self.limit.min(in_flight as f32) * REFUSAL_FACTOR).max(1.0);
        self.slow_start = false;
        self.window = Window {
            refused: true,
            ends: now + settings.window,
            ..Window::default()
        };
    }

    /// Pauses sending until a time.
    pub(crate) fn pause_until(&mut self, until: Millis) {
        self.paused_until = self.paused_until.max(Some(until));
    }

    /// Ends an expired pause and, if the window is over, adjusts the limit.
    pub(crate) fn update(&mut self, now: Millis, settings: &ConcurrencySettings) {
        self.paused_until = self.paused_until.filter(|until| *until > now);
        if now < self.window.ends {
            return;
        }
        let slow = self.is_slow();
        let queued = self
            .window
            .waiting
            .is_some_and(|seen| seen.fewest > seen.allowed);
        if slow || queued {
            self.limit *= CONGESTION_FACTOR;
            self.slow_start = false;
        } else if self.window.reached && !self.window.refused {
            self.limit = if self.slow_start {
                self.limit * SLOW_START_FACTOR
            } else {
                self.limit + ADDITIVE_INCREASE
            };
        }
        self.limit = self.limit.clamp(1.0, settings.max as f32);
        self.window = Window {
            ends: now + settings.window,
            ..Window::default()
        };
    }

    /// Returns whether even the shortest recent time to the first byte was slow; false until there are
    /// enough samples.
    fn is_slow(&mut self) -> bool {
        if self.samples < SAMPLES_MIN {
            return false;
        }
        let shortest = std::mem::replace(&mut self.recent_latency, f32::MAX);
        self.samples = 0;
        if self.best_latency == 0.0 {
            self.best_latency = shortest;
        }
        self.best_latency = shortest
            .min(self.best_latency * BEST_LATENCY_DRIFT)
            .max(1.0);
        let factor = if self.window.waiting.is_some() {
            SLOW_FACTOR_REPORTED
        } else {
            SLOW_FACTOR
        };
        shortest > self.best_latency * factor + SLOW_SLACK_MS
    }
}
