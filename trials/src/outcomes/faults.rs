//! The faults of the trial: each begins, lasts and is healed within one round.

use anyhow::Result;
use rand::Rng as _;
use sardinepin_common::{Millis, Rng};
use serde_json::json;

use super::system::System;

/// The longest time that a fault lasts, in milliseconds.
const LASTS_MAX: u64 = 2_500;

/// The most writes of the platform whose answers are lost or that come late, in one round.
const WRITES_MAX: u32 = 20;

/// How much later a late write takes effect, in milliseconds.
const LATE_MS: u64 = 1_000;

/// What a process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Part {
    Entry,
    Agent,
    Upstream,
}

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// Nothing fails.
    None,
    /// Killed by SIGKILL and started again.
    Kill(Part),
    /// Stopped by SIGSTOP and let go on.
    Freeze(Part),
    /// Told to stop by SIGTERM and started again; an entry or an agent.
    Stop(Part),
    /// The links to an agent are closed.
    Cut,
    /// Bytes to an agent are held, then lost with the link.
    HoldOut,
    /// Bytes from an agent are held, then lost with the link.
    HoldBack,
    /// The platform does not answer.
    PlatformDown,
    /// The platform takes its time.
    PlatformSlow,
    /// Writes take effect and their answers are lost.
    LostAnswers,
    /// Writes take effect after their connection was closed.
    LateWrites,
}

/// All kinds, the quiet one first.
pub(super) const ALL: [Fault; 16] = [
    Fault::None,
    Fault::Kill(Part::Entry),
    Fault::Kill(Part::Agent),
    Fault::Kill(Part::Upstream),
    Fault::Freeze(Part::Entry),
    Fault::Freeze(Part::Agent),
    Fault::Freeze(Part::Upstream),
    Fault::Stop(Part::Entry),
    Fault::Stop(Part::Agent),
    Fault::Cut,
    Fault::HoldOut,
    Fault::HoldBack,
    Fault::PlatformDown,
    Fault::PlatformSlow,
    Fault::LostAnswers,
    Fault::LateWrites,
];

impl Fault {
    /// Returns the name in the line of the trial.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Kill(Part::Entry) => "kill_entry",
            Self::Kill(Part::Agent) => "kill_agent",
            Self::Kill(Part::Upstream) => "kill_upstream",
            Self::Freeze(Part::Entry) => "freeze_entry",
            Self::Freeze(Part::Agent) => "freeze_agent",
            Self::Freeze(Part::Upstream) => "freeze_upstream",
            Self::Stop(Part::Entry) => "stop_entry",
            Self::Stop(_) => "stop_agent",
            Self::Cut => "cut",
            Self::HoldOut => "hold_out",
            Self::HoldBack => "hold_back",
            Self::PlatformDown => "platform_down",
            Self::PlatformSlow => "platform_slow",
            Self::LostAnswers => "lost_answers",
            Self::LateWrites => "late_writes",
        }
    }

    /// Brings the fault about and heals it; returns how many nodes cut something off in a graceful
    /// stop.
    pub(super) async fn show(self, system: &mut System, rng: &mut Rng) -> Result<u64> {
        let lasts = Millis(rng.random_range(0..LASTS_MAX));
        let agent = rng.random_range(0..system.fleet.agents.len());
        match self {
            Self::None => {}
            Self::Kill(part) => kill(system, part, agent, rng).await?,
            Self::Freeze(part) => freeze(system, part, agent, lasts, rng).await?,
            Self::Stop(part) => return stop(system, part, agent, rng).await,
            Self::Cut => system.relays[agent].close_connections(),
            Self::HoldOut | Self::HoldBack => {
                let relay = &system.relays[agent];
                relay.update(|flow| {
                    flow.hold_outbound = self == Self::HoldOut;
                    flow.hold_inbound = self == Self::HoldBack;
                });
                tokio::time::sleep(lasts.duration()).await;
                relay.close_connections();
                relay.update(|flow| {
                    flow.hold_outbound = false;
                    flow.hold_inbound = false;
                });
            }
            Self::PlatformDown | Self::PlatformSlow | Self::LostAnswers | Self::LateWrites => {
                self.platform(system, lasts, rng).await?;
            }
        }
        Ok(0)
    }

    async fn platform(self, system: &System, lasts: Millis, rng: &mut Rng) -> Result<()> {
        let writes = rng.random_range(1..=WRITES_MAX);
        let faults = match self {
            Self::PlatformDown => json!({"down": true}),
            Self::PlatformSlow => json!({"slow_ms": lasts.0 / 2}),
            Self::LostAnswers => json!({"lose_answers": writes}),
            _ => json!({"late_writes": writes, "late_ms": LATE_MS}),
        };
        let fleet = &system.fleet;
        fleet.set_faults(&fleet.platform, &faults).await?;
        tokio::time::sleep(lasts.duration()).await;
        fleet.set_faults(&fleet.platform, &json!({})).await
    }
}

async fn kill(system: &mut System, part: Part, agent: usize, rng: &mut Rng) -> Result<()> {
    let fleet = &mut system.fleet;
    match part {
        Part::Entry => {
            let entry = rng.random_range(0..fleet.entries.len());
            fleet.restart_entry(entry).await
        }
        Part::Agent => fleet.restart_agent(agent).await,
        Part::Upstream => fleet.restart_upstream(agent).await,
    }
}

async fn freeze(
    system: &System,
    part: Part,
    agent: usize,
    lasts: Millis,
    rng: &mut Rng,
) -> Result<()> {
    let fleet = &system.fleet;
    let process = match part {
        Part::Entry => &fleet.entries[rng.random_range(0..fleet.entries.len())].child,
        Part::Agent => &fleet.agents[agent].child,
        Part::Upstream => &fleet.upstreams[agent],
    };
    process.suspend()?;
    tokio::time::sleep(lasts.duration()).await;
    process.resume()
}

async fn stop(system: &mut System, part: Part, agent: usize, rng: &mut Rng) -> Result<u64> {
    let fleet = &mut system.fleet;
    let entry = rng.random_range(0..fleet.entries.len());
    let node = match part {
        Part::Entry => &mut fleet.entries[entry],
        _ => &mut fleet.agents[agent],
    };
    node.child.terminate()?;
    let status = node.child.wait_exit().await?;
    let has_cut = !status.success() || node.child.recent_output().contains("\"event\":\"cut\"");
    node.restart().await?;
    Ok(u64::from(has_cut))
}
