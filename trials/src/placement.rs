//! Simulates expert placement under drifting popularity: a static map, full re-placement, and the
//! product's planner.

mod bound;
mod simulation;
mod strategy;
mod workload;

use clap::{Arg, ArgMatches, Command, value_parser};
use sardinepin_groups::PlacementSettings;
use serde_json::json;

use crate::placement::simulation::{Summary, simulate};
use crate::placement::strategy::{FullPlacement, ProductPlanner, StaticMap, Strategy};
use crate::placement::workload::{Trace, WorkloadSettings};

/// Returns the trial's command line.
pub(crate) fn command() -> Command {
    Command::new("placement")
        .about("Compares placement strategies for the experts of one layer over ten minutes")
        .arg(integer_arg("seed", "1"))
        .arg(integer_arg("ranks", "64"))
        .arg(integer_arg("experts", "256"))
        .arg(integer_arg("spare", "64"))
        .arg(float_arg("zipf", "0.9"))
        .arg(float_arg("drift", "0.05"))
        .arg(choice_arg("surge", ["yes", "no"]))
        .arg(choice_arg("weights", ["skew", "moves"]))
}

/// Runs the trial and prints a line for each strategy and for the bound.
pub(crate) fn run(arguments: &ArgMatches) -> anyhow::Result<()> {
    let workload = workload_settings(arguments)?;
    let weights = string_value(arguments, "weights");
    let settings = match weights.as_str() {
        "moves" => PlacementSettings::prefer_stability(),
        _ => PlacementSettings::prefer_balance(),
    };
    let trace = Trace::generate(&workload)?;
    let mut strategies: [(&str, Box<dyn Strategy>); 3] = [
        ("static", Box::new(StaticMap)),
        ("full", Box::new(FullPlacement::new(&workload, &settings))),
        (
            "sardinepin",
            Box::new(ProductPlanner::new(&workload, &settings)),
        ),
    ];
    for (name, strategy) in &mut strategies {
        let summary = simulate(&trace, &workload, &settings, strategy.as_mut())?;
        print_summary(name, &workload, &weights, &summary);
    }
    let bound = bound::bound(&trace, &workload)?;
    let line = json!({
        "way": "bound", "seed": workload.seed, "ranks": workload.ranks, "surge": workload.surge,
        "skew_mean": round(bound.reached), "skew_floor": round(bound.floor),
    });
    println!("{line}");
    Ok(())
}

fn print_summary(name: &str, workload: &WorkloadSettings, weights: &str, summary: &Summary) {
    let line = json!({
        "way": name,
        "seed": workload.seed,
        "ranks": workload.ranks,
        "surge": workload.surge,
        "weights": weights,
        "skew_mean": round(summary.skew_mean),
        "skew_p95": round(summary.skew_p95),
        "bytes_moved": summary.bytes_moved,
        "pause_ms": summary.pause_ms,
        "switches": summary.switches,
        "decide_ms": round(summary.decide_ms),
        "decide_max_ms": round(summary.decide_max_ms),
    });
    println!("{line}");
}

fn workload_settings(arguments: &ArgMatches) -> anyhow::Result<WorkloadSettings> {
    let workload = WorkloadSettings {
        seed: integer_value(arguments, "seed"),
        ranks: integer_value(arguments, "ranks") as usize,
        experts: integer_value(arguments, "experts") as usize,
        spare_slots: integer_value(arguments, "spare") as usize,
        zipf_exponent: float_value(arguments, "zipf"),
        drift: float_value(arguments, "drift"),
        surge: string_value(arguments, "surge") == "yes",
    };
    let slots = workload.experts + workload.spare_slots;
    anyhow::ensure!(
        workload.ranks > 0 && slots.is_multiple_of(workload.ranks),
        "experts and spare slots must divide evenly among the ranks"
    );
    anyhow::ensure!(
        workload.experts >= workload::EXPERTS_PER_TOKEN,
        "there are fewer experts than each token is routed to"
    );
    Ok(workload)
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

fn integer_arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn float_arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(f64))
}

fn choice_arg(name: &'static str, values: [&'static str; 2]) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(values[0])
        .value_parser(values)
}

fn integer_value(arguments: &ArgMatches, name: &str) -> u64 {
    arguments.get_one::<u64>(name).copied().unwrap_or_default()
}

fn float_value(arguments: &ArgMatches, name: &str) -> f64 {
    arguments.get_one::<f64>(name).copied().unwrap_or_default()
}

fn string_value(arguments: &ArgMatches, name: &str) -> String {
    arguments
        .get_one::<String>(name)
        .cloned()
        .unwrap_or_default()
}
