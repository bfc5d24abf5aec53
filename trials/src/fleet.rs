//! A model of a deployment: gateways before rank groups in lock-step, and callers that come back.
//!
//! The product's own balance decides for each gateway; three plain policies run on the same calls.

mod callers;
mod course;
mod engine;
mod figures;
mod plot;
mod policies;

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::json;

use crate::arguments::{given, number};
use crate::fleet::callers::{Calls, CallsSettings};
use crate::fleet::course::run_course;
use crate::fleet::figures::Figures;
use crate::fleet::plot::{Point, plot};
use crate::fleet::policies::{POLICIES, Policy};

/// The loads that are run, in hundredths of what the groups can serve.
const LOADS: [u64; 6] = [50, 80, 100, 120, 160, 200];

/// Returns the trial's command line.
pub(crate) fn command() -> Command {
    Command::new("fleet")
        .about("Runs policies on a model of a deployment, at several loads")
        .arg(number("seed", "1", "The seed of the calls"))
        .arg(number("seconds", "30", "How long calls come in"))
        .arg(number("size", "1", "How many times today's deployment"))
        .arg(number(
            "outage",
            "0",
            "For how many milliseconds one group is out",
        ))
        .arg(
            Arg::new("plot")
                .long("plot")
                .help("Where to write the figures as a picture (SVG)")
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Runs the trial and prints a line for each policy and load.
pub(crate) fn run(arguments: &ArgMatches) -> anyhow::Result<()> {
    let mut points = Vec::new();
    for load in LOADS {
        let settings = CallsSettings {
            seed: given(arguments, "seed"),
            seconds: given(arguments, "seconds"),
            size: given(arguments, "size").max(1) as usize,
            load: load as f64 / 100.0,
            outage_ms: given(arguments, "outage"),
        };
        let calls = Calls::draw(&settings)?;
        for policy in POLICIES {
            let figures = run_course(&settings, &calls, policy);
            print(policy, &settings, &figures);
            points.push(Point {
                policy,
                load: settings.load,
                figures,
            });
        }
    }
    match arguments.get_one::<PathBuf>("plot") {
        Some(path) => plot(path, &points),
        None => Ok(()),
    }
}

fn print(policy: Policy, settings: &CallsSettings, figures: &Figures) {
    let line = json!({
        "policy": policy.name(),
        "size": settings.size,
        "load": settings.load,
        "seed": settings.seed,
        "calls": figures.calls,
        "good": round(figures.good),
        "served": round(figures.served),
        "refused": round(figures.refused),
        "first_p50_ms": figures.first_p50,
        "first_p95_ms": figures.first_p95,
        "fair_min": round(figures.fair_min),
    });
    println!("{line}");
}

fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
