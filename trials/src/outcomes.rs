//! Checks the outcomes that callers are told while processes crash, freeze and stop, links break
//! and the platform fails.

pub(crate) mod deployment;
pub(crate) mod faults;
pub(crate) mod rounds;
pub(crate) mod violations;

use clap::{ArgMatches, Command};

use crate::arguments::{block_on, integer_arg, integer_value};

/// The options of a run.
#[derive(Debug, Clone, Copy)]
struct Options {
    seed: u64,
    requests: u64,
}

/// Returns the command line of the trial.
pub fn command() -> Command {
    Command::new("outcomes")
        .about("Checks the outcomes that callers are told against what ran, under failures")
        .arg(integer_arg(
            "seed",
            "1",
            "The random seed of calls and faults",
        ))
        .arg(integer_arg("requests", "4000", "The number of calls"))
}

/// Runs the trial and prints its JSON line.
///
/// # Errors
///
/// Fails if a process cannot be started, called or stopped.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let options = Options {
        seed: integer_value(matches, "seed"),
        requests: integer_value(matches, "requests"),
    };
    println!("{}", block_on(rounds::run(options))?);
    Ok(())
}
