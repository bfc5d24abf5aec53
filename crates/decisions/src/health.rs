//! Ejection of an upstream that fails or stalls, and its return by a probe.

use sardinepin_common::Millis;

use crate::settings::EjectionSettings;

/// Whether an upstream is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// It is used.
    Healthy,
    /// It shows no progress; it is used where nothing else can be.
    Stalling,
    /// It is not used until then.
    Ejected(Millis),
    /// It takes one request that is not urgent, to see whether it works again; from then on, any.
    ProbingNonUrgent(Millis),
    /// It takes one request of any class, for the same end.
    ProbingAny,
}

/// The health of one upstream as this entry sees it.
#[derive(Debug)]
pub(crate) struct Health {
    state: HealthState,
    /// Failures in a row.
    failures: u32,
    /// Ejections in a row.
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
    /// Returns whether the upstream is used.
    pub(crate) fn state(&self) -> HealthState {
        self.state
    }

    /// Returns whether the upstream is ejected or on probation.
    pub(crate) fn is_ejected_or_probing(&self) -> bool {
        matches!(
            self.state,
            HealthState::Ejected(_) | HealthState::ProbingNonUrgent(_) | HealthState::ProbingAny
        )
    }

    /// Counts a failure and returns whether the upstream is to be ejected.
    pub(crate) fn record_failure(&mut self, settings: &EjectionSettings) -> bool {
        self.failures += 1;
        let probed = matches!(
            self.state,
            HealthState::ProbingNonUrgent(_) | HealthState::ProbingAny
        );
        probed || self.failures >= settings.consecutive_failures
    }

    /// Counts an answer and returns whether the upstream has come back by it.
    pub(crate) fn record_success(&mut self) -> bool {
        let back = self.is_ejected_or_probing();
        *self = Self::default();
        back
    }

    /// Marks the upstream as showing progress, or none.
    pub(crate) fn set_stalling(&mut self, stuck: bool) {
        match (self.state, stuck) {
            (HealthState::Healthy, true) => self.state = HealthState::Stalling,
            (HealthState::Stalling, false) => self.state = HealthState::Healthy,
            _ => {}
        }
    }

    /// Ejects the upstream, for longer each time.
    pub(crate) fn eject(&mut self, now: Millis, settings: &EjectionSettings) {
        let factor = 1 << self.ejections.min(16);
        let rest =
            Millis(settings.base_duration.0.saturating_mul(factor)).min(settings.duration_max);
        self.state = HealthState::Ejected(now + rest);
        self.ejections += 1;
        self.failures = 0;
    }

    /// Lets the upstream be probed once it has been out for long enough.
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
