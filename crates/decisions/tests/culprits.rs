//! Tests of the search for the traits of requests that crash upstreams.

// Clippy allows `unwrap` in tests only within test functions; this covers the helpers.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::sync::Arc;

use rand::Rng as _;
use sardinepin_common::{Millis, Rng, seeded_rng};
use sardinepin_decisions::direct::{Crash, CrashRecords, CrashedAttempt};
use sardinepin_decisions::{Admission, CrashEvidence, CulpritFinder, CulpritSettings, Traits};
use sardinepin_protocol::Digest;

const RETENTION: Millis = Millis(600_000);

fn digest(name: &str) -> Digest {
    Digest::of(&[name.as_bytes()])
}

fn digests(names: &[&str]) -> Vec<Digest> {
    names.iter().map(|name| digest(name)).collect()
}

/// A finder and the time, which moves on by a second with each crash.
struct Case {
    finder: CulpritFinder,
    now: Millis,
}

impl Case {
    fn new() -> Self {
        Self {
            finder: CulpritFinder::new(CulpritSettings::default()),
            now: Millis(10_000),
        }
    }

    /// An upstream crashes with these requests, all sent half a second before.
    fn crash(&mut self, crash: &str, requests: &[(&str, &[&str])]) {
        self.crash_sent_at(crash, self.now + Millis(500), requests);
        self.now = self.now + Millis(1_000);
    }

    fn crash_sent_at(&mut self, crash: &str, sent_at: Millis, requests: &[(&str, &[&str])]) {
        let now = self.now + Millis(1_000);
        for (request, parts) in requests {
            let evidence = CrashEvidence {
                crash: Arc::from(crash),
                request: digest(request),
                parts: self.finder.doubtful_parts(now, sent_at, &digests(parts)),
                sent_at,
                crashed_at: now,
                expires_at: now + RETENTION,
                follows: None,
                is_probe: false,
            };
            let name = Arc::from(format!("{crash}-{request}"));
            self.finder.add(now, name, evidence);
        }
    }

    fn answer(&mut self, parts: &[&str]) {
        self.now = self.now + Millis(1);
        self.finder.record_answer(self.now, &digests(parts));
    }

    fn is_held(&mut self, request: &str, parts: &[&str]) -> bool {
        let traits = Traits {
            request: digest(request),
            parts: &digests(parts),
        };
        self.finder.held_until(traits, false).is_some()
    }
}

#[test]
fn the_third_crash_in_a_row_makes_a_part_a_culprit_and_spares_its_companions() {
    let mut case = Case::new();
    case.answer(&["common"]);
    case.crash("u1", &[("r1", &["common", "bad"])]);
    case.crash("u2", &[("r2", &["common", "bad"])]);
    assert!(!case.is_held("r3", &["common", "bad"]));
    case.crash("u3", &[("r3", &["common", "bad"])]);
    assert!(case.is_held("r4", &["common", "bad"]));
    assert!(case.is_held("r5", &["bad", "other"]));
    assert!(!case.is_held("r6", &["common"]));
    assert!(!case.is_held("r7", &["common", "other"]));
}

#[test]
fn the_same_request_is_a_culprit_by_itself() {
    let mut case = Case::new();
    for upstream in ["u1", "u2", "u3"] {
        case.crash(upstream, &[("same", &[])]);
    }
    assert!(case.is_held("same", &[]));
    assert!(!case.is_held("another", &[]));
}

#[test]
fn crashes_at_the_same_time_count_once() {
    let mut case = Case::new();
    let sent_at = case.now;
    for upstream in ["u1", "u2", "u3", "u4"] {
        case.crash_sent_at(upstream, sent_at, &[("r", &["popular"])]);
        case.now = case.now + Millis(1);
    }
    assert!(!case.is_held("r", &["popular"]));
}

#[test]
fn an_answer_refutes_the_crashes_before_it() {
    let mut case = Case::new();
    case.crash("u1", &[("r1", &["part"])]);
    case.crash("u2", &[("r2", &["part"])]);
    case.answer(&["part"]);
    case.crash("u3", &[("r3", &["part"])]);
    case.crash("u4", &[("r4", &["part"])]);
    assert!(!case.is_held("r5", &["part"]));
    // It may have become a culprit since: the first crash after the answer only casts doubt on it.
    case.crash("u5", &[("r5", &["part"])]);
    case.crash("u6", &[("r6", &["part"])]);
    assert!(case.is_held("r7", &["part"]));
    case.answer(&["part"]);
    assert!(!case.is_held("r7", &["part"]));
}

#[test]
fn a_rare_part_that_met_the_culprit_by_chance_is_spared() {
    let mut case = Case::new();
    case.crash("u1", &[("r1", &["bad", "rare"]), ("s1", &["quiet"])]);
    case.crash("u2", &[("r2", &["bad", "rare"]), ("s1", &["quiet"])]);
    case.crash("u3", &[("r3", &["bad", "seldom"]), ("s1", &["quiet"])]);
    case.crash("u4", &[("r4", &["bad", "rare"])]);
    assert!(case.is_held("r5", &["bad"]));
    assert!(!case.is_held("s2", &["rare"]));
    assert!(!case.is_held("s1", &["quiet"]));
}

#[test]
fn a_part_of_one_neighbour_in_all_crashes_is_not_taken_for_that_of_many_requests() {
    let mut case = Case::new();
    for (upstream, request) in [("u1", "r1"), ("u2", "r2"), ("u3", "r3")] {
        case.crash(upstream, &[(request, &["bad"]), ("retried", &["quiet"])]);
    }
    assert!(case.is_held("r4", &["bad"]));
    assert!(!case.is_held("s1", &["quiet"]));
}

#[test]
fn parts_that_nothing_tells_apart_are_held_back_only_together() {
    let mut case = Case::new();
    for (upstream, request) in [("u1", "r1"), ("u2", "r2"), ("u3", "r3")] {
        case.crash(upstream, &[(request, &["route", "bad"])]);
    }
    assert!(case.is_held("r4", &["route", "bad", "x"]));
    assert!(!case.is_held("s1", &["route", "x"]));
    assert!(!case.is_held("r5", &["bad", "x"]));
    case.crash("u4", &[("r5", &["bad", "x"])]);
    assert!(case.is_held("r6", &["bad"]));
    assert!(!case.is_held("s2", &["route"]));
}

#[test]
fn a_process_without_memory_draws_the_same_conclusion_from_what_others_saw() {
    let mut seen = CrashRecords::default();
    let mut crashes = Vec::new();
    seen.record_answer(Millis(1), &digests(&["common"]));
    for number in 1..=4_u64 {
        let now = Millis(number * 1_000);
        for (request, parts) in [
            (format!("r{number}"), ["common", "bad"]),
            (format!("s{number}"), ["common", "odd"]),
        ] {
            let attempt = CrashedAttempt {
                traits: Traits {
                    request: digest(&request),
                    parts: &digests(&parts),
                },
                upstream: &Arc::from(format!("u{number}")),
                started_at: 1,
                age: Millis(300),
                is_probe: false,
            };
            crashes.extend(seen.record_crash(now, now, attempt));
        }
        seen.record_answer(now + Millis(1), &digests(&["common", "odd"]));
    }
    let mut fresh = CrashRecords::default();
    for crash in &crashes {
        let text = serde_json::to_string(crash).unwrap();
        let read: Crash = serde_json::from_str(&text).unwrap();
        assert!(fresh.add(Millis(7), &read));
    }
    let held = |records: &mut CrashRecords, parts: &[&str]| {
        let traits = Traits {
            request: digest("new"),
            parts: &digests(parts),
        };
        records
            .quarantine_remaining(Millis(5_000), traits, false)
            .is_some()
    };
    for records in [&mut seen, &mut fresh] {
        assert!(held(records, &["common", "bad"]));
        assert!(!held(records, &["common"]));
        assert!(!held(records, &["odd", "common"]));
    }
}

#[test]
fn records_of_an_earlier_version_still_count() {
    let mut records = CrashRecords::default();
    for upstream in ["u1", "u2", "u3"] {
        let text = format!(
            r#"{{"request":{},"upstream":"{upstream}","born":1,"until":90000}}"#,
            serde_json::to_string(&digest("same")).unwrap()
        );
        records.add(Millis(1), &serde_json::from_str(&text).unwrap());
    }
    let traits = Traits {
        request: digest("same"),
        parts: &[],
    };
    assert_eq!(
        records.quarantine_remaining(Millis(80_000), traits, false),
        Some(Millis(10_000))
    );
}

/// The gateways of the simulation below.
const GATEWAYS: usize = 8;

/// The workers of each of two groups.
const GROUP_SIZE: usize = 8;

/// The requests in flight at a worker when it crashes.
const IN_FLIGHT: usize = 12;

/// How long a crash takes to be known at other gateways.
const SHARING_DELAY: Millis = Millis(50);

/// What the simulation of one seed saw.
#[derive(Debug, Default)]
struct Outcome {
    /// Crashes caused by the part that crashes workers.
    caused: usize,
    /// Requests with that part that ran later than three seconds after the fifth such crash.
    late: usize,
    sound: usize,
    sound_held: usize,
}

/// Requests draw shared parts of very different popularity. Some of them bear a part that crashes every
/// worker; workers also crash by themselves, several at once, and gateways forget everything.
fn simulate(seed: u64) -> Outcome {
    let mut rng = seeded_rng(seed);
    let mut gateways: Vec<CrashRecords> = (0..GATEWAYS).map(|_| CrashRecords::default()).collect();
    let mut shared: Vec<(Millis, Crash)> = Vec::new();
    let mut delivered = 0;
    let mut claims: BTreeSet<Arc<str>> = BTreeSet::new();
    let mut group_back = [Millis::ZERO; 2];
    let mut outcome = Outcome::default();
    let mut fifth: Option<Millis> = None;
    let mut next_request = 0_u64;
    for tick in 1_000..13_000_u64 {
        // A tick is ten milliseconds, a request arrives in each.
        let now = Millis(tick * 10);
        let due = shared.iter().skip(delivered);
        for (_, crash) in due.take_while(|(at, _)| *at + SHARING_DELAY <= now) {
            delivered += 1;
            for gateway in &mut gateways {
                gateway.add(now, crash);
            }
        }
        if rng.random_bool(0.000_3) {
            let restarted = rng.random_range(0..GATEWAYS);
            gateways[restarted] = CrashRecords::default();
            for (_, crash) in &shared {
                gateways[restarted].add(now, crash);
            }
        }
        let at_gateway = rng.random_range(0..GATEWAYS);
        let bad = tick > 3_000 && rng.random_bool(0.02);
        let parts = draw_parts(&mut rng, bad);
        next_request += 1;
        let request = Digest::of(&[&next_request.to_le_bytes()]);
        let traits = Traits {
            request,
            parts: &parts,
        };
        let admission = gateways[at_gateway].admit(now, now, traits);
        let (is_held, is_probe) = match admission {
            Admission::Run => (false, false),
            Admission::Hold(_) => (true, false),
            Admission::Probe(claim) => {
                let claimed = claims.insert(claim.name);
                (!claimed, claimed)
            }
        };
        let first = request;
        outcome.sound += usize::from(!bad);
        outcome.sound_held += usize::from(!bad && is_held);
        let group = rng.random_range(0..2);
        if is_held || group_back[group] > now {
            continue;
        }
        let by_itself = rng.random_bool(0.001);
        if !bad && !by_itself {
            gateways[at_gateway].record_answer(now, &parts);
            continue;
        }
        outcome.late += usize::from(bad && fifth.is_some_and(|at| now > at + Millis(3_000)));
        // Several workers that crash by themselves do so at once.
        let crashes = if bad { 1 } else { rng.random_range(1..=4) };
        for _ in 0..crashes {
            let worker = Arc::from(format!("w{}", rng.random_range(0..2 * GROUP_SIZE)));
            let mut flying = vec![(at_gateway, request, parts.clone())];
            for _ in 1..IN_FLIGHT {
                next_request += 1;
                let other = Digest::of(&[&next_request.to_le_bytes()]);
                let gateway = rng.random_range(0..GATEWAYS);
                flying.push((gateway, other, draw_parts(&mut rng, false)));
            }
            for (gateway, request, parts) in flying {
                let attempt = CrashedAttempt {
                    traits: Traits {
                        request,
                        parts: &parts,
                    },
                    upstream: &worker,
                    started_at: now.0,
                    age: Millis(rng.random_range(50..800)),
                    is_probe: is_probe && request == first,
                };
                if let Some(crash) = gateways[gateway].record_crash(now, now, attempt) {
                    shared.push((now, crash));
                }
            }
        }
        group_back[group] = now + Millis(4_000);
        outcome.caused += usize::from(bad);
        if bad && outcome.caused == 5 {
            fifth = Some(now);
        }
    }
    outcome
}

/// Draws the shared parts of a prompt: one of a few routes, and one of many subjects of which some are
/// asked for often and most hardly ever.
fn draw_parts(rng: &mut Rng, bad: bool) -> Vec<Digest> {
    let route = format!("route-{}", rng.random_range(0..3));
    let rank: f64 = rng.random_range(0.0..1.0);
    let subject = format!("subject-{}", (rank.powi(4) * 400.0) as u32);
    let bad = bad.then(|| "bad".to_owned());
    let names = std::iter::once(route).chain(bad).chain([subject]);
    names.map(|name| digest(&name)).collect()
}

#[test]
fn a_crashing_part_is_found_among_crashes_of_all_kinds_and_others_are_served() {
    let seeds: u64 = std::env::var("CULPRIT_SEEDS").map_or(8, |seeds| seeds.parse().unwrap());
    for seed in 1..=seeds {
        let outcome = simulate(seed);
        assert!(outcome.caused >= 3, "seed {seed}: {outcome:?}");
        assert!(outcome.late <= 3, "seed {seed}: {outcome:?}");
        let held_share = outcome.sound_held as f64 / outcome.sound as f64;
        assert!(held_share < 0.01, "seed {seed}: {outcome:?}");
    }
}

/// Guards against three crashes counting as two: two copies of a request were under way at two gateways, and the record of the second
/// crash was that of the copy that had been sent before the first.
#[test]
fn crashes_of_copies_that_were_under_way_at_once_count() {
    let mut case = Case::new();
    let began = case.now;
    for (crash, sent_ms, crashed_ms) in [("u1", 0, 70), ("u2", 40, 126), ("u3", 128, 227)] {
        let evidence = CrashEvidence {
            crash: Arc::from(crash),
            request: digest("copied"),
            parts: sardinepin_decisions::DoubtfulParts::default(),
            sent_at: began + Millis(sent_ms),
            crashed_at: began + Millis(crashed_ms),
            expires_at: began + RETENTION,
            follows: None,
            is_probe: false,
        };
        let name = Arc::from(format!("{crash}-copied"));
        case.finder
            .add(began + Millis(crashed_ms + 5), name, evidence);
    }
    assert!(case.is_held("copied", &[]));
}

/// Guards against a part of a prompt crashing upstream after upstream because requests with it are under way at once.
#[test]
fn crashes_of_a_part_in_requests_that_were_under_way_at_once_count() {
    let mut case = Case::new();
    let began = case.now;
    let crash_at = |case: &mut Case, number: u64| {
        let crash = format!("u{number}");
        let crashed_at = began + Millis(100 + number * 20);
        let evidence = CrashEvidence {
            crash: Arc::from(crash.as_str()),
            request: digest(&format!("r{number}")),
            parts: case
                .finder
                .doubtful_parts(crashed_at, began, &digests(&["common", "bad"])),
            sent_at: began,
            crashed_at,
            expires_at: began + RETENTION,
            follows: Some(Vec::new()),
            is_probe: false,
        };
        case.finder.add(crashed_at, Arc::from(crash), evidence);
    };
    case.answer(&["common"]);
    for number in 1..=4 {
        crash_at(&mut case, number);
    }
    assert!(!case.is_held("new", &["common", "bad"]));
    crash_at(&mut case, 5);
    assert!(case.is_held("new", &["common", "bad"]));
    assert!(!case.is_held("new", &["common"]));
}
