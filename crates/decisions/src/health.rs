//! Ejection of failing and stalled upstreams, and their return after a successful probe.

use sardinepin_common::Millis;

use crate::settings::EjectionSettings;

/// The health of an upstream, which decides what it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// The upstream is used normally.
    Healthy,
    /// The upstream makes no progress and is used only if no other has capacity.
    Stalling,
    /// The upstream is not used until the given time.
    Ejected(Millis),
    /// The upstream takes one request at a time as a probe, urgent ones only after the given time.
    ProbingNonUrgent(Millis),
    /// The upstream takes one request of any class at a time as a probe.
    ProbingAny,
}

/// The health of one upstream as observed by this entry.
#[derive(Debug)]
pub(crate) struct Health {
    state: HealthState,
    /// The number of consecutive failures.
    failures: u32,
    /// The number of consecutive ejections.
    ejections: u32,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: HealthState::Healthy,
            failures: 0,
            ejections: 0,
        }
    }
}

impl Health {
    /// Returns the current state.
    pub(crate) fn state(&self) -> HealthState {
        self.state
    }

    /// Returns whether the upstream is ejected or being probed.
    pub(crate) fn is_ejected_or_probing(&self) -> bool {
        matches!(
            self.state,
            HealthState::Ejected(_) | HealthState::ProbingNonUrgent(_) | HealthState::ProbingAny
        )
    }

    /// Counts a failure and returns whether the upstream must be ejected.
    pub(crate) fn record_failure(&mut self, settings: &EjectionSettings) -> bool {
        self.failures += 1;
        let probing = matches!(
            self.state,
            HealthState::ProbingNonUrgent(_) | HealthState::ProbingAny
        );
        probing || self.failures >= settings.consecutive_failures
    }

    /// Resets the health after a complete response and returns whether this ends an ejection.
    pub(crate) fn record_success(&mut self) -> bool {
        let was_ejected = self.is_ejected_or_probing();
        *self = Self::default();
        was_ejected
    }

    /// Marks the upstream as stalling or as making progress; ejected upstreams stay as they are.
    pub(crate) fn set_stalling(&mut self, stalling: bool) {
        match (self.state, stalling) {
            (HealthState::Healthy, true) => self.state = HealthState::Stalling,
            (HealthState::Stalling, false) => self.state = HealthState::Healthy,
            _ => {}
        }
    }

    /// Ejects the upstream, for twice as long with each consecutive ejection.
    pub(crate) fn eject(&mut self, now: Millis, settings: &EjectionSettings) {
        let factor = 1 << self.ejections.min(16);
        let duration =
            Millis(settings.base_duration.0.saturating_mul(factor)).min(settings.duration_max);
        self.state = HealthState::Ejected(now + duration);
        self.ejections += 1;
        self.failures = 0;
    }

    /// Advances an ejected upstream to probing once its ejection has lasted long enough.
    pub(crate) fn tick(&mut self, now: Millis, settings: &EjectionSettings) {
        match self.state {
            HealthState::Ejected(until) if until <= now => {
                self.state = HealthState::ProbingNonUrgent(now + settings.base_duration);
            }
            HealthState::ProbingNonUrgent(until) if until <= now => {
                self.state = HealthState::ProbingAny
            }
            _ => {}
        }
    }
}
