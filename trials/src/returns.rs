//! Measures how soon a deployment serves again after all of its processes were killed, or after the store that
//! was cut off returns while fresh processes wait for it.

#[cfg(test)]
mod tests;

use anyhow::{Context, Result};
use clap::{ArgMatches, Command};
use hyper::Method;
use sardinepin_common::{Clock, Millis};
use sardinepin_protocol::Outcome;
use sardinepin_standins::load::{self, SendRecord, Settings};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::arguments::{block_on, integer_arg, integer_value};
use crate::outcomes::deployment::{RelayedFleet, start};
use crate::outcomes::rounds::{delay_plain_services, load_settings};
use crate::soak::gateway_half;
use crate::soak::gateways::GatewayFleet;

/// How long the usual goodput is measured, after a time in which the deployment settles.
const USUAL_TIME: Millis = Millis(3_000);

/// The time before that, and the time for which the store is cut off.
const SETTLE_TIME: Millis = Millis(2_000);

/// How long the load goes on after the return.
const RETURN_TIME: Millis = Millis(8_000);

/// The window in which goodput is counted.
const WINDOW: Millis = Millis(500);

/// The part of the usual goodput at which a deployment counts as recovered.
const RECOVERED: f64 = 0.9;

/// Load that goes on until it is stopped.
struct Load {
    stop: tokio::sync::oneshot::Sender<()>,
    run: JoinHandle<Result<load::Report>>,
}

/// The times of a play, in wall-clock time.
#[derive(Debug, Clone, Copy)]
struct Times {
    usual_from: Millis,
    broke_at: Millis,
    /// When all processes had been started, or the store answered again.
    returned_at: Millis,
}

/// Returns the command line of the trial.
pub fn command() -> Command {
    Command::new("returns")
        .about("Measures the return after all processes or the store were lost")
        .arg(integer_arg("seed", "1", "The random seed of calls"))
}

/// Runs the trial and prints a JSON line for each deployment and loss.
///
/// # Errors
///
/// Fails if a process cannot be started or called.
pub fn run(matches: &ArgMatches) -> Result<()> {
    let seed = integer_value(matches, "seed");
    for is_store_lost in [false, true] {
        println!("{}", block_on(run_gateways(seed, is_store_lost))?);
        println!("{}", block_on(run_entries(seed, is_store_lost))?);
    }
    Ok(())
}

async fn run_gateways(seed: u64, is_store_lost: bool) -> Result<Value> {
    let mut fleet = GatewayFleet::start().await?;
    let load = Load::start(gateway_half::load_settings(&fleet, seed));
    let usual_from = wait_for_usual().await;
    let broke_at = Clock::wall_time();
    if is_store_lost {
        fleet
            .control("/faults", Method::POST, &json!({"silent": true}))
            .await?;
    }
    // The store is the platform's: it is cut off, but loses nothing.
    let workers = fleet.workers.iter_mut().chain([&mut fleet.agent]);
    let gateways = fleet.gateways.iter_mut().map(|gateway| &mut gateway.child);
    let mut killed: Vec<_> = workers.chain(gateways).collect();
    for child in &mut killed {
        child.kill().await?;
    }
    for child in killed {
        child.restart().await?;
    }
    for worker in 0..fleet.workers.len() {
        fleet.list_worker(worker).await?;
    }
    if is_store_lost {
        sleep(SETTLE_TIME).await;
        fleet.control("/faults", Method::POST, &json!({})).await?;
    }
    let times = Times {
        usual_from,
        broke_at,
        returned_at: Clock::wall_time(),
    };
    let records = load.finish().await?;
    Ok(line("gateways", is_store_lost, seed, times, &records))
}

async fn run_entries(seed: u64, is_store_lost: bool) -> Result<Value> {
    let mut deployment: RelayedFleet = start().await?;
    delay_plain_services(&deployment).await?;
    let load = Load::start(load_settings(&deployment, seed, 0));
    let usual_from = wait_for_usual().await;
    let broke_at = Clock::wall_time();
    let fleet = &mut deployment.fleet;
    if is_store_lost {
        fleet
            .set_faults(&fleet.platform, &json!({"down": true}))
            .await?;
    }
    let nodes = fleet.entries.iter_mut().chain(&mut fleet.agents);
    for child in nodes
        .map(|node| &mut node.child)
        .chain(&mut fleet.upstreams)
    {
        child.kill().await?;
    }
    for index in 0..fleet.upstreams.len() {
        fleet.restart_upstream(index).await?;
        fleet.restart_agent(index).await?;
    }
    for index in 0..fleet.entries.len() {
        fleet.restart_entry(index).await?;
    }
    delay_plain_services(&deployment).await?;
    let fleet = &deployment.fleet;
    if is_store_lost {
        sleep(SETTLE_TIME).await;
        fleet.set_faults(&fleet.platform, &json!({})).await?;
    }
    let times = Times {
        usual_from,
        broke_at,
        returned_at: Clock::wall_time(),
    };
    let records = load.finish().await?;
    Ok(line("entries", is_store_lost, seed, times, &records))
}

impl Load {
    fn start(settings: Settings) -> Self {
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let run = tokio::spawn(load::run_until(settings, async {
            // The sender is dropped only with the load.
            let _ = stopped.await;
        }));
        Self { stop, run }
    }

    /// Goes on for [`RETURN_TIME`], then returns all records.
    async fn finish(self) -> Result<Vec<SendRecord>> {
        sleep(RETURN_TIME).await;
        self.stop.send(()).ok().context("the load has ended")?;
        Ok(self.run.await??.records)
    }
}

/// Waits while the usual goodput shows; returns when it began to count.
async fn wait_for_usual() -> Millis {
    sleep(SETTLE_TIME).await;
    let usual_from = Clock::wall_time();
    sleep(USUAL_TIME).await;
    usual_from
}

fn line(
    deployment: &str,
    is_store_lost: bool,
    seed: u64,
    times: Times,
    records: &[SendRecord],
) -> Value {
    let mut answered: Vec<Millis> = records
        .iter()
        .filter(|record| record.outcome == Outcome::Answered)
        .map(|record| record.ended_at)
        .collect();
    answered.sort_unstable();
    let count = |from: Millis, until: Millis| {
        answered.partition_point(|at| *at < until) - answered.partition_point(|at| *at < from)
    };
    let usual = count(times.usual_from, times.broke_at) as f64
        / times.broke_at.since(times.usual_from).as_f64();
    let after = |at: &&Millis| **at >= times.returned_at;
    let wanted = RECOVERED * usual * WINDOW.as_f64();
    let is_recovered = |at: &&Millis| count(**at, **at + WINDOW) as f64 >= wanted;
    let since_return = |at: &Millis| at.since(times.returned_at).0;
    json!({
        "trial": "returns", "deployment": deployment, "seed": seed,
        "lost": if is_store_lost { "processes and store" } else { "processes" },
        "away_ms": times.returned_at.since(times.broke_at).0,
        "usual_per_s": (usual * 1_000.0).round(),
        // Calls that end while the last processes start count as served at the return.
        "first_ms": answered.iter().find(after).map(since_return),
        "goodput_ms": answered.iter().filter(after).find(is_recovered).map(since_return),
    })
}

async fn sleep(time: Millis) {
    tokio::time::sleep(time.duration()).await;
}
