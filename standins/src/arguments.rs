//! The command line arguments, and the settings that are read from them.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::{Context, Result};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use sardinepin_groups::Fencing;
use sardinepin_standins::demo;
use sardinepin_standins::engine;
use sardinepin_standins::load::{self, CallMix};

/// Numeric arguments of the engine, each with its help text.
const ENGINE_NUMBERS: [(&str, &str); 8] = [
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
const LOAD_NUMBERS: [(&str, &str); 12] = [
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
        "timeout-ms",
        "The time limit for one answer, in milliseconds",
    ),
];

/// Numeric arguments of the demo, each with its help text.
const DEMO_NUMBERS: [(&str, &str); 5] = [
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
const LOAD_TEXTS: [(&str, &str); 4] = [
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
    Command::new("sardinepin-standins")
        .about("Stand-ins for the systems around sardinepin, and a load client")
        .subcommand_required(true)
        .subcommand(
            served(
                "plain",
                "A plain service that counts how often each call runs",
            )
            .arg(journal),
        )
        .subcommand(served(
            "platform",
            "The platform's object API and instance list",
        ))
        .subcommand(engine_command())
        .subcommand(load_command())
        .subcommand(demo_command())
}

/// Reads the settings of an engine.
pub(crate) fn engine_settings(matches: &ArgMatches) -> Result<engine::Settings> {
    let default = engine::Settings::default();
    Ok(engine::Settings {
        slots: size(matches, "slots", default.slots)?,
        step_micros: number(matches, "step-us", default.step_micros),
        batch_micros: number(matches, "batch-us", default.batch_micros),
        prefill_micros: number(matches, "prefill-us", default.prefill_micros),
        cache_entries: size(matches, "cache-entries", default.cache_entries)?,
        ranked: matches.get_flag("ranked"),
        idle_ms: number(matches, "idle-ms", default.idle_ms),
        fencing: match given(matches, "check-fence")? {
            true => Fencing::Enforced,
            false => Fencing::Ignored,
        },
        gate_file: matches.get_one("gate-file").cloned(),
        map_bytes: number(matches, "map-bytes", default.map_bytes),
        weights_rate: number(matches, "weights-rate", default.weights_rate),
    })
}

/// Reads the settings of a load run.
pub(crate) fn load_settings(matches: &ArgMatches) -> Result<load::Settings> {
    let default = load::Settings::default();
    let parts = |name, default| u32::try_from(number(matches, name, u64::from(default)));
    let text = |name: &str, default: String| matches.get_one(name).cloned().unwrap_or(default);
    Ok(load::Settings {
        entries: all(matches, "entry"),
        requests: number(matches, "requests", default.requests),
        seconds: number(matches, "seconds", default.seconds),
        concurrency: size(matches, "concurrency", default.concurrency)?,
        seed: number(matches, "seed", default.seed),
        organisations: match all(matches, "organisation") {
            none if none.is_empty() => default.organisations,
            some => some,
        },
        organisation_header: text("organisation-header", default.organisation_header),
        mix: CallMix {
            keyed: parts("keyed", default.mix.keyed)?,
            plain: parts("plain", default.mix.plain)?,
            stream: parts("stream", default.mix.stream)?,
            chat: parts("chat", default.mix.chat)?,
        },
        keyed_path: text("keyed-path", default.keyed_path),
        plain_path: text("plain-path", default.plain_path),
        model: text("model", default.model),
        tokens_max: number(matches, "tokens-max", default.tokens_max),
        padding: size(matches, "padding", default.padding)?,
        copies_milli: parts("copies-milli", default.copies_milli)?,
        timeout_ms: number(matches, "timeout-ms", default.timeout_ms),
        records: matches.get_flag("records"),
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
        entries: size(matches, "entries", default.entries)?,
        requests: number(matches, "requests", default.requests),
        seconds: number(matches, "seconds", default.seconds),
        upstreams: size(matches, "upstreams", default.upstreams)?,
        seed: number(matches, "seed", default.seed),
    })
}

/// Returns the value of an argument that is required or has a default.
pub(crate) fn given<T: Clone + Send + Sync + 'static>(
    matches: &ArgMatches,
    name: &str,
) -> Result<T> {
    matches
        .get_one::<T>(name)
        .cloned()
        .with_context(|| format!("--{name} is missing"))
}

fn served(name: &'static str, about: &'static str) -> Command {
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
    served(
        "engine",
        "A model engine that computes one token per request and step",
    )
    .args(numbers(&ENGINE_NUMBERS))
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
    let texts = LOAD_TEXTS.map(|(name, help)| Arg::new(name).long(name).help(help));
    Command::new("load")
        .about("Sends calls, checks every answer and prints a report as JSON")
        .args([entry, organisation, records])
        .args(numbers(&LOAD_NUMBERS))
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
        .args(numbers(&DEMO_NUMBERS))
}

fn numbers(names: &'static [(&str, &str)]) -> impl Iterator<Item = Arg> {
    let parser = value_parser!(u64);
    names
        .iter()
        .map(move |(name, help)| Arg::new(*name).long(*name).help(*help).value_parser(parser))
}

fn number(matches: &ArgMatches, name: &str, default: u64) -> u64 {
    matches.get_one(name).copied().unwrap_or(default)
}

fn size(matches: &ArgMatches, name: &str, default: usize) -> Result<usize> {
    Ok(usize::try_from(number(matches, name, default as u64))?)
}

fn all<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches
        .get_many(name)
        .map(|values| values.cloned().collect())
        .unwrap_or_default()
}
