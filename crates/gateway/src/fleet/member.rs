//! What a gateway believes of one upstream.

use sardinepin_common::Millis;

use crate::upstream::UpstreamSpec;

/// The weight of the newest end in the failure rate of an upstream.
const FAILURE_GAIN: f64 = 0.2;

/// The time after which a failure rate counts half.
const FAILURE_HALF_LIFE: Millis = Millis(4_000);

/// What a failure rate of one adds to the score of an upstream, in slots filled.
const FAILURE_SLOTS: f64 = 2.0;

/// What another availability zone adds to the score of an upstream, in slots filled.
const ZONE_SLOTS: f64 = 0.08;

/// The time after which a load report counts half.
const REPORT_HALF_LIFE: Millis = Millis(6_000);

/// The rest of an upstream that could not be reached; doubles with each further failure.
const REST: Millis = Millis(300);

/// The longest rest.
const REST_MAX: Millis = Millis(4_000);

/// How many connection failures in a row are needed for the longest rest.
const REST_DOUBLINGS: u32 = 4;

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream answered as it should.
    Served,
    /// The upstream said that it did not run the request, as it has no room.
    Rejected,
    /// The upstream said that it did not run the request, as another rank of its group is missing.
    GroupBroken,
    /// The upstream failed the request or broke off.
    Failed,
    /// The upstream could not be reached.
    Unreached,
    /// The caller left, or the attempt was given up; it says nothing of the upstream.
    Abandoned,
}

impl AttemptOutcome {
    /// Returns the label in logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Rejected => "rejected",
            Self::GroupBroken => "group_broken",
            Self::Failed => "failed",
            Self::Unreached => "unreached",
            Self::Abandoned => "abandoned",
        }
    }
}

/// What an upstream says of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    /// What the list says of it.
    pub spec: UpstreamSpec,
    /// Attempts of this gateway in flight.
    pub own: u32,
    /// Attempts of other gateways, as last heard or inferred.
    pub(super) others: f64,
    pub(super) others_at: Millis,
    failure: f64,
    failure_at: Millis,
    unreached: u32,
    pub(super) rest_until: Millis,
}

impl Upstream {
    pub(super) fn new(spec: UpstreamSpec) -> Self {
        Self {
            spec,
            own: 0,
            others: 0.0,
            others_at: Millis::ZERO,
            failure: 0.0,
            failure_at: Millis::ZERO,
            unreached: 0,
            rest_until: Millis::ZERO,
        }
    }

    /// Returns the requests that the upstream is thought to hold.
    #[must_use]
    pub fn occupancy(&self, now: Millis) -> f64 {
        f64::from(self.own) + self.others * halved(now.since(self.others_at), REPORT_HALF_LIFE)
    }

    fn failure(&self, now: Millis) -> f64 {
        self.failure * halved(now.since(self.failure_at), FAILURE_HALF_LIFE)
    }

    pub(super) fn score(&self, now: Millis, zone: &str) -> f64 {
        let filled = self.occupancy(now) / f64::from(self.spec.slots.max(1));
        let far = if *self.spec.zone == *zone {
            0.0
        } else {
            ZONE_SLOTS
        };
        filled + far + FAILURE_SLOTS * self.failure(now)
    }

    pub(super) fn usable(&self, now: Millis) -> bool {
        !self.spec.draining && now >= self.rest_until
    }

    pub(super) fn ended(&mut self, now: Millis, ending: AttemptOutcome) {
        let failed = match ending {
            AttemptOutcome::Abandoned | AttemptOutcome::Rejected | AttemptOutcome::GroupBroken => {
                return;
            }
            AttemptOutcome::Served => 0.0,
            AttemptOutcome::Failed | AttemptOutcome::Unreached => 1.0,
        };
        let before = self.failure(now);
        self.failure = before + (failed - before) * FAILURE_GAIN;
        self.failure_at = now;
        if ending == AttemptOutcome::Unreached {
            let rest = REST.0 << self.unreached.min(REST_DOUBLINGS);
            self.rest_until = now + Millis(rest.min(REST_MAX.0));
            self.unreached += 1;
        } else {
            self.unreached = 0;
            self.rest_until = Millis::ZERO;
        }
    }
}

/// Returns the factor by which a belief of age `age` counts.
fn halved(age: Millis, half_life: Millis) -> f64 {
    (-(age.as_f64() / half_life.as_f64())).exp2()
}
