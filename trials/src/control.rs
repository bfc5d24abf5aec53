//! Configuration and membership among real processes on loopback.

mod deployment;
mod journal;
mod probe;
mod run;

use clap::{Arg, ArgMatches, Command, value_parser};

/// The name of the trial.
pub const NAME: &str = "control";

/// What is run.
#[derive(Debug, Clone)]
struct Plan {
    seed: u64,
    entries: usize,
    agents: usize,
    zones: usize,
    loss_milli: u32,
    seconds: u64,
    change_ms: u64,
    replace_every: usize,
    choice: String,
}

/// Returns the command line of the trial.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Changes the configuration, stops and replaces nodes, and measures the spread")
        .arg(number(
            "seed",
            "1",
            "The seed of the choice of nodes to stop",
        ))
        .arg(number("entries", "2", "How many entries there are"))
        .arg(number("agents", "6", "How many agents there are"))
        .arg(number(
            "zones",
            "2",
            "How many availability zones there are",
        ))
        .arg(
            Arg::new("loss")
                .long("loss")
                .help("The share of datagrams that is lost")
                .default_value("0.05")
                .value_parser(value_parser!(f64)),
        )
        .arg(number("seconds", "30", "How long the changes go on"))
        .arg(number(
            "change-ms",
            "2000",
            "The time between two changes, in milliseconds",
        ))
        .arg(number(
            "replace-every",
            "5",
            "An agent is replaced with every so many changes; 0 for none",
        ))
        .arg(
            Arg::new("choice")
                .long("choice")
                .help("How the peers of a round are chosen")
                .default_value("long_links")
                .value_parser(["uniform", "long_links"]),
        )
}

/// Runs the trial and prints its line.
///
/// # Errors
///
/// Fails if a process cannot be started or asked.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let plan = Plan {
        seed: given(matches, "seed"),
        entries: usize::try_from(given(matches, "entries"))?,
        agents: usize::try_from(given(matches, "agents"))?,
        zones: usize::try_from(given(matches, "zones"))?,
        loss_milli: (matches.get_one::<f64>("loss").copied().unwrap_or_default() * 1_000.0) as u32,
        seconds: given(matches, "seconds"),
        change_ms: given(matches, "change-ms"),
        replace_every: usize::try_from(given(matches, "replace-every"))?,
        choice: matches
            .get_one::<String>("choice")
            .cloned()
            .unwrap_or_default(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let line = runtime.block_on(run::run(plan))?;
    println!("{line}");
    Ok(())
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn given(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}
