//! Stops gateways one after the other under full load and counts what callers get: served, refused, cut or no answer.

mod caller;
mod fleet;
mod record;
mod rotation;
mod worker;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anyhow::{Result, ensure};
use clap::{Arg, ArgAction, ArgMatches, Command};
use hyper::Method;
use sardinepin_common::{Clock, Millis};
use serde_json::{Value, json};

use crate::arguments::{block_on, integer_arg, integer_value};
use caller::CallerSettings;
use fleet::StopFleet;
use record::{Records, Stop};
use worker::WorkerSettings;

/// How long the load runs before the first stop.
const SETTLE_TIME: Millis = Millis(4_000);

/// How long after the signal a process of the users' platform is killed.
const GRACE: Millis = Millis(8_000);

/// The options of a run.
#[derive(Debug, Clone, Copy)]
struct Options {
    seed: u64,
    gateways: u64,
    callers: u64,
    event_ms: u64,
    events: u64,
    slots: u64,
    slow_percent: u64,
    answer_bytes: u64,
    pause_ms: u64,
    /// Whether the configuration changes and SIGHUP is sent all the while.
    changes: bool,
    /// Whether the store does not answer while gateways stop.
    store_away: bool,
    /// Whether the logs of the gateways are kept, and where is printed.
    keep_logs: bool,
}

/// Returns the command line of the trial.
pub fn command() -> Command {
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .action(ArgAction::SetTrue)
    };
    Command::new("stops")
        .about("Counts what callers get while gateways stop under full load")
        .arg(integer_arg("seed", "1", "The random seed of calls"))
        .arg(integer_arg("gateways", "4", "The number of gateways"))
        .arg(integer_arg("callers", "90", "The number of callers"))
        .arg(integer_arg(
            "events",
            "26",
            "The number of events of a stream",
        ))
        .arg(integer_arg(
            "event-ms",
            "60",
            "The time between two events of a stream",
        ))
        .arg(integer_arg(
            "slots",
            "12",
            "The requests that a worker runs at once",
        ))
        .arg(integer_arg(
            "slow-percent",
            "10",
            "The share of callers that pause in reading",
        ))
        .arg(integer_arg(
            "answer-bytes",
            "800",
            "The length of a plain answer",
        ))
        .arg(integer_arg(
            "pause-ms",
            "1000",
            "The pause between the exit of a gateway and the next stop",
        ))
        .arg(flag(
            "changes",
            "Change the configuration and send SIGHUP all the while",
        ))
        .arg(flag(
            "store-away",
            "The store does not answer while gateways stop",
        ))
        .arg(flag("keep-logs", "Keep the logs of the gateways"))
}

/// Runs the trial and prints its JSON line.
///
/// # Errors
///
/// Fails if a process cannot be started or called, or a request was lost, ran twice or was refused falsely.
pub fn run(matches: &ArgMatches) -> Result<()> {
    let number = |name| integer_value(matches, name);
    let options = Options {
        seed: number("seed"),
        gateways: number("gateways"),
        callers: number("callers"),
        event_ms: number("event-ms"),
        events: number("events"),
        slots: number("slots"),
        slow_percent: number("slow-percent"),
        answer_bytes: number("answer-bytes"),
        pause_ms: number("pause-ms"),
        changes: matches.get_flag("changes"),
        store_away: matches.get_flag("store-away"),
        keep_logs: matches.get_flag("keep-logs"),
    };
    let line = block_on(play(options))?;
    println!("{line}");
    ensure!(line["violations"] == json!([]), "a rule was broken");
    Ok(())
}

async fn play(options: Options) -> Result<Value> {
    let clock = Clock::start();
    let worker = WorkerSettings {
        events: options.events,
        event_time: Millis(options.event_ms),
        slots: usize::try_from(options.slots)?,
        answer_bytes: usize::try_from(options.answer_bytes)?,
    };
    let mut fleet = StopFleet::start(
        usize::try_from(options.gateways)?,
        worker,
        options.keep_logs,
    )
    .await?;
    let rotation = rotation::start(
        fleet
            .gateways()
            .iter()
            .map(|one| (one.front, one.ready))
            .collect(),
    );
    let ended = Arc::new(AtomicBool::new(false));
    let records = Arc::new(Records::new(clock));
    let callers: Vec<_> = (0..options.callers)
        .map(|number| {
            let settings = CallerSettings {
                number,
                seed: options.seed,
                reads_slowly: number * 100 < options.callers * options.slow_percent,
                events: options.events,
            };
            let (rotation, records) = (rotation.clone(), Arc::clone(&records));
            tokio::spawn(caller::run(settings, rotation, records, Arc::clone(&ended)))
        })
        .collect();
    sleep(SETTLE_TIME).await;
    stop_in_turn(options, &mut fleet, &records).await?;
    sleep(Millis(options.pause_ms)).await;
    ended.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await?;
    }
    let runs = fleet.runs();
    let mut line = records.summary(&runs);
    line["trial"] = json!("stops");
    line["seed"] = json!(options.seed);
    line["options"] = json!(format!("{options:?}"));
    line["logs"] = json!(fleet.log_folder());
    Ok(line)
}

/// Stops and restarts each gateway once.
async fn stop_in_turn(options: Options, fleet: &mut StopFleet, records: &Records) -> Result<()> {
    let mut version = 1;
    for number in 0..fleet.gateways().len() {
        if options.store_away {
            fleet
                .control("/faults", Method::POST, &json!({"silent": true}))
                .await?;
        }
        let stopping = fleet.terminate(number)?;
        let began = records.now();
        let mut exited = None;
        while exited.is_none() {
            if options.changes {
                version += 1;
                fleet.put_version(version).await?;
                fleet.hang_up(number)?;
            }
            sleep(Millis(250)).await;
            exited = fleet.has_exited(number)?.then(|| records.now());
            if exited.is_none() && records.now().since(began) > GRACE {
                fleet.kill(number).await?;
                exited = Some(records.now());
            }
        }
        records.add_stop(Stop {
            gateway: stopping,
            began,
            exited: exited.unwrap_or(began),
        });
        if options.store_away {
            fleet.control("/faults", Method::POST, &json!({})).await?;
        }
        fleet.restart(number).await?;
        sleep(Millis(options.pause_ms)).await;
    }
    Ok(())
}

async fn sleep(time: Millis) {
    tokio::time::sleep(time.duration()).await;
}
