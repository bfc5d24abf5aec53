//! Holds the requests of returning callers while the rank group of their service is out.
//!
//! This answers an outage that lasts longer than a refused caller may wait before its retry. The retry arrives in the same outage, and
//! its caller has no further one: a refusal would end the request although there may be time left to serve it. It is held until the
//! group takes requests again, until its caller would leave, or until the group could no longer complete it before its deadline. A first
//! attempt is refused at once and asked back, as its caller has the retry left.

use std::collections::VecDeque;
use std::sync::Arc;

use sardinepin_common::Millis;

use crate::direct::balancer::Balancer;
use crate::direct::request::{PlacementRequest, QueueDecision};

/// The part of a queue that requests held for the end of an outage may take, so that new requests find room once it has ended.
const QUEUE_DIVISOR: usize = 2;

/// The weight of a new sample in the moving average of the service time.
const MEAN_GAIN: f64 = 1.0 / 8.0;

/// The weight of a new sample in the moving average of the deviation.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// The service time that is assumed before any request has been served.
const INITIAL_SERVICE_TIME: Millis = Millis(2_000);

/// The number of departures from which the patience of callers is derived.
const DEPARTURES_MAX: usize = 16;

/// The fewest departures from which it is derived.
const DEPARTURES_MIN: usize = 3;

/// The part of the patience of callers that a request is held at most, so that its answer still finds the caller.
const PATIENCE_SHARE: f64 = 0.9;

/// How long callers wait for the beginning of an answer before they leave, as learnt from those that left.
#[derive(Debug, Default)]
pub(super) struct CallerPatience {
    /// How long the last callers that left without an answer had waited.
    waits: VecDeque<Millis>,
}

impl CallerPatience {
    fn record(&mut self, waited: Millis) {
        if self.waits.len() == DEPARTURES_MAX {
            self.waits.pop_front();
        }
        self.waits.push_back(waited);
    }

    /// Returns the longest time that a request is held: less than the median wait of callers that left; `None` if too few have.
    fn hold_max(&self) -> Option<Millis> {
        if self.waits.len() < DEPARTURES_MIN {
            return None;
        }
        let mut waits: Vec<Millis> = self.waits.iter().copied().collect();
        waits.sort_unstable();
        let median = waits[waits.len() / 2];
        Some(Millis((median.as_f64() * PATIENCE_SHARE) as u64))
    }
}

/// The time that the requests of one service take from their placement to their end.
#[derive(Debug, Default)]
pub(super) struct ServiceTime {
    /// The moving average, in milliseconds; `None` before the first sample.
    mean: Option<f64>,
    /// The moving average of the distance from the mean, in milliseconds.
    deviation: f64,
}

impl ServiceTime {
    /// Records how long a request that was served took.
    pub(super) fn record(&mut self, took: Millis) {
        let took = took.as_f64();
        match &mut self.mean {
            Some(mean) => {
                self.deviation += ((took - *mean).abs() - self.deviation) * DEVIATION_GAIN;
                *mean += (took - *mean) * MEAN_GAIN;
            }
            None => self.mean = Some(took),
        }
    }

    /// Returns the time within which most requests end.
    fn usual(&self) -> Millis {
        self.mean.map_or(INITIAL_SERVICE_TIME, |mean| {
            Millis((mean + self.deviation) as u64)
        })
    }

    /// Returns the latest time at which a request can be placed so that it probably ends before its deadline; `None` if that has passed.
    pub(super) fn latest_start(&self, now: Millis, deadline: Millis) -> Option<Millis> {
        let latest = deadline - self.usual();
        (latest > now).then_some(latest)
    }
}

impl Balancer {
    /// Records how long a request of a service that was served took from its placement to its end.
    pub fn record_service_time(&mut self, service: &Arc<str>, took: Millis) {
        let times = self.service_times.entry(Arc::clone(service));
        times.or_default().record(took);
    }

    /// Records how long a caller that left had waited for the beginning of an answer.
    pub fn record_departure(&mut self, waited: Millis) {
        self.patience.record(waited);
    }

    /// Returns until when a request without a usable upstream is held; `None` if it is refused.
    pub(super) fn hold_until(&self, now: Millis, request: &PlacementRequest) -> Option<Millis> {
        let service = &request.service;
        let may_hold = self.policy().holds_returns
            && !self.is_stopping
            && request.returning
            && self.upstreams().has_groups(service)
            && self.queue_len(service) < self.queue_max() / QUEUE_DIVISOR;
        if !may_hold {
            return None;
        }
        let unknown = ServiceTime::default();
        let times = self.service_times.get(service).unwrap_or(&unknown);
        let latest_start = times.latest_start(now, request.deadline)?;
        let hold_max = self.patience.hold_max();
        Some(hold_max.map_or(latest_start, |longest| latest_start.min(now + longest)))
    }

    /// Refuses the held requests and holds no further ones; called when the gateway stops, as its last seconds are for requests that
    /// are being answered.
    pub fn stop_holding(&mut self, now: Millis) -> Vec<QueueDecision> {
        self.is_stopping = true;
        let mut decisions = Vec::new();
        for service in self.queued_services() {
            self.refuse_unusable(now, &service, &mut decisions);
        }
        decisions
    }
}
