//! The state of one upstream as known to this entry.

use sardinepin_common::Millis;
use sardinepin_protocol::{Digest, Load, UpstreamState};

use crate::concurrency_limit::ConcurrencyLimit;
use crate::events::{RequestNumber, UpstreamId, UpstreamInfo};
use crate::health::{Health, HealthState};
use crate::settings::ConcurrencySettings;

/// The factor on the concurrency limit for urgent requests.
const URGENT_FACTOR: f32 = 1.25;

/// The number of attempts added to the limit of urgent and keyed requests after the factor.
const OVERCOMMIT_EXTRA: f32 = 1.0;

/// The factor on the concurrency limit for requests with an idempotency key.
const KEYED_FACTOR: f32 = 2.0;

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    /// The request that it belongs to.
    pub(crate) request: RequestNumber,
    /// The digest of the request.
    pub(crate) digest: Digest,
    /// When it was sent.
    pub(crate) sent: Millis,
    /// When the first byte of its response arrived.
    pub(crate) first_byte: Option<Millis>,
    /// The expected work, in tokens; 1 for plain requests.
    pub(crate) cost: u32,
    /// Whether a crash during this attempt has been counted.
    pub(crate) crash_counted: bool,
    /// Whether this entry has withdrawn it.
    pub(crate) withdrawn: bool,
}

/// A load report of an upstream.
#[derive(Debug, Clone, Copy)]
struct Report {
    load: Load,
    received: Millis,
    /// The attempts that this entry had in flight there when the report arrived.
    own_attempts: u32,
}

/// How far a request may exceed an upstream's concurrency limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Overcommit {
    /// Not at all.
    Normal,
    /// Slightly, for an urgent request.
    Urgent,
    /// Far, for a keyed request that rendezvous hashing assigns to this upstream.
    Keyed,
}

/// An upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// The upstream's configuration.
    pub(crate) info: UpstreamInfo,
    /// Whether the configuration in force still contains it.
    pub(crate) configured: bool,
    /// Whether the link to its agent is up.
    pub(crate) linked: bool,
    /// Whether it takes no new work, according to its agent or the instance list.
    pub(crate) leaving: bool,
    /// The attempts of this entry that are in flight.
    pub(crate) attempts: Vec<Attempt>,
    /// The concurrency limit on these attempts.
    pub(crate) limiter: ConcurrencyLimit,
    /// The health, which decides on ejection.
    pub(crate) health: Health,
    /// The number of its rank group; `None` if it belongs to none.
    pub(crate) group: Option<u32>,
    /// The suspect that runs here alone, or will once the other attempts have ended.
    pub(crate) reserved_for: Option<RequestNumber>,
    /// When an attempt last received its first byte, completed or was refused as busy.
    pub(crate) last_progress: Millis,
    /// Until when the limit that it has named allows no attempt.
    pub(crate) limited_until: Millis,
    report: Option<Report>,
}

impl Upstream {
    /// Creates an upstream whose link is down.
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
            limited_until: Millis::ZERO,
            report: None,
        }
    }

    /// Returns the identifier of the upstream.
    pub(crate) fn id(&self) -> UpstreamId {
        self.info.id
    }

    /// Returns whether the upstream takes new work, regardless of its health.
    pub(crate) fn accepts_work(&self) -> bool {
        self.is_serving() && !self.info.evacuated
    }

    /// Returns whether the upstream would take new work if its zone were not evacuated.
    pub(crate) fn is_serving(&self) -> bool {
        self.linked && self.is_wanted() && !self.leaving
    }

    /// Returns whether the configuration in force wants the upstream in use.
    pub(crate) fn is_wanted(&self) -> bool {
        self.configured && self.info.state == UpstreamState::Active
    }

    /// Returns whether the upstream takes new work and is neither ejected nor busy with a probe.
    pub(crate) fn is_available(&self) -> bool {
        let idle = || self.attempts.is_empty();
        self.accepts_work()
            && match self.health.state() {
                HealthState::Healthy | HealthState::Stalling => true,
                HealthState::ProbingNonUrgent(_) | HealthState::ProbingAny => idle(),
                HealthState::Ejected(_) => false,
            }
    }

    /// Returns whether the upstream has capacity for one more attempt; `weight` is that of its rank
    /// group.
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
                let limit_max = match overcommit {
                    Overcommit::Normal => limit,
                    Overcommit::Urgent => limit * URGENT_FACTOR + OVERCOMMIT_EXTRA,
                    Overcommit::Keyed => limit * KEYED_FACTOR + OVERCOMMIT_EXTRA,
                };
                own + 1.0 <= limit_max.max(1.0)
            }
        }
    }

    /// Returns the load after one more attempt, as a share of the upstream's capacity.
    ///
    /// The load is the last report adjusted by this entry's attempts since then, if the report is not
    /// older than `max_age`; otherwise this entry's attempts divided by its concurrency limit.
    pub(crate) fn projected_load(&self, now: Millis, max_age: Millis) -> f32 {
        let Some(report) = self.report.filter(|report| report.is_current(now, max_age)) else {
            return (self.attempts.len() + 1) as f32 / self.limiter.value();
        };
        let reported = report.load.running + report.load.waiting;
        let others = reported.saturating_sub(report.own_attempts);
        let total = others + self.attempts.len() as u32 + 1;
        total as f32 / report.load.slots.max(1) as f32
    }

    /// Returns the attempts of other entries according to the last current report; 0 without one.
    pub(crate) fn foreign_attempts(&self, now: Millis, max_age: Millis) -> u32 {
        self.report
            .filter(|report| report.is_current(now, max_age))
            .map_or(0, |report| {
                (report.load.running + report.load.waiting).saturating_sub(report.own_attempts)
            })
    }

    /// Returns whether attempts wait on the upstream according to the last current report.
    pub(crate) fn has_queue(&self, now: Millis, max_age: Millis) -> bool {
        self.report
            .is_some_and(|report| report.is_current(now, max_age) && report.load.waiting > 0)
    }

    /// Returns the step time of the last current report, in microseconds; 0 without one.
    pub(crate) fn step_micros(&self, now: Millis, max_age: Millis) -> u32 {
        self.report
            .filter(|report| report.is_current(now, max_age))
            .map_or(0, |report| report.load.step_micros)
    }

    /// Returns whether, according to the agent, the engine has been silent for longer than `bound`.
    pub(crate) fn is_engine_silent(&self, bound: Millis) -> bool {
        self.report
            .is_some_and(|report| u64::from(report.load.age_ms) > bound.0)
    }

    /// Records a load report.
    pub(crate) fn record_load(&mut self, now: Millis, load: Load) {
        self.limiter.record_load(&load);
        self.report = Some(Report {
            load,
            received: now,
            own_attempts: self.attempts.len() as u32,
        });
    }

    /// Records that the link came up or went down. A new link resets health and limit.
    pub(crate) fn set_link(&mut self, up: bool, limits: &ConcurrencySettings) {
        self.linked = up;
        self.report = None;
        self.limited_until = Millis::ZERO;
        if up {
            self.leaving = false;
            self.health = Health::default();
            self.limiter.restart(limits);
        }
    }

    /// Releases the upstream from a suspect that it is reserved for, if it takes no more work and the suspect does not run here.
    pub(crate) fn release_unusable_reservation(&mut self) {
        let running = self.reserved_for.is_some_and(|request| {
            let mut attempts = self.attempts.iter();
            attempts.any(|attempt| attempt.request == request)
        });
        if !self.accepts_work() && !running {
            self.reserved_for = None;
        }
    }

    /// Adds an attempt that has been sent.
    pub(crate) fn add_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
        self.limiter.record_send(self.attempts.len());
    }

    /// Records the first byte of a response and returns the time to it; `None` if it is unknown or
    /// not the first.
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

    /// Removes the attempt of a request and releases the upstream if it was reserved for it.
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

    /// Returns how long attempts have waited for a first byte without any progress of the upstream.
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
    fn is_current(&self, now: Millis, max_age: Millis) -> bool {
        now.since(self.received).0 + u64::from(self.load.age_ms) <= max_age.0
    }
}
