//! The state of one upstream, as this gateway sees it.

use std::collections::VecDeque;

use sardinepin_common::Millis;
use sardinepin_protocol::{RankLoad, RequestRate};

use crate::direct::limit_state::{LimitState, ON_WAY_TIME};
use crate::direct::upstream_set::NextTurn;
use crate::direct::upstream_spec::UpstreamSpec;
use crate::heard_limit::LimitNotice;
use crate::withdrawal::Withdrawal;

/// The weight of the latest attempt in the moving average of the failure rate.
const FAILURE_RATE_GAIN: f64 = 0.2;

/// The half-life of a failure rate.
const FAILURE_HALF_LIFE: Millis = Millis(4_000);

/// What a failure rate of 1 adds to the score; 1 weighs as much as all slots in use.
const FAILURE_PENALTY: f64 = 2.0;

/// What another availability zone adds to the score; 1 weighs as much as all slots in use.
const ZONE_PENALTY: f64 = 0.08;

/// The half-life of a reported load.
const LOAD_HALF_LIFE: Millis = Millis(6_000);

/// The backoff after a failed connection, which doubles with each further failure.
const BACKOFF_MIN: Millis = Millis(300);

/// The maximum backoff.
const BACKOFF_MAX: Millis = Millis(4_000);

/// The maximum number of times that the backoff doubles.
const BACKOFF_DOUBLINGS: u32 = 4;

/// How long changes of the attempts in flight are remembered.
const CHANGES_RETENTION: Millis = Millis(1_000);

/// How long a sample of the group's load goes before the load that responses report.
const SAMPLE_RETENTION: Millis = Millis(700);

/// How long an upstream that counts as slow takes at least compared with a healthy one, in percent.
const SLOW_PACE_PERCENT: u16 = 250;

/// Returns whether a rank counts as slow.
pub(super) fn is_slow(load: &RankLoad) -> bool {
    load.pace_percent >= SLOW_PACE_PERCENT
}

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The upstream responded without a server error.
    Served,
    /// The upstream responded that it did not run the request because it has no capacity.
    Rejected,
    /// The upstream responded that it did not run the request because another rank of its group is
    /// missing.
    GroupBroken,
    /// The upstream returned a server error, broke the connection or did not respond in time.
    Failed,
    /// The upstream could not be reached.
    Unreachable,
    /// The caller disconnected or the attempt was cancelled, which says nothing about the upstream.
    Abandoned,
}

impl AttemptEnd {
    /// Returns the label used in logs.
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

/// The load that an upstream reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// The number of requests that are running.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
}

/// The state of one upstream.
#[derive(Debug)]
pub struct UpstreamState {
    /// Its entry in the list of upstreams.
    pub spec: UpstreamSpec,
    /// The attempts of this gateway in flight.
    pub in_flight: u32,
    /// The attempts of other gateways in flight, as last reported or inferred from a load report.
    peer_load: f64,
    /// When `peer_load` was last updated.
    reported_at: Millis,
    /// When `peer_load` was last updated from a sample of the whole group.
    sampled_at: Millis,
    /// How much longer the upstream takes than a healthy one.
    pace: f64,
    /// Whether the upstream is slow while most ranks of its group are not.
    is_outlier: bool,
    /// The changes of `in_flight` within the last `CHANGES_RETENTION`, the newest last.
    changes: VecDeque<(Millis, f64)>,
    failure_rate: f64,
    /// When `failure_rate` was last updated.
    rated_at: Millis,
    connect_failures: u32,
    pub(super) backoff_until: Millis,
    /// The limit that the upstream has named.
    pub(in crate::direct) limit: LimitState,
    /// Whether the upstream leaves or rests.
    pub(in crate::direct) withdrawal: Withdrawal,
}

impl UpstreamState {
    pub(super) fn new(spec: UpstreamSpec) -> Self {
        Self {
            spec,
            in_flight: 0,
            peer_load: 0.0,
            reported_at: Millis::ZERO,
            sampled_at: Millis::ZERO,
            pace: 1.0,
            is_outlier: false,
            changes: VecDeque::new(),
            failure_rate: 0.0,
            rated_at: Millis::ZERO,
            connect_failures: 0,
            backoff_until: Millis::ZERO,
            limit: LimitState::default(),
            withdrawal: Withdrawal::default(),
        }
    }

    /// Records how much longer the upstream is cold; `None` if nobody says.
    pub(super) fn record_cold(&mut self, now: Millis, remaining: Option<Millis>) {
        if let Some(remaining) = remaining {
            self.limit.cold.record_remaining(now, remaining);
        }
    }

    /// Returns whether the bound for cold upstreams is in force.
    #[must_use]
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.limit.cold.until()
    }

    /// Returns the estimated number of requests at the upstream.
    #[must_use]
    pub fn estimated_load(&self, now: Millis) -> f64 {
        f64::from(self.in_flight)
            + self.peer_load * decay_factor(now.since(self.reported_at), LOAD_HALF_LIFE)
    }

    /// Returns the limit that the upstream has named, if one is in force.
    #[must_use]
    pub fn named_limit(&self) -> Option<RequestRate> {
        self.limit.rate()
    }

    fn failure_rate(&self, now: Millis) -> f64 {
        self.failure_rate * decay_factor(now.since(self.rated_at), FAILURE_HALF_LIFE)
    }

    /// Returns whether the upstream takes so much longer than most ranks of its group that the group
    /// is better off if it runs nothing, as far as is known now.
    pub(super) fn is_ejected(&self, now: Millis) -> bool {
        self.is_outlier && now.since(self.sampled_at) < SAMPLE_RETENTION
    }

    /// Returns how many attempts of this gateway were in flight at an earlier time, at most
    /// `CHANGES_RETENTION` ago.
    pub(super) fn in_flight_at(&self, at: Millis) -> f64 {
        let later = self.changes.iter().rev().take_while(|(time, _)| *time > at);
        let change: f64 = later.map(|(_, change)| change).sum();
        (f64::from(self.in_flight) - change).max(0.0)
    }

    fn record_change(&mut self, now: Millis, change: f64) {
        while self
            .changes
            .front()
            .is_some_and(|(time, _)| now.since(*time) > CHANGES_RETENTION)
        {
            self.changes.pop_front();
        }
        self.changes.push_back((now, change));
    }

    /// Records what an answer to a request sent at `sent_at` says about the upstream's limit; returns whether the limit changed.
    pub(super) fn record_limit(
        &mut self,
        now: Millis,
        sent_at: Millis,
        notice: LimitNotice,
    ) -> bool {
        let started = self.changes.iter().rev();
        let started = started.take_while(|(at, _)| now.since(*at) <= ON_WAY_TIME);
        let on_way = started.filter(|(_, change)| *change > 0.0).count();
        let on_way = u16::try_from(on_way).unwrap_or(u16::MAX);
        self.limit.record_answer(now, sent_at, notice, on_way)
    }

    pub(super) fn record_start(&mut self, now: Millis) {
        self.limit.use_permit(now);
        self.in_flight += 1;
        self.record_change(now, 1.0);
    }

    /// Records the load at `sampled_at`, as the agents of the group report it.
    pub(super) fn record_sample(
        &mut self,
        now: Millis,
        sampled_at: Millis,
        load: &RankLoad,
        most_are_slow: bool,
    ) {
        let total = f64::from(load.running) + f64::from(load.waiting);
        self.peer_load = (total - self.in_flight_at(sampled_at)).max(0.0);
        self.pace = f64::from(load.pace_percent.max(100)) / 100.0;
        self.is_outlier = is_slow(load) && !most_are_slow;
        self.reported_at = now;
        self.sampled_at = now;
    }

    /// Records the load that a response reports, unless a fresher sample of the group is known.
    pub(super) fn record_load(&mut self, now: Millis, report: LoadReport) {
        if self.sampled_at > Millis::ZERO && now.since(self.sampled_at) < SAMPLE_RETENTION {
            return;
        }
        let total = f64::from(report.running + report.waiting);
        self.record_peer_load(now, (total - f64::from(self.in_flight)).max(0.0));
    }

    pub(super) fn record_peer_load(&mut self, now: Millis, peer_load: f64) {
        self.peer_load = peer_load;
        self.reported_at = now;
    }

    pub(super) fn score(&self, now: Millis, zone: &str) -> f64 {
        let load_ratio = self.estimated_load(now) / f64::from(self.spec.slots.max(1));
        let zone_penalty = if *self.spec.zone == *zone {
            0.0
        } else {
            ZONE_PENALTY
        };
        load_ratio * self.pace + zone_penalty + FAILURE_PENALTY * self.failure_rate(now)
    }

    pub(in crate::direct) fn is_usable(&self, now: Millis) -> bool {
        !self.is_leaving() && now >= self.backoff_until
    }

    /// Returns whether the upstream drains, as its entry or it itself says.
    pub(in crate::direct) fn is_leaving(&self) -> bool {
        self.spec.draining || self.withdrawal.is_leaving()
    }

    /// Returns whether neither a limit nor a rest holds requests back now.
    pub(super) fn is_open(&self, now: Millis) -> bool {
        self.limit.is_open(now) && !self.withdrawal.is_resting(now)
    }

    /// Returns when limits and rests allow the next request.
    pub(super) fn next_turn(&self, now: Millis) -> NextTurn {
        let rest = self.withdrawal.rests_until();
        NextTurn {
            not_before: self.limit.next_at(now).max(rest),
            expected: self.limit.turn_at(now).max(rest),
            is_resting: rest > self.limit.turn_at(now),
        }
    }

    pub(super) fn record_end(&mut self, now: Millis, end: AttemptEnd) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_change(now, -1.0);
        if end == AttemptEnd::Rejected && self.spec.group.is_some() {
            // The upstream is full, whatever it reported before.
            self.peer_load = self.peer_load.max(f64::from(self.spec.slots));
            self.reported_at = now;
        }
        let failed = match end {
            AttemptEnd::Abandoned | AttemptEnd::Rejected | AttemptEnd::GroupBroken => {
                return;
            }
            AttemptEnd::Served => 0.0,
            AttemptEnd::Failed | AttemptEnd::Unreachable => 1.0,
        };
        let previous = self.failure_rate(now);
        self.failure_rate = previous + (failed - previous) * FAILURE_RATE_GAIN;
        self.rated_at = now;
        if end == AttemptEnd::Unreachable {
            let backoff = BACKOFF_MIN.0 << self.connect_failures.min(BACKOFF_DOUBLINGS);
            self.backoff_until = now + Millis(backoff.min(BACKOFF_MAX.0));
            self.connect_failures += 1;
        } else {
            self.connect_failures = 0;
            self.backoff_until = Millis::ZERO;
        }
    }
}

/// Returns the weight of a value of age `age`.
fn decay_factor(age: Millis, half_life: Millis) -> f64 {
    (-(age.as_f64() / half_life.as_f64())).exp2()
}
