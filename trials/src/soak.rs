//! Runs gateways, entries, agents and stand-ins as processes under load while faults are drawn from a seed,
//! and checks what callers and upstreams see.

mod checks;
mod config_probe;
mod entry_half;
mod gateway_faults;
pub(crate) mod gateway_half;
pub(crate) mod gateways;
mod log;
#[cfg(test)]
mod tests;

use anyhow::ensure;
use clap::{ArgMatches, Command};
use sardinepin_common::{Clock, Millis};
use serde_json::{Value, json};

use crate::arguments::{block_on, integer_arg, integer_value};
use log::SoakLog;

/// The options of a run.
#[derive(Debug, Clone, Copy)]
struct Options {
    seed: u64,
    seconds: u64,
}

/// Returns the command line of the trial.
pub fn command() -> Command {
    Command::new("soak")
        .about("Checks what callers and upstreams see under load and faults drawn from a seed")
        .arg(integer_arg(
            "seed",
            "1",
            "The random seed of calls and faults",
        ))
        .arg(integer_arg("seconds", "30", "How long faults are injected"))
}

/// Runs the trial and prints its JSON lines.
///
/// # Errors
///
/// Fails if a process cannot be started or called, or a check has failed.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let options = Options {
        seed: integer_value(matches, "seed"),
        seconds: integer_value(matches, "seconds"),
    };
    let (lines, summary) = block_on(soak(options))?;
    for line in lines {
        println!("{line}");
    }
    println!("{summary}");
    ensure!(
        summary["violations"] == 0,
        "seed {}: a check failed",
        options.seed
    );
    Ok(())
}

/// Runs both deployments at the same time; returns the time line and the summary.
async fn soak(options: Options) -> anyhow::Result<(Vec<Value>, Value)> {
    let clock = Clock::start();
    let log = SoakLog::default();
    let (entries, gateways) = tokio::join!(
        entry_half::run(options, &log),
        gateway_half::run(options, &log),
    );
    for (half, result) in [("entries", entries), ("gateways", gateways)] {
        if let Err(error) = result {
            log.violation(half, "harness", &format!("{error:#}"));
        }
    }
    let (lines, violations, reasons) = log.finish();
    let summary = json!({
        "trial": "soak", "seed": options.seed, "seconds": options.seconds,
        "faults": lines.iter().filter(|line| line["kind"] == "fault").count(),
        "sent": sum(&lines, "sent"), "answered": sum(&lines, "answered"),
        "not_run": sum(&lines, "not_run"), "unknown": sum(&lines, "unknown"),
        "config_versions": lines.iter().filter(|line| line["kind"] == "config").map(|line| line["seen"].as_u64()).max(),
        "ready_ms_max": lines.iter().filter_map(|line| line["ready_ms"].as_u64()).max(),
        "unanswered_by_reason": reasons, "violations": violations,
        "took_s": clock.now().as_f64() / 1_000.0,
    });
    Ok((lines, summary))
}

fn sum(lines: &[Value], field: &str) -> u64 {
    let callers = lines.iter().filter(|line| line["kind"] == "callers");
    callers.filter_map(|line| line[field].as_u64()).sum()
}

/// Waits until `time` has passed since the start of `clock`.
async fn wait_until(clock: &Clock, time: Millis) {
    tokio::time::sleep(time.since(clock.now()).duration()).await;
}
