//! The half of a soak with entries, agents, plain services, engines and the platform.

use std::time::Duration;

use anyhow::Result;
use futures_util::future::join_all;
use rand::Rng as _;
use sardinepin_common::{Clock, Millis, seeded_rng};
use sardinepin_config::Service;
use sardinepin_standins::load::{self, Settings};

use super::checks::{ConfigHistory, find_exited};
use super::config_probe::Probe;
use super::log::SoakLog;
use super::{Options, wait_until};
use crate::outcomes::deployment::{PLAIN_UPSTREAMS, RelayedFleet, start};
use crate::outcomes::faults::{ALL_FAULTS, Fault};
use crate::outcomes::rounds::{delay_plain_services, load_settings, sum_counts};

/// The name of this half in the time line.
const HALF: &str = "entries";

/// The longest pause between two faults, in milliseconds.
const PAUSE_MS_MAX: u64 = 800;

/// The interval between two changes of the configuration.
const CONFIG_INTERVAL: Millis = Millis(900);

/// The time after the last fault in which calls may still run late.
const LATE_RUNS_TIME: Millis = Millis(1_500);

/// The share of calls whose callers read a stream slowly, in thousandths.
const SLOW_MILLI: u32 = 100;

/// Starts the deployment, injects faults under load until the time is over, and checks the outcomes.
pub(super) async fn run(options: Options, log: &SoakLog) -> Result<()> {
    let mut deployment = start().await?;
    delay_plain_services(&deployment).await?;
    let settings = Settings {
        slow_milli: SLOW_MILLI,
        ..load_settings(&deployment, options.seed, 0)
    };
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let load = tokio::spawn(load::run_until(settings, async {
        let _ = stopped.await;
    }));
    let addresses = deployment.fleet.entry_addresses();
    let probes: Vec<_> = addresses.iter().map(|address| probe(*address)).collect();
    let mut histories: Vec<_> = probes.iter().map(|_| ConfigHistory::default()).collect();
    {
        let probing = probes.iter().zip(&mut histories);
        let probing = join_all(probing.map(|(probe, history)| probe.run(log, history)));
        tokio::select! {
            result = inject(options, &mut deployment, log) => result?,
            _ = probing => {}
        }
    }
    let _ = stop.send(());
    let report = load.await??;
    tokio::time::sleep(LATE_RUNS_TIME.duration()).await;
    for (number, history) in histories.iter().enumerate() {
        log.config(HALF, &format!("entry-{}", number + 1), history.highest);
    }
    check_alive(&mut deployment, log)?;
    let fleet = &deployment.fleet;
    let runs = sum_counts(&fleet.client, &fleet.upstreams[..PLAIN_UPSTREAMS]).await?;
    log.callers(HALF, &report, &runs);
    for (name, status) in deployment.fleet.stop().await? {
        if !status.success() {
            log.violation(HALF, "stop", &format!("{name}: {status}"));
        }
    }
    Ok(())
}

fn probe(address: std::net::SocketAddr) -> Probe {
    Probe {
        half: HALF,
        address,
        headers: vec![("x-organisation", "o1".to_owned())],
        // A call to a keyed path without a key is refused; the service for all paths answers others.
        statuses: (400, 200),
    }
}

async fn inject(options: Options, deployment: &mut RelayedFleet, log: &SoakLog) -> Result<()> {
    let clock = Clock::start();
    let end = Millis(options.seconds * 1_000);
    let mut rng = seeded_rng(options.seed);
    let mut version = 0;
    let mut changed_at = Millis::ZERO;
    while clock.now() < end {
        if clock.now().since(changed_at) >= CONFIG_INTERVAL {
            changed_at = clock.now();
            version += 1;
            put_version(deployment, version).await?;
        }
        wait_until(
            &clock,
            clock.now() + Millis(rng.random_range(0..PAUSE_MS_MAX)),
        )
        .await;
        let fault = ALL_FAULTS[rng.random_range(0..ALL_FAULTS.len())];
        // A message that crashes engines makes processes end; the trial `outcomes` has it.
        if matches!(fault, Fault::None | Fault::CrashingMessage) {
            continue;
        }
        let began = log.now();
        let result = fault.inject(deployment, &mut rng).await?;
        let cleared = log.now();
        if result.interrupted_nodes > 0 {
            log.violation(HALF, "stop", &format!("{} cut calls off", fault.name()));
        }
        if let Err(error) = deployment.fleet.wait_ready().await {
            log.violation(HALF, "ready", &format!("{}: {error:#}", fault.name()));
        }
        delay_plain_services(deployment).await?;
        log.fault(HALF, fault.name(), "", began, cleared);
        check_alive(deployment, log)?;
    }
    Ok(())
}

/// Writes a service whose path shows to callers that the version is applied.
async fn put_version(deployment: &RelayedFleet, version: u64) -> Result<()> {
    let path = format!("/c/{version}/");
    let service = Service {
        name: format!("c-{version}"),
        paths: vec![path.clone()],
        keyed_paths: vec![path],
        deadline_ms: 1_000,
        ..Service::default()
    };
    let write = deployment
        .fleet
        .put_config("services", &service.name, &service);
    tokio::time::timeout(Duration::from_secs(10), write).await?
}

fn check_alive(deployment: &mut RelayedFleet, log: &SoakLog) -> Result<()> {
    let fleet = &mut deployment.fleet;
    let nodes = fleet.entries.iter_mut().chain(&mut fleet.agents);
    let nodes = nodes.map(|node| ("node", &mut node.child));
    let upstreams = fleet.upstreams.iter_mut().map(|child| ("upstream", child));
    let platform = [("platform", &mut fleet.platform)];
    for output in find_exited(nodes.chain(upstreams).chain(platform))? {
        log.violation(HALF, "exit", &output);
    }
    Ok(())
}
