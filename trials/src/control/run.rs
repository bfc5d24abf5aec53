//! Runs the trial and computes its figures.

use anyhow::{Context, Result, bail, ensure};
use rand::Rng as _;
use sardinepin_common::{Clock, Millis, Revision, Set, seeded_rng};
use sardinepin_standins::platform::Counts;
use sardinepin_store::{ConditionalWrite, HttpSettings, HttpStore, Precondition, Store};
use serde_json::{Value, json};

use super::Options;
use super::config_log;
use super::deployment::Processes;
use super::usage::{Usage, read_usage};

/// The time within which all nodes must see each other, or the last change must be in force.
const SETTLE_TIMEOUT: Millis = Millis(120_000);

/// The pause before the measurement, in which membership updates of the start-up finish spreading.
const START_UP_PAUSE: Millis = Millis(15_000);

/// The time between two reads of the usage of all nodes.
const POLL_INTERVAL: Millis = Millis(500);

/// The number of bytes in a mebibyte.
const BYTES_PER_MIB: f64 = 1024.0 * 1024.0;

/// A configuration change that the platform accepted.
#[derive(Debug, Clone, Copy)]
struct Change {
    revision: Revision,
    /// The wall-clock time just before the change was sent.
    at: Millis,
}

/// Runs the trial and returns its JSON line.
pub(super) async fn run(options: Options) -> Result<Value> {
    let clock = Clock::start();
    let mut processes = Processes::start(&options).await?;
    let total = processes.nodes().len();
    wait_for_all(&processes, &clock, |usage| usage.present == total as f64).await?;

    tokio::time::sleep(START_UP_PAUSE.duration()).await;
    let before = read_usages(&processes).await?;
    let counts_before = platform_counts(&processes).await?;
    let start = clock.now();
    let mut restarted = Set::default();
    let changes = make_changes(&options, &mut processes, &clock, &mut restarted).await?;
    let last = changes.last().context("no change was made")?.revision;
    wait_for_all(&processes, &clock, |usage| usage.revision >= last.0 as f64).await?;
    let seconds = clock.now().since(start).as_f64() / 1_000.0;
    let after = read_usages(&processes).await?;
    let counts_after = platform_counts(&processes).await?;

    let lags = change_lags(&processes, &changes, &restarted)?;
    let measured: Vec<(Usage, Usage)> = before
        .into_iter()
        .zip(after)
        .filter(|((name, _), _)| !restarted.contains(name))
        .map(|((_, before), (_, after))| (before, after))
        .collect();
    let mean = |part: fn(&Usage) -> f64| {
        let sum: f64 = measured
            .iter()
            .map(|(before, after)| part(after) - part(before))
            .sum();
        sum / measured.len() as f64 / seconds
    };
    let rss: f64 = measured.iter().map(|(_, after)| after.rss).sum();
    let suspicions: f64 = measured
        .iter()
        .map(|(before, after)| after.suspicions - before.suspicions)
        .sum();
    let reads =
        counts_after.reads + counts_after.watches - counts_before.reads - counts_before.watches;
    Ok(json!({
        "trial": "control", "seed": options.seed, "nodes": total, "entries": options.entries,
        "agents": options.agents, "zones": options.zones, "loss_milli": options.loss_milli,
        "choice": options.peer_choice, "seconds": round(seconds),
        "change_ms": options.change_ms, "changes": changes.len(),
        "replaced": restarted.len(), "samples": lags.len(),
        "in_force_p50_ms": lags[lags.len() / 2].0,
        "in_force_max_ms": lags[lags.len() - 1].0,
        "bytes_per_node_s": round(mean(|usage| usage.bytes)),
        "fetched_bytes_per_node_s": round(mean(|usage| usage.fetched)),
        "messages_per_node_s": round(mean(|usage| usage.messages)),
        "platform_reads_s": round(reads as f64 / seconds),
        "platform_writes_s": round((counts_after.writes - counts_before.writes) as f64 / seconds),
        "cpu_share_per_node": round(mean(|usage| usage.cpu)),
        "rss_mb_per_node": round(rss / measured.len() as f64 / BYTES_PER_MIB),
        "false_suspicions": suspicions,
    }))
}

/// Changes the configuration at a steady rate, and kills and restarts agents in between.
async fn make_changes(
    options: &Options,
    processes: &mut Processes,
    clock: &Clock,
    restarted: &mut Set<String>,
) -> Result<Vec<Change>> {
    let mut rng = seeded_rng(options.seed);
    let store = HttpStore::new(HttpSettings {
        address: processes.platform(),
        ..HttpSettings::default()
    });
    let end = clock.now() + Millis(options.seconds * 1_000);
    let mut changes = Vec::new();
    while clock.now() < end {
        changes.push(make_change(&store, changes.len()).await?);
        if options.replace_every > 0 && changes.len().is_multiple_of(options.replace_every) {
            restarted.insert(
                processes
                    .restart_agent(rng.random_range(0..usize::MAX))
                    .await?,
            );
        }
        tokio::time::sleep(Millis(options.change_ms).duration()).await;
    }
    Ok(changes)
}

/// Replaces the rules and returns the change.
async fn make_change(store: &HttpStore, number: usize) -> Result<Change> {
    let key = "config/rules/list";
    let current = store.get(key).await?;
    let value = json!({"rules": [
        {"name": format!("change-{number}"), "then": {"class": "urgent"}},
    ]});
    let at = Clock::wall_time();
    let revision = store
        .put(ConditionalWrite {
            key,
            precondition: current.map_or(Precondition::Absent, |object| {
                Precondition::Revision(object.revision)
            }),
            write_id: &format!("trial-{number}"),
            value: Some(&value.to_string()),
        })
        .await?;
    Ok(Change { revision, at })
}

/// Waits until a condition holds at every node.
///
/// # Errors
///
/// Fails after `SETTLE_TIMEOUT`, with the names and logs of the nodes.
async fn wait_for_all(
    processes: &Processes,
    clock: &Clock,
    holds: impl Fn(&Usage) -> bool,
) -> Result<()> {
    let end = clock.now() + SETTLE_TIMEOUT;
    loop {
        let usages = read_usages(processes).await?;
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
                "the condition does not hold at {lagging:?}\n{}",
                processes.fleet.recent_output()
            );
        }
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
    }
}

async fn read_usages(processes: &Processes) -> Result<Vec<(String, Usage)>> {
    let mut usages = Vec::new();
    for node in processes.nodes() {
        let usage = read_usage(&processes.fleet.client, node)
            .await
            .with_context(|| format!("{}\n{}", node.name(), node.child.recent_output()))?;
        usages.push((node.name().to_owned(), usage));
    }
    Ok(usages)
}

/// Returns how often the platform has been read, written and watched.
async fn platform_counts(processes: &Processes) -> Result<Counts> {
    let client = &processes.fleet.client;
    client.get_json(processes.platform(), "/counts").await
}

/// Returns the times from each change until it was in force at each node that was not restarted,
/// shortest first.
fn change_lags(
    processes: &Processes,
    changes: &[Change],
    restarted: &Set<String>,
) -> Result<Vec<Millis>> {
    let mut lags = Vec::new();
    for node in processes.nodes() {
        if restarted.contains(node.name()) {
            continue;
        }
        let applied = config_log::applied_revisions(&node.child.recent_output());
        for change in changes {
            let lag = config_log::lag(&applied, change.revision, change.at).with_context(|| {
                format!(
                    "{}: revision {} never came into force",
                    node.name(),
                    change.revision
                )
            })?;
            lags.push(lag);
        }
    }
    ensure!(!lags.is_empty(), "every node was restarted");
    lags.sort_unstable();
    Ok(lags)
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
