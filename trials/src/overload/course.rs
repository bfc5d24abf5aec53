//! The course of one run.

use std::net::SocketAddr;

use anyhow::Result;
use sardinepin_common::Clock;
use sardinepin_standins::fleet::Fleet;
use sardinepin_standins::http::HttpClient;
use serde_json::{Value, json};

use super::client::{send_all, wait_until};
use super::figures::{Run, line};
use super::trace::{Phases, draw};
use super::{Fault, Plan, deployment};

/// Runs the trace against one policy and returns its line.
pub(super) async fn run(plan: Plan, policy: &str) -> Result<Value> {
    let phases = Phases::new(&plan);
    let calls = draw(&plan, &phases)?;
    let fleet = deployment::start(&plan, policy).await?;
    let entries = fleet.entry_addresses();
    let clock = Clock::start();
    let victim = fleet.upstreams[0].address();
    let fault = break_engine(plan.fault, &fleet.client, victim, &phases, clock);
    let (samples, fault, used) = tokio::join!(
        send_all(&calls, &entries, clock),
        fault,
        use_of(&fleet, &plan, &phases, clock),
    );
    fault?;
    let run = Run {
        plan,
        phases,
        samples: samples?,
        retries: deployment::retries(&fleet).await?,
        engine_use: used,
    };
    Ok(line(policy, &run))
}

/// Waits for the middle of the overload and brings the fault to an engine.
async fn break_engine(
    fault: Fault,
    caller: &HttpClient,
    engine: SocketAddr,
    phases: &Phases,
    clock: Clock,
) -> Result<()> {
    let faults = match fault {
        Fault::None => return Ok(()),
        Fault::Stall => json!({"stall": true}),
        // The next step of any request ends the process.
        Fault::Crash => json!({"crash_on": ""}),
    };
    wait_until(clock, phases.fault()).await;
    caller.post_json(engine, "/faults", &faults).await
}

/// Returns the share of the capacity that the engines computed in the measured phase, the work
/// that came too late or was thrown away included.
async fn use_of(fleet: &Fleet, plan: &Plan, phases: &Phases, clock: Clock) -> f64 {
    wait_until(clock, phases.measured.start).await;
    let (start, before) = (clock.now_micros(), deployment::computed(fleet).await);
    wait_until(clock, phases.measured.end).await;
    let (end, after) = (clock.now_micros(), deployment::computed(fleet).await);
    let tokens: u64 = before
        .into_iter()
        .zip(after)
        .filter_map(|(before, after)| Some(after?.saturating_sub(before?)))
        .sum();
    let seconds = (end - start) as f64 / super::trace::SECOND as f64;
    tokens as f64 / seconds / deployment::capacity(plan.upstreams)
}
