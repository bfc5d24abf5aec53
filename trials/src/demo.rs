//! Runs a deployment on loopback that serves calls for a few seconds.

use std::path::PathBuf;

use anyhow::ensure;
use clap::{Arg, ArgMatches, Command, value_parser};
use sardinepin_standins::demo;

use crate::arguments::{block_on, integer_arg, integer_value};

/// Returns the command line of the demo.
pub fn command() -> Command {
    let deployment = Arg::new("deployment")
        .long("deployment")
        .help("The deployment file; by default that of kveldsskole in sample_configs/")
        .value_parser(value_parser!(PathBuf));
    Command::new("demo")
        .about("Starts a deployment on loopback, sends calls, prints a report and stops it")
        .arg(deployment)
        .arg(integer_arg("entries", "2", "The number of entries"))
        .arg(integer_arg(
            "upstreams",
            "1",
            "The number of upstreams of each service in each zone; 0 for all",
        ))
        .arg(integer_arg(
            "seconds",
            "3",
            "How long new calls are sent, in seconds",
        ))
        .arg(integer_arg("seed", "1", "The random seed of the calls"))
}

/// Runs the demo and prints its report.
///
/// # Errors
///
/// Fails if a process cannot be started or stopped, an answer was wrong, or a node did not stop
/// gracefully.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let default = demo::Settings::default();
    let settings = demo::Settings {
        deployment: matches
            .get_one("deployment")
            .cloned()
            .unwrap_or(default.deployment),
        entries: usize::try_from(integer_value(matches, "entries"))?,
        upstreams: usize::try_from(integer_value(matches, "upstreams"))?,
        seconds: integer_value(matches, "seconds"),
        requests: 0,
        seed: integer_value(matches, "seed"),
    };
    let report = block_on(demo::run(settings))?;
    print!("{report}");
    ensure!(
        report.is_success(),
        "an answer was wrong or a node did not stop gracefully"
    );
    Ok(())
}
