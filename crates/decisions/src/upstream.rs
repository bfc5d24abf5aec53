//! One upstream as this entry sees it.

use sardinepin_common::Millis;
use sardinepin_protocol::{Digest, Load, UpstreamState};

use crate::concurrency_limit::ConcurrencyLimit;
use crate::events::{RequestNumber, UpstreamId, UpstreamInfo};
use crate::health::{Health, HealthState};
use crate::settings::ConcurrencySettings;

/// How far an urgent request may go over the limit, as a factor.
const URGENT_FACTOR: f32 = 1.25;

/// How far it may go over the limit besides.
const OVERCOMMIT_EXTRA: f32 = 1.0;

/// How far a call with an idempotency key may go over the limit, as a factor.
const KEYED_FACTOR: f32 = 2.0;

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    /// The request.
    pub(crate) request: RequestNumber,
    /// The digest of the request.
    pub(crate) digest: Digest,
    /// When it was sent.
    pub(crate) sent: Millis,
    /// When the first byte of its answer came.
    pub(crate) first_byte: Option<Millis>,
    /// The expected work.
    pub(crate) cost: u32,
    /// Whether it was in flight at a crash that has been counted.
    pub(crate) crash_counted: bool,
    /// Whether it has been withdrawn.
    pub(crate) withdrawn: bool,
}

/// A load report and what this entry had in flight when it came.
#[derive(Debug, Clone, Copy)]
struct Report {
    load: Load,
    received: Millis,
    own_attempts: u32,
}

/// How much more an upstream may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Overcommit {
    /// Up to the limit.
    Normal,
    /// Somewhat over the limit.
    Urgent,
    /// Far over the limit, for a call that belongs here.
    Keyed,
}

/// An upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// The upstream as configured.
    pub(crate) info: UpstreamInfo,
    /// Whether the configuration in force still holds it.
    pub(crate) configured: bool,
    /// Whether the link to its agent is up.
    pub(crate) linked: bool,
    /// Whether its agent takes no new work.
    pub(crate) leaving: bool,
    /// The attempts in flight.
    pub(crate) attempts: Vec<Attempt>,
    /// The limit on them.
    pub(crate) limiter: ConcurrencyLimit,
    /// The health.
    pub(crate) health: Health,
    /// The number of its rank group.
    pub(crate) group: Option<u32>,
    /// The suspect that runs or is about to run here, alone.
    pub(crate) reserved_for: Option<RequestNumber>,
    /// When an attempt last began or ended.
    pub(crate) last_progress: Millis,
    report: Option<Report>,
}

impl Upstream {
    /// Makes an upstream that is not linked yet.
    pub(crate) fn new(info: UpstreamInfo, limits: &ConcurrencySettings) -> Self {
        Self {
            info,
            configured: true,
            linked: false,
            leaving: false,
            attempts: Vec::new(),
            limiter: ConcurrencyLimit::new(limits),
            health: Health::default(),
            group: None,
            reserved_for: None,
            last_progress: Millis::ZERO,
            report: None,
        }
    }

    /// Returns the number of the upstream.
    pub(crate) fn id(&self) -> UpstreamId {
        self.info.id
    }

    /// Returns whether the upstream takes new work at all.
    pub(crate) fn accepts_work(&self) -> bool {
        self.linked && self.configured && !self.leaving && self.info.state == UpstreamState::Active
    }

    /// Returns whether the upstream takes new work and is not ejected.
    pub(crate) fn is_available(&self) -> bool {
        let probed = || self.attempts.is_empty();
        self.accepts_work()
            && match self.health.state() {
                HealthState::Healthy | HealthState::Stalling => true,
                HealthState::ProbingNonUrgent(_) | HealthState::ProbingAny => probed(),
                HealthState::Ejected(_) => false,
            }
    }

    /// Returns whether one more attempt fits; `weight` is that of its rank group.
    pub(crate) fn has_capacity(&self, overcommit: Overcommit, weight: f32) -> bool {
        if !self.accepts_work() || self.limiter.is_paused() {
            return false;
        }
        let own = self.attempts.len() as f32;
        match self.health.state() {
            HealthState::Ejected(_) => false,
            HealthState::ProbingNonUrgent(_) => own == 0.0 && overcommit != Overcommit::Urgent,
            HealthState::ProbingAny => own == 0.0,
            HealthState::Healthy | HealthState::Stalling => {
                let limit = self.limiter.value() * weight;
                let most = match overcommit {
                    Overcommit::Normal => limit,
                    Overcommit::Urgent => limit * URGENT_FACTOR + OVERCOMMIT_EXTRA,
                    Overcommit::Keyed => limit * KEYED_FACTOR + OVERCOMMIT_EXTRA,
                };
                own + 1.0 <= most.max(1.0)
            }
        }
    }

    /// Returns the load after one more attempt, as a share of what the upstream can bear.
    ///
    /// It is the last report with this entry's own changes since then, if the report is not older
    /// than `bound`; failing that, the own attempts as a share of the own limit.
    pub(crate) fn projected_load(&self, now: Millis, bound: Millis) -> f32 {
        let Some(report) = self.report.filter(|report| report.is_current(now, bound)) else {
            return (self.attempts.len() + 1) as f32 / self.limiter.value();
        };
        let known = report.load.running + report.load.waiting;
        let others = known.saturating_sub(report.own_attempts);
        let total = others + self.attempts.len() as u32 + 1;
        total as f32 / report.load.slots.max(1) as f32
    }

    /// Returns the attempts of other entries by the last trusted report.
    pub(crate) fn foreign_attempts(&self, now: Millis, bound: Millis) -> u32 {
        self.report
            .filter(|report| report.is_current(now, bound))
            .map_or(0, |report| {
                (report.load.running + report.load.waiting).saturating_sub(report.own_attempts)
            })
    }

    /// Returns whether attempts wait there by the last trusted report.
    pub(crate) fn has_queue(&self, now: Millis, bound: Millis) -> bool {
        self.report
            .is_some_and(|report| report.is_current(now, bound) && report.load.waiting > 0)
    }

    /// Returns the step time of the last trusted report, in microseconds; 0 if there is none.
    pub(crate) fn step_micros(&self, now: Millis, bound: Millis) -> u32 {
        self.report
            .filter(|report| report.is_current(now, bound))
            .map_or(0, |report| report.load.step_micros)
    }

    /// Returns whether the engine was silent for longer than `bound` by its agent's word.
    pub(crate) fn is_engine_silent(&self, bound: Millis) -> bool {
        self.report
            .is_some_and(|report| u64::from(report.load.age_ms) > bound.0)
    }

    /// Takes in a load report.
    pub(crate) fn record_load(&mut self, now: Millis, load: Load) {
        self.limiter.record_load(&load);
        self.report = Some(Report {
            load,
            received: now,
            own_attempts: self.attempts.len() as u32,
        });
    }

    /// Takes the link's coming or going into account.
    pub(crate) fn set_link(&mut self, up: bool, limits: &ConcurrencySettings) {
        self.linked = up;
        self.report = None;
        if up {
            self.leaving = false;
            self.health = Health::default();
            self.limiter.restart(limits);
        }
    }

    /// Adds an attempt.
    pub(crate) fn add_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
        self.limiter.record_send(self.attempts.len());
    }

    /// Notes a first byte and returns the time that it took.
    pub(crate) fn record_first_byte(
        &mut self,
        now: Millis,
        request: RequestNumber,
    ) -> Option<Millis> {
        let attempt = self
            .attempts
            .iter_mut()
            .find(|attempt| attempt.request == request)?;
        if attempt.first_byte.is_some() {
            return None;
        }
        attempt.first_byte = Some(now);
        let time = now.since(attempt.sent);
        self.last_progress = now;
        self.limiter.record_first_byte(time);
        Some(time)
    }

    /// Takes out the attempt of a request.
    pub(crate) fn remove_attempt(&mut self, request: RequestNumber) -> Option<Attempt> {
        let index = self
            .attempts
            .iter()
            .position(|attempt| attempt.request == request)?;
        if self.reserved_for == Some(request) {
            self.reserved_for = None;
        }
        Some(self.attempts.swap_remove(index))
    }

    /// Returns how long attempts have waited here without any sign of progress.
    pub(crate) fn stalled_for(&self, now: Millis) -> Millis {
        self.attempts
            .iter()
            .filter(|attempt| attempt.first_byte.is_none())
            .map(|attempt| now.since(attempt.sent.max(self.last_progress)))
            .max()
            .unwrap_or_default()
    }
}

impl Report {
    fn is_current(&self, now: Millis, bound: Millis) -> bool {
        now.since(self.received).0 + u64::from(self.load.age_ms) <= bound.0
    }
}
