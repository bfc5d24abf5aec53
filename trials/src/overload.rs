//! Measures policies under overload, with real entries and agents and stand-in engines.

mod client;
mod deployment;
mod run;
mod summary;
mod trace;

use anyhow::ensure;
use clap::{Arg, ArgMatches, Command, value_parser};

/// The name of the subcommand.
pub const NAME: &str = "overload";

/// The policies, in the order in which they run.
const POLICIES: [&str; 3] = ["round_robin", "least_in_flight", "sardinepin"];

/// The minimum duration of the overload, in seconds; its first seconds are not measured.
const OVERLOAD_SECONDS_MIN: u64 = 4;

/// The fault of one engine, from the middle of the overload to the end of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The engine accepts calls but computes nothing.
    Stall,
    /// The engine's process ends.
    Crash,
}

/// The options of a run.
#[derive(Debug, Clone, Copy)]
struct Options {
    seed: u64,
    /// The offered load as a multiple of the engines' capacity.
    load: f64,
    entries: usize,
    upstreams: usize,
    organisations: usize,
    /// The duration of the overload, in seconds.
    seconds: u64,
    fault: Fault,
}

/// Returns the command line of the trial.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Replays one trace of calls against each policy and prints a line for each")
        .arg(integer_arg("seed", "1", "The random seed of the trace"))
        .arg(
            Arg::new("load")
                .long("load")
                .help("The offered load as a multiple of the engines' capacity")
                .default_value("2.0")
                .value_parser(value_parser!(f64)),
        )
        .arg(integer_arg("entries", "8", "The number of entries"))
        .arg(integer_arg("upstreams", "16", "The number of engines"))
        .arg(integer_arg(
            "orgs",
            "10",
            "The number of organisations that send calls",
        ))
        .arg(integer_arg(
            "seconds",
            "9",
            "The duration of the overload, in seconds",
        ))
        .arg(
            Arg::new("fault")
                .long("fault")
                .help("The fault of one engine in the middle of the overload")
                .default_value("none")
                .value_parser(["none", "stall", "crash"]),
        )
}

/// Runs the trial and prints a line for each policy.
///
/// # Errors
///
/// Fails if an option is out of range, or a process cannot be started or queried.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let options = Options {
        seed: integer_value(matches, "seed"),
        load: matches.get_one("load").copied().unwrap_or_default(),
        entries: usize::try_from(integer_value(matches, "entries"))?,
        upstreams: usize::try_from(integer_value(matches, "upstreams"))?,
        organisations: usize::try_from(integer_value(matches, "orgs"))?,
        seconds: integer_value(matches, "seconds"),
        fault: match matches.get_one::<String>("fault").map(String::as_str) {
            Some("stall") => Fault::Stall,
            Some("crash") => Fault::Crash,
            _ => Fault::None,
        },
    };
    ensure!(options.load > 0.0, "--load must be above 0");
    ensure!(options.entries > 0, "--entries must be above 0");
    ensure!(options.upstreams > 0, "--upstreams must be above 0");
    ensure!(options.organisations > 0, "--orgs must be above 0");
    ensure!(
        options.seconds >= OVERLOAD_SECONDS_MIN,
        "--seconds must be at least {OVERLOAD_SECONDS_MIN}"
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    for policy in POLICIES {
        println!("{}", runtime.block_on(run::run(options, policy))?);
    }
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
