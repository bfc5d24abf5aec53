//! Runs the trace against one policy.

use std::net::SocketAddr;

use anyhow::Result;
use sardinepin_common::Clock;
use sardinepin_standins::fleet::Fleet;
use sardinepin_standins::http::HttpClient;
use serde_json::{Value, json};

use super::client::{send_all, wait_until};
use super::summary::{RunResult, summarise};
use super::trace::{Phases, generate_calls};
use super::{Fault, Options, deployment};

/// Runs the trace against one policy and returns its JSON line.
pub(super) async fn run(options: Options, policy: &str) -> Result<Value> {
    let phases = Phases::new(&options);
    let calls = generate_calls(&options, &phases)?;
    let fleet = deployment::start(&options, policy).await?;
    let entries = fleet.entry_addresses();
    let clock = Clock::start();
    let faulty_engine = fleet.upstreams[0].address();
    let fault = inject_fault(options.fault, &fleet.client, faulty_engine, &phases, clock);
    let (samples, fault, engine_use) = tokio::join!(
        send_all(&calls, &entries, clock),
        fault,
        measure_engine_use(&fleet, &options, &phases, clock),
    );
    fault?;
    let result = RunResult {
        options,
        phases,
        samples: samples?,
        retries: deployment::retry_counts(&fleet).await?,
        engine_use,
    };
    Ok(summarise(policy, &result))
}

/// Injects the fault into an engine in the middle of the overload.
async fn inject_fault(
    fault: Fault,
    client: &HttpClient,
    engine: SocketAddr,
    phases: &Phases,
    clock: Clock,
) -> Result<()> {
    let faults = match fault {
        Fault::None => return Ok(()),
        Fault::Stall => json!({"stall": true}),
        // The empty text matches every request, so the next step ends the process.
        Fault::Crash => json!({"crash_on": ""}),
    };
    wait_until(clock, phases.fault_start()).await;
    client.post_json(engine, "/faults", &faults).await
}

/// Returns the share of their capacity that the engines used in the measured phase, including work
/// whose answer was late or discarded.
async fn measure_engine_use(
    fleet: &Fleet,
    options: &Options,
    phases: &Phases,
    clock: Clock,
) -> f64 {
    wait_until(clock, phases.measured.start).await;
    let (start, before) = (clock.now_micros(), deployment::computed_tokens(fleet).await);
    wait_until(clock, phases.measured.end).await;
    let (end, after) = (clock.now_micros(), deployment::computed_tokens(fleet).await);
    let tokens: u64 = before
        .into_iter()
        .zip(after)
        .filter_map(|(before, after)| Some(after?.saturating_sub(before?)))
        .sum();
    let seconds = (end - start) as f64 / super::trace::MICROS_PER_SECOND as f64;
    tokens as f64 / seconds / deployment::capacity_tokens_per_second(options.upstreams)
}
