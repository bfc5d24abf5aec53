//! Parts of prompts that crash workers, at gateway processes: how many requests with such a part still reach workers once it has crashed five, and what
//! becomes of the others.

mod callers;
mod record;
#[cfg(test)]
mod tests;
mod worker;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anyhow::{Result, ensure};
use clap::{Arg, ArgAction, ArgMatches, Command};
use hyper::Method;
use sardinepin_common::{Clock, Millis};
use serde_json::{Value, json};

use crate::arguments::{block_on, integer_arg, integer_value};
use crate::stops::fleet::StopFleet;
use callers::CallerSettings;
use record::Records;
use worker::{PartSettings, PartWorkers};

/// How long workers answer requests with the parts before these begin to crash them.
const SOUND_TIME: Millis = Millis(6_000);

/// How long gateways may take to learn of the workers.
const LIST_TIME: Millis = Millis(3_000);

/// When after that the store goes away, and for how long, if it does.
const AWAY_AFTER: Millis = Millis(500);
const AWAY_TIME: Millis = Millis(2_000);

/// The options of a run.
#[derive(Debug, Clone, Copy)]
struct Options {
    seed: u64,
    gateways: u64,
    parts: u64,
    crash_percent: u64,
    seconds: u64,
    is_new: bool,
    is_plain: bool,
    store_away: bool,
}

/// Returns the command line of the trial.
pub fn command() -> Command {
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .action(ArgAction::SetTrue)
    };
    Command::new("parts")
        .about("Counts requests with parts that crash workers at gateway processes")
        .arg(integer_arg("seed", "1", "The random seed of crashes"))
        .arg(integer_arg("gateways", "3", "The number of gateways"))
        .arg(integer_arg(
            "parts",
            "1",
            "The number of parts that crash workers",
        ))
        .arg(integer_arg(
            "crash-percent",
            "100",
            "How often a request with such a part crashes its worker",
        ))
        .arg(integer_arg(
            "seconds",
            "40",
            "How long the parts crash workers",
        ))
        .arg(flag(
            "new",
            "The parts crash workers from the first request on",
        ))
        .arg(flag("plain", "Answers are no streams, and have no length"))
        .arg(flag(
            "store-away",
            "The store goes away as the crashes begin",
        ))
}

/// Runs the trial and prints its JSON line.
///
/// # Errors
///
/// Fails if a process cannot be started or called, or more requests with a part reached workers than are allowed.
pub fn run(matches: &ArgMatches) -> Result<()> {
    let number = |name| integer_value(matches, name);
    let line = block_on(play(Options {
        seed: number("seed"),
        gateways: number("gateways"),
        parts: number("parts"),
        crash_percent: number("crash-percent"),
        seconds: number("seconds"),
        is_new: matches.get_flag("new"),
        is_plain: matches.get_flag("plain"),
        store_away: matches.get_flag("store-away"),
    }))?;
    println!("{line}");
    ensure!(line["violations"] == json!([]), "a rule was broken");
    Ok(())
}

async fn play(options: Options) -> Result<Value> {
    let clock = Clock::start();
    let fleet = StopFleet::start_without_workers(usize::try_from(options.gateways)?).await?;
    let records = Arc::new(Records::new(clock));
    let parts: Vec<String> = (0..options.parts)
        .map(|number| format!("bad{number}"))
        .collect();
    let workers = PartWorkers::start(
        PartSettings {
            seed: options.seed,
            parts: parts.clone(),
            crash_percent: options.crash_percent,
            is_plain: options.is_plain,
        },
        fleet.store_address(),
        Arc::clone(&records),
    )
    .await?;
    sleep(LIST_TIME).await;
    let ended = Arc::new(AtomicBool::new(false));
    let callers = callers::start(
        CallerSettings {
            gateways: fleet.gateways().iter().map(|one| one.front).collect(),
            parts,
            path: if options.is_plain {
                "/status/1"
            } else {
                "/ask/1"
            },
        },
        Arc::clone(&records),
        Arc::clone(&ended),
    );
    if !options.is_new {
        sleep(SOUND_TIME).await;
    }
    workers.begin_to_crash();
    if options.store_away {
        sleep(AWAY_AFTER).await;
        fleet
            .control("/faults", Method::POST, &json!({"silent": true}))
            .await?;
        sleep(AWAY_TIME).await;
        fleet.control("/faults", Method::POST, &json!({})).await?;
    }
    sleep(Millis(options.seconds * 1_000)).await;
    ended.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await?;
    }
    let mut line = records.summary();
    line["trial"] = json!("parts");
    line["seed"] = json!(options.seed);
    line["options"] = json!(format!("{options:?}"));
    Ok(line)
}

async fn sleep(time: Millis) {
    tokio::time::sleep(time.duration()).await;
}
