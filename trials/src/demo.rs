//! A deployment on loopback that serves calls for a few seconds.

use std::path::PathBuf;

use anyhow::ensure;
use clap::{Arg, ArgMatches, Command, value_parser};
use sardinepin_standins::demo;

use crate::arguments::{block_on, given, number};

/// Returns the command line of the demo.
pub fn command() -> Command {
    let deployment = Arg::new("deployment")
        .long("deployment")
        .help("The deployment file; that of kveldsskole in sample_configs/ if none is given")
        .value_parser(value_parser!(PathBuf));
    Command::new("demo")
        .about("Starts a deployment on loopback, sends calls, prints what it saw and stops it")
        .arg(deployment)
        .arg(number("entries", "2", "How many entries there are"))
        .arg(number(
            "upstreams",
            "1",
            "How many upstreams of a service there are in each zone; 0 for all",
        ))
        .arg(number("seconds", "3", "How long calls are begun"))
        .arg(number("seed", "1", "The seed that calls are drawn from"))
}

/// Runs the demo and prints what it saw.
///
/// # Errors
///
/// Fails if something cannot be started or stopped, or an answer was wrong.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let default = demo::Settings::default();
    let settings = demo::Settings {
        deployment: matches
            .get_one("deployment")
            .cloned()
            .unwrap_or(default.deployment),
        entries: usize::try_from(given(matches, "entries"))?,
        upstreams: usize::try_from(given(matches, "upstreams"))?,
        seconds: given(matches, "seconds"),
        requests: 0,
        seed: given(matches, "seed"),
    };
    let seen = block_on(demo::run(settings))?;
    print!("{seen}");
    ensure!(
        seen.is_success(),
        "an answer was wrong or a node did not stop in order"
    );
    Ok(())
}
