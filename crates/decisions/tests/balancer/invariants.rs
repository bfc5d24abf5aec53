//! What holds for every run: random events, many seeds.

use std::collections::BTreeMap;

use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use sardinepin_common::{Millis, Rng, seeded_rng};
use sardinepin_decisions::{AttemptEnd, Effect, Event, Policy, RequestNumber, UpstreamId};
use sardinepin_protocol::{ErrorKind, Outcome};

use crate::driver::{Driver, digest, info, name};

/// The upstreams of a run.
const UPSTREAMS: u32 = 7;

/// The steps of a run.
const STEPS: u32 = 3_000;

/// What a test knows of a request.
#[derive(Debug, Default)]
struct Known {
    sends: u32,
    /// Whether an attempt may have run.
    ran: bool,
    deadline: u64,
    over: bool,
}

/// A run with what is known of its requests.
struct Run {
    driver: Driver,
    rng: Rng,
    known: BTreeMap<u64, Known>,
    linked: [bool; UPSTREAMS as usize],
}

impl Run {
    fn new(seed: u64, policy: Policy) -> Self {
        let mut driver = Driver::with(|settings| {
            settings.seed = seed;
            settings.policy = policy;
            settings.queue.organisation_max = 20;
        });
        let infos = (0..UPSTREAMS).map(|at| {
            let mut info = info(at);
            info.zone = name(if at < 4 { "zone-a" } else { "zone-b" });
            info.group = (at < 2).then(|| name("group-1"));
            info
        });
        driver.upstreams(infos.collect());
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
            84..86 => self.link(),
            86..88 => {
                let at = self.rng.random_range(0..UPSTREAMS);
                let waiting = self.rng.random_range(0..20);
                self.driver.load(at, |load| load.waiting = waiting);
            }
            _ => {
                let millis = self.rng.random_range(0..=20);
                self.driver.pass(millis);
            }
        }
        self.check();
    }

    fn arrive(&mut self) {
        let ticket = self.driver.next;
        let deadline = self.driver.now + self.rng.random_range(0..3_000);
        self.known.insert(
            ticket,
            Known {
                deadline,
                ..Known::default()
            },
        );
        let rng = &mut self.rng;
        self.driver.arrive_as(|one| {
            one.deadline = Millis(deadline);
            one.organisation = name(&format!("org-{}", rng.random_range(0..5)));
            one.class = name(["urgent", "normal", "batch"].choose(rng).expect("a class"));
            one.digest = digest(rng.random_range(0..500));
            one.idempotent = rng.random_bool(0.7);
            one.idempotency_key = rng.random_bool(0.1).then(|| digest(ticket));
            one.prefix = rng.random_bool(0.5).then(|| digest(ticket % 9));
            one.cost = rng.random_range(1..50);
        });
    }

    fn end(&mut self) {
        let flying: Vec<u64> = self.driver.flying.keys().copied().collect();
        let Some(ticket) = flying.choose(&mut self.rng).copied() else {
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
        if let Some(known) = self.known.get_mut(&ticket) {
            known.ran |= matches!(end, AttemptEnd::Unknown { .. });
            known.over |= end == AttemptEnd::Complete;
        }
        self.driver.end(ticket, end);
    }

    fn hang_up(&mut self) {
        let open: Vec<u64> = self
            .known
            .iter()
            .filter(|(_, known)| !known.over)
            .map(|(ticket, _)| *ticket)
            .collect();
        if let Some(ticket) = open.choose(&mut self.rng).copied() {
            self.known.entry(ticket).or_default().over = true;
            self.driver.feed(Event::HungUp(RequestNumber(ticket)));
        }
    }

    fn link(&mut self) {
        let at = self.rng.random_range(0..UPSTREAMS);
        let up = !self.linked[at as usize];
        self.linked[at as usize] = up;
        let upstream = UpstreamId(at);
        self.driver.feed(Event::Link { upstream, up });
    }

    /// Answers all that is in flight.
    fn finish(&mut self) {
        while let Some(ticket) = self.driver.flying.keys().next().copied() {
            self.known.entry(ticket).or_default().over = true;
            self.driver.whole(ticket);
            self.check();
        }
    }

    /// Checks the effects since the last time.
    fn check(&mut self) {
        let effects = std::mem::take(&mut self.driver.log);
        for effect in effects {
            match effect {
                Effect::Send {
                    request: ticket,
                    upstream,
                    retry_cause,
                } => self.sent(ticket.0, upstream.0, retry_cause.is_some()),
                Effect::GiveUp {
                    request: ticket,
                    kind,
                    ..
                } => {
                    let known = self.known.get_mut(&ticket.0).expect("a known request");
                    assert!(!known.over, "{ticket:?} is answered twice");
                    assert!(!self.driver.flying.contains_key(&ticket.0));
                    let not_run = kind.response().outcome == Outcome::NotRun;
                    assert!(!(known.ran && not_run), "{ticket:?} may have run: {kind}");
                    known.over = true;
                }
                Effect::Withdraw { .. } | Effect::Quarantine { .. } => {}
            }
        }
    }

    fn sent(&mut self, ticket: u64, upstream: u32, retry: bool) {
        let now = self.driver.now;
        let known = self.known.get_mut(&ticket).expect("a known request");
        assert!(!known.over, "request {ticket} is sent after its end");
        assert!(self.linked[upstream as usize], "{upstream} is dead");
        assert_eq!(retry, known.sends > 0);
        assert!(known.sends < 3, "request {ticket} has a fourth attempt");
        assert!(known.deadline >= now, "request {ticket} is sent too late");
        known.sends += 1;
    }
}

#[test]
fn overload_every_request_has_one_end_whatever_happens() {
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
                run.driver.pass(20);
                run.check();
            }
            run.finish();
            let open: Vec<u64> = run
                .known
                .iter()
                .filter(|(_, known)| !known.over)
                .map(|(ticket, _)| *ticket)
                .collect();
            assert!(open.is_empty(), "{policy:?} {seed}: {open:?} never end");
        }
    }
}
