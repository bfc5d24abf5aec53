//! Policies under overload, among real entries, agents and stand-in engines.

mod client;
mod course;
mod deployment;
mod figures;
mod trace;

use anyhow::ensure;
use clap::{Arg, ArgMatches, Command, value_parser};

/// The name of the trial.
pub const NAME: &str = "overload";

/// The policies, in the order in which they run.
const POLICIES: [&str; 3] = ["round_robin", "least_in_flight", "sardinepin"];

/// The least length of the overload, of which the first seconds are not measured.
const SECONDS_MIN: u64 = 4;

/// What befalls one engine in the middle of the overload, to the end of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The engine takes calls and computes nothing.
    Stall,
    /// The engine's process ends.
    Crash,
}

/// What is run.
#[derive(Debug, Clone, Copy)]
struct Plan {
    seed: u64,
    /// The offered load as a multiple of the engines' capacity.
    load: f64,
    entries: usize,
    upstreams: usize,
    organisations: usize,
    /// How long the overload lasts.
    seconds: u64,
    fault: Fault,
}

/// Returns the command line of the trial.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Runs one trace against each policy and prints a line for each")
        .arg(number("seed", "1", "The seed of the trace"))
        .arg(
            Arg::new("load")
                .long("load")
                .help("The offered load as a multiple of the engines' capacity")
                .default_value("2.0")
                .value_parser(value_parser!(f64)),
        )
        .arg(number("entries", "8", "How many entries there are"))
        .arg(number("upstreams", "16", "How many engines there are"))
        .arg(number("orgs", "10", "How many organisations call"))
        .arg(number("seconds", "9", "How long the overload lasts"))
        .arg(
            Arg::new("fault")
                .long("fault")
                .help("What befalls one engine in the middle of the overload")
                .default_value("none")
                .value_parser(["none", "stall", "crash"]),
        )
}

/// Runs the trial and prints its lines.
///
/// # Errors
///
/// Fails if a process cannot be started or asked.
pub fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    let plan = Plan {
        seed: given(matches, "seed"),
        load: matches.get_one("load").copied().unwrap_or_default(),
        entries: usize::try_from(given(matches, "entries"))?,
        upstreams: usize::try_from(given(matches, "upstreams"))?,
        organisations: usize::try_from(given(matches, "orgs"))?,
        seconds: given(matches, "seconds"),
        fault: match matches.get_one::<String>("fault").map(String::as_str) {
            Some("stall") => Fault::Stall,
            Some("crash") => Fault::Crash,
            _ => Fault::None,
        },
    };
    ensure!(plan.load > 0.0, "there is no load");
    ensure!(plan.entries > 0, "there is no entry");
    ensure!(plan.upstreams > 0, "there is no engine");
    ensure!(plan.organisations > 0, "there is no organisation");
    ensure!(
        plan.seconds >= SECONDS_MIN,
        "fewer than {SECONDS_MIN} seconds"
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    for policy in POLICIES {
        println!("{}", runtime.block_on(course::run(plan, policy))?);
    }
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
