//! The course of the trial.

use anyhow::{Context, Result, bail, ensure};
use rand::Rng as _;
use sardinepin_common::{Clock, Millis, Revision, Set, seeded_rng};
use sardinepin_standins::platform::Counts;
use sardinepin_store::{ConditionalWrite, HttpSettings, HttpStore, Precondition, Store};
use serde_json::{Value, json};

use super::Plan;
use super::deployment::Processes;
use super::journal;
use super::probe::{Usage, usage};

/// How long all nodes may take to see each other, or a change to be in force.
const SETTLES_WITHIN: Millis = Millis(120_000);

/// How long the nodes are left alone first, so that the news of their start has been sent on.
const QUIET: Millis = Millis(15_000);

/// The time between two looks.
const LOOK: Millis = Millis(500);

/// The bytes of a mebibyte.
const MIB: f64 = 1024.0 * 1024.0;

/// A change that the platform accepted.
#[derive(Debug, Clone, Copy)]
struct Written {
    revision: Revision,
    /// The wall-clock time just before it was sent.
    at: Millis,
}

/// Runs the trial and returns its line.
pub(super) async fn run(plan: Plan) -> Result<Value> {
    let clock = Clock::start();
    let mut processes = Processes::start(&plan).await?;
    let total = processes.nodes().len();
    settle(&processes, &clock, |usage| usage.present == total as f64).await?;

    tokio::time::sleep(QUIET.duration()).await;
    let before = usages(&processes).await?;
    let counts = counts(&processes).await?;
    let start = clock.now();
    let mut replaced = Set::default();
    let written = change(&plan, &mut processes, &clock, &mut replaced).await?;
    let last = written.last().context("no change was made")?.revision;
    settle(&processes, &clock, |usage| usage.revision >= last.0 as f64).await?;
    let seconds = clock.now().since(start).as_f64() / 1_000.0;
    let after = usages(&processes).await?;
    let counted = self::counts(&processes).await?;

    let lags = lags(&processes, &written, &replaced)?;
    let kept: Vec<(Usage, Usage)> = before
        .into_iter()
        .zip(after)
        .filter(|((name, _), _)| !replaced.contains(name))
        .map(|((_, before), (_, after))| (before, after))
        .collect();
    let mean = |part: fn(&Usage) -> f64| {
        let sum: f64 = kept
            .iter()
            .map(|(before, after)| part(after) - part(before))
            .sum();
        sum / kept.len() as f64 / seconds
    };
    let rss: f64 = kept.iter().map(|(_, after)| after.rss).sum();
    let doubted: f64 = kept
        .iter()
        .map(|(before, after)| after.doubted - before.doubted)
        .sum();
    let reads = counted.reads + counted.watches - counts.reads - counts.watches;
    Ok(json!({
        "trial": "control", "seed": plan.seed, "nodes": total, "entries": plan.entries,
        "agents": plan.agents, "zones": plan.zones, "loss_milli": plan.loss_milli,
        "choice": plan.choice, "seconds": round(seconds), "change_ms": plan.change_ms, "changes": written.len(),
        "replaced": replaced.len(), "samples": lags.len(),
        "in_force_p50_ms": lags[lags.len() / 2].0,
        "in_force_max_ms": lags[lags.len() - 1].0,
        "bytes_per_node_s": round(mean(|usage| usage.bytes)),
        "fetched_bytes_per_node_s": round(mean(|usage| usage.fetched)),
        "messages_per_node_s": round(mean(|usage| usage.messages)),
        "platform_reads_s": round(reads as f64 / seconds),
        "platform_writes_s": round((counted.writes - counts.writes) as f64 / seconds),
        "cpu_share_per_node": round(mean(|usage| usage.cpu)),
        "rss_mb_per_node": round(rss / kept.len() as f64 / MIB),
        "false_suspicions": doubted,
    }))
}

/// Changes the configuration at a steady rate, and kills and restarts some agents meanwhile.
async fn change(
    plan: &Plan,
    processes: &mut Processes,
    clock: &Clock,
    replaced: &mut Set<String>,
) -> Result<Vec<Written>> {
    let mut rng = seeded_rng(plan.seed);
    let store = HttpStore::new(HttpSettings {
        address: processes.platform(),
        ..HttpSettings::default()
    });
    let end = clock.now() + Millis(plan.seconds * 1_000);
    let mut written = Vec::new();
    while clock.now() < end {
        written.push(write(&store, written.len()).await?);
        if plan.replace_every > 0 && written.len().is_multiple_of(plan.replace_every) {
            replaced.insert(processes.replace(rng.random_range(0..usize::MAX)).await?);
        }
        tokio::time::sleep(Millis(plan.change_ms).duration()).await;
    }
    Ok(written)
}

async fn write(store: &HttpStore, number: usize) -> Result<Written> {
    let key = "config/rules/list";
    let standing = store.get(key).await?;
    let value = json!({"rules": [
        {"name": format!("change-{number}"), "then": {"class": "urgent"}},
    ]});
    let at = Clock::wall_time();
    let revision = store
        .put(ConditionalWrite {
            key,
            precondition: standing.map_or(Precondition::Absent, |object| {
                Precondition::Revision(object.revision)
            }),
            write_id: &format!("trial-{number}"),
            value: Some(&value.to_string()),
        })
        .await?;
    Ok(Written { revision, at })
}

/// Waits until something holds at every node.
async fn settle(
    processes: &Processes,
    clock: &Clock,
    holds: impl Fn(&Usage) -> bool,
) -> Result<()> {
    let end = clock.now() + SETTLES_WITHIN;
    loop {
        let usages = usages(processes).await?;
        let lagging: Vec<&String> = usages
            .iter()
            .filter(|(_, usage)| !holds(usage))
            .map(|(name, _)| name)
            .collect();
        if lagging.is_empty() {
            return Ok(());
        }
        if clock.now() >= end {
            bail!(
                "{lagging:?} do not settle\n{}",
                processes.fleet.recent_output()
            );
        }
        tokio::time::sleep(LOOK.duration()).await;
    }
}

async fn usages(processes: &Processes) -> Result<Vec<(String, Usage)>> {
    let mut usages = Vec::new();
    for node in processes.nodes() {
        let usage = usage(&processes.fleet.client, node)
            .await
            .with_context(|| format!("{}\n{}", node.name(), node.child.recent_output()))?;
        usages.push((node.name().to_owned(), usage));
    }
    Ok(usages)
}

async fn counts(processes: &Processes) -> Result<Counts> {
    let caller = &processes.fleet.client;
    caller.get_json(processes.platform(), "/counts").await
}

/// Returns how long each change took to each node that lived through the trial, shortest first.
fn lags(processes: &Processes, written: &[Written], replaced: &Set<String>) -> Result<Vec<Millis>> {
    let mut lags = Vec::new();
    for node in processes.nodes() {
        if replaced.contains(node.name()) {
            continue;
        }
        let journal = journal::in_force(&node.child.recent_output());
        for one in written {
            let lag = journal::lag(&journal, one.revision, one.at)
                .with_context(|| format!("{}: revision {} unseen", node.name(), one.revision))?;
            lags.push(lag);
        }
    }
    ensure!(!lags.is_empty(), "every node was replaced");
    lags.sort_unstable();
    Ok(lags)
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
