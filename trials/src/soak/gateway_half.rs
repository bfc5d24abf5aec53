//! The half of a soak with gateways on the users' platform.

use std::net::SocketAddr;

use anyhow::Result;
use futures_util::future::join_all;
use rand::Rng as _;
use sardinepin_common::{Clock, Millis, seeded_rng};
use sardinepin_standins::load::{self, CallMix, Report};

use super::checks::{ConfigHistory, find_exited};
use super::config_probe::Probe;
use super::gateway_faults::ALL_FAULTS;
use super::gateways::{GatewayFleet, MODEL_PATH, ONCE_PATH, ORGANISATION};
use super::log::SoakLog;
use super::{Options, wait_until};
use crate::outcomes::rounds::sum_counts;

/// The name of this half in the time line.
const HALF: &str = "gateways";

/// The callers that send all the time.
const CONCURRENCY: usize = 12;

/// The share of calls whose callers leave early, in thousandths, and how long these wait.
const LEAVE_MILLI: u32 = 100;
const LEAVE_MS: u64 = 500;

/// The longest pause between two faults, in milliseconds.
const PAUSE_MS_MAX: u64 = 800;

/// The interval between two changes of the configuration.
const CONFIG_INTERVAL: Millis = Millis(700);

/// The time after the last fault in which calls may still run late.
const LATE_RUNS_TIME: Millis = Millis(1_500);

/// Returns the settings of callers of the gateways.
pub(crate) fn load_settings(fleet: &GatewayFleet, seed: u64) -> load::Settings {
    load::Settings {
        entries: fleet.addresses(),
        seed,
        concurrency: CONCURRENCY,
        organisations: vec![ORGANISATION.to_owned()],
        mix: CallMix {
            keyed: 2,
            plain: 1,
            stream: 0,
            chat: 0,
        },
        keyed_path: ONCE_PATH.to_owned(),
        plain_path: MODEL_PATH.to_owned(),
        leave_milli: LEAVE_MILLI,
        leave_ms: LEAVE_MS,
        timeout_ms: 60_000,
        records: true,
        platform: true,
        ..load::Settings::default()
    }
}

/// Starts the deployment, injects faults under load until the time is over, and checks the outcomes.
pub(super) async fn run(options: Options, log: &SoakLog) -> Result<()> {
    let mut fleet = GatewayFleet::start().await?;
    let settings = load_settings(&fleet, options.seed);
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let load = tokio::spawn(load::run_until(settings, async {
        let _ = stopped.await;
    }));
    let probes: Vec<_> = fleet.addresses().into_iter().map(probe).collect();
    let mut histories: Vec<_> = probes.iter().map(|_| ConfigHistory::default()).collect();
    let reports = {
        let probing = probes.iter().zip(&mut histories);
        let probing = join_all(probing.map(|(probe, history)| probe.run(log, history)));
        tokio::select! {
            reports = inject(options, &mut fleet, log) => reports?,
            _ = probing => Vec::new(),
        }
    };
    let _ = stop.send(());
    let report = load.await??;
    tokio::time::sleep(LATE_RUNS_TIME.duration()).await;
    for (number, history) in histories.iter().enumerate() {
        log.config(HALF, &format!("front-{number}"), history.highest);
    }
    check_alive(&mut fleet, log)?;
    let runs = sum_counts(&fleet.client, &fleet.workers).await?;
    for report in [report].iter().chain(&reports) {
        log.callers(HALF, report, &runs);
    }
    let stopped = fleet.gateways.iter_mut().map(|gateway| &mut gateway.child);
    for child in stopped.chain([&mut fleet.agent]) {
        child.terminate()?;
        let status = child.wait_exit().await?;
        if !status.success() {
            log.violation(
                HALF,
                "stop",
                &format!("{status}: {}", child.recent_output()),
            );
        }
    }
    Ok(())
}

fn probe(address: SocketAddr) -> Probe {
    Probe {
        half: HALF,
        address,
        headers: vec![
            ("host", load::PLATFORM_HOST.to_owned()),
            ("authorization", format!("Token {ORGANISATION}")),
        ],
        statuses: (200, 404),
    }
}

async fn inject(options: Options, fleet: &mut GatewayFleet, log: &SoakLog) -> Result<Vec<Report>> {
    let clock = Clock::start();
    let end = Millis(options.seconds * 1_000);
    // Both halves draw from the same seed, but not the same numbers.
    let mut rng = seeded_rng(!options.seed);
    let (mut version, mut changed_at) = (0, Millis::ZERO);
    let mut reports = Vec::new();
    while clock.now() < end {
        if clock.now().since(changed_at) >= CONFIG_INTERVAL {
            changed_at = clock.now();
            version += 1;
            fleet.put_version(version).await?;
        }
        wait_until(
            &clock,
            clock.now() + Millis(rng.random_range(0..PAUSE_MS_MAX)),
        )
        .await;
        let fault = ALL_FAULTS[rng.random_range(0..ALL_FAULTS.len())];
        let number = rng.random_range(0..usize::from(u8::MAX));
        let began = log.now();
        let result = fault.inject(fleet, number, &mut rng).await?;
        let cleared = log.now();
        let name = format!("{fault:?}");
        if let Some(output) = result.failed_stop {
            log.violation(HALF, "stop", &output);
        }
        reports.extend(result.report);
        if let Err(error) = fleet.wait_ready().await {
            log.violation(HALF, "ready", &format!("{name}: {error:#}"));
        }
        log.fault(HALF, &name, &number.to_string(), began, cleared);
        check_alive(fleet, log)?;
    }
    Ok(reports)
}

fn check_alive(fleet: &mut GatewayFleet, log: &SoakLog) -> Result<()> {
    let gateways = fleet.gateways.iter_mut();
    let gateways = gateways.map(|gateway| ("gateway", &mut gateway.child));
    let workers = fleet.workers.iter_mut().map(|child| ("worker", child));
    let others = [("agent", &mut fleet.agent), ("store", &mut fleet.store)];
    for output in find_exited(gateways.chain(workers).chain(others))? {
        log.violation(HALF, "exit", &output);
    }
    Ok(())
}
