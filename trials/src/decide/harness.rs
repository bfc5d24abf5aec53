//! Drives a balancer without I/O: upstreams complete requests when the trial says so.

use std::collections::VecDeque;
use std::sync::Arc;

use sardinepin_common::{Clock, Millis};
use sardinepin_decisions::{
    Arrival, AttemptEnd, Balancer, Effect, Event, RequestNumber, Settings, UpstreamId, UpstreamInfo,
};
use sardinepin_protocol::{Digest, Load, UpstreamState};

use super::{TICKS_PER_FIGURE, upstreams_event};

/// The zone of the entry and of all upstreams.
pub(super) const ZONE: &str = "zone-a";

/// The service of all upstreams.
pub(super) const SERVICE: &str = "model";

/// A balancer with its clock and the requests in flight.
pub(super) struct Harness {
    balancer: Balancer,
    /// The simulated time, in milliseconds.
    pub(super) now: u64,
    /// The effects returned since the list was last cleared.
    pub(super) effects: Vec<Effect>,
    /// Requests that were sent, oldest first.
    in_flight: VecDeque<(RequestNumber, UpstreamId)>,
}

impl Harness {
    /// Creates a balancer without upstreams.
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            balancer: Balancer::new(settings),
            now: 1_000,
            effects: Vec::new(),
            in_flight: VecDeque::new(),
        }
    }

    /// Passes one event to the balancer.
    pub(super) fn feed(&mut self, event: Event) {
        self.balancer
            .handle(Millis(self.now), event, &mut self.effects);
    }

    /// Configures `count` upstreams and brings their links up.
    pub(super) fn connect_upstreams(&mut self, count: u32) {
        self.feed(upstreams_event(count));
        for number in 0..count {
            let upstream = UpstreamId(number);
            self.feed(Event::Link { upstream, up: true });
        }
    }

    /// Passes on a load report of each upstream.
    pub(super) fn report_all(&mut self, count: u32) {
        for number in 0..count {
            self.feed(Event::Load {
                upstream: UpstreamId(number),
                load: load_report(number),
            });
        }
    }

    /// Completes all requests in flight and clears the effects.
    pub(super) fn complete_all(&mut self) {
        self.record_sends();
        while let Some((request, upstream)) = self.in_flight.pop_front() {
            self.complete(request, upstream);
        }
        self.effects.clear();
    }

    /// Completes the oldest request in flight.
    pub(super) fn complete_oldest(&mut self) {
        self.record_sends();
        if let Some((request, upstream)) = self.in_flight.pop_front() {
            self.complete(request, upstream);
        }
    }

    /// Returns the mean time of a tick, in microseconds.
    pub(super) fn mean_tick_micros(&mut self) -> f64 {
        let clock = Clock::start();
        let start = clock.now_micros();
        for _ in 0..TICKS_PER_FIGURE {
            self.now += 1;
            self.feed(Event::Tick);
        }
        (clock.now_micros() - start) as f64 / TICKS_PER_FIGURE as f64
    }

    fn complete(&mut self, request: RequestNumber, upstream: UpstreamId) {
        self.feed(Event::Ended {
            request,
            upstream,
            end: AttemptEnd::Complete,
        });
    }

    fn record_sends(&mut self) {
        for effect in self.effects.drain(..) {
            if let Effect::Send {
                request, upstream, ..
            } = effect
            {
                self.in_flight.push_back((request, upstream));
            }
        }
    }
}

/// Returns `count` active upstreams of a service.
pub(super) fn upstream_infos(count: u32, service: &str) -> Vec<UpstreamInfo> {
    let service: Arc<str> = service.into();
    let zone: Arc<str> = ZONE.into();
    (0..count)
        .map(|number| UpstreamInfo {
            id: UpstreamId(number),
            name: format!("worker-{number}").into(),
            service: Arc::clone(&service),
            zone: Arc::clone(&zone),
            group: None,
            state: UpstreamState::Active,
            evacuated: false,
        })
        .collect()
}

/// Returns a load report that varies with `number`.
pub(super) fn load_report(number: u32) -> Load {
    Load {
        running: number * 7 % 24,
        slots: 32,
        step_micros: 4_000 + number % 100,
        ..Load::default()
    }
}

/// Returns the arrival of a request of an organisation, with a deadline in one minute.
pub(super) fn new_arrival(number: u64, now: u64, organisation: u32) -> Arrival {
    Arrival {
        request: RequestNumber(number),
        service: SERVICE.into(),
        organisation: format!("org-{organisation}").into(),
        organisation_weight: 1,
        class: "normal".into(),
        class_weight: 1,
        rate_limit: None,
        deadline: Millis(now + 60_000),
        digest: digest_of(number),
        parts: Vec::new(),
        prefix: None,
        idempotency_key: None,
        idempotent: true,
        cost: 1,
    }
}

/// Returns a digest that is distinct for each number.
pub(super) fn digest_of(number: u64) -> Digest {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes());
    Digest(bytes)
}
