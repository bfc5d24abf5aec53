//! What callers are told while processes die, freeze and stop, links are cut and the platform is out.

mod faults;
mod judge;
mod rounds;
mod system;

use clap::{ArgMatches, Command};

use crate::arguments::{block_on, given, number};

/// What is run.
#[derive(Debug, Clone, Copy)]
struct Plan {
    seed: u64,
    requests: u64,
}

/// Returns the command line of the trial.
pub fn command() -> Command {
    Command::new("outcomes")
        .about("Checks what callers are told against what ran, under failures of every kind")
        .arg(number(
            "seed",
            "1",
            "The seed that calls and faults are drawn from",
        ))
        .arg(number("requests", "4000", "How many calls are made"))
}

/// Runs the trial and prints its line.
///
/// # Errors
///
/// Fails if a process cannot be started, called or stopped.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let plan = Plan {
        seed: given(matches, "seed"),
        requests: given(matches, "requests"),
    };
    println!("{}", block_on(rounds::run(plan))?);
    Ok(())
}
