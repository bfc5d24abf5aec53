//! Placement on a drifting load: a static map, full re-placement, and the product's planner.

mod bound;
mod drive;
mod strategy;
mod workload;

use clap::{Arg, ArgMatches, Command, value_parser};
use sardinepin_groups::PlacementSettings;
use serde_json::json;

use crate::placement::drive::{Outcome, drive};
use crate::placement::strategy::{Full, Sardinepin, Static, Strategy};
use crate::placement::workload::{Shape, Trace};

/// Returns the trial's command line.
pub(crate) fn command() -> Command {
    Command::new("placement")
        .about("Compares placements of one layer's experts over ten minutes")
        .arg(number("seed", "1"))
        .arg(number("ranks", "64"))
        .arg(number("experts", "256"))
        .arg(number("spare", "64"))
        .arg(real("zipf", "0.9"))
        .arg(real("drift", "0.05"))
        .arg(choice("surge", ["yes", "no"]))
        .arg(choice("weights", ["skew", "moves"]))
}

/// Runs the trial and prints a line for each way and for the bound.
pub(crate) fn run(arguments: &ArgMatches) -> anyhow::Result<()> {
    let shape = shape(arguments)?;
    let weights = text(arguments, "weights");
    let settings = match weights.as_str() {
        "moves" => PlacementSettings::prefer_stability(),
        _ => PlacementSettings::prefer_balance(),
    };
    let trace = Trace::make(&shape)?;
    let mut ways: [(&str, Box<dyn Strategy>); 3] = [
        ("static", Box::new(Static)),
        ("full", Box::new(Full::new(&shape, &settings))),
        ("sardinepin", Box::new(Sardinepin::new(&shape, &settings))),
    ];
    for (name, way) in &mut ways {
        let outcome = drive(&trace, &shape, &settings, way.as_mut())?;
        print(name, &shape, &weights, &outcome);
    }
    let bound = bound::bound(&trace, &shape)?;
    let line = json!({
        "way": "bound", "seed": shape.seed, "ranks": shape.ranks, "surge": shape.surge,
        "skew_mean": round(bound.reached), "skew_floor": round(bound.floor),
    });
    println!("{line}");
    Ok(())
}

fn print(name: &str, shape: &Shape, weights: &str, outcome: &Outcome) {
    let line = json!({
        "way": name,
        "seed": shape.seed,
        "ranks": shape.ranks,
        "surge": shape.surge,
        "weights": weights,
        "skew_mean": round(outcome.skew_mean),
        "skew_p95": round(outcome.skew_p95),
        "bytes_moved": outcome.bytes_moved,
        "pause_ms": outcome.pause_ms,
        "switches": outcome.switches,
        "decide_ms": round(outcome.decide_ms),
        "decide_max_ms": round(outcome.decide_max),
    });
    println!("{line}");
}

fn shape(arguments: &ArgMatches) -> anyhow::Result<Shape> {
    let shape = Shape {
        seed: count(arguments, "seed"),
        ranks: count(arguments, "ranks") as usize,
        experts: count(arguments, "experts") as usize,
        spare: count(arguments, "spare") as usize,
        zipf: share(arguments, "zipf"),
        drift: share(arguments, "drift"),
        surge: text(arguments, "surge") == "yes",
    };
    let slots = shape.experts + shape.spare;
    anyhow::ensure!(
        shape.ranks > 0 && slots.is_multiple_of(shape.ranks),
        "experts and spare slots have to fill whole ranks"
    );
    anyhow::ensure!(shape.experts >= workload::CHOSEN, "too few experts");
    Ok(shape)
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn real(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(f64))
}

fn choice(name: &'static str, values: [&'static str; 2]) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(values[0])
        .value_parser(values)
}

fn count(arguments: &ArgMatches, name: &str) -> u64 {
    arguments.get_one::<u64>(name).copied().unwrap_or_default()
}

fn share(arguments: &ArgMatches, name: &str) -> f64 {
    arguments.get_one::<f64>(name).copied().unwrap_or_default()
}

fn text(arguments: &ArgMatches, name: &str) -> String {
    arguments
        .get_one::<String>(name)
        .cloned()
        .unwrap_or_default()
}
