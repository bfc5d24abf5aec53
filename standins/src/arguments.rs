//! The command line arguments, and the settings that are read from them.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::{Context, Result};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sardinepin_groups::Fencing;
use sardinepin_standins::demo;
use sardinepin_standins::engine;
use sardinepin_standins::load::{self, CallMix};
use sardinepin_standins::plain;

/// Numeric arguments of the engine, each with its help text.
const ENGINE_NUMBER_ARGS: [(&str, &str); 8] = [
    ("slots", "The maximum number of requests in one step"),
    ("step-us", "The base duration of a step, in microseconds"),
    (
        "batch-us",
        "The time that each request in the batch adds to a step, in microseconds",
    ),
    (
        "prefill-us",
        "The time that each KiB of an uncached prompt adds to one step, in microseconds",
    ),
    (
        "cache-entries",
        "The capacity of the prefix cache, in prefixes",
    ),
    (
        "idle-ms",
        "The delay of ranks before a step while no rank has requests, in milliseconds",
    ),
    (
        "map-bytes",
        "The size of the weights that a new map loads, in bytes",
    ),
    (
        "weights-rate",
        "The throughput of the weight store, in bytes per second",
    ),
];

/// Numeric arguments of the load client, each with its help text.
const LOAD_NUMBER_ARGS: [(&str, &str); 14] = [
    (
        "requests",
        "The number of calls, not counting the copies of keyed calls",
    ),
    (
        "seconds",
        "The time after which no new call starts, in seconds",
    ),
    (
        "concurrency",
        "The number of calls that are in flight at once",
    ),
    (
        "seed",
        "The seed of the random generator that draws the calls",
    ),
    ("keyed", "The weight of plain calls with an idempotency key"),
    ("plain", "The weight of plain calls without a key"),
    ("stream", "The weight of streamed chat completions"),
    (
        "chat",
        "The weight of chat completions that are not streamed",
    ),
    ("tokens-max", "The maximum number of tokens in an answer"),
    (
        "padding",
        "The size of the padding in each request body, in bytes",
    ),
    (
        "copies-milli",
        "The share of keyed calls that are sent twice, in thousandths",
    ),
    (
        "leave-milli",
        "The share of plain calls whose callers leave early, in thousandths",
    ),
    (
        "leave-ms",
        "How long such a caller waits for its answer, in milliseconds",
    ),
    (
        "timeout-ms",
        "The time limit for one answer, in milliseconds",
    ),
];

/// Numeric arguments of the demo, each with its help text.
const DEMO_NUMBER_ARGS: [(&str, &str); 5] = [
    ("entries", "The number of entries to start"),
    (
        "requests",
        "The number of calls, not counting the copies of keyed calls",
    ),
    (
        "seconds",
        "The time after which no new call starts, in seconds",
    ),
    (
        "upstreams",
        "The maximum number of upstreams per service and zone; 0 starts all",
    ),
    (
        "seed",
        "The seed of the random generator that draws the calls",
    ),
];

/// Text arguments of the load client, each with its help text.
const LOAD_TEXT_ARGS: [(&str, &str); 4] = [
    (
        "organisation-header",
        "The header that names the organisation",
    ),
    ("keyed-path", "The path of plain calls with a key"),
    ("plain-path", "The path of plain calls without a key"),
    ("model", "The model of completions"),
];

/// Returns the command with all of its subcommands.
pub(crate) fn command() -> Command {
    let journal = Arg::new("journal")
        .long("journal")
        .help("A file that preserves the run counts across a restart")
        .value_parser(value_parser!(PathBuf));
    let leaving = Arg::new("leaving")
        .long("leaving")
        .help("Says in every answer that the service is leaving")
        .action(ArgAction::SetTrue);
    let rest_seconds = Arg::new("rest-seconds")
        .long("rest-seconds")
        .help("Rejects calls without a run, and asks for a rest of so many seconds")
        .value_parser(value_parser!(u32));
    Command::new("sardinepin-standins")
        .about("Stand-ins for the systems around sardinepin, and a load client")
        .subcommand_required(true)
        .subcommand(
            server_command(
                "plain",
                "A plain service that counts how often each call runs",
            )
            .args([journal, leaving, rest_seconds]),
        )
        .subcommand(server_command(
            "platform",
            "The platform's object API and instance list",
        ))
        .subcommand(server_command(
            "objects",
            "The object store of the users' platform, which gateways read and watch",
        ))
        .subcommand(engine_command())
        .subcommand(load_command())
        .subcommand(demo_command())
}

/// Reads the settings of an engine.
pub(crate) fn engine_settings(matches: &ArgMatches) -> Result<engine::Settings> {
    let default = engine::Settings::default();
    Ok(engine::Settings {
        slots: size_or(matches, "slots", default.slots)?,
        step_micros: number_or(matches, "step-us", default.step_micros),
        batch_micros: number_or(matches, "batch-us", default.batch_micros),
        prefill_micros: number_or(matches, "prefill-us", default.prefill_micros),
        cache_entries: size_or(matches, "cache-entries", default.cache_entries)?,
        ranked: matches.get_flag("ranked"),
        idle_ms: number_or(matches, "idle-ms", default.idle_ms),
        fencing: match argument(matches, "check-fence")? {
            true => Fencing::Enforced,
            false => Fencing::Ignored,
        },
        gate_file: matches.get_one("gate-file").cloned(),
        map_bytes: number_or(matches, "map-bytes", default.map_bytes),
        weights_rate: number_or(matches, "weights-rate", default.weights_rate),
    })
}

/// Reads the faults that a plain service starts with.
pub(crate) fn plain_faults(matches: &ArgMatches) -> plain::Faults {
    plain::Faults {
        leaving: matches.get_flag("leaving"),
        rest_seconds: matches.get_one("rest-seconds").copied(),
        ..plain::Faults::default()
    }
}

/// Reads the settings of a load run.
pub(crate) fn load_settings(matches: &ArgMatches) -> Result<load::Settings> {
    let default = load::Settings::default();
    let u32_or = |name, default| u32::try_from(number_or(matches, name, u64::from(default)));
    let text = |name: &str, default: String| matches.get_one(name).cloned().unwrap_or(default);
    Ok(load::Settings {
        entries: all_values(matches, "entry"),
        requests: number_or(matches, "requests", default.requests),
        seconds: number_or(matches, "seconds", default.seconds),
        concurrency: size_or(matches, "concurrency", default.concurrency)?,
        seed: number_or(matches, "seed", default.seed),
        organisations: match all_values(matches, "organisation") {
            given if given.is_empty() => default.organisations,
            given => given,
        },
        organisation_header: text("organisation-header", default.organisation_header),
        mix: CallMix {
            keyed: u32_or("keyed", default.mix.keyed)?,
            plain: u32_or("plain", default.mix.plain)?,
            stream: u32_or("stream", default.mix.stream)?,
            chat: u32_or("chat", default.mix.chat)?,
        },
        keyed_path: text("keyed-path", default.keyed_path),
        plain_path: text("plain-path", default.plain_path),
        model: text("model", default.model),
        tokens_max: number_or(matches, "tokens-max", default.tokens_max),
        padding: size_or(matches, "padding", default.padding)?,
        copies_milli: u32_or("copies-milli", default.copies_milli)?,
        leave_milli: u32_or("leave-milli", default.leave_milli)?,
        leave_ms: number_or(matches, "leave-ms", default.leave_ms),
        timeout_ms: number_or(matches, "timeout-ms", default.timeout_ms),
        records: matches.get_flag("records"),
        ..default
    })
}

/// Reads the settings of the demo.
pub(crate) fn demo_settings(matches: &ArgMatches) -> Result<demo::Settings> {
    let default = demo::Settings::default();
    Ok(demo::Settings {
        deployment: matches
            .get_one("deployment")
            .cloned()
            .unwrap_or(default.deployment),
        entries: size_or(matches, "entries", default.entries)?,
        requests: number_or(matches, "requests", default.requests),
        seconds: number_or(matches, "seconds", default.seconds),
        upstreams: size_or(matches, "upstreams", default.upstreams)?,
        seed: number_or(matches, "seed", default.seed),
    })
}

/// Returns the value of an argument that is required or has a default.
pub(crate) fn argument<T: Clone + Send + Sync + 'static>(
    matches: &ArgMatches,
    name: &str,
) -> Result<T> {
    matches
        .get_one::<T>(name)
        .cloned()
        .with_context(|| format!("--{name} is missing"))
}

fn server_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("listen")
            .long("listen")
            .help("The address to listen on")
            .default_value("127.0.0.1:0")
            .value_parser(value_parser!(SocketAddr)),
    )
}

fn engine_command() -> Command {
    let ranked = Arg::new("ranked")
        .long("ranked")
        .help("Runs each step in lockstep with the other ranks of a group")
        .action(ArgAction::SetTrue);
    let check_fence = Arg::new("check-fence")
        .long("check-fence")
        .help("Whether orders with a stale fencing term are rejected")
        .default_value("true")
        .value_parser(value_parser!(bool));
    let gate_file = Arg::new("gate-file")
        .long("gate-file")
        .help("A file that preserves the state of the gate across a restart")
        .value_parser(value_parser!(PathBuf));
    server_command(
        "engine",
        "A model engine that computes one token per request and step",
    )
    .args(number_args(&ENGINE_NUMBER_ARGS))
    .args([ranked, check_fence, gate_file])
}

fn load_command() -> Command {
    let entry = Arg::new("entry")
        .long("entry")
        .help("The address of an entry; may be given more than once")
        .required(true)
        .action(ArgAction::Append)
        .value_parser(value_parser!(SocketAddr));
    let organisation = Arg::new("organisation")
        .long("organisation")
        .help("An organisation that sends calls; may be given more than once")
        .action(ArgAction::Append);
    let records = Arg::new("records")
        .long("records")
        .help("Includes a record of each request sent in the report")
        .action(ArgAction::SetTrue);
    let texts = LOAD_TEXT_ARGS.map(|(name, help)| Arg::new(name).long(name).help(help));
    Command::new("load")
        .about("Sends calls, checks every answer and prints a report as JSON")
        .args([entry, organisation, records])
        .args(number_args(&LOAD_NUMBER_ARGS))
        .args(texts)
}

fn demo_command() -> Command {
    let deployment = Arg::new("deployment")
        .long("deployment")
        .help("The deployment file")
        .value_parser(value_parser!(PathBuf));
    Command::new("demo")
        .about("Starts a deployment on loopback, sends some calls, prints a summary and stops it")
        .arg(deployment)
        .args(number_args(&DEMO_NUMBER_ARGS))
}

fn number_args(names: &'static [(&str, &str)]) -> impl Iterator<Item = Arg> {
    let parser = value_parser!(u64);
    names
        .iter()
        .map(move |(name, help)| Arg::new(*name).long(*name).help(*help).value_parser(parser))
}

fn number_or(matches: &ArgMatches, name: &str, default: u64) -> u64 {
    matches.get_one(name).copied().unwrap_or(default)
}

fn size_or(matches: &ArgMatches, name: &str, default: usize) -> Result<usize> {
    Ok(usize::try_from(number_or(matches, name, default as u64))?)
}

fn all_values<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches
        .get_many(name)
        .map(|values| values.cloned().collect())
        .unwrap_or_default()
}
