//! One upstream as this entry sees it.

use sardinepin_common::Millis;
use sardinepin_protocol::{Digest, Load, UpstreamState};

use crate::events::{RequestNumber, UpstreamId, UpstreamInfo};
use crate::health::{Health, Standing};
use crate::limiter::Limiter;
use crate::settings::ConcurrencySettings;

/// How far an urgent request may go over the limit, as a factor.
const URGENT_FACTOR: f32 = 1.25;

/// How far it may go over the limit besides.
const URGENT_EXTRA: f32 = 1.0;

/// How far a call with an idempotency key may go over the limit, as a factor.
const KEYED_FACTOR: f32 = 2.0;

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    /// The request.
    pub(crate) ticket: RequestNumber,
    /// The digest of the request.
    pub(crate) digest: Digest,
    /// When it was sent.
    pub(crate) sent: Millis,
    /// When the first byte of its answer came.
    pub(crate) began: Option<Millis>,
    /// The expected work.
    pub(crate) cost: u32,
    /// Whether it was in flight at a crash that has been counted.
    pub(crate) struck: bool,
    /// Whether it has been withdrawn.
    pub(crate) withdrawn: bool,
}

/// A load report and what this entry had in flight when it came.
#[derive(Debug, Clone, Copy)]
struct Report {
    load: Load,
    came: Millis,
    own: u32,
}

/// How much more an upstream may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Room {
    /// Up to the limit.
    Plain,
    /// Somewhat over the limit.
    Urgent,
    /// Far over the limit, for a call that belongs here.
    Keyed,
}

/// An upstream.
#[derive(Debug)]
pub(crate) struct Slot {
    /// The upstream as configured.
    pub(crate) info: UpstreamInfo,
    /// Whether the configuration in force still holds it.
    pub(crate) listed: bool,
    /// Whether the link to its agent is up.
    pub(crate) linked: bool,
    /// Whether its agent takes no new work.
    pub(crate) leaving: bool,
    /// The attempts in flight.
    pub(crate) attempts: Vec<Attempt>,
    /// The limit on them.
    pub(crate) limiter: Limiter,
    /// The health.
    pub(crate) health: Health,
    /// The number of its rank group.
    pub(crate) group: Option<u32>,
    /// The suspect that runs or is about to run here, alone.
    pub(crate) held: Option<RequestNumber>,
    /// When an attempt last began or ended.
    pub(crate) progress: Millis,
    report: Option<Report>,
}

impl Slot {
    /// Makes an upstream that is not linked yet.
    pub(crate) fn new(info: UpstreamInfo, limits: &ConcurrencySettings) -> Self {
        Self {
            info,
            listed: true,
            linked: false,
            leaving: false,
            attempts: Vec::new(),
            limiter: Limiter::new(limits),
            health: Health::default(),
            group: None,
            held: None,
            progress: Millis::ZERO,
            report: None,
        }
    }

    /// Returns the number of the upstream.
    pub(crate) fn id(&self) -> UpstreamId {
        self.info.id
    }

    /// Returns whether the upstream takes new work at all.
    pub(crate) fn live(&self) -> bool {
        self.linked && self.listed && !self.leaving && self.info.state == UpstreamState::Active
    }

    /// Returns whether the upstream takes new work and is not ejected.
    pub(crate) fn fit(&self) -> bool {
        let probed = || self.attempts.is_empty();
        self.live()
            && match self.health.standing() {
                Standing::Fit | Standing::Suspected => true,
                Standing::Probing(_) | Standing::Awaited => probed(),
                Standing::Ejected(_) => false,
            }
    }

    /// Returns whether one more attempt fits; `weight` is that of its rank group.
    pub(crate) fn room(&self, room: Room, weight: f32) -> bool {
        if !self.live() || self.limiter.pauses() {
            return false;
        }
        let own = self.attempts.len() as f32;
        match self.health.standing() {
            Standing::Ejected(_) => false,
            Standing::Probing(_) => own == 0.0 && room != Room::Urgent,
            Standing::Awaited => own == 0.0,
            Standing::Fit | Standing::Suspected => {
                let limit = self.limiter.value() * weight;
                let most = match room {
                    Room::Plain => limit,
                    Room::Urgent => limit * URGENT_FACTOR + URGENT_EXTRA,
                    Room::Keyed => limit * KEYED_FACTOR + URGENT_EXTRA,
                };
                own + 1.0 <= most.max(1.0)
            }
        }
    }

    /// Returns the load after one more attempt, as a share of what the upstream can bear.
    ///
    /// It is the last report with this entry's own changes since then, if the report is not older
    /// than `bound`; failing that, the own attempts as a share of the own limit.
    pub(crate) fn load_with_one(&self, now: Millis, bound: Millis) -> f32 {
        let Some(report) = self.report.filter(|report| report.trusted(now, bound)) else {
            return (self.attempts.len() + 1) as f32 / self.limiter.value();
        };
        let known = report.load.running + report.load.waiting;
        let others = known.saturating_sub(report.own);
        let total = others + self.attempts.len() as u32 + 1;
        total as f32 / report.load.slots.max(1) as f32
    }

    /// Returns the attempts of other entries by the last trusted report.
    pub(crate) fn others(&self, now: Millis, bound: Millis) -> u32 {
        self.report
            .filter(|report| report.trusted(now, bound))
            .map_or(0, |report| {
                (report.load.running + report.load.waiting).saturating_sub(report.own)
            })
    }

    /// Returns whether attempts wait there by the last trusted report.
    pub(crate) fn queues(&self, now: Millis, bound: Millis) -> bool {
        self.report
            .is_some_and(|report| report.trusted(now, bound) && report.load.waiting > 0)
    }

    /// Returns the step time of the last trusted report, in microseconds; 0 if there is none.
    pub(crate) fn step_micros(&self, now: Millis, bound: Millis) -> u32 {
        self.report
            .filter(|report| report.trusted(now, bound))
            .map_or(0, |report| report.load.step_micros)
    }

    /// Returns whether the engine was silent for longer than `bound` by its agent's word.
    pub(crate) fn engine_silent(&self, bound: Millis) -> bool {
        self.report
            .is_some_and(|report| u64::from(report.load.age_ms) > bound.0)
    }

    /// Takes in a load report.
    pub(crate) fn reported(&mut self, now: Millis, load: Load) {
        self.limiter.reported(&load);
        self.report = Some(Report {
            load,
            came: now,
            own: self.attempts.len() as u32,
        });
    }

    /// Takes the link's coming or going into account.
    pub(crate) fn link(&mut self, up: bool, limits: &ConcurrencySettings) {
        self.linked = up;
        self.report = None;
        if up {
            self.leaving = false;
            self.health = Health::default();
            self.limiter.restart(limits);
        }
    }

    /// Adds an attempt.
    pub(crate) fn sent(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
        self.limiter.sent(self.attempts.len());
    }

    /// Notes a first byte and returns the time that it took.
    pub(crate) fn began(&mut self, now: Millis, ticket: RequestNumber) -> Option<Millis> {
        let attempt = self.attempts.iter_mut().find(|one| one.ticket == ticket)?;
        if attempt.began.is_some() {
            return None;
        }
        attempt.began = Some(now);
        let time = now.since(attempt.sent);
        self.progress = now;
        self.limiter.began(time);
        Some(time)
    }

    /// Takes out the attempt of a request.
    pub(crate) fn ended(&mut self, ticket: RequestNumber) -> Option<Attempt> {
        let at = self.attempts.iter().position(|one| one.ticket == ticket)?;
        if self.held == Some(ticket) {
            self.held = None;
        }
        Some(self.attempts.swap_remove(at))
    }

    /// Returns how long attempts have waited here without any sign of progress.
    pub(crate) fn stuck(&self, now: Millis) -> Millis {
        self.attempts
            .iter()
            .filter(|one| one.began.is_none())
            .map(|one| now.since(one.sent.max(self.progress)))
            .max()
            .unwrap_or_default()
    }
}

impl Report {
    fn trusted(&self, now: Millis, bound: Millis) -> bool {
        now.since(self.came).0 + u64::from(self.load.age_ms) <= bound.0
    }
}
