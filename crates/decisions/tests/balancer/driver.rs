//! A test driver that feeds events to a balancer and tracks attempts in flight and effects.

use std::collections::BTreeMap;
use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_decisions::{
    Arrival, AttemptEnd, Balancer, Effect, Event, RequestNumber, ServiceInfo, Settings, UpstreamId,
    UpstreamInfo,
};
use sardinepin_protocol::{Digest, ErrorKind, Load, UpstreamState};

/// The zone of the entry.
pub const ZONE: &str = "zone-a";

/// A balancer with the time, the attempts in flight and the effects so far.
pub struct Driver {
    pub balancer: Balancer,
    pub now: u64,
    pub next_request: u64,
    /// The upstream of each request in flight.
    pub in_flight: BTreeMap<u64, u32>,
    /// All effects so far, in order.
    pub effects: Vec<Effect>,
}

impl Driver {
    /// Creates a driver without upstreams; `change` alters the default settings.
    pub fn with_settings(change: impl FnOnce(&mut Settings)) -> Self {
        let mut settings = Settings {
            zone: ZONE.to_owned(),
            seed: 7,
            ..Settings::default()
        };
        change(&mut settings);
        Self {
            balancer: Balancer::new(settings),
            now: 1_000,
            next_request: 1,
            in_flight: BTreeMap::new(),
            effects: Vec::new(),
        }
    }

    /// Creates a driver with `count` linked upstreams in the entry's zone, numbered from 0.
    ///
    /// The entry is the only one, and has known its service for a second, so that some retries are left.
    pub fn with_upstreams(count: u32, change: impl FnOnce(&mut Settings)) -> Self {
        let mut driver = Self::with_settings(change);
        let now = std::mem::replace(&mut driver.now, 0);
        driver.feed(Event::Entries(1));
        driver.feed(Event::Services(vec![ServiceInfo {
            name: name("model"),
            retry_milli: 100,
        }]));
        driver.now = now;
        driver.configure_upstreams((0..count).map(upstream_info).collect());
        driver
    }

    /// Configures these upstreams and links all of them.
    pub fn configure_upstreams(&mut self, infos: Vec<UpstreamInfo>) {
        let ids: Vec<UpstreamId> = infos.iter().map(|info| info.id).collect();
        self.feed(Event::Upstreams(infos));
        for upstream in ids {
            self.feed(Event::Link { upstream, up: true });
        }
    }

    /// Feeds one event and returns its effects.
    pub fn feed(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.balancer.handle(Millis(self.now), event, &mut effects);
        for effect in &effects {
            if let Effect::Send {
                request, upstream, ..
            } = effect
            {
                let before = self.in_flight.insert(request.0, upstream.0);
                assert_eq!(before, None, "{request:?} has two attempts in flight");
            }
        }
        self.effects.extend(effects.iter().cloned());
        effects
    }

    /// Feeds the arrival of the next request, altered by `change`.
    pub fn arrive_with(&mut self, change: impl FnOnce(&mut Arrival)) -> Vec<Effect> {
        let mut arrival = arrival(self.next_request, self.now);
        self.next_request += 1;
        change(&mut arrival);
        self.feed(Event::Arrived(arrival))
    }

    /// Feeds the arrival of the next plain request.
    pub fn arrive(&mut self) -> Vec<Effect> {
        self.arrive_with(|_| {})
    }

    /// Ends the attempt of a request.
    pub fn end(&mut self, request: u64, end: AttemptEnd) -> Vec<Effect> {
        let upstream = self
            .in_flight
            .remove(&request)
            .unwrap_or_else(|| panic!("request {request} is not in flight"));
        self.feed(Event::Ended {
            request: RequestNumber(request),
            upstream: UpstreamId(upstream),
            end,
        })
    }

    /// Ends the attempt of a request with a complete response.
    pub fn complete(&mut self, request: u64) -> Vec<Effect> {
        self.end(request, AttemptEnd::Complete)
    }

    /// Feeds the first byte of an attempt's response.
    pub fn feed_first_byte(&mut self, request: u64) {
        let upstream = UpstreamId(self.in_flight[&request]);
        self.feed(Event::FirstByte {
            request: RequestNumber(request),
            upstream,
        });
    }

    /// Feeds a load report of an idle upstream, altered by `change`.
    pub fn report_load(&mut self, upstream: u32, change: impl FnOnce(&mut Load)) -> Vec<Effect> {
        let mut load = Load {
            slots: 32,
            ..Load::default()
        };
        change(&mut load);
        self.feed(Event::Load {
            upstream: UpstreamId(upstream),
            load,
        })
    }

    /// Advances the time with a tick every 20 ms and returns the effects of the ticks.
    pub fn advance(&mut self, millis: u64) -> Vec<Effect> {
        let end = self.now + millis;
        let mut effects = Vec::new();
        while self.now < end {
            self.now = end.min(self.now + 20);
            effects.extend(self.feed(Event::Tick));
        }
        effects
    }

    /// Returns the requests in flight on an upstream.
    pub fn in_flight_on(&self, upstream: u32) -> Vec<u64> {
        self.in_flight
            .iter()
            .filter(|(_, current)| **current == upstream)
            .map(|(request, _)| *request)
            .collect()
    }

    /// Returns every request given up so far, with its error.
    pub fn given_up(&self) -> Vec<(u64, ErrorKind)> {
        given_up(&self.effects)
    }
}

/// Returns upstream `number` of the service `model` in the entry's zone.
pub fn upstream_info(number: u32) -> UpstreamInfo {
    UpstreamInfo {
        id: UpstreamId(number),
        name: format!("worker-{number}").into(),
        service: "model".into(),
        zone: ZONE.into(),
        group: None,
        state: UpstreamState::Active,
        evacuated: false,
    }
}

/// Returns an idempotent request whose deadline is ten seconds away.
pub fn arrival(request: u64, now: u64) -> Arrival {
    Arrival {
        request: RequestNumber(request),
        service: "model".into(),
        organisation: "org-1".into(),
        organisation_weight: 1,
        class: "normal".into(),
        class_weight: 1,
        rate_limit: None,
        deadline: Millis(now + 10_000),
        digest: digest(request),
        parts: Vec::new(),
        prefix: None,
        idempotency_key: None,
        idempotent: true,
        cost: 1,
    }
}

/// Returns the digest of a number.
pub fn digest(number: u64) -> Digest {
    Digest::of(&[&number.to_le_bytes()])
}

/// Returns a shared name.
pub fn name(text: &str) -> Arc<str> {
    text.into()
}

/// Returns the requests that were sent, with their upstreams.
pub fn sent(effects: &[Effect]) -> Vec<(u64, u32)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Send {
                request, upstream, ..
            } => Some((request.0, upstream.0)),
            _ => None,
        })
        .collect()
}

/// Returns the upstream of the only request that was sent; `None` unless exactly one was.
pub fn sent_to(effects: &[Effect]) -> Option<u32> {
    match sent(effects).as_slice() {
        [(_, upstream)] => Some(*upstream),
        _ => None,
    }
}

/// Returns the requests that were given up, with their errors.
pub fn given_up(effects: &[Effect]) -> Vec<(u64, ErrorKind)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::GiveUp { request, kind, .. } => Some((request.0, *kind)),
            _ => None,
        })
        .collect()
}

/// Returns the end of an attempt that did not run because of `kind`.
pub fn not_run(kind: ErrorKind) -> AttemptEnd {
    AttemptEnd::NotRun {
        kind,
        retry_after: Millis::ZERO,
    }
}

/// Returns the end of an attempt that may have run; `crashed` if the upstream crashed.
pub fn unknown(crashed: bool) -> AttemptEnd {
    AttemptEnd::Unknown {
        kind: ErrorKind::UpstreamBroke,
        crashed,
        unresumable: false,
    }
}
