//! Ejection of an upstream that fails or stalls, and its return by a probe.

use sardinepin_common::Millis;

use crate::settings::EjectionSettings;

/// Whether an upstream is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It is used.
    Fit,
    /// It shows no progress; it is used where nothing else can be.
    Suspected,
    /// It is not used until then.
    Ejected(Millis),
    /// It takes one request that is not urgent, to see whether it works again; from then on, any.
    Probing(Millis),
    /// It takes one request of any class, for the same end.
    Awaited,
}

/// The health of one upstream as this entry sees it.
#[derive(Debug)]
pub(crate) struct Health {
    standing: Standing,
    /// Failures in a row.
    failures: u32,
    /// Ejections in a row.
    ejections: u32,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            standing: Standing::Fit,
            failures: 0,
            ejections: 0,
        }
    }
}

impl Health {
    /// Returns whether the upstream is used.
    pub(crate) fn standing(&self) -> Standing {
        self.standing
    }

    /// Returns whether the upstream is ejected or on probation.
    pub(crate) fn out(&self) -> bool {
        matches!(
            self.standing,
            Standing::Ejected(_) | Standing::Probing(_) | Standing::Awaited
        )
    }

    /// Counts a failure and returns whether the upstream is to be ejected.
    pub(crate) fn failed(&mut self, settings: &EjectionSettings) -> bool {
        self.failures += 1;
        let probed = matches!(self.standing, Standing::Probing(_) | Standing::Awaited);
        probed || self.failures >= settings.consecutive_failures
    }

    /// Counts an answer and returns whether the upstream has come back by it.
    pub(crate) fn answered(&mut self) -> bool {
        let back = self.out();
        *self = Self::default();
        back
    }

    /// Marks the upstream as showing progress, or none.
    pub(crate) fn suspect(&mut self, stuck: bool) {
        match (self.standing, stuck) {
            (Standing::Fit, true) => self.standing = Standing::Suspected,
            (Standing::Suspected, false) => self.standing = Standing::Fit,
            _ => {}
        }
    }

    /// Ejects the upstream, for longer each time.
    pub(crate) fn eject(&mut self, now: Millis, settings: &EjectionSettings) {
        let factor = 1 << self.ejections.min(16);
        let rest =
            Millis(settings.base_duration.0.saturating_mul(factor)).min(settings.duration_max);
        self.standing = Standing::Ejected(now + rest);
        self.ejections += 1;
        self.failures = 0;
    }

    /// Lets the upstream be probed once it has been out for long enough.
    pub(crate) fn tick(&mut self, now: Millis, settings: &EjectionSettings) {
        match self.standing {
            Standing::Ejected(until) if until <= now => {
                self.standing = Standing::Probing(now + settings.base_duration);
            }
            Standing::Probing(until) if until <= now => self.standing = Standing::Awaited,
            _ => {}
        }
    }
}
