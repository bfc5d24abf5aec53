//! Hands out permits to send to upstreams that have named limits.
//!
//! This answers many gateways before an upstream in need. They do not know one another, and each sees a part of the requests only. One
//! agent counts for all of them: that beside the upstream, or one that all gateways choose alike. It needs no memory of what was sent
//! before its start, as it begins with nothing to give.

use std::sync::Arc;

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::{LimitReport, PermitGrant, PermitRequest, UpstreamLimit};

use crate::limit_bucket::LimitBucket;

/// How long a gateway counts as one that wants permits after its last request for them.
const ASKER_RETENTION: Millis = Millis(2_500);

/// How long an upstream for which nobody asks is remembered.
const UPSTREAM_RETENTION: Millis = Millis(10_000);

/// The most upstreams that are remembered.
const UPSTREAMS_MAX: usize = 1_024;

/// The most permits in one grant.
const GRANT_MAX: u16 = 64;

/// How long no spare permits are granted after a gateway has waited for one in vain.
const WAITING_TIME: Millis = Millis(500);

/// How long a process with a later start counts as the current one after it was last named. `born` is a wall clock, so that the
/// start of a later process may be the lower one.
const PROCESS_RETENTION: Millis = Millis(1_000);

/// One upstream.
#[derive(Debug, Default)]
struct LimitedUpstream {
    started_at: u64,
    bucket: LimitBucket,
    /// When each gateway last asked, and how many permits it did not get.
    askers: Map<u64, (Millis, u16)>,
    /// When a gateway last waited for a permit in vain.
    waited_at: Option<Millis>,
    asked_at: Millis,
    /// When a gateway last named the process that started at `started_at`.
    named_at: Millis,
}

impl LimitedUpstream {
    /// Grants up to `wanted` permits; returns how many, and how long there is certainly no further one.
    fn grant(&mut self, now: Millis, wanted: u16) -> (u16, Millis) {
        for granted in 0..wanted {
            if let Err(next) = self.bucket.try_take(now) {
                return (granted, next);
            }
        }
        (wanted, Millis::ZERO)
    }

    /// Returns how many permits are wanted by all gateways that asked lately.
    fn wanted(&mut self, now: Millis) -> f64 {
        self.askers
            .retain(|_, (at, _)| now.since(*at) <= ASKER_RETENTION);
        let wanted = self.askers.values().map(|(_, wanted)| f64::from(*wanted));
        wanted.sum()
    }

    fn report(&self, now: Millis) -> LimitReport {
        let heard = &self.bucket.heard;
        LimitReport {
            started_at: self.started_at,
            rate: heard.rate(),
            age: now.since(heard.heard_at().unwrap_or(now)),
            cold: self.bucket.cold.report(now),
        }
    }
}

/// The limited upstreams for which one agent hands out permits.
#[derive(Debug, Default)]
pub struct PermitAllocator {
    upstreams: Map<Arc<str>, LimitedUpstream>,
}

impl PermitAllocator {
    /// Answers a gateway.
    pub fn handle(&mut self, now: Millis, request: &PermitRequest) -> PermitGrant {
        let upstream = self.upstream_of(now, request);
        upstream.asked_at = now;
        let heard_at = now.since(request.limit.age);
        upstream
            .bucket
            .heard
            .record_report(heard_at, request.limit.rate);
        if let Some(cold) = request.limit.cold {
            upstream.bucket.cold.record_report(now, cold);
        }
        upstream.bucket.charge(now, request.on_way);
        let wanted = request.wanted.min(GRANT_MAX);
        let (mut granted, mut next) = upstream.grant(now, wanted);
        let missing = wanted - granted;
        upstream.askers.insert(request.gateway, (now, missing));
        let others_wait = |at| now.since(at) < WAITING_TIME;
        if missing > 0 {
            upstream.waited_at = Some(now);
        } else if !upstream.waited_at.is_some_and(others_wait) {
            let (spare, wait) = upstream.grant(now, request.spare.min(GRANT_MAX));
            granted += spare;
            next = wait;
        }
        PermitGrant {
            granted,
            limit: upstream.report(now),
            next,
            turn: turn_of(upstream, now, next),
        }
    }

    /// Returns what is known of the limits of all upstreams that gateways have asked for lately.
    #[must_use]
    pub fn limits(&self, now: Millis) -> Vec<UpstreamLimit> {
        let asked = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| now.since(upstream.asked_at) <= UPSTREAM_RETENTION);
        let limits = asked.map(|(name, upstream)| UpstreamLimit {
            upstream: Arc::clone(name),
            limit: upstream.report(now),
        });
        limits.collect()
    }

    /// Returns the entry of an upstream; one of an earlier process with its identifier is replaced.
    fn upstream_of(&mut self, now: Millis, request: &PermitRequest) -> &mut LimitedUpstream {
        if self.upstreams.len() >= UPSTREAMS_MAX {
            self.upstreams
                .retain(|_, upstream| now.since(upstream.asked_at) <= UPSTREAM_RETENTION);
        }
        let started_at = request.limit.started_at;
        let upstream = self
            .upstreams
            .entry(Arc::clone(&request.upstream))
            .or_default();
        let is_replaced = upstream.started_at < started_at
            || upstream.started_at > started_at && now.since(upstream.named_at) > PROCESS_RETENTION;
        if is_replaced {
            *upstream = LimitedUpstream {
                started_at,
                ..LimitedUpstream::default()
            };
        }
        if upstream.started_at == started_at {
            upstream.named_at = now;
        }
        upstream
    }
}

/// Returns when the next permit for a gateway can be expected, if all that asked lately get one in turn.
fn turn_of(upstream: &mut LimitedUpstream, now: Millis, next: Millis) -> Millis {
    let Some(per_second) = upstream.bucket.per_second(now) else {
        return Millis::ZERO;
    };
    let ahead = (upstream.wanted(now) - 1.0).max(0.0);
    next + Millis((ahead * 1_000.0 / per_second) as u64)
}
