//! What the way through the system adds to a call, how many calls an entry carries and what it holds.

mod calls;
mod machine;
mod streams;
mod system;

use anyhow::{Context, Result};
use clap::{ArgMatches, Command};
use sardinepin_common::{Clock, Millis, seeded_rng};
use sardinepin_standins::load::{self, CallMix};
use serde_json::{Value, json};

use crate::arguments::{block_on, given, number};
use calls::{Seen, pace};
use machine::{load_average, rss_mb};
use streams::hold_streams;
use system::start;

/// How many calls are open at once while as many as possible are sent through one entry.
const CONCURRENCY: usize = 128;

/// What is run.
#[derive(Debug, Clone, Copy)]
struct Plan {
    seed: u64,
    seconds: u64,
    rate: u64,
    streams: usize,
}

/// Returns the command line of the trial.
pub fn command() -> Command {
    Command::new("path")
        .about("Measures what the path adds to a call, and what one entry carries")
        .arg(number("seed", "1", "The seed that calls are drawn from"))
        .arg(number(
            "seconds",
            "10",
            "How long each of the two loads lasts",
        ))
        .arg(number(
            "rate",
            "150",
            "How many calls go through the system each second, and as many directly",
        ))
        .arg(number(
            "streams",
            "1000",
            "How many streams are held open at one entry",
        ))
}

/// Runs the trial and prints its line.
///
/// # Errors
///
/// Fails if a process cannot be started, called or stopped.
pub fn run(matches: &ArgMatches) -> Result<()> {
    let plan = Plan {
        seed: given(matches, "seed"),
        seconds: given(matches, "seconds"),
        rate: given(matches, "rate").max(1),
        streams: usize::try_from(given(matches, "streams"))?,
    };
    println!("{}", block_on(measure(plan))?);
    Ok(())
}

async fn measure(plan: Plan) -> Result<Value> {
    let clock = Clock::start();
    let fleet = start(plan.streams).await?;
    let direct = fleet.upstreams.first().context("no upstream")?.address();
    let paced = pace(
        &plan,
        &clock,
        &fleet.entry_addresses(),
        direct,
        seeded_rng(plan.seed),
    )
    .await;

    let entry = fleet.entries.first().context("no entry")?;
    let many = load::run(load::Settings {
        entries: vec![entry.address()],
        seconds: plan.seconds,
        concurrency: CONCURRENCY,
        seed: plan.seed,
        mix: CallMix {
            plain: 1,
            keyed: 0,
            stream: 0,
            chat: 0,
        },
        ..load::Settings::default()
    })
    .await?;
    let pid = entry.child.pid();
    let entry_rss = rss_mb(pid)?;
    let held = hold_streams(&fleet, entry.address(), plan.streams).await?;
    let streams_rss = rss_mb(pid)?;
    let tokens = held.end().await;
    let ended = fleet.stop().await?;
    let not_in_order = ended.iter().filter(|(_, status)| !status.success()).count();

    let Seen {
        through, direct, ..
    } = &paced;
    let added = |quantile: f64| {
        millis(through.value_at_quantile(quantile)) - millis(direct.value_at_quantile(quantile))
    };
    Ok(json!({
        "trial": "path", "seed": plan.seed, "seconds": plan.seconds, "rate": plan.rate,
        "sent": paced.sent + many.sent,
        "answered": paced.answered + many.answered,
        "not_run": paced.not_run + many.not_run,
        "unknown": paced.unknown + many.unknown,
        "wrong": paced.wrong + many.wrong + tokens.wrong,
        "direct_p50_ms": round(millis(direct.value_at_quantile(0.50))),
        "direct_p99_ms": round(millis(direct.value_at_quantile(0.99))),
        "added_p50_ms": round(added(0.50)),
        "added_p99_ms": round(added(0.99)),
        "requests_per_s": many.answered_per_s.round(),
        "load_p50_ms": many.latency_ms.get("plain").map(|latency| latency.p50),
        "load_p99_ms": many.latency_ms.get("plain").map(|latency| latency.p99),
        "reasons": many.reasons,
        "entry_rss_mb": round(entry_rss),
        "streams": tokens.open,
        "streams_rss_mb": round(streams_rss),
        "stopped_not_in_order": not_in_order,
        "load_average": load_average()?,
        "took_s": round(clock.now().since(Millis::ZERO).as_f64() / 1_000.0),
    }))
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}

fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
