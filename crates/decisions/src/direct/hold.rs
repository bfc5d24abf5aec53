//! Holds the requests of returning callers while the rank group of their service is out.
//!
//! This answers an outage that lasts longer than a refused caller may wait before its retry. The retry arrives in the same outage, and
//! its caller has no further one: a refusal would end the request although there may be time left to serve it. It is held until the
//! group takes requests again, until its caller would leave, or until the group could no longer complete it before its deadline. A first
//! attempt is refused at once and asked back, as its caller has the retry left.

mod caller_patience;
mod service_time;

use std::sync::Arc;

use sardinepin_common::{Map, Millis};

use crate::direct::balancer::Balancer;
use crate::direct::hold::caller_patience::CallerPatience;
use crate::direct::hold::service_time::ServiceTime;
use crate::direct::request::{PlacementRequest, QueueDecision};
use crate::direct::upstream_set::Needs;

/// The part of a queue that requests held for the end of an outage may take, so that new requests find room once it has ended.
const QUEUE_DIVISOR: usize = 2;

/// What decides how long requests are held.
#[derive(Debug, Default)]
pub(super) struct Holds {
    service_times: Map<Arc<str>, ServiceTime>,
    patience: CallerPatience,
    /// Whether the gateway stops, so that no requests are held any more.
    is_stopping: bool,
}

impl Holds {
    /// Returns until when a request is held that arrives now; `None` if it could not end before its deadline.
    fn until(&self, now: Millis, request: &PlacementRequest) -> Option<Millis> {
        let unknown = ServiceTime::default();
        let times = self.service_times.get(&request.service);
        let latest_start = times
            .unwrap_or(&unknown)
            .latest_start(now, request.deadline)?;
        let hold_max = self.patience.hold_max();
        Some(hold_max.map_or(latest_start, |longest| latest_start.min(now + longest)))
    }
}

impl Balancer {
    /// Records how long a request of a service that was served took from its placement to its end.
    pub fn record_service_time(&mut self, service: &Arc<str>, took: Millis) {
        let times = self.holds.service_times.entry(Arc::clone(service));
        times.or_default().record(took);
    }

    /// Records how long a caller that left had waited for the beginning of an answer.
    pub fn record_departure(&mut self, waited: Millis) {
        self.holds.patience.record(waited);
    }

    /// Returns until when a request without a usable upstream is held; `None` if it is refused.
    pub(super) fn hold_until(&self, now: Millis, request: &PlacementRequest) -> Option<Millis> {
        let service = &request.service;
        let may_hold = self.policy().holds_returns
            && !self.holds.is_stopping
            && request.returning
            && self.upstreams().has_groups(service)
            && self.queue_len(service) < self.queue_max() / QUEUE_DIVISOR;
        if !may_hold || self.is_usable_again(now, request) {
            return None;
        }
        self.holds.until(now, request)
    }

    /// Returns whether the only usable upstreams are those that the request has been sent to before.
    fn is_usable_again(&self, now: Millis, request: &PlacementRequest) -> bool {
        let needs = Needs {
            tried: &[],
            ..request.needs()
        };
        self.upstreams().next_turn(now, &needs).is_some()
    }

    /// Refuses the held requests and holds no further ones; called when the gateway stops, as its last seconds are for requests that
    /// are being answered.
    pub fn stop_holding(&mut self, now: Millis) -> Vec<QueueDecision> {
        self.holds.is_stopping = true;
        let mut decisions = Vec::new();
        for service in self.queued_services() {
            self.refuse_unusable(now, &service, &mut decisions);
        }
        decisions
    }
}
