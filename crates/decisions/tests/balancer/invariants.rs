//! Invariants checked over random events with many seeds.

use std::collections::BTreeMap;

use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use sardinepin_common::{Millis, Rng, seeded_rng};
use sardinepin_decisions::{AttemptEnd, Effect, Event, Policy, RequestNumber, UpstreamId};
use sardinepin_protocol::{ErrorKind, Outcome};

use crate::driver::{Driver, digest, name, upstream_info};

/// The number of upstreams in a run.
const UPSTREAMS: u32 = 7;

/// The number of random steps in a run.
const STEPS: u32 = 3_000;

/// What the test knows about a request.
#[derive(Debug, Default)]
struct Known {
    sends: u32,
    /// Whether an attempt of it may have run.
    may_have_run: bool,
    deadline: u64,
    ended: bool,
}

/// A random run and what is known about its requests.
struct Run {
    driver: Driver,
    rng: Rng,
    known: BTreeMap<u64, Known>,
    linked: [bool; UPSTREAMS as usize],
}

impl Run {
    fn new(seed: u64, policy: Policy) -> Self {
        let mut driver = Driver::with_settings(|settings| {
            settings.seed = seed;
            settings.policy = policy;
            settings.queue.organisation_max = 20;
        });
        let infos = (0..UPSTREAMS).map(|upstream| {
            let mut info = upstream_info(upstream);
            info.zone = name(if upstream < 4 { "zone-a" } else { "zone-b" });
            info.group = (upstream < 2).then(|| name("group-1"));
            info
        });
        driver.configure_upstreams(infos.collect());
        Self {
            driver,
            rng: seeded_rng(seed),
            known: BTreeMap::new(),
            linked: [true; UPSTREAMS as usize],
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..45 => self.arrive(),
            45..80 => self.end(),
            80..84 => self.hang_up(),
            84..86 => self.toggle_link(),
            86..88 => {
                let upstream = self.rng.random_range(0..UPSTREAMS);
                let waiting = self.rng.random_range(0..20);
                self.driver
                    .report_load(upstream, |load| load.waiting = waiting);
            }
            _ => {
                let millis = self.rng.random_range(0..=20);
                self.driver.advance(millis);
            }
        }
        self.check();
    }

    fn arrive(&mut self) {
        let request = self.driver.next_request;
        let deadline = self.driver.now + self.rng.random_range(0..3_000);
        self.known.insert(
            request,
            Known {
                deadline,
                ..Known::default()
            },
        );
        let rng = &mut self.rng;
        self.driver.arrive_with(|arrival| {
            arrival.deadline = Millis(deadline);
            arrival.organisation = name(&format!("org-{}", rng.random_range(0..5)));
            arrival.class = name(["urgent", "normal", "batch"].choose(rng).expect("a class"));
            arrival.digest = digest(rng.random_range(0..500));
            arrival.idempotent = rng.random_bool(0.7);
            arrival.idempotency_key = rng.random_bool(0.1).then(|| digest(request));
            arrival.prefix = rng.random_bool(0.5).then(|| digest(request % 9));
            arrival.cost = rng.random_range(1..50);
        });
    }

    fn end(&mut self) {
        let in_flight: Vec<u64> = self.driver.in_flight.keys().copied().collect();
        let Some(request) = in_flight.choose(&mut self.rng).copied() else {
            return;
        };
        let kind = *[
            ErrorKind::Busy,
            ErrorKind::Unreachable,
            ErrorKind::KeyReused,
            ErrorKind::PlatformOut,
        ]
        .choose(&mut self.rng)
        .expect("a kind");
        let end = match self.rng.random_range(0..10) {
            0 | 1 => AttemptEnd::NotRun {
                kind,
                retry_after: Millis::ZERO,
            },
            2 => AttemptEnd::Unknown {
                kind: ErrorKind::LinkLost,
                crashed: self.rng.random_bool(0.3),
                unresumable: self.rng.random_bool(0.3),
            },
            _ => AttemptEnd::Complete,
        };
        if let Some(known) = self.known.get_mut(&request) {
            known.may_have_run |= matches!(end, AttemptEnd::Unknown { .. });
            known.ended |= end == AttemptEnd::Complete;
        }
        self.driver.end(request, end);
    }

    fn hang_up(&mut self) {
        let open: Vec<u64> = self
            .known
            .iter()
            .filter(|(_, known)| !known.ended)
            .map(|(request, _)| *request)
            .collect();
        if let Some(request) = open.choose(&mut self.rng).copied() {
            self.known.entry(request).or_default().ended = true;
            self.driver.feed(Event::HungUp(RequestNumber(request)));
        }
    }

    fn toggle_link(&mut self) {
        let upstream = self.rng.random_range(0..UPSTREAMS);
        let up = !self.linked[upstream as usize];
        self.linked[upstream as usize] = up;
        let upstream = UpstreamId(upstream);
        self.driver.feed(Event::Link { upstream, up });
    }

    /// Completes all requests in flight.
    fn finish(&mut self) {
        while let Some(request) = self.driver.in_flight.keys().next().copied() {
            self.known.entry(request).or_default().ended = true;
            self.driver.complete(request);
            self.check();
        }
    }

    /// Checks the effects since the last call.
    fn check(&mut self) {
        let effects = std::mem::take(&mut self.driver.effects);
        for effect in effects {
            match effect {
                Effect::Send {
                    request,
                    upstream,
                    retry_cause,
                } => self.handle_send(request.0, upstream.0, retry_cause.is_some()),
                Effect::GiveUp { request, kind, .. } => {
                    let known = self.known.get_mut(&request.0).expect("a known request");
                    assert!(!known.ended, "{request:?} is ended twice");
                    assert!(!self.driver.in_flight.contains_key(&request.0));
                    let not_run = kind.response().outcome == Outcome::NotRun;
                    assert!(
                        !(known.may_have_run && not_run),
                        "{request:?} may have run: {kind}"
                    );
                    known.ended = true;
                }
                Effect::Withdraw { .. } | Effect::Quarantine { .. } => {}
            }
        }
    }

    fn handle_send(&mut self, request: u64, upstream: u32, retry: bool) {
        let now = self.driver.now;
        let known = self.known.get_mut(&request).expect("a known request");
        assert!(!known.ended, "request {request} is sent after its end");
        assert!(
            self.linked[upstream as usize],
            "the link to {upstream} is down"
        );
        assert_eq!(retry, known.sends > 0);
        assert!(known.sends < 3, "request {request} has a fourth attempt");
        assert!(known.deadline >= now, "request {request} is sent too late");
        known.sends += 1;
    }
}

#[test]
fn overload_every_request_ends_exactly_once_under_random_events() {
    for policy in [
        Policy::Sardinepin,
        Policy::RoundRobin,
        Policy::LeastInFlight,
    ] {
        for seed in 0..10 {
            let mut run = Run::new(seed, policy);
            for _ in 0..STEPS {
                run.step();
            }
            for _ in 0..200 {
                run.finish();
                run.driver.advance(20);
                run.check();
            }
            run.finish();
            let open: Vec<u64> = run
                .known
                .iter()
                .filter(|(_, known)| !known.ended)
                .map(|(request, _)| *request)
                .collect();
            assert!(open.is_empty(), "{policy:?} {seed}: {open:?} never end");
        }
    }
}
