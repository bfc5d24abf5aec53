//! Records of upstream crashes, which gateways share, and the quarantine that follows from them.
//!
//! This protects against a request, or a part of a prompt, that crashes every process that runs it and
//! is sent again and again. The name of a record identifies crash and request, so gateways can share
//! records without asking each other.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_protocol::Digest;
use serde::{Deserialize, Serialize};

use crate::culprits::{
    Admission, CrashEvidence, CrashTally, CulpritFinder, CulpritSettings, DoubtfulParts, Traits,
};

/// How long a crash counts against a request.
pub const CRASH_RETENTION: Millis = Millis(600_000);

/// The crash of an upstream that was about to answer a request. Its times are in milliseconds since the
/// Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The digest of the request's organisation, method, host, path and body.
    pub request: Digest,
    /// Those shared parts of its prompt that may be at fault.
    #[serde(default)]
    pub parts: DoubtfulParts,
    /// The identifier of the upstream.
    pub upstream: Arc<str>,
    /// The start of the upstream's process.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// When the request was sent to the upstream.
    #[serde(rename = "sent", default)]
    pub sent_at: Millis,
    /// When the upstream crashed.
    #[serde(rename = "at", default)]
    pub crashed_at: Millis,
    /// When the record expires.
    #[serde(rename = "until")]
    pub expires_at: Millis,
    /// The names of the earlier crashes that the gateway knew of when it sent the request; builds that do not know the field leave it
    /// out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub follows: Option<Vec<Arc<str>>>,
    /// Whether the request was let through to find out whether it crashes upstreams.
    #[serde(default, rename = "probe")]
    pub is_probe: bool,
}

/// An attempt that a crash has ended.
#[derive(Debug, Clone, Copy)]
pub struct CrashedAttempt<'a> {
    /// The traits of the request.
    pub traits: Traits<'a>,
    /// The identifier of the upstream.
    pub upstream: &'a Arc<str>,
    /// The start of the upstream's process, in milliseconds since the Unix epoch.
    pub started_at: u64,
    /// How long before the crash the request was sent.
    pub age: Millis,
    /// Whether [`CrashRecords::admit`] let the request through to find out whether it crashes upstreams.
    pub is_probe: bool,
}

impl Crash {
    /// Returns the name, which is the same at every gateway that saw this crash with this request.
    #[must_use]
    pub fn name(&self) -> Arc<str> {
        Arc::from(format!(
            "{}-{}-{}",
            self.request, self.upstream, self.started_at
        ))
    }

    fn evidence(&self) -> CrashEvidence {
        CrashEvidence {
            crash: Arc::from(format!("{}-{}", self.upstream, self.started_at)),
            request: self.request,
            parts: self.parts.clone(),
            sent_at: self.sent_at,
            crashed_at: self.crashed_at,
            expires_at: self.expires_at,
            follows: self.follows.clone(),
            is_probe: self.is_probe,
        }
    }
}

/// The crashes that are known to a gateway.
#[derive(Debug)]
pub struct CrashRecords {
    finder: CulpritFinder,
}

impl Default for CrashRecords {
    fn default() -> Self {
        Self {
            finder: CulpritFinder::new(CulpritSettings::default()),
        }
    }
}

impl CrashRecords {
    /// Returns whether no crash is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.finder.is_empty()
    }

    /// Returns how many crashes of a request are known, and how many of them count.
    #[must_use]
    pub fn tally(&self, request: &Digest) -> CrashTally {
        self.finder.tally(request)
    }

    /// Records a crash that this gateway has seen just now; `now` is its monotonic time, `wall_now` the
    /// time since the Unix epoch. Returns the record unless it is known.
    pub fn record_crash(
        &mut self,
        now: Millis,
        wall_now: Millis,
        attempt: CrashedAttempt<'_>,
    ) -> Option<Crash> {
        let sent_at = now.since(attempt.age);
        let parts = attempt.traits.parts;
        let crash = Crash {
            request: attempt.traits.request,
            parts: self.finder.doubtful_parts(now, sent_at, parts),
            upstream: Arc::clone(attempt.upstream),
            started_at: attempt.started_at,
            sent_at: wall_now.since(attempt.age),
            crashed_at: wall_now,
            expires_at: wall_now + CRASH_RETENTION,
            follows: Some(self.finder.crashes_before(sent_at, now, attempt.traits)),
            is_probe: attempt.is_probe,
        };
        self.add(now, &crash).then_some(crash)
    }

    /// Adds a crash that another gateway has seen; returns whether it was unknown.
    pub fn add(&mut self, now: Millis, crash: &Crash) -> bool {
        self.finder.add(now, crash.name(), crash.evidence())
    }

    /// Removes a crash by its name; returns whether it was known.
    pub fn remove(&mut self, name: &str) -> bool {
        self.finder.remove(name)
    }

    /// Returns how much longer a request is quarantined, or `None` if it is not. `wall_now` is the time
    /// since the Unix epoch; `is_probe` tells whether [`Self::admit`] let the request through.
    pub fn quarantine_remaining(
        &mut self,
        wall_now: Millis,
        traits: Traits<'_>,
        is_probe: bool,
    ) -> Option<Millis> {
        let until = self.finder.held_until(traits, is_probe)?;
        (until > wall_now).then(|| until.since(wall_now))
    }

    /// Decides whether a new request may run; see [`CulpritFinder::admit`].
    pub fn admit(&mut self, now: Millis, wall_now: Millis, traits: Traits<'_>) -> Admission {
        match self.finder.admit(now, traits) {
            Admission::Hold(until) if until <= wall_now => Admission::Run,
            Admission::Probe(claim) if claim.held_until <= wall_now => Admission::Run,
            admission => admission,
        }
    }

    /// Records at `now`, by the monotonic clock, that nobody told whether the claim of a test was granted.
    pub fn record_unclaimed(&mut self, now: Millis, name: &str) {
        self.finder.record_unclaimed(now, name);
    }

    /// Records that a request with these parts has been answered.
    pub fn record_answer(&mut self, now: Millis, parts: &[Digest]) {
        self.finder.record_answer(now, parts);
    }

    /// Removes the crashes of a request; returns their names.
    pub fn remove_request(&mut self, request: &Digest) -> Vec<Arc<str>> {
        self.finder
            .remove_where(|evidence| evidence.request == *request)
    }

    /// Removes the crashes that speak against all of these traits, which a test has refuted; returns their names.
    pub fn refute(&mut self, traits: &[Digest]) -> Vec<Arc<str>> {
        self.finder
            .remove_where(|evidence| evidence.speaks_against(traits))
    }

    /// Removes expired crashes; returns their names.
    pub fn remove_expired(&mut self, wall_now: Millis) -> Vec<Arc<str>> {
        self.finder
            .remove_where(|evidence| evidence.expires_at <= wall_now)
    }
}
