//! A model of gateways that share crashes, and of a request that comes in waves of copies and crashes every upstream that runs it.
//!
//! The copies of a wave are under way at several gateways at once. Gateways have clocks of their own, which jump; the store delays
//! records and goes away; upstreams also crash by themselves, several at the same moment. A popular sound request is sent beside it
//! all.

// Clippy allows `unwrap` in tests only within test functions; this covers the helpers.
#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::Rng as _;
use sardinepin_common::{Millis, Rng, seeded_rng};
use sardinepin_decisions::direct::{Crash, CrashRecords, CrashedAttempt};
use sardinepin_decisions::{Admission, Traits};
use sardinepin_protocol::Digest;

/// The longest that a day of the model lasts, in milliseconds.
const DAY_MS: u64 = 60_000;

/// How long an attempt runs before its upstream crashes or answers, in milliseconds.
const RUN_MS: u64 = 70;

/// How long an upstream is away after a crash, in milliseconds.
const DOWN_MS: u64 = 3_000;

/// Retries of a request that crashes upstreams count from so long after the third crash on, in milliseconds.
const WINDOW_MS: u64 = 3_000;

/// How many attempts a gateway makes.
const ATTEMPTS_MAX: u32 = 3;

/// The most crashing requests that may reach upstreams later than that.
const LATE_MAX: usize = 3;

/// How long a sound request may be held back after upstreams have crashed: twice the window, in milliseconds.
const SOUND_HELD_MS: u64 = 2 * WINDOW_MS;

/// What one day is made of.
#[derive(Debug, Clone, Copy)]
struct Options {
    gateways: usize,
    /// The most copies of a wave.
    copies: u64,
    /// How far the copies of a wave lie apart at most, in milliseconds.
    spread_ms: u64,
    /// How far clocks are off at most, in milliseconds.
    clock_ms: u64,
    /// The longest delay of a record, in milliseconds.
    delay_ms: u64,
    /// Whether the store goes away for some seconds.
    store_away: bool,
    /// Whether upstreams crash by themselves.
    innocent_crashes: bool,
}

const CALM: Options = Options {
    gateways: 4,
    copies: 4,
    spread_ms: 120,
    clock_ms: 0,
    delay_ms: 20,
    store_away: false,
    innocent_crashes: false,
};

#[derive(Debug, Clone)]
enum Event {
    /// A copy arrives at a gateway.
    Arrival {
        gateway: usize,
        bad: bool,
    },
    /// An attempt ends, unless its upstream has crashed meanwhile.
    End {
        attempt: u64,
    },
    /// An upstream crashes by itself.
    Crash {
        upstream: usize,
    },
    /// A record reaches a gateway.
    Added {
        gateway: usize,
        crash: Box<Crash>,
    },
    Removed {
        gateway: usize,
        name: Arc<str>,
    },
    /// A clock jumps.
    Jump {
        gateway: usize,
    },
}

#[derive(Debug, Clone)]
struct Attempt {
    gateway: usize,
    upstream: usize,
    bad: bool,
    is_probe: bool,
    sent_at: u64,
    number: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    /// When the crashing request had crashed the third upstream.
    third_at: Option<u64>,
    caused: usize,
    late: usize,
    /// The times at which a sound request was held back.
    sound_held: Vec<u64>,
    /// The times at which upstreams crashed, and at which the store came back: what clears a request cannot be shared before.
    disturbed_at: Vec<u64>,
}

struct Gateway {
    records: CrashRecords,
    /// How far its wall clock is ahead, after an offset of [`CLOCK_BASE`].
    clock: u64,
}

/// The wall clock at the start of a day, so that clocks that are behind stay above zero.
const CLOCK_BASE: u64 = 1_000_000;

struct Model {
    rng: Rng,
    options: Options,
    now: u64,
    queue: BTreeMap<(u64, u64), Event>,
    next: u64,
    gateways: Vec<Gateway>,
    /// The start of each upstream's process; it takes requests from then on.
    upstreams: Vec<u64>,
    attempts: BTreeMap<u64, Attempt>,
    claims: BTreeSet<Arc<str>>,
    away: (u64, u64),
    outcome: Outcome,
}

fn digest(bad: bool) -> Digest {
    Digest::of(&[if bad { b"bad" } else { b"sound" }])
}

fn traits(bad: bool) -> Traits<'static> {
    Traits {
        request: digest(bad),
        parts: &[],
    }
}

impl Model {
    fn new(seed: u64, options: Options) -> Self {
        let mut rng = seeded_rng(seed);
        let gateways = (0..options.gateways).map(|_| Gateway {
            records: CrashRecords::default(),
            clock: CLOCK_BASE + rng.random_range(0..=2 * options.clock_ms) - options.clock_ms,
        });
        let gateways = gateways.collect();
        let from = rng.random_range(5_000..40_000);
        let away = match options.store_away {
            true => (from, from + rng.random_range(500..4_000)),
            false => (u64::MAX, u64::MAX),
        };
        let mut model = Self {
            rng,
            options,
            now: 0,
            queue: BTreeMap::new(),
            next: 0,
            gateways,
            upstreams: vec![0; 3],
            attempts: BTreeMap::new(),
            claims: BTreeSet::new(),
            away,
            outcome: Outcome {
                disturbed_at: vec![away.1],
                ..Outcome::default()
            },
        };
        model.plan();
        model
    }

    /// Plans the arrivals, jumps and innocent crashes of the day.
    fn plan(&mut self) {
        let mut wave = self.rng.random_range(5_000..10_000);
        while wave < DAY_MS - 10_000 {
            let copies = self
                .rng
                .random_range(self.options.copies.min(1)..=self.options.copies);
            for _ in 0..copies {
                let at = wave + self.rng.random_range(0..=self.options.spread_ms);
                let gateway = self.rng.random_range(0..self.options.gateways);
                self.push(at, Event::Arrival { gateway, bad: true });
            }
            wave += self.rng.random_range(3_000..6_000);
        }
        for at in (0..DAY_MS).step_by(40) {
            let gateway = self.rng.random_range(0..self.options.gateways);
            self.push(
                at,
                Event::Arrival {
                    gateway,
                    bad: false,
                },
            );
        }
        if self.options.innocent_crashes {
            let at = self.rng.random_range(1_000..DAY_MS - 15_000);
            for upstream in 0..self.upstreams.len() {
                let at = at + self.rng.random_range(0..3);
                self.push(at, Event::Crash { upstream });
            }
        }
        if self.options.clock_ms > 0 {
            for gateway in 0..self.options.gateways {
                let at = self.rng.random_range(0..DAY_MS);
                self.push(at, Event::Jump { gateway });
            }
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.queue.insert((at, self.next), event);
    }

    fn run(mut self) -> Outcome {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            match event {
                Event::Arrival { gateway, bad } => self.arrive(gateway, bad),
                Event::End { attempt } => self.end(attempt),
                Event::Crash { upstream } => self.crash(upstream),
                Event::Added { gateway, crash } => {
                    self.gateways[gateway].records.add(Millis(at), &crash);
                }
                Event::Removed { gateway, name } => {
                    self.gateways[gateway].records.remove(&name);
                }
                Event::Jump { gateway } => {
                    let range = 0..=2 * self.options.clock_ms;
                    let clock = CLOCK_BASE + self.rng.random_range(range) - self.options.clock_ms;
                    self.gateways[gateway].clock = clock;
                }
            }
        }
        self.outcome
    }

    fn wall(&self, gateway: usize) -> Millis {
        Millis(self.now + self.gateways[gateway].clock)
    }

    fn arrive(&mut self, gateway: usize, bad: bool) {
        let wall = self.wall(gateway);
        let now = Millis(self.now);
        let records = &mut self.gateways[gateway].records;
        let admission = match records.is_empty() {
            true => Admission::Run,
            false => records.admit(now, wall, traits(bad)),
        };
        let is_probe = match admission {
            Admission::Run => false,
            Admission::Hold(_) => return self.hold(bad),
            Admission::Probe(claim) if self.claim(gateway, &claim.name) => true,
            Admission::Probe(_) => return self.hold(bad),
        };
        self.send(gateway, bad, is_probe, 1);
    }

    /// Claims a test, which needs the store.
    fn claim(&mut self, gateway: usize, name: &Arc<str>) -> bool {
        let is_away = (self.away.0..self.away.1).contains(&self.now);
        if is_away {
            let records = &mut self.gateways[gateway].records;
            records.record_unclaimed(Millis(self.now), name);
            return false;
        }
        self.claims.insert(Arc::clone(name))
    }

    /// Records that a sound request is held back; while the store is away, nothing can be tested or cleared at other gateways.
    fn hold(&mut self, bad: bool) {
        let is_away = (self.away.0..self.away.1).contains(&self.now);
        if !bad && !is_away {
            self.outcome.sound_held.push(self.now);
        }
    }

    fn send(&mut self, gateway: usize, bad: bool, is_probe: bool, number: u32) {
        let live = (0..self.upstreams.len()).filter(|one| self.upstreams[*one] <= self.now);
        let live: Vec<usize> = live.collect();
        if live.is_empty() {
            return;
        }
        let upstream = live[self.rng.random_range(0..live.len())];
        let is_in_touch = self.now < self.away.0 || self.now > self.away.1 + WINDOW_MS;
        let third = self.outcome.third_at;
        let is_late = third.is_some_and(|at| self.now > at + WINDOW_MS);
        self.outcome.late += usize::from(bad && is_late && is_in_touch);
        let attempt = Attempt {
            gateway,
            upstream,
            bad,
            is_probe,
            sent_at: self.now,
            number,
        };
        let id = self.next;
        self.attempts.insert(id, attempt);
        let ends_at = self.now + self.rng.random_range(RUN_MS / 2..RUN_MS * 2);
        self.push(ends_at, Event::End { attempt: id });
    }

    fn end(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id).cloned() else {
            return;
        };
        if attempt.bad {
            self.outcome.caused += 1;
            if self.outcome.caused == 3 {
                self.outcome.third_at = Some(self.now);
            }
            return self.crash(attempt.upstream);
        }
        self.attempts.remove(&id);
        let records = &mut self.gateways[attempt.gateway].records;
        if records.is_empty() {
            return;
        }
        let names = records.remove_request(&digest(false));
        for name in names {
            self.share(|gateway| Event::Removed {
                gateway,
                name: Arc::clone(&name),
            });
        }
    }

    /// An upstream crashes, and each gateway with a request there records it.
    fn crash(&mut self, upstream: usize) {
        let started_at = self.upstreams[upstream];
        if started_at > self.now {
            return;
        }
        self.upstreams[upstream] = self.now + DOWN_MS;
        self.outcome.disturbed_at.push(self.now);
        let hit = self
            .attempts
            .extract_if(.., |_, one| one.upstream == upstream);
        let hit: Vec<Attempt> = hit.map(|(_, attempt)| attempt).collect();
        for attempt in hit {
            let seen = CrashedAttempt {
                traits: traits(attempt.bad),
                upstream: &Arc::from(format!("u{upstream}")),
                started_at,
                age: Millis(self.now - attempt.sent_at),
                is_probe: attempt.is_probe,
            };
            let wall = self.wall(attempt.gateway);
            let records = &mut self.gateways[attempt.gateway].records;
            if let Some(crash) = records.record_crash(Millis(self.now), wall, seen) {
                self.share(|gateway| Event::Added {
                    gateway,
                    crash: Box::new(crash.clone()),
                });
            }
            self.retry(&attempt);
        }
    }

    fn retry(&mut self, attempt: &Attempt) {
        let wall = self.wall(attempt.gateway);
        let records = &mut self.gateways[attempt.gateway].records;
        let held = records.quarantine_remaining(wall, traits(attempt.bad), attempt.is_probe);
        if held.is_none() && !attempt.is_probe && attempt.number < ATTEMPTS_MAX {
            let Attempt { gateway, bad, .. } = *attempt;
            self.send(gateway, bad, attempt.is_probe, attempt.number + 1);
        }
    }

    /// Tells all gateways of a change, once the store is there.
    fn share(&mut self, event: impl Fn(usize) -> Event) {
        for gateway in 0..self.options.gateways {
            let delay = 1 + self.rng.random_range(0..=self.options.delay_ms);
            let is_away = (self.away.0..self.away.1).contains(&self.now);
            let from = if is_away { self.away.1 } else { self.now };
            self.push(from + delay, event(gateway));
        }
    }
}

/// Plays days with these options; returns those that break a promise.
fn broken_days(options: Options) -> Vec<String> {
    let seeds: u64 = std::env::var("CRASH_SEEDS").map_or(400, |seeds| seeds.parse().unwrap());
    let mut broken = Vec::new();
    for seed in 1..=seeds {
        let outcome = Model::new(seed, options).run();
        if outcome.late > LATE_MAX {
            broken.push(format!("seed {seed}: {} sent late", outcome.late));
        }
        let is_long = |held: &&u64| {
            let before = outcome.disturbed_at.iter().filter(|at| *at <= held);
            before.max().is_none_or(|at| **held > at + SOUND_HELD_MS)
        };
        let held = outcome.sound_held.iter().filter(is_long).count();
        if held > 0 {
            broken.push(format!("seed {seed}: {held} sound requests held back"));
        }
    }
    broken
}

fn assert_holds(options: Options) {
    let broken = broken_days(options);
    let first = broken.first().map(String::as_str).unwrap_or_default();
    assert!(broken.is_empty(), "{} days broken; {first}", broken.len());
}

/// Guards against crashes being left out because copies of the request were under way at once.
#[test]
fn copies_at_several_gateways_do_not_hide_crashes() {
    assert_holds(CALM);
}

/// Guards against crashes being left out because the clocks of gateways differ.
#[test]
fn clocks_that_differ_and_jump_do_not_hide_crashes() {
    assert_holds(Options {
        clock_ms: 3_000,
        ..CALM
    });
}

/// Guards against crashes being left out because records arrive late or the store is away.
#[test]
fn a_store_that_is_slow_or_away_does_not_hide_crashes() {
    assert_holds(Options {
        delay_ms: 200,
        store_away: true,
        ..CALM
    });
}

/// Guards against a popular sound request being held back for good after several upstreams were lost at once.
#[test]
fn the_loss_of_all_upstreams_at_once_holds_no_sound_request_back_for_long() {
    assert_holds(Options {
        copies: 0,
        clock_ms: 3_000,
        innocent_crashes: true,
        ..CALM
    });
}
