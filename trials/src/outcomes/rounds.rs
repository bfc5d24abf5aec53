//! Runs the trial in rounds of load with one fault each.

use std::collections::BTreeMap;

use anyhow::{Result, ensure};
use rand::Rng as _;
use rand::seq::SliceRandom;
use sardinepin_common::{Clock, Millis, seeded_rng};
use sardinepin_protocol::Outcome;
use sardinepin_standins::fleet::ChildProcess;
use sardinepin_standins::http::HttpClient;
use sardinepin_standins::load::{self, CallKind, CallMix, Report, SendRecord};
use sardinepin_standins::{plain, platform};
use serde_json::{Value, json};

use super::Options;
use super::deployment::{KEYED_PATH, MODEL, PLAIN_PATH, PLAIN_UPSTREAMS, RelayedFleet, start};
use super::faults::{ALL_FAULTS, Fault, FaultResult, Process};
use super::violations::{RunCounts, find_violations};

/// The calls of a round, not counting copies.
const ROUND_CALLS: u64 = 250;

/// The number of concurrent calls.
const CONCURRENCY: usize = 16;

/// The answer delay of plain services, in milliseconds, so that faults occur during open calls.
const PLAIN_DELAY_MS: u64 = 40;

/// The share of keyed calls that are sent twice, in thousandths.
const COPIES_MILLI: u32 = 300;

/// The share of plain calls whose callers leave early, in thousandths.
const LEAVE_MILLI: u32 = 300;

/// How long such a caller waits, in milliseconds: longer than an entry waits for a silent agent, shorter
/// than a fault may last.
const LEAVE_MS: u64 = 2_300;

/// The maximum number of tokens of an answer.
const TOKENS_MAX: u64 = 24;

/// The latest start of a fault within its round, in milliseconds.
const FAULT_START_MS_MAX: u64 = 500;

/// The pause after each round, in which the deployment settles.
const SETTLE_TIME: Millis = Millis(500);

/// The time after the last round in which calls may still run late.
const LATE_RUNS_TIME: Millis = Millis(3_000);

/// The exclusive limit on rounds; seeds of rounds are spaced by it, so that runs share no seed.
const ROUNDS_MAX: u64 = 10_000;

/// The totals of all rounds.
#[derive(Debug, Default)]
struct Totals {
    requests: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    wrong: u64,
    cut_answers: u64,
    wrong_owner: u64,
    /// Nodes that interrupted calls in a graceful stop, and calls of unknown outcome in such
    /// rounds.
    cut_by_shutdown: u64,
    /// The most engines that a message crashed in one round.
    crashed_engines: u64,
    /// Calls whose callers left without an answer.
    left: u64,
    /// Calls of unknown outcome by `fault/reason`.
    unknown_causes: BTreeMap<String, u64>,
    /// Calls that did not run by `fault/reason`.
    not_run_reasons: BTreeMap<String, u64>,
    /// Descriptions of wrong answers, each with the fault of its round.
    wrong_answers: Vec<String>,
    records: Vec<SendRecord>,
}

/// Runs the trial and returns its JSON line.
pub(super) async fn run(options: Options) -> Result<Value> {
    let clock = Clock::start();
    let mut deployment = start().await?;
    let mut rng = seeded_rng(options.seed);
    let counts_before = platform_counts(&deployment).await?;
    let mut totals = Totals::default();
    let mut remaining_faults: Vec<Fault> = Vec::new();
    let rounds = options.requests.div_ceil(ROUND_CALLS);
    ensure!(
        rounds < ROUNDS_MAX,
        "too many requests; the limit is about {}",
        ROUND_CALLS * ROUNDS_MAX
    );
    for round in 0..rounds {
        if remaining_faults.is_empty() {
            remaining_faults = ALL_FAULTS.to_vec();
            remaining_faults.shuffle(&mut rng);
        }
        let fault = remaining_faults.pop().unwrap_or(Fault::None);
        let requests = ROUND_CALLS.min(options.requests - round * ROUND_CALLS);
        let seed = options.seed.wrapping_mul(ROUNDS_MAX).wrapping_add(round);
        let load = tokio::spawn(load::run(load_settings(&deployment, seed, requests)));
        delay_plain_services(&deployment).await?;
        let fault_start = Millis(rng.random_range(0..FAULT_START_MS_MAX));
        tokio::time::sleep(fault_start.duration()).await;
        let result = fault.inject(&mut deployment, &mut rng).await?;
        delay_plain_services(&deployment).await?;
        totals.add(fault, result, load.await??);
        deployment.fleet.wait_ready().await?;
        tokio::time::sleep(SETTLE_TIME.duration()).await;
    }
    tokio::time::sleep(LATE_RUNS_TIME.duration()).await;
    let counts_after = platform_counts(&deployment).await?;
    let runs = run_counts(&deployment).await?;
    let exits = deployment.fleet.stop().await?;
    let failed_stops = exits.iter().filter(|(_, status)| !status.success()).count();
    totals.cut_by_shutdown += failed_stops as u64;
    let violations = find_violations(&totals.records, &runs);
    let keyed = totals
        .records
        .iter()
        .filter(|record| record.kind == CallKind::Keyed);
    let keyed = keyed.count();
    let per_keyed = |calls: u64| round_to_thousandths(calls as f64 / keyed.max(1) as f64);
    Ok(json!({
        "trial": "outcomes", "seed": options.seed, "rounds": rounds,
        "requests": totals.requests, "answered": totals.answered,
        "not_run": totals.not_run, "unknown": totals.unknown,
        "ran_twice": violations.ran_twice.len(),
        "false_not_run": violations.false_not_run.len(),
        "cut_answers": totals.cut_answers, "wrong_owner": totals.wrong_owner,
        "cut_by_shutdown": totals.cut_by_shutdown,
        "wrong": totals.wrong, "answered_never_ran": violations.never_ran.len(),
        "crashed_by_message": totals.crashed_engines, "left": totals.left, "late": violations.late.len(),
        "unknown_by_cause": totals.unknown_causes, "not_run_by_reason": totals.not_run_reasons,
        "keyed": keyed,
        "platform_writes_per_keyed": per_keyed(counts_after.writes - counts_before.writes),
        "platform_reads_per_keyed": per_keyed(counts_after.reads - counts_before.reads),
        "platform_watches_per_keyed": per_keyed(counts_after.watches - counts_before.watches),
        "samples": {
            "ran_twice": violations.ran_twice, "false_not_run": violations.false_not_run,
            "answered_never_ran": violations.never_ran, "wrong": totals.wrong_answers,
            "late": violations.late,
        },
        "took_s": round_to_thousandths(clock.now().as_f64() / 1_000.0),
    }))
}

impl Totals {
    fn add(&mut self, fault: Fault, result: FaultResult, report: Report) {
        self.crashed_engines = self.crashed_engines.max(result.crashed_engines);
        self.requests += report.sent;
        self.answered += report.answered;
        self.not_run += report.not_run;
        self.unknown += report.unknown;
        self.wrong += report.wrong;
        self.cut_answers += report.cut;
        self.wrong_owner += report.wrong_owner;
        self.cut_by_shutdown += result.interrupted_nodes;
        // Nothing else fails in a round with a graceful stop, so the stop interrupted every call of
        // unknown outcome.
        if matches!(fault, Fault::Stop(_)) {
            self.cut_by_shutdown += report.unknown;
        }
        let name = fault.name();
        self.wrong_answers
            .extend(report.faults.iter().map(|error| format!("{name}: {error}")));
        let mut records = report.records;
        for record in &mut records {
            self.left += u64::from(record.left_at.is_some());
            // A frozen service reads what had been delivered to it when it wakes, whoever sent it.
            if fault == Fault::Freeze(Process::Upstream) {
                record.left_at = None;
            }
            let cause = format!("{name}/{}", record.reason);
            let counts = match record.outcome {
                Outcome::Answered => continue,
                Outcome::NotRun => &mut self.not_run_reasons,
                Outcome::Unknown => &mut self.unknown_causes,
            };
            *counts.entry(cause).or_default() += 1;
        }
        self.records.extend(records);
    }
}

pub(crate) fn load_settings(deployment: &RelayedFleet, seed: u64, requests: u64) -> load::Settings {
    load::Settings {
        entries: deployment.fleet.entry_addresses(),
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
        leave_milli: LEAVE_MILLI,
        leave_ms: LEAVE_MS,
        timeout_ms: 60_000,
        records: true,
        ..load::Settings::default()
    }
}

/// Sets the answer delay of the plain services. A restart clears it, so it is set again after each
/// fault.
pub(crate) async fn delay_plain_services(deployment: &RelayedFleet) -> Result<()> {
    for service in &deployment.fleet.upstreams[..PLAIN_UPSTREAMS] {
        let faults = json!({"delay_ms": PLAIN_DELAY_MS});
        deployment.fleet.set_faults(service, &faults).await?;
    }
    Ok(())
}

/// Returns how often the platform has been read, written and watched.
async fn platform_counts(deployment: &RelayedFleet) -> Result<platform::Counts> {
    let fleet = &deployment.fleet;
    fleet
        .client
        .get_json(fleet.platform.address(), "/counts")
        .await
}

/// Returns how often each call has run, from the counts of the plain services.
async fn run_counts(deployment: &RelayedFleet) -> Result<RunCounts> {
    let fleet = &deployment.fleet;
    sum_counts(&fleet.client, &fleet.upstreams[..PLAIN_UPSTREAMS]).await
}

/// Sums the counts of plain services.
pub(crate) async fn sum_counts(
    client: &HttpClient,
    services: &[ChildProcess],
) -> Result<RunCounts> {
    let mut runs = RunCounts::default();
    for service in services {
        let counts: plain::Counts = client.get_json(service.address(), "/counts").await?;
        for (key, count) in counts.runs {
            *runs.keys.entry(key).or_default() += count;
        }
        for (request, count) in counts.requests {
            *runs.requests.entry(request).or_default() += count;
        }
        for (request, arrival) in counts.arrivals {
            let last = runs.arrivals.entry(request).or_default();
            *last = arrival.max(*last);
        }
    }
    Ok(runs)
}

fn round_to_thousandths(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
