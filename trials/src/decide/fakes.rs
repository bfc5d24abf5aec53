//! Fakes around the balancer: upstreams that answer when told to.

use std::collections::VecDeque;
use std::sync::Arc;

use sardinepin_common::{Clock, Millis};
use sardinepin_decisions::{
    Arrival, AttemptEnd, Balancer, Effect, Event, RequestNumber, Settings, UpstreamId, UpstreamInfo,
};
use sardinepin_protocol::{Digest, Load, UpstreamState};

use super::{TICKS, described};

/// The zone of the entry and of all upstreams.
pub(super) const ZONE: &str = "zone-a";

/// The service of all upstreams.
pub(super) const SERVICE: &str = "model";

/// A balancer and what it has in flight.
pub(super) struct Fakes {
    balancer: Balancer,
    /// The time, in milliseconds.
    pub(super) now: u64,
    /// What was ordered since the list was last emptied.
    pub(super) effects: Vec<Effect>,
    flying: VecDeque<(RequestNumber, UpstreamId)>,
}

impl Fakes {
    /// Makes a balancer without upstreams.
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            balancer: Balancer::new(settings),
            now: 1_000,
            effects: Vec::new(),
            flying: VecDeque::new(),
        }
    }

    /// Feeds one event.
    pub(super) fn feed(&mut self, event: Event) {
        self.balancer
            .handle(Millis(self.now), event, &mut self.effects);
    }

    /// Puts upstreams in force and links them.
    pub(super) fn link(&mut self, count: u32) {
        self.feed(described(count));
        for number in 0..count {
            let upstream = UpstreamId(number);
            self.feed(Event::Link { upstream, up: true });
        }
    }

    /// Feeds a load report of each upstream.
    pub(super) fn report_all(&mut self, count: u32) {
        for number in 0..count {
            self.feed(Event::Load {
                upstream: UpstreamId(number),
                load: load(number),
            });
        }
    }

    /// Ends everything that was sent.
    pub(super) fn end_all(&mut self) {
        self.take_sends();
        while let Some((ticket, upstream)) = self.flying.pop_front() {
            self.end(ticket, upstream);
        }
        self.effects.clear();
    }

    /// Ends what was sent first.
    pub(super) fn end_one(&mut self) {
        self.take_sends();
        if let Some((ticket, upstream)) = self.flying.pop_front() {
            self.end(ticket, upstream);
        }
    }

    /// Returns the mean time of a tick, in microseconds.
    pub(super) fn mean_tick(&mut self) -> f64 {
        let clock = Clock::start();
        let start = clock.now_micros();
        for _ in 0..TICKS {
            self.now += 1;
            self.feed(Event::Tick);
        }
        (clock.now_micros() - start) as f64 / TICKS as f64
    }

    fn end(&mut self, ticket: RequestNumber, upstream: UpstreamId) {
        self.feed(Event::Ended {
            request: ticket,
            upstream,
            end: AttemptEnd::Complete,
        });
    }

    fn take_sends(&mut self) {
        for effect in self.effects.drain(..) {
            if let Effect::Send {
                request: ticket,
                upstream,
                ..
            } = effect
            {
                self.flying.push_back((ticket, upstream));
            }
        }
    }
}

/// Describes `count` upstreams of a service.
pub(super) fn infos(count: u32, service: &str) -> Vec<UpstreamInfo> {
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
        })
        .collect()
}

/// Makes a load report that differs from one number to the next.
pub(super) fn load(number: u32) -> Load {
    Load {
        running: number * 7 % 24,
        slots: 32,
        step_micros: 4_000 + number % 100,
        ..Load::default()
    }
}

/// Makes a request of an organisation.
pub(super) fn arrival(number: u64, now: u64, organisation: u32) -> Arrival {
    Arrival {
        request: RequestNumber(number),
        service: SERVICE.into(),
        organisation: format!("org-{organisation}").into(),
        organisation_weight: 1,
        class: "normal".into(),
        class_weight: 1,
        rate_limit: None,
        deadline: Millis(now + 60_000),
        digest: digest(number),
        prefix: None,
        idempotency_key: None,
        idempotent: true,
        cost: 1,
    }
}

/// Returns a digest for a number.
pub(super) fn digest(number: u64) -> Digest {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes());
    Digest(bytes)
}
