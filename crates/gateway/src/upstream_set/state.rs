//! What a gateway believes of one upstream.

use sardinepin_common::Millis;

use crate::upstream_spec::UpstreamSpec;

/// The weight of the newest end in the failure rate of an upstream.
const FAILURE_RATE_GAIN: f64 = 0.2;

/// The time after which a failure rate counts half.
const FAILURE_HALF_LIFE: Millis = Millis(4_000);

/// What a failure rate of one adds to the score of an upstream, in slots filled.
const FAILURE_PENALTY_SLOTS: f64 = 2.0;

/// What another availability zone adds to the score of an upstream, in slots filled.
const ZONE_PENALTY_SLOTS: f64 = 0.08;

/// The time after which a load report counts half.
const LOAD_HALF_LIFE: Millis = Millis(6_000);

/// The rest of an upstream that could not be reached; doubles with each further failure.
const BACKOFF_MIN: Millis = Millis(300);

/// The longest rest.
const BACKOFF_MAX: Millis = Millis(4_000);

/// How many connection failures in a row are needed for the longest rest.
const BACKOFF_DOUBLINGS: u32 = 4;

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
    Unreachable,
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
            Self::Unreachable => "unreached",
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
pub struct UpstreamState {
    /// What the list says of it.
    pub spec: UpstreamSpec,
    /// Attempts of this gateway in flight.
    pub in_flight: u32,
    /// Attempts of other gateways, as last heard or inferred.
    pub(super) peer_load: f64,
    pub(super) peer_load_at: Millis,
    failure_rate: f64,
    failure_rate_at: Millis,
    connect_failures: u32,
    pub(super) backoff_until: Millis,
}

impl UpstreamState {
    pub(super) fn new(spec: UpstreamSpec) -> Self {
        Self {
            spec,
            in_flight: 0,
            peer_load: 0.0,
            peer_load_at: Millis::ZERO,
            failure_rate: 0.0,
            failure_rate_at: Millis::ZERO,
            connect_failures: 0,
            backoff_until: Millis::ZERO,
        }
    }

    /// Returns the requests that the upstream is thought to hold.
    #[must_use]
    pub fn estimated_load(&self, now: Millis) -> f64 {
        f64::from(self.in_flight)
            + self.peer_load * decay_factor(now.since(self.peer_load_at), LOAD_HALF_LIFE)
    }

    fn failure_rate(&self, now: Millis) -> f64 {
        self.failure_rate * decay_factor(now.since(self.failure_rate_at), FAILURE_HALF_LIFE)
    }

    pub(super) fn score(&self, now: Millis, zone: &str) -> f64 {
        let filled = self.estimated_load(now) / f64::from(self.spec.slots.max(1));
        let far = if *self.spec.zone == *zone {
            0.0
        } else {
            ZONE_PENALTY_SLOTS
        };
        filled + far + FAILURE_PENALTY_SLOTS * self.failure_rate(now)
    }

    pub(super) fn is_usable(&self, now: Millis) -> bool {
        !self.spec.draining && now >= self.backoff_until
    }

    pub(super) fn record_end(&mut self, now: Millis, ending: AttemptOutcome) {
        let failed = match ending {
            AttemptOutcome::Abandoned | AttemptOutcome::Rejected | AttemptOutcome::GroupBroken => {
                return;
            }
            AttemptOutcome::Served => 0.0,
            AttemptOutcome::Failed | AttemptOutcome::Unreachable => 1.0,
        };
        let before = self.failure_rate(now);
        self.failure_rate = before + (failed - before) * FAILURE_RATE_GAIN;
        self.failure_rate_at = now;
        if ending == AttemptOutcome::Unreachable {
            let rest = BACKOFF_MIN.0 << self.connect_failures.min(BACKOFF_DOUBLINGS);
            self.backoff_until = now + Millis(rest.min(BACKOFF_MAX.0));
            self.connect_failures += 1;
        } else {
            self.connect_failures = 0;
            self.backoff_until = Millis::ZERO;
        }
    }
}

/// Returns the factor by which a belief of age `age` counts.
fn decay_factor(age: Millis, half_life: Millis) -> f64 {
    (-(age.as_f64() / half_life.as_f64())).exp2()
}
