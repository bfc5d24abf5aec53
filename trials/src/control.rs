//! Measures the spread of configuration and membership among real processes on loopback.

mod config_log;
mod deployment;
mod run;
mod usage;

use clap::{Arg, ArgMatches, Command, value_parser};

/// The name of the subcommand.
pub const NAME: &str = "control";

/// The options of a run.
#[derive(Debug, Clone)]
struct Options {
    seed: u64,
    entries: usize,
    agents: usize,
    zones: usize,
    loss_milli: u32,
    seconds: u64,
    change_ms: u64,
    replace_every: usize,
    peer_choice: String,
}

/// Returns the command line of the trial.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Changes the configuration, restarts agents, and measures how changes spread")
        .arg(integer_arg(
            "seed",
            "1",
            "The random seed of the choice of agents to restart",
        ))
        .arg(integer_arg("entries", "2", "The number of entries"))
        .arg(integer_arg("agents", "6", "The number of agents"))
        .arg(integer_arg(
            "zones",
            "2",
            "The number of availability zones",
        ))
        .arg(
            Arg::new("loss")
                .long("loss")
                .help("The share of datagrams that are lost")
                .default_value("0.05")
                .value_parser(value_parser!(f64)),
        )
        .arg(integer_arg(
            "seconds",
            "30",
            "How long changes are made, in seconds",
        ))
        .arg(integer_arg(
            "change-ms",
            "2000",
            "The time between two changes, in milliseconds",
        ))
        .arg(integer_arg(
            "replace-every",
            "5",
            "The number of changes after which an agent is restarted; 0 for never",
        ))
        .arg(
            Arg::new("choice")
                .long("choice")
                .help("How a node chooses its peers in each gossip round")
                .default_value("long_links")
                .value_parser(["uniform", "long_links"]),
        )
}

/// Runs the trial and prints its JSON line.
///
/// # Errors
///
/// Fails if a process cannot be started or queried, or a change does not reach every node in time.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let options = Options {
        seed: integer_value(matches, "seed"),
        entries: usize::try_from(integer_value(matches, "entries"))?,
        agents: usize::try_from(integer_value(matches, "agents"))?,
        zones: usize::try_from(integer_value(matches, "zones"))?,
        loss_milli: (matches.get_one::<f64>("loss").copied().unwrap_or_default() * 1_000.0) as u32,
        seconds: integer_value(matches, "seconds"),
        change_ms: integer_value(matches, "change-ms"),
        replace_every: usize::try_from(integer_value(matches, "replace-every"))?,
        peer_choice: matches
            .get_one::<String>("choice")
            .cloned()
            .unwrap_or_default(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let line = runtime.block_on(run::run(options))?;
    println!("{line}");
    Ok(())
}

fn integer_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn integer_value(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}
