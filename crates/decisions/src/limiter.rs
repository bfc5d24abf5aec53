//! The limit on the attempts of this entry at one upstream: additive increase, multiplicative
//! decrease, by refusals, waiting attempts and the time to the first byte.

use sardinepin_common::Millis;
use sardinepin_protocol::Load;

use crate::settings::ConcurrencySettings;

/// The factor after a refusal.
const AFTER_REFUSAL: f32 = 0.5;

/// The factor after a window in which attempts waited or were slow.
const AFTER_CONGESTION: f32 = 0.9;

/// The growth of the limit in a window in which it was reached.
const GROWTH: f32 = 0.5;

/// The factor in such a window during slow start.
const START_GROWTH: f32 = 2.0;

/// The share of the limit from which it counts as reached.
const REACHED: f32 = 0.9;

/// The share of an upstream's slots that may wait there, so that it never runs dry.
const WAITING_SHARE: u32 = 32;

/// How many times the shortest time to the first byte counts as slow.
const SLOW: f32 = 2.0;

/// The same where load reports say that nothing waits.
const SLOW_BUT_FREE: f32 = 4.0;

/// What is added to that, in milliseconds.
const SLOW_SLACK: f32 = 10.0;

/// The samples by whose shortest an upstream counts as slow.
const SAMPLES: u32 = 8;

/// How fast the shortest time of all is forgotten, as a factor for as many samples.
const FLOOR_DRIFT: f32 = 1.002;

/// The first pause after a refusal at the lowest limit; each further one lasts twice as long.
const PAUSE: Millis = Millis(25);

/// The longest pause.
const PAUSE_MAX: Millis = Millis(1_000);

/// The limit on one upstream.
#[derive(Debug)]
pub(crate) struct Limiter {
    limit: f32,
    starting: bool,
    /// The shortest time to the first byte, in milliseconds; 0 before the first.
    floor: f32,
    /// The shortest time to the first byte of the last samples, in milliseconds.
    shortest: f32,
    samples: u32,
    /// The length of the last pause, zero after an answer.
    pause: Millis,
    /// When the pause ends, if there is one.
    paused: Option<Millis>,
    window: Window,
}

/// What was seen since the last change of the limit.
#[derive(Debug, Default)]
struct Window {
    ends: Millis,
    reached: bool,
    refused: bool,
    /// The fewest waiting attempts of all reports, and how many may wait.
    waiting: Option<Allowance>,
}

#[derive(Debug, Clone, Copy)]
struct Allowance {
    fewest: u32,
    allowed: u32,
}

impl Limiter {
    /// Makes a limit in slow start.
    pub(crate) fn new(settings: &ConcurrencySettings) -> Self {
        Self {
            limit: settings.initial as f32,
            starting: true,
            floor: 0.0,
            shortest: f32::MAX,
            samples: 0,
            pause: Millis::ZERO,
            paused: None,
            window: Window::default(),
        }
    }

    /// Goes back to slow start, for an upstream that has returned.
    pub(crate) fn restart(&mut self, settings: &ConcurrencySettings) {
        self.limit = settings.initial as f32;
        self.starting = true;
        self.pause = Millis::ZERO;
        self.paused = None;
        self.window = Window::default();
    }

    /// Returns whether nothing is to be sent for now.
    pub(crate) fn pauses(&self) -> bool {
        self.paused.is_some()
    }

    /// Returns the limit, at least 1.
    pub(crate) fn value(&self) -> f32 {
        self.limit
    }

    /// Notes that an attempt was sent and how many are now in flight.
    pub(crate) fn sent(&mut self, in_flight: usize) {
        self.window.reached |= in_flight as f32 >= self.limit.floor() * REACHED;
    }

    /// Notes a time to the first byte.
    pub(crate) fn began(&mut self, time: Millis) {
        self.shortest = self.shortest.min(time.0 as f32);
        self.samples += 1;
        self.pause = Millis::ZERO;
    }

    /// Notes a load report.
    pub(crate) fn reported(&mut self, load: &Load) {
        let fewest = self
            .window
            .waiting
            .map_or(load.waiting, |seen| seen.fewest.min(load.waiting));
        self.window.waiting = Some(Allowance {
            fewest,
            allowed: (load.slots / WAITING_SHARE).max(1),
        });
    }

    /// Lowers the limit after a refusal, once in each window; at the lowest limit, pauses.
    ///
    /// `in_flight` counts the attempt that was refused.
    pub(crate) fn refused(
        &mut self,
        now: Millis,
        in_flight: usize,
        settings: &ConcurrencySettings,
    ) {
        if self.limit <= 1.0 {
            self.pause = Millis(self.pause.0 * 2).clamp(PAUSE, PAUSE_MAX);
            self.paused = Some(now + self.pause);
        }
        if self.window.refused {
            return;
        }
        self.limit = (self.limit.min(in_flight as f32) * AFTER_REFUSAL).max(1.0);
        self.starting = false;
        self.window = Window {
            refused: true,
            ends: now + settings.window,
            ..Window::default()
        };
    }

    /// Changes the limit by what the window has shown, if the window is over.
    pub(crate) fn roll(&mut self, now: Millis, settings: &ConcurrencySettings) {
        self.paused = self.paused.filter(|until| *until > now);
        if now < self.window.ends {
            return;
        }
        let slow = self.slow();
        let queued = self
            .window
            .waiting
            .is_some_and(|seen| seen.fewest > seen.allowed);
        if slow || queued {
            self.limit *= AFTER_CONGESTION;
            self.starting = false;
        } else if self.window.reached && !self.window.refused {
            self.limit = if self.starting {
                self.limit * START_GROWTH
            } else {
                self.limit + GROWTH
            };
        }
        self.limit = self.limit.clamp(1.0, settings.max as f32);
        self.window = Window {
            ends: now + settings.window,
            ..Window::default()
        };
    }

    /// Returns whether even the shortest of the last times to the first byte was long.
    fn slow(&mut self) -> bool {
        if self.samples < SAMPLES {
            return false;
        }
        let shortest = std::mem::replace(&mut self.shortest, f32::MAX);
        self.samples = 0;
        if self.floor == 0.0 {
            self.floor = shortest;
        }
        self.floor = shortest.min(self.floor * FLOOR_DRIFT).max(1.0);
        let factor = if self.window.waiting.is_some() {
            SLOW_BUT_FREE
        } else {
            SLOW
        };
        shortest > self.floor * factor + SLOW_SLACK
    }
}
