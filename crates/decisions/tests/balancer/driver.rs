//! A small driver: it feeds events and keeps what is in flight and what was ordered.

use std::collections::BTreeMap;
use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_decisions::{
    Arrival, AttemptEnd, Balancer, Effect, Event, RequestNumber, Settings, UpstreamId, UpstreamInfo,
};
use sardinepin_protocol::{Digest, ErrorKind, Load, UpstreamState};

/// The zone of the entry.
pub const ZONE: &str = "zone-a";

/// Feeds a balancer and remembers what it ordered.
pub struct Driver {
    pub balancer: Balancer,
    pub now: u64,
    pub next: u64,
    /// The upstream of each attempt in flight.
    pub flying: BTreeMap<u64, u32>,
    /// Every effect, in order.
    pub log: Vec<Effect>,
}

impl Driver {
    /// Makes a driver; `change` alters the default settings.
    pub fn with(change: impl FnOnce(&mut Settings)) -> Self {
        let mut settings = Settings {
            zone: ZONE.to_owned(),
            seed: 7,
            ..Settings::default()
        };
        change(&mut settings);
        Self {
            balancer: Balancer::new(settings),
            now: 1_000,
            next: 1,
            flying: BTreeMap::new(),
            log: Vec::new(),
        }
    }

    /// Makes a driver with `count` linked upstreams in the entry's zone, numbered from 0.
    pub fn of(count: u32, change: impl FnOnce(&mut Settings)) -> Self {
        let mut driver = Self::with(change);
        driver.upstreams((0..count).map(info).collect());
        driver
    }

    /// Puts these upstreams in force and links all of them.
    pub fn upstreams(&mut self, infos: Vec<UpstreamInfo>) {
        let ids: Vec<UpstreamId> = infos.iter().map(|info| info.id).collect();
        self.feed(Event::Upstreams(infos));
        for upstream in ids {
            self.feed(Event::Link { upstream, up: true });
        }
    }

    /// Feeds one event and returns what follows.
    pub fn feed(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.balancer.handle(Millis(self.now), event, &mut effects);
        for effect in &effects {
            if let Effect::Send {
                request: ticket,
                upstream,
                ..
            } = effect
            {
                let before = self.flying.insert(ticket.0, upstream.0);
                assert_eq!(before, None, "{ticket:?} has two attempts in flight");
            }
        }
        self.log.extend(effects.iter().cloned());
        effects
    }

    /// Feeds the arrival of the next request, altered by `change`.
    pub fn arrive_as(&mut self, change: impl FnOnce(&mut Arrival)) -> Vec<Effect> {
        let mut arrival = arrival(self.next, self.now);
        self.next += 1;
        change(&mut arrival);
        self.feed(Event::Arrived(arrival))
    }

    /// Feeds the arrival of the next plain request.
    pub fn arrive(&mut self) -> Vec<Effect> {
        self.arrive_as(|_| {})
    }

    /// Ends the attempt of a request.
    pub fn end(&mut self, ticket: u64, end: AttemptEnd) -> Vec<Effect> {
        let upstream = self
            .flying
            .remove(&ticket)
            .unwrap_or_else(|| panic!("request {ticket} is not in flight"));
        self.feed(Event::Ended {
            request: RequestNumber(ticket),
            upstream: UpstreamId(upstream),
            end,
        })
    }

    /// Ends the attempt of a request with a whole answer.
    pub fn whole(&mut self, ticket: u64) -> Vec<Effect> {
        self.end(ticket, AttemptEnd::Complete)
    }

    /// Feeds the first byte of an attempt's answer.
    pub fn began(&mut self, ticket: u64) {
        let upstream = UpstreamId(self.flying[&ticket]);
        self.feed(Event::FirstByte {
            request: RequestNumber(ticket),
            upstream,
        });
    }

    /// Feeds a load report of an idle upstream, altered by `change`.
    pub fn load(&mut self, upstream: u32, change: impl FnOnce(&mut Load)) -> Vec<Effect> {
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

    /// Lets time pass, tick by tick, and returns what the ticks ordered.
    pub fn pass(&mut self, millis: u64) -> Vec<Effect> {
        let end = self.now + millis;
        let mut effects = Vec::new();
        while self.now < end {
            self.now = end.min(self.now + 20);
            effects.extend(self.feed(Event::Tick));
        }
        effects
    }

    /// Returns the tickets in flight on an upstream.
    pub fn on(&self, upstream: u32) -> Vec<u64> {
        self.flying
            .iter()
            .filter(|(_, at)| **at == upstream)
            .map(|(ticket, _)| *ticket)
            .collect()
    }

    /// Returns every request that was given up, with the reason.
    pub fn given_up(&self) -> Vec<(u64, ErrorKind)> {
        given_up(&self.log)
    }
}

/// Describes upstream `number` of the service `model` in the entry's zone.
pub fn info(number: u32) -> UpstreamInfo {
    UpstreamInfo {
        id: UpstreamId(number),
        name: format!("worker-{number}").into(),
        service: "model".into(),
        zone: ZONE.into(),
        group: None,
        state: UpstreamState::Active,
    }
}

/// Describes a repeatable request with ten seconds to go.
pub fn arrival(ticket: u64, now: u64) -> Arrival {
    Arrival {
        request: RequestNumber(ticket),
        service: "model".into(),
        organisation: "org-1".into(),
        organisation_weight: 1,
        class: "normal".into(),
        class_weight: 1,
        rate_limit: None,
        deadline: Millis(now + 10_000),
        digest: digest(ticket),
        prefix: None,
        idempotency_key: None,
        idempotent: true,
        cost: 1,
    }
}

/// Returns a digest for a number.
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
                request: ticket,
                upstream,
                ..
            } => Some((ticket.0, upstream.0)),
            _ => None,
        })
        .collect()
}

/// Returns the upstream of the only request that was sent.
pub fn sent_to(effects: &[Effect]) -> Option<u32> {
    match sent(effects).as_slice() {
        [(_, upstream)] => Some(*upstream),
        _ => None,
    }
}

/// Returns the requests that were given up, with the reasons.
pub fn given_up(effects: &[Effect]) -> Vec<(u64, ErrorKind)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::GiveUp {
                request: ticket,
                kind,
                ..
            } => Some((ticket.0, *kind)),
            _ => None,
        })
        .collect()
}

/// An end that did not run, for `kind`.
pub fn not_run(kind: ErrorKind) -> AttemptEnd {
    AttemptEnd::NotRun {
        kind,
        retry_after: Millis::ZERO,
    }
}

/// An end of unknown outcome; `crashed` if the upstream died.
pub fn unknown(crashed: bool) -> AttemptEnd {
    AttemptEnd::Unknown {
        kind: ErrorKind::UpstreamBroke,
        crashed,
        unresumable: false,
    }
}
