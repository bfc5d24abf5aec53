//! Measures the latency that the load balancer adds to a call, the throughput of one entry, and its
//! memory with many open streams.

mod calls;
mod deployment;
mod procfs;
mod streams;

use anyhow::{Context, Result};
use clap::{ArgMatches, Command};
use sardinepin_common::{Clock, Millis, seeded_rng};
use sardinepin_standins::load::{self, CallMix};
use serde_json::{Value, json};

use crate::arguments::{block_on, integer_arg, integer_value};
use calls::{CallStats, send_paced};
use deployment::start;
use procfs::{load_average, rss_mb};
use streams::open_streams_at;

/// The number of concurrent calls while the throughput of one entry is measured.
const SATURATING_CALLS: usize = 128;

/// The options of a run.
#[derive(Debug, Clone, Copy)]
struct Options {
    seed: u64,
    seconds: u64,
    rate: u64,
    streams: usize,
}

/// Returns the command line of the trial.
pub fn command() -> Command {
    Command::new("path")
        .about("Measures the latency added to a call, and the throughput and memory of one entry")
        .arg(integer_arg("seed", "1", "The random seed of the calls"))
        .arg(integer_arg(
            "seconds",
            "10",
            "The duration of each of the two loads, in seconds",
        ))
        .arg(integer_arg(
            "rate",
            "150",
            "The calls per second through the load balancer, and as many directly",
        ))
        .arg(integer_arg(
            "streams",
            "1000",
            "The number of streams held open at one entry",
        ))
}

/// Runs the trial and prints its JSON line.
///
/// # Errors
///
/// Fails if a process cannot be started, called or stopped.
pub fn run(matches: &ArgMatches) -> Result<()> {
    let options = Options {
        seed: integer_value(matches, "seed"),
        seconds: integer_value(matches, "seconds"),
        rate: integer_value(matches, "rate").max(1),
        streams: usize::try_from(integer_value(matches, "streams"))?,
    };
    println!("{}", block_on(measure(options))?);
    Ok(())
}

async fn measure(options: Options) -> Result<Value> {
    let clock = Clock::start();
    let fleet = start(options.streams).await?;
    let direct = fleet
        .upstreams
        .first()
        .context("the fleet has no upstream")?
        .address();
    let paced_calls = send_paced(
        &options,
        &clock,
        &fleet.entry_addresses(),
        direct,
        seeded_rng(options.seed),
    )
    .await;

    let entry = fleet.entries.first().context("the fleet has no entry")?;
    let saturated = load::run(load::Settings {
        entries: vec![entry.address()],
        seconds: options.seconds,
        concurrency: SATURATING_CALLS,
        seed: options.seed,
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
    let open_streams = open_streams_at(&fleet, entry.address(), options.streams).await?;
    let streams_rss = rss_mb(pid)?;
    let stream_stats = open_streams.close().await;
    let exits = fleet.stop().await?;
    let failed_stops = exits.iter().filter(|(_, status)| !status.success()).count();

    let CallStats {
        via_entry, direct, ..
    } = &paced_calls;
    let added = |quantile: f64| {
        millis(via_entry.value_at_quantile(quantile)) - millis(direct.value_at_quantile(quantile))
    };
    Ok(json!({
        "trial": "path", "seed": options.seed, "seconds": options.seconds, "rate": options.rate,
        "sent": paced_calls.sent + saturated.sent,
        "answered": paced_calls.answered + saturated.answered,
        "not_run": paced_calls.not_run + saturated.not_run,
        "unknown": paced_calls.unknown + saturated.unknown,
        "wrong": paced_calls.wrong + saturated.wrong + stream_stats.wrong,
        "direct_p50_ms": round(millis(direct.value_at_quantile(0.50))),
        "direct_p99_ms": round(millis(direct.value_at_quantile(0.99))),
        "added_p50_ms": round(added(0.50)),
        "added_p99_ms": round(added(0.99)),
        "requests_per_s": saturated.answered_per_s.round(),
        "load_p50_ms": saturated.latency_ms.get("plain").map(|latency| latency.p50),
        "load_p99_ms": saturated.latency_ms.get("plain").map(|latency| latency.p99),
        "reasons": saturated.reasons,
        "entry_rss_mb": round(entry_rss),
        "streams": stream_stats.open,
        "streams_rss_mb": round(streams_rss),
        "stopped_not_in_order": failed_stops,
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
