//! Simulates a deployment: gateways that balance over rank groups in lockstep, and callers that
//! retry after a refusal.
//!
//! The product's balancer runs in each gateway; three baseline policies run on the same calls.

mod burst;
mod engine;
mod plot;
mod policies;
mod simulation;
mod summary;
#[cfg(test)]
mod tests;
mod workload;

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::json;

use crate::arguments::{integer_arg, integer_value};
use crate::fleet::burst::{BurstPolicy, BurstSummary, Pattern, simulate_burst};
use crate::fleet::plot::{Point, plot};
use crate::fleet::policies::{POLICIES, Policy};
use crate::fleet::simulation::simulate;
use crate::fleet::summary::Summary;
use crate::fleet::workload::{Workload, WorkloadSettings};

/// The simulated loads, in percent of the capacity of the groups.
const LOADS_PERCENT: [u64; 6] = [50, 80, 100, 120, 160, 200];

/// Returns the trial's command line.
pub(crate) fn command() -> Command {
    Command::new("fleet")
        .about("Simulates policies on a model of a deployment, at several loads")
        .arg(integer_arg("seed", "1", "The random seed of the calls"))
        .arg(integer_arg(
            "seconds",
            "30",
            "How long calls arrive, in seconds",
        ))
        .arg(integer_arg(
            "size",
            "1",
            "The size, as a multiple of today's deployment",
        ))
        .arg(integer_arg(
            "outage",
            "0",
            "The duration of an outage of one group, in milliseconds; 0 for none",
        ))
        .arg(
            Arg::new("burst")
                .long("burst")
                .help("Simulates bursts on one large group that many gateways share instead")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .help("The file to write a plot of the figures to (SVG)")
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Runs the trial and prints a line for each policy and load.
pub(crate) fn run(arguments: &ArgMatches) -> anyhow::Result<()> {
    if arguments.get_flag("burst") {
        run_bursts(integer_value(arguments, "seed"));
        return Ok(());
    }
    let mut points = Vec::new();
    for load in LOADS_PERCENT {
        let settings = WorkloadSettings {
            seed: integer_value(arguments, "seed"),
            seconds: integer_value(arguments, "seconds"),
            size: integer_value(arguments, "size").max(1) as usize,
            load: load as f64 / 100.0,
            outage_ms: integer_value(arguments, "outage"),
        };
        let workload = Workload::generate(&settings)?;
        for policy in POLICIES {
            let summary = simulate(&settings, &workload, policy);
            print_summary(policy, &settings, &summary);
            points.push(Point {
                policy,
                load: settings.load,
                summary,
            });
        }
    }
    match arguments.get_one::<PathBuf>("plot") {
        Some(path) => plot(path, &points),
        None => Ok(()),
    }
}

/// Prints a line for each pattern of a burst and each policy.
fn run_bursts(seed: u64) {
    for pattern in Pattern::ALL {
        for policy in BurstPolicy::ALL {
            let summary = simulate_burst(seed, pattern, policy);
            print_burst(seed, pattern, policy, &summary);
        }
    }
}

fn print_burst(seed: u64, pattern: Pattern, policy: BurstPolicy, summary: &BurstSummary) {
    let line = json!({
        "pattern": pattern.name(),
        "policy": policy.name(),
        "seed": seed,
        "arrivals": summary.arrivals,
        "rejected": round(summary.rejected),
        "abandoned": round(summary.abandoned),
        "refused": round(summary.refused),
        "good_by_priority": summary.good.map(round),
        "good_all": round(summary.good_all),
        "good_per_s": round(summary.good_per_s),
        "completed_per_s": round(summary.completed_per_s),
        "good_small": round(summary.good_small),
        "recovery_ms": summary.recovery_ms,
        "fill_min": round(summary.fill.0),
        "fill_max": round(summary.fill.1),
        "credit_asks": summary.asks,
    });
    println!("{line}");
}

fn print_summary(policy: Policy, settings: &WorkloadSettings, summary: &Summary) {
    let line = json!({
        "policy": policy.name(),
        "size": settings.size,
        "load": settings.load,
        "seed": settings.seed,
        "calls": summary.calls,
        "good": round(summary.good),
        "served": round(summary.served),
        "refused": round(summary.refused),
        "first_p50_ms": summary.first_p50_ms,
        "first_p95_ms": summary.first_p95_ms,
        "fair_min": round(summary.fair_min),
    });
    println!("{line}");
}

fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
