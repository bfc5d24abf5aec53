//! The faults of the half with gateways. Each is injected and cleared before the next.

use anyhow::Result;
use hyper::Method;
use rand::Rng as _;
use sardinepin_common::{Millis, Rng};
use sardinepin_standins::fleet::ChildProcess;
use sardinepin_standins::load;
use serde_json::json;

use super::gateway_half::load_settings;
use super::gateways::GatewayFleet;

/// The longest duration of a fault, in milliseconds.
const FAULT_MS_MAX: u64 = 3_000;

/// The callers of a burst, beside those that send all the time.
const BURST_CALLERS: usize = 60;

/// The calls of a burst.
const BURST_CALLS: u64 = 600;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    KillGateway,
    FreezeGateway,
    StopGateway,
    KillWorker,
    FreezeWorker,
    KillAgent,
    FreezeAgent,
    /// The connections to a worker are closed.
    Cut,
    /// Bytes to a worker are held back, then lost.
    HoldOut,
    /// Bytes from a worker are held back, then lost.
    HoldBack,
    /// Bytes from a worker arrive late.
    Delay,
    /// Connections to a worker are closed as soon as they are made.
    Refuse,
    StoreDown,
    StoreSilent,
    StoreSlow,
    /// The store drops its history, so that watches end.
    StoreForgets,
    /// A worker says that it is leaving, and is replaced.
    Leaving,
    /// A worker asks for a rest.
    Rest,
    /// Many more callers send for a while.
    Burst,
}

/// All kinds of faults.
pub(super) const ALL_FAULTS: [Fault; 19] = [
    Fault::KillGateway,
    Fault::FreezeGateway,
    Fault::StopGateway,
    Fault::KillWorker,
    Fault::FreezeWorker,
    Fault::KillAgent,
    Fault::FreezeAgent,
    Fault::Cut,
    Fault::HoldOut,
    Fault::HoldBack,
    Fault::Delay,
    Fault::Refuse,
    Fault::StoreDown,
    Fault::StoreSilent,
    Fault::StoreSlow,
    Fault::StoreForgets,
    Fault::Leaving,
    Fault::Rest,
    Fault::Burst,
];

/// What a fault has left behind for the checks.
#[derive(Debug, Default)]
pub(super) struct FaultResult {
    /// A process that did not end well when it was stopped.
    pub(super) failed_stop: Option<String>,
    /// What further callers were answered.
    pub(super) report: Option<load::Report>,
}

impl Fault {
    /// Injects the fault at the process `number` of its kind and clears it.
    pub(super) async fn inject(
        self,
        fleet: &mut GatewayFleet,
        number: usize,
        rng: &mut Rng,
    ) -> Result<FaultResult> {
        let time = Millis(rng.random_range(0..FAULT_MS_MAX));
        let seed = rng.random();
        let gateway = number % fleet.gateways.len();
        let worker = number % fleet.workers.len();
        let mut result = FaultResult::default();
        match self {
            Self::KillGateway => fleet.gateways[gateway].child.restart().await?,
            Self::FreezeGateway => freeze(&fleet.gateways[gateway].child, time).await?,
            Self::StopGateway => {
                let child = &mut fleet.gateways[gateway].child;
                child.terminate()?;
                let status = child.wait_exit().await?;
                if !status.success() {
                    result.failed_stop = Some(format!("{status}: {}", child.recent_output()));
                }
                child.restart().await?;
            }
            Self::KillWorker => {
                fleet.workers[worker].restart().await?;
                fleet.list_worker(worker).await?;
            }
            Self::FreezeWorker => freeze(&fleet.workers[worker], time).await?,
            Self::KillAgent => fleet.agent.restart().await?,
            Self::FreezeAgent => freeze(&fleet.agent, time).await?,
            Self::Cut => fleet.relays[worker].close_connections(),
            Self::HoldOut | Self::HoldBack | Self::Delay | Self::Refuse => {
                let relay = &fleet.relays[worker];
                relay.update(|state| {
                    state.hold_outbound = self == Self::HoldOut;
                    state.hold_inbound = matches!(self, Self::HoldBack | Self::Delay);
                    state.refuse = self == Self::Refuse;
                });
                sleep(time).await;
                if self != Self::Delay {
                    relay.close_connections();
                }
                relay.update(|state| {
                    state.hold_outbound = false;
                    state.hold_inbound = false;
                    state.refuse = false;
                });
            }
            Self::StoreDown | Self::StoreSilent | Self::StoreSlow => {
                let faults = json!({"down": self == Self::StoreDown, "silent": self == Self::StoreSilent,
                    "slow_ms": if self == Self::StoreSlow { time.0 / 2 } else { 0 }});
                fleet.control("/faults", Method::POST, &faults).await?;
                sleep(time).await;
                fleet.control("/faults", Method::POST, &json!({})).await?;
            }
            Self::StoreForgets => fleet.control("/forget", Method::POST, &json!({})).await?,
            Self::Leaving => {
                fleet
                    .set_worker_faults(worker, json!({"leaving": true}))
                    .await?;
                sleep(time).await;
                fleet.list_worker(worker).await?;
            }
            Self::Rest => {
                fleet
                    .set_worker_faults(worker, json!({"rest_seconds": 1 + time.0 / 1_000}))
                    .await?;
                sleep(time).await;
                fleet.set_worker_faults(worker, json!({})).await?;
            }
            Self::Burst => {
                let settings = load::Settings {
                    concurrency: BURST_CALLERS,
                    requests: BURST_CALLS,
                    ..load_settings(fleet, seed)
                };
                result.report = Some(load::run(settings).await?);
            }
        }
        Ok(result)
    }
}

async fn freeze(child: &ChildProcess, time: Millis) -> Result<()> {
    child.suspend()?;
    sleep(time).await;
    child.resume()
}

async fn sleep(time: Millis) {
    tokio::time::sleep(time.duration()).await;
}
