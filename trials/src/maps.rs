//! Simulates the expert maps of one rank group while the popularity of experts shifts abruptly.
//!
//! Compares a static map, the product's planner with and without some of its features, full
//! re-placement, and an ideal planner that knows future counts.

mod simulation;
mod strategies;
mod traffic;

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use sardinepin_groups::RebalanceSettings;
use serde_json::json;

use crate::arguments::{integer_arg, integer_value};
use crate::maps::simulation::{Summary, simulate};
use crate::maps::strategies::strategies;
use crate::maps::traffic::{GroupShape, Traffic, TrafficSettings};

/// Returns the trial's command line.
pub(crate) fn command() -> Command {
    Command::new("maps")
        .about("Compares strategies that change the expert maps of one rank group")
        .arg(integer_arg("seed", "1", "The random seed of the traffic"))
        .arg(integer_arg(
            "seconds",
            "60",
            "The duration of the traffic, in seconds",
        ))
        .arg(integer_arg(
            "shift-ms",
            "3400",
            "The time between two popularity shifts, in milliseconds",
        ))
        .arg(integer_arg(
            "load-ms",
            "148",
            "The time that a rank takes to load one expert, in milliseconds",
        ))
        .arg(integer_arg(
            "ranks",
            "8",
            "The number of ranks in the group",
        ))
        .arg(integer_arg("layers", "6", "The number of expert layers"))
        .arg(integer_arg(
            "experts",
            "64",
            "The number of experts in a layer",
        ))
        .arg(integer_arg(
            "rank-slots",
            "11",
            "The most experts of one layer that a rank can hold",
        ))
        .arg(integer_arg(
            "layer-loads",
            "4",
            "The most experts of one layer that a rank may load for one change",
        ))
        .arg(float_arg(
            "load-gain",
            "Overrides RebalanceSettings::transfer_gain",
        ))
        .arg(float_arg(
            "change-gain",
            "Overrides RebalanceSettings::change_gain",
        ))
        .arg(float_arg(
            "rank-loads",
            "Overrides RebalanceSettings::rank_transfers",
        ))
        .arg(
            Arg::new("counts")
                .long("counts")
                .help("A file of recorded counts, one JSON line per sample, to use as traffic")
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Runs the trial and prints a line for each strategy.
pub(crate) fn run(arguments: &ArgMatches) -> anyhow::Result<()> {
    let size = |name: &str| integer_value(arguments, name) as usize;
    let shape = GroupShape {
        layers: size("layers"),
        experts: size("experts"),
        ranks: size("ranks"),
        rank_slots: size("rank-slots"),
        layer_transfers: size("layer-loads"),
    };
    let settings = TrafficSettings {
        shape,
        seed: integer_value(arguments, "seed"),
        seconds: integer_value(arguments, "seconds"),
        shift_ms: integer_value(arguments, "shift-ms"),
        ..TrafficSettings::default()
    };
    let traffic = match arguments.get_one::<PathBuf>("counts") {
        Some(path) => Traffic::read(path, shape)?,
        None => Traffic::generate(&settings)?,
    };
    for strategy in strategies(rebalance_settings(arguments), shape) {
        let summary = simulate(&traffic, &strategy, integer_value(arguments, "load-ms"));
        print_summary(strategy.name, &summary);
    }
    Ok(())
}

/// Returns the default planner settings with the overrides of the command line.
fn rebalance_settings(arguments: &ArgMatches) -> RebalanceSettings {
    let float = |name: &str| arguments.get_one::<f64>(name).copied();
    let default = RebalanceSettings::default();
    RebalanceSettings {
        transfer_gain: float("load-gain").unwrap_or(default.transfer_gain),
        change_gain: float("change-gain").unwrap_or(default.change_gain),
        rank_transfers: float("rank-loads").map_or(default.rank_transfers, |limit| limit as usize),
        ..default
    }
}

fn float_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(f64))
}

fn print_summary(name: &str, summary: &Summary) {
    let line = json!({
        "way": name,
        "skew_mean": round(summary.skew_mean),
        "skew_p95": round(summary.skew_p95),
        "step_mean": round(summary.step_time_mean),
        "loads": summary.transfers,
        "switches": summary.switches,
        "loading": round(summary.transfer_share),
    });
    println!("{line}");
}

fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
