//! Expert maps under a popularity that shifts at once: no map, the product's planner with and
//! without its parts, full re-placement, and an ideal that knows the counts to come.

mod course;
mod traffic;
mod ways;

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use sardinepin_groups::RebalanceSettings;
use serde_json::json;

use crate::arguments::{given, number};
use crate::maps::course::{Figures, run_course};
use crate::maps::traffic::{Traffic, TrafficSettings};
use crate::maps::ways::ways;

/// Returns the trial's command line.
pub(crate) fn command() -> Command {
    Command::new("maps")
        .about("Compares ways to change the expert maps of one group")
        .arg(number("seed", "1", "The seed of the traffic"))
        .arg(number("seconds", "60", "How long the traffic lasts"))
        .arg(number("shift-ms", "3400", "The time between two shifts"))
        .arg(number("load-ms", "148", "How long a rank loads one expert"))
        .arg(optional(
            "load-gain",
            "RebalanceSettings::transfer_gain of the product",
        ))
        .arg(optional(
            "change-gain",
            "RebalanceSettings::change_gain of the product",
        ))
        .arg(optional(
            "rank-loads",
            "RebalanceSettings::rank_transfers of the product",
        ))
        .arg(
            Arg::new("counts")
                .long("counts")
                .help("A file with recorded counts, one JSON line each, in place of drawn traffic")
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Runs the trial and prints a line for each way.
pub(crate) fn run(arguments: &ArgMatches) -> anyhow::Result<()> {
    let settings = TrafficSettings {
        seed: given(arguments, "seed"),
        seconds: given(arguments, "seconds"),
        shift_ms: given(arguments, "shift-ms"),
        ..TrafficSettings::default()
    };
    let traffic = match arguments.get_one::<PathBuf>("counts") {
        Some(path) => Traffic::read(path)?,
        None => Traffic::draw(&settings)?,
    };
    for way in ways(plan(arguments)) {
        let figures = run_course(&traffic, &way, given(arguments, "load-ms"));
        print(way.name, &figures);
    }
    Ok(())
}

/// Returns what a plan of the product may do.
fn plan(arguments: &ArgMatches) -> RebalanceSettings {
    let given = |name: &str| arguments.get_one::<f64>(name).copied();
    let default = RebalanceSettings::default();
    RebalanceSettings {
        transfer_gain: given("load-gain").unwrap_or(default.transfer_gain),
        change_gain: given("change-gain").unwrap_or(default.change_gain),
        rank_transfers: given("rank-loads").map_or(default.rank_transfers, |loads| loads as usize),
        ..default
    }
}

fn optional(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(f64))
}

fn print(name: &str, figures: &Figures) {
    let line = json!({
        "way": name,
        "skew_mean": round(figures.skew_mean),
        "skew_p95": round(figures.skew_p95),
        "step_mean": round(figures.step_mean),
        "loads": figures.loads,
        "switches": figures.switches,
        "loading": round(figures.loading),
    });
    println!("{line}");
}

fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
