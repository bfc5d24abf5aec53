//! Stops gateways one after the other under full load and counts what callers get: served, refused, cut or no answer.

mod caller;
mod content;
pub(crate) mod fleet;
mod groups;
mod record;
mod rotation;
mod runs;
#[cfg(test)]
mod tests;
mod worker;
mod wrong;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anyhow::{Result, ensure};
use clap::{Arg, ArgAction, ArgMatches, Command};
use hyper::Method;
use sardinepin_common::{Clock, Millis};
use serde_json::{Value, json};

use crate::arguments::{block_on, integer_arg, integer_value};
use caller::CallerSettings;
use content::Content;
use fleet::{FleetSettings, StopFleet};
use groups::Stalls;
use record::{Records, Stop};
use worker::WorkerSettings;

/// How long the load runs before the first stop.
const SETTLE_TIME: Millis = Millis(4_000);

/// How long after the signal a process of the users' platform is killed.
const GRACE: Millis = Millis(8_000);

/// The interval at which the trial looks whether a gateway has exited, and changes what runs.
const CHANGE_INTERVAL: Millis = Millis(250);

/// The options of a run.
#[derive(Debug, Clone)]
struct Options {
    seed: u64,
    gateways: u64,
    callers: u64,
    event_ms: u64,
    events: u64,
    slots: u64,
    slow_percent: u64,
    read_speed: u64,
    answer_bytes: u64,
    event_bytes: u64,
    body_bytes: u64,
    chunked_percent: u64,
    groups: u64,
    stall_ms: u64,
    stall_pause_ms: u64,
    pause_ms: u64,
    /// The time between two stops, which then overlap; one follows the other if it is 0.
    overlap_ms: u64,
    wrong_percent: u64,
    /// Whether the number of events differs from stream to stream.
    varies: bool,
    /// Whether the configuration changes, and SIGHUP and SIGTERM are sent again, all the while.
    changes: bool,
    /// Whether the store does not answer while gateways stop.
    store_away: bool,
    /// Whether the logs of the gateways are kept, and where is printed.
    keep_logs: bool,
    /// The program of the gateways, if it is that of another build.
    program: Option<PathBuf>,
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
            "read-speed",
            "0",
            "How many bytes a second they read; 0: they pause once in each answer",
        ))
        .arg(integer_arg(
            "event-bytes",
            "0",
            "The length of what an event contains besides the identifier",
        ))
        .arg(integer_arg(
            "body-bytes",
            "0",
            "The length of the body of a stream's request",
        ))
        .arg(integer_arg(
            "chunked-percent",
            "0",
            "The share of these bodies that are sent in chunks",
        ))
        .arg(integer_arg(
            "groups",
            "0",
            "The number of groups of the workers that stream",
        ))
        .arg(integer_arg(
            "stall-ms",
            "0",
            "How long a group stalls, one after the other",
        ))
        .arg(integer_arg(
            "stall-pause-ms",
            "1500",
            "The pause between two stalls",
        ))
        .arg(integer_arg(
            "overlap-ms",
            "0",
            "The time between two stops, which then overlap; 0: one follows the other",
        ))
        .arg(flag(
            "varies",
            "The number of events differs from stream to stream",
        ))
        .arg(
            Arg::new("program")
                .long("program")
                .help("The program of the gateways, if it is that of another build")
                .value_parser(clap::value_parser!(PathBuf)),
        )
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
        .arg(integer_arg(
            "wrong-percent",
            "0",
            "The share of answers of workers that are wrong",
        ))
        .arg(flag(
            "changes",
            "Change the configuration, and send SIGHUP and SIGTERM again, all the while",
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
        read_speed: number("read-speed"),
        answer_bytes: number("answer-bytes"),
        event_bytes: number("event-bytes"),
        body_bytes: number("body-bytes"),
        chunked_percent: number("chunked-percent"),
        groups: number("groups"),
        stall_ms: number("stall-ms"),
        stall_pause_ms: number("stall-pause-ms"),
        overlap_ms: number("overlap-ms"),
        varies: matches.get_flag("varies"),
        program: matches.get_one("program").cloned(),
        pause_ms: number("pause-ms"),
        wrong_percent: number("wrong-percent"),
        changes: matches.get_flag("changes"),
        store_away: matches.get_flag("store-away"),
        keep_logs: matches.get_flag("keep-logs"),
    };
    let line = block_on(play(options))?;
    println!("{line}");
    ensure!(line["violations"] == json!([]), "a rule was broken");
    Ok(())
}

impl Options {
    fn content(&self) -> Result<Content> {
        Ok(Content {
            events: self.events,
            varies: self.varies,
            event_bytes: usize::try_from(self.event_bytes)?,
            answer_bytes: usize::try_from(self.answer_bytes)?,
        })
    }

    fn fleet(&self) -> Result<FleetSettings> {
        Ok(FleetSettings {
            gateways: usize::try_from(self.gateways)?,
            worker: WorkerSettings {
                content: self.content()?,
                event_time: Millis(self.event_ms),
                slots: usize::try_from(self.slots)?,
                wrong_percent: self.wrong_percent,
                seed: self.seed,
            },
            groups: usize::try_from(self.groups)?,
            stalls: Stalls {
                time: Millis(self.stall_ms),
                pause: Millis(self.stall_pause_ms),
            },
            keeps_logs: self.keep_logs,
            program: self.program.clone(),
        })
    }

    fn caller(&self, number: u64) -> Result<CallerSettings> {
        Ok(CallerSettings {
            number,
            seed: self.seed,
            reads_slowly: number * 100 < self.callers * self.slow_percent,
            read_speed: self.read_speed,
            body_bytes: usize::try_from(self.body_bytes)?,
            chunked_percent: self.chunked_percent,
            content: self.content()?,
        })
    }
}

async fn play(options: Options) -> Result<Value> {
    let clock = Clock::start();
    let mut fleet = StopFleet::start(options.fleet()?, clock).await?;
    let gateways = fleet.gateways().iter();
    let rotation = rotation::start(gateways.map(|one| (one.front, one.ready)).collect());
    let ended = Arc::new(AtomicBool::new(false));
    let records = Arc::new(Records::new(clock));
    let mut callers = Vec::new();
    for number in 0..options.callers {
        let (rotation, records) = (rotation.clone(), Arc::clone(&records));
        callers.push(tokio::spawn(caller::run(
            options.caller(number)?,
            rotation,
            records,
            Arc::clone(&ended),
        )));
    }
    sleep(SETTLE_TIME).await;
    stop_all(&options, &mut fleet, &records).await?;
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
async fn stop_all(options: &Options, fleet: &mut StopFleet, records: &Records) -> Result<()> {
    let mut version = 1;
    let mut waiting = 0..fleet.gateways().len();
    let mut stopping: Vec<(usize, Stop)> = Vec::new();
    let mut next_at = records.now();
    while !waiting.is_empty() || !stopping.is_empty() {
        let is_due = match options.overlap_ms {
            0 => stopping.is_empty(),
            _ => records.now() >= next_at,
        };
        if is_due && let Some(number) = waiting.next() {
            set_store_away(fleet, options.store_away).await?;
            stopping.push((number, begin_stop(fleet, number, records.now())?));
            next_at = records.now() + Millis(options.overlap_ms);
        }
        if options.changes {
            version += 1;
            fleet.put_version(version).await?;
            for (number, _) in &stopping {
                fleet.hang_up(*number)?;
                fleet.terminate(*number)?;
            }
        }
        sleep(CHANGE_INTERVAL).await;
        let ended = end_stops(fleet, &mut stopping, records).await?;
        if ended.is_empty() || options.overlap_ms > 0 {
            continue;
        }
        set_store_away(fleet, false).await?;
        for number in ended {
            fleet.wait_until_ready(number).await?;
        }
        sleep(Millis(options.pause_ms)).await;
    }
    set_store_away(fleet, false).await
}

async fn set_store_away(fleet: &StopFleet, away: bool) -> Result<()> {
    let faults = json!({"silent": away});
    fleet.control("/faults", Method::POST, &faults).await
}

fn begin_stop(fleet: &StopFleet, number: usize, now: Millis) -> Result<Stop> {
    Ok(Stop {
        gateway: fleet.terminate(number)?,
        began: now,
        exited: now,
    })
}

/// Starts the gateways again that have exited, and returns them; those whose grace is over are killed.
async fn end_stops(
    fleet: &mut StopFleet,
    stopping: &mut Vec<(usize, Stop)>,
    records: &Records,
) -> Result<Vec<usize>> {
    let mut ended = Vec::new();
    for (number, stop) in std::mem::take(stopping) {
        let mut has_exited = fleet.has_exited(number)?;
        if !has_exited && records.now().since(stop.began) > GRACE {
            fleet.kill(number).await?;
            has_exited = true;
        }
        if !has_exited {
            stopping.push((number, stop));
            continue;
        }
        let exited = records.now();
        records.add_stop(Stop { exited, ..stop });
        fleet.restart(number)?;
        ended.push(number);
    }
    Ok(ended)
}

async fn sleep(time: Millis) {
    tokio::time::sleep(time.duration()).await;
}
