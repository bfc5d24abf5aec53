//! The course of the trial: rounds of load, each with one fault.

use std::collections::BTreeMap;

use anyhow::{Result, ensure};
use rand::Rng as _;
use rand::seq::SliceRandom;
use sardinepin_common::{Clock, Millis, seeded_rng};
use sardinepin_protocol::Outcome;
use sardinepin_standins::load::{self, CallKind, CallMix, Report, SendRecord};
use sardinepin_standins::{plain, platform};
use serde_json::{Value, json};

use super::Plan;
use super::faults::{ALL, Fault};
use super::judge::{Runs, judge};
use super::system::{KEYED_PATH, MODEL, PLAIN, PLAIN_PATH, System, start};

/// How many calls a round has; copies come on top.
const ROUND: u64 = 250;

/// How many calls are open at once.
const CONCURRENCY: usize = 16;

/// How long a plain answer takes, so that faults meet open calls; in milliseconds.
const DELAY_MS: u64 = 40;

/// The share of keyed calls that are sent twice, in thousandths.
const COPIES_MILLI: u32 = 300;

/// The most tokens of an answer.
const TOKENS_MAX: u64 = 24;

/// The latest start of a fault within its round, in milliseconds.
const STARTS_MAX: u64 = 500;

/// How long the system has to settle after a round.
const SETTLES: Millis = Millis(500);

/// How long late runs may still come after the last round.
const LATE: Millis = Millis(3_000);

/// The room for rounds in the seed of a round.
const ROUNDS_MAX: u64 = 10_000;

/// What was seen in all rounds.
#[derive(Debug, Default)]
struct Seen {
    requests: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    wrong: u64,
    cut: u64,
    wrong_owner: u64,
    by_shutdown: u64,
    causes: BTreeMap<String, u64>,
    refusals: BTreeMap<String, u64>,
    faults: Vec<String>,
    records: Vec<SendRecord>,
}

/// Runs the trial and returns its line.
pub(super) async fn run(plan: Plan) -> Result<Value> {
    let clock = Clock::start();
    let mut system = start().await?;
    let mut rng = seeded_rng(plan.seed);
    let before = counts(&system).await?;
    let mut seen = Seen::default();
    let mut kinds: Vec<Fault> = Vec::new();
    let rounds = plan.requests.div_ceil(ROUND);
    ensure!(
        rounds < ROUNDS_MAX,
        "more than {} requests",
        ROUND * ROUNDS_MAX
    );
    for round in 0..rounds {
        if kinds.is_empty() {
            kinds = ALL.to_vec();
            kinds.shuffle(&mut rng);
        }
        let fault = kinds.pop().unwrap_or(Fault::None);
        let requests = ROUND.min(plan.requests - round * ROUND);
        let seed = plan.seed.wrapping_mul(ROUNDS_MAX).wrapping_add(round);
        let load = tokio::spawn(load::run(settings(&system, seed, requests)));
        slow(&system).await?;
        let starts = Millis(rng.random_range(0..STARTS_MAX));
        tokio::time::sleep(starts.duration()).await;
        let has_cut = fault.show(&mut system, &mut rng).await?;
        slow(&system).await?;
        seen.add(fault, has_cut, load.await??);
        system.fleet.wait_ready().await?;
        tokio::time::sleep(SETTLES.duration()).await;
    }
    tokio::time::sleep(LATE.duration()).await;
    let after = counts(&system).await?;
    let runs = runs(&system).await?;
    let ended = system.fleet.stop().await?;
    let cut_at_end = ended.iter().filter(|(_, status)| !status.success()).count();
    seen.by_shutdown += cut_at_end as u64;
    let judgement = judge(&seen.records, &runs);
    let keyed = seen
        .records
        .iter()
        .filter(|one| one.kind == CallKind::Keyed);
    let keyed = keyed.count();
    let per_keyed = |calls: u64| round_off(calls as f64 / keyed.max(1) as f64);
    Ok(json!({
        "trial": "outcomes", "seed": plan.seed, "rounds": rounds,
        "requests": seen.requests, "answered": seen.answered,
        "not_run": seen.not_run, "unknown": seen.unknown,
        "ran_twice": judgement.ran_twice.len(),
        "false_not_run": judgement.false_not_run.len(),
        "cut_answers": seen.cut, "wrong_owner": seen.wrong_owner,
        "cut_by_shutdown": seen.by_shutdown,
        "wrong": seen.wrong, "answered_never_ran": judgement.never_ran.len(),
        "unknown_by_cause": seen.causes, "not_run_by_reason": seen.refusals,
        "keyed": keyed,
        "platform_writes_per_keyed": per_keyed(after.writes - before.writes),
        "platform_reads_per_keyed": per_keyed(after.reads - before.reads),
        "platform_watches_per_keyed": per_keyed(after.watches - before.watches),
        "samples": {
            "ran_twice": judgement.ran_twice, "false_not_run": judgement.false_not_run,
            "answered_never_ran": judgement.never_ran, "wrong": seen.faults,
        },
        "took_s": round_off(clock.now().as_f64() / 1_000.0),
    }))
}

impl Seen {
    fn add(&mut self, fault: Fault, has_cut: u64, report: Report) {
        self.requests += report.sent;
        self.answered += report.answered;
        self.not_run += report.not_run;
        self.unknown += report.unknown;
        self.wrong += report.wrong;
        self.cut += report.cut;
        self.wrong_owner += report.wrong_owner;
        self.by_shutdown += has_cut;
        // Nothing else fails in such a round, so what a caller does not know was cut off.
        if matches!(fault, Fault::Stop(_)) {
            self.by_shutdown += report.unknown;
        }
        let name = fault.name();
        self.faults
            .extend(report.faults.iter().map(|one| format!("{name}: {one}")));
        for record in &report.records {
            let cause = format!("{name}/{}", record.reason);
            let counts = match record.outcome {
                Outcome::Answered => continue,
                Outcome::NotRun => &mut self.refusals,
                Outcome::Unknown => &mut self.causes,
            };
            *counts.entry(cause).or_default() += 1;
        }
        self.records.extend(report.records);
    }
}

fn settings(system: &System, seed: u64, requests: u64) -> load::Settings {
    load::Settings {
        entries: system.fleet.entry_addresses(),
        requests,
        concurrency: CONCURRENCY,
        seed,
        organisations: ["o1", "o2", "o3"].map(str::to_owned).to_vec(),
        mix: CallMix {
            keyed: 2,
            plain: 1,
            stream: 1,
            chat: 0,
        },
        keyed_path: KEYED_PATH.to_owned(),
        plain_path: PLAIN_PATH.to_owned(),
        model: MODEL.to_owned(),
        tokens_max: TOKENS_MAX,
        copies_milli: COPIES_MILLI,
        timeout_ms: 60_000,
        records: true,
        ..load::Settings::default()
    }
}

/// Makes the plain services take their time; one that is down is left alone.
async fn slow(system: &System) -> Result<()> {
    for service in &system.fleet.upstreams[..PLAIN] {
        let faults = json!({"delay_ms": DELAY_MS});
        system.fleet.set_faults(service, &faults).await?;
    }
    Ok(())
}

async fn counts(system: &System) -> Result<platform::Counts> {
    let fleet = &system.fleet;
    fleet
        .client
        .get_json(fleet.platform.address(), "/counts")
        .await
}

async fn runs(system: &System) -> Result<Runs> {
    let fleet = &system.fleet;
    let mut runs = Runs::default();
    for service in &fleet.upstreams[..PLAIN] {
        let counts: plain::Counts = fleet.client.get_json(service.address(), "/counts").await?;
        for (key, count) in counts.runs {
            *runs.keys.entry(key).or_default() += count;
        }
        for (request, count) in counts.requests {
            *runs.requests.entry(request).or_default() += count;
        }
    }
    Ok(runs)
}

fn round_off(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
