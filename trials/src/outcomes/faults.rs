//! The faults that the trial injects. Each is injected and cleared within one round.

use anyhow::Result;
use rand::Rng as _;
use sardinepin_common::{Clock, Millis, Rng};
use serde_json::json;

use super::deployment::{PLAIN_UPSTREAMS, RelayedFleet};

/// The longest duration of a fault, in milliseconds.
const FAULT_MS_MAX: u64 = 4_000;

/// The maximum number of platform writes that are delayed or lose their answers in one round.
const WRITES_MAX: u32 = 20;

/// The first message of all streams of one organisation.
const CRASHING_MESSAGE: &str = "You help o3.";

/// How long it crashes engines.
const CRASHING_TIME: Millis = Millis(4_000);

/// The interval at which engines are looked at meanwhile.
const CRASH_POLL_INTERVAL: Millis = Millis(20);

/// The delay of a late write, in milliseconds.
const LATE_WRITE_MS: u64 = 1_000;

/// The role of a process that a fault hits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Process {
    Entry,
    Agent,
    Upstream,
}

/// What a fault has done, as far as the trial counts it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FaultResult {
    /// Nodes that interrupted a call in a graceful stop or exited with an error.
    pub(crate) interrupted_nodes: u64,
    /// Engines that a message has crashed.
    pub(crate) crashed_engines: u64,
}

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No fault.
    None,
    /// A process is killed by SIGKILL and restarted.
    Kill(Process),
    /// A process is stopped by SIGSTOP and later continued.
    Freeze(Process),
    /// An entry or an agent is stopped gracefully by SIGTERM and restarted.
    Stop(Process),
    /// The links of an agent are closed.
    Cut,
    /// Bytes to an agent are held back, then lost when the link is closed.
    HoldOut,
    /// Bytes from an agent are held back, then lost when the link is closed.
    HoldBack,
    /// Bytes to an agent are held back, then delivered unless their sender has reset the link.
    DelayOut,
    /// A message that many prompts share crashes each engine that answers to it; crashed engines are
    /// started again at once.
    CrashingMessage,
    /// The platform does not answer.
    PlatformDown,
    /// The platform answers slowly.
    PlatformSlow,
    /// Platform writes take effect, but their answers are lost.
    LostAnswers,
    /// Platform writes take effect after their connection was closed.
    LateWrites,
}

/// All kinds of faults.
pub(crate) const ALL_FAULTS: [Fault; 18] = [
    Fault::None,
    Fault::Kill(Process::Entry),
    Fault::Kill(Process::Agent),
    Fault::Kill(Process::Upstream),
    Fault::Freeze(Process::Entry),
    Fault::Freeze(Process::Agent),
    Fault::Freeze(Process::Upstream),
    Fault::Stop(Process::Entry),
    Fault::Stop(Process::Agent),
    Fault::Cut,
    Fault::HoldOut,
    Fault::HoldBack,
    Fault::DelayOut,
    Fault::CrashingMessage,
    Fault::PlatformDown,
    Fault::PlatformSlow,
    Fault::LostAnswers,
    Fault::LateWrites,
];

impl Fault {
    /// Returns the name of the fault in the JSON line.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Kill(Process::Entry) => "kill_entry",
            Self::Kill(Process::Agent) => "kill_agent",
            Self::Kill(Process::Upstream) => "kill_upstream",
            Self::Freeze(Process::Entry) => "freeze_entry",
            Self::Freeze(Process::Agent) => "freeze_agent",
            Self::Freeze(Process::Upstream) => "freeze_upstream",
            Self::Stop(Process::Entry) => "stop_entry",
            Self::Stop(_) => "stop_agent",
            Self::Cut => "cut",
            Self::HoldOut => "hold_out",
            Self::HoldBack => "hold_back",
            Self::DelayOut => "delay_out",
            Self::CrashingMessage => "crashing_message",
            Self::PlatformDown => "platform_down",
            Self::PlatformSlow => "platform_slow",
            Self::LostAnswers => "lost_answers",
            Self::LateWrites => "late_writes",
        }
    }

    /// Injects the fault and clears it.
    pub(crate) async fn inject(
        self,
        deployment: &mut RelayedFleet,
        rng: &mut Rng,
    ) -> Result<FaultResult> {
        let mut result = FaultResult::default();
        let duration = Millis(rng.random_range(0..FAULT_MS_MAX));
        let agent = rng.random_range(0..deployment.fleet.agents.len());
        match self {
            Self::None => {}
            Self::Kill(process) => kill(deployment, process, agent, rng).await?,
            Self::Freeze(process) => freeze(deployment, process, agent, duration, rng).await?,
            Self::Stop(process) => {
                result.interrupted_nodes = stop(deployment, process, agent, rng).await?;
            }
            Self::CrashingMessage => result.crashed_engines = crash_engines(deployment).await?,
            Self::Cut => deployment.relays[agent].close_connections(),
            Self::HoldOut | Self::HoldBack => {
                let relay = &deployment.relays[agent];
                relay.update(|state| {
                    state.hold_outbound = self == Self::HoldOut;
                    state.hold_inbound = self == Self::HoldBack;
                });
                tokio::time::sleep(duration.duration()).await;
                relay.close_connections();
                relay.update(|state| {
                    state.hold_outbound = false;
                    state.hold_inbound = false;
                });
            }
            Self::DelayOut => {
                let relay = &deployment.relays[agent];
                relay.update(|state| state.hold_outbound = true);
                tokio::time::sleep(duration.duration()).await;
                relay.update(|state| state.hold_outbound = false);
            }
            Self::PlatformDown | Self::PlatformSlow | Self::LostAnswers | Self::LateWrites => {
                self.inject_platform(deployment, duration, rng).await?;
            }
        }
        Ok(result)
    }

    /// Injects a platform fault for a while, then clears all platform faults.
    async fn inject_platform(
        self,
        deployment: &RelayedFleet,
        duration: Millis,
        rng: &mut Rng,
    ) -> Result<()> {
        let writes = rng.random_range(1..=WRITES_MAX);
        let faults = match self {
            Self::PlatformDown => json!({"down": true}),
            Self::PlatformSlow => json!({"slow_ms": duration.0 / 2}),
            Self::LostAnswers => json!({"lose_answers": writes}),
            _ => json!({"late_writes": writes, "late_ms": LATE_WRITE_MS}),
        };
        let fleet = &deployment.fleet;
        fleet.set_faults(&fleet.platform, &faults).await?;
        tokio::time::sleep(duration.duration()).await;
        fleet.set_faults(&fleet.platform, &json!({})).await
    }
}

/// Makes a message crash engines, starts those that crash again, and returns how many crashed.
async fn crash_engines(deployment: &mut RelayedFleet) -> Result<u64> {
    let fleet = &mut deployment.fleet;
    let faults = json!({"crash_on": CRASHING_MESSAGE});
    let engines = PLAIN_UPSTREAMS..fleet.upstreams.len();
    for engine in engines.clone() {
        fleet.set_faults(&fleet.upstreams[engine], &faults).await?;
    }
    let clock = Clock::start();
    let mut crashed = 0;
    while clock.now() < CRASHING_TIME {
        for engine in engines.clone() {
            if fleet.upstreams[engine].has_exited()? {
                crashed += 1;
                fleet.restart_upstream(engine).await?;
                fleet.set_faults(&fleet.upstreams[engine], &faults).await?;
            }
        }
        tokio::time::sleep(CRASH_POLL_INTERVAL.duration()).await;
    }
    for engine in engines {
        fleet
            .set_faults(&fleet.upstreams[engine], &json!({}))
            .await?;
    }
    Ok(crashed)
}

async fn kill(
    deployment: &mut RelayedFleet,
    process: Process,
    agent: usize,
    rng: &mut Rng,
) -> Result<()> {
    let fleet = &mut deployment.fleet;
    match process {
        Process::Entry => {
            let entry = rng.random_range(0..fleet.entries.len());
            fleet.restart_entry(entry).await
        }
        Process::Agent => fleet.restart_agent(agent).await,
        Process::Upstream => fleet.restart_upstream(agent).await,
    }
}

async fn freeze(
    deployment: &RelayedFleet,
    process: Process,
    agent: usize,
    duration: Millis,
    rng: &mut Rng,
) -> Result<()> {
    let fleet = &deployment.fleet;
    let child = match process {
        Process::Entry => &fleet.entries[rng.random_range(0..fleet.entries.len())].child,
        Process::Agent => &fleet.agents[agent].child,
        Process::Upstream => &fleet.upstreams[agent],
    };
    child.suspend()?;
    tokio::time::sleep(duration.duration()).await;
    child.resume()
}

async fn stop(
    deployment: &mut RelayedFleet,
    process: Process,
    agent: usize,
    rng: &mut Rng,
) -> Result<u64> {
    let fleet = &mut deployment.fleet;
    let entry = rng.random_range(0..fleet.entries.len());
    let node = match process {
        Process::Entry => &mut fleet.entries[entry],
        _ => &mut fleet.agents[agent],
    };
    node.child.terminate()?;
    let status = node.child.wait_exit().await?;
    let has_interrupted =
        !status.success() || node.child.recent_output().contains("\"event\":\"cut\"");
    node.restart().await?;
    Ok(u64::from(has_interrupted))
}
