//! The command line of the stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use anyhow::{Context, Result, bail};
use clap::{Arg, ArgMatches, Command, value_parser};
use sardinepin_standins::engine::{Engine, Settings};
use sardinepin_standins::http::{Handler, serve};
use sardinepin_standins::plain::Plain;
use sardinepin_standins::platform::Platform;
use serde_json::json;
use tokio::net::TcpListener;

#[tokio::main]
async fn main() -> Result<()> {
    let matches = command().get_matches();
    let (name, matches) = matches.subcommand().context("a subcommand is needed")?;
    let handler = handler(name, matches)?;
    let listen: SocketAddr = given(matches, "listen")?;
    let listener = TcpListener::bind(listen).await?;
    println!("{}", json!({"listening": listener.local_addr()?}));
    serve(listener, handler).await;
    Ok(())
}

fn handler(name: &str, matches: &ArgMatches) -> Result<Arc<dyn Handler>> {
    match name {
        "plain" => {
            let journal = matches.get_one::<PathBuf>("journal");
            Ok(Plain::start(journal.map(PathBuf::as_path))?)
        }
        "platform" => Ok(Platform::start()),
        "engine" => Ok(Engine::start(engine_settings(matches)?)),
        other => bail!("no such stand-in: {other}"),
    }
}

fn engine_settings(matches: &ArgMatches) -> Result<Settings> {
    let number = |name: &str, default: u64| matches.get_one(name).copied().unwrap_or(default);
    let size = |name, default: usize| usize::try_from(number(name, default as u64));
    let default = Settings::default();
    Ok(Settings {
        slots: size("slots", default.slots)?,
        step_micros: number("step-us", default.step_micros),
        batch_micros: number("batch-us", default.batch_micros),
        prefill_micros: number("prefill-us", default.prefill_micros),
        cache_entries: size("cache-entries", default.cache_entries)?,
    })
}

fn command() -> Command {
    Command::new("sardinepin-standins")
        .about("Stand-ins for the systems around sardinepin")
        .subcommand_required(true)
        .subcommand(
            served("plain", "A plain service that counts its runs").arg(
                Arg::new("journal")
                    .long("journal")
                    .help("A file that keeps the count of runs over a restart")
                    .value_parser(value_parser!(PathBuf)),
            ),
        )
        .subcommand(served(
            "platform",
            "The platform's object API and instance list",
        ))
        .subcommand(engine_command())
}

fn engine_command() -> Command {
    let arguments = [
        ("slots", "The most requests in one step"),
        ("step-us", "The time of a step, in microseconds"),
        (
            "batch-us",
            "The time that each request adds to a step, in microseconds",
        ),
        (
            "prefill-us",
            "The time that a kibibyte of a new prompt adds, in microseconds",
        ),
        ("cache-entries", "How many prefixes the cache holds"),
    ];
    let command = served("engine", "A model engine that advances in steps");
    arguments
        .into_iter()
        .fold(command, |command, (name, help)| {
            let parser = value_parser!(u64);
            command.arg(Arg::new(name).long(name).help(help).value_parser(parser))
        })
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

/// Returns the value of an argument that has a default.
fn given<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Result<T> {
    matches
        .get_one::<T>(name)
        .cloned()
        .with_context(|| format!("--{name} is missing"))
}
