//! Runs a stand-in, the load client or the demo from the command line.

mod arguments;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context, Result, bail};
use clap::ArgMatches;
use sardinepin_standins::demo;
use sardinepin_standins::engine::Engine;
use sardinepin_standins::http::{Handler, serve};
use sardinepin_standins::load;
use sardinepin_standins::objects::Objects;
use sardinepin_standins::plain::PlainService;
use sardinepin_standins::platform::Platform;
use serde_json::json;
use tokio::net::TcpListener;

use arguments::{argument, command, demo_settings, engine_settings, load_settings, plain_faults};

/// The exit code of a load run that received a wrong answer.
const EXIT_WRONG_ANSWER: u8 = 1;

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let matches = command().get_matches();
    let (name, matches) = matches.subcommand().context("no subcommand is given")?;
    if name == "load" {
        return run_load(matches).await;
    }
    if name == "demo" {
        return run_demo(matches).await;
    }
    let (handler, rank_address) = start_standin(name, matches).await?;
    let listen: SocketAddr = argument(matches, "listen")?;
    let listener = TcpListener::bind(listen).await?;
    let addresses = json!({"listening": listener.local_addr()?, "ranks": rank_address});
    println!("{addresses}");
    serve(listener, handler).await;
    Ok(ExitCode::SUCCESS)
}

/// Starts a stand-in; returns its request handler and, for a rank of a group, the UDP address
/// where it receives the announcements of other ranks.
async fn start_standin(
    name: &str,
    matches: &ArgMatches,
) -> Result<(Arc<dyn Handler>, Option<SocketAddr>)> {
    match name {
        "plain" => {
            let journal = matches.get_one::<PathBuf>("journal");
            let journal = journal.map(PathBuf::as_path);
            let service = PlainService::start_with(journal, plain_faults(matches))?;
            Ok((service, None))
        }
        "objects" => Ok((Objects::start(), None)),
        "platform" => Ok((Platform::start(), None)),
        "engine" => {
            let engine = Engine::start(engine_settings(matches)?).await?;
            let rank_address = engine.rank_address();
            Ok((engine, rank_address))
        }
        other => bail!("unknown stand-in: {other}"),
    }
}

async fn run_demo(matches: &ArgMatches) -> Result<ExitCode> {
    // Dropping the demo kills every process that it started, so an interrupt leaves none behind.
    tokio::select! {
        summary = demo::run(demo_settings(matches)?) => print!("{}", summary?),
        _ = tokio::signal::ctrl_c() => bail!("interrupted"),
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_load(matches: &ArgMatches) -> Result<ExitCode> {
    let report = load::run(load_settings(matches)?).await?;
    println!("{}", serde_json::to_string(&report)?);
    Ok(if report.wrong == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_WRONG_ANSWER)
    })
}
