//! In every step, all ranks of a group use the same version of the expert map.

use std::collections::BTreeMap;

use anyhow::{Result, ensure};
use sardinepin_common::MapVersion;
use sardinepin_groups::OrderReply;
use sardinepin_standins::engine::StepRange;
use sardinepin_standins::fleet::{Deployment, Fleet, FleetOptions};
use serde_json::json;

use crate::util::*;

const RANKS: usize = 3;

/// A point in a map switch, as seen at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SwitchPoint {
    /// The engine was told to load the next map.
    Staging,
    /// The engine has loaded the next map.
    Staged,
    /// The engine is armed: it waits before a step until the switch is decided.
    Armed,
}

const POINTS: [SwitchPoint; 3] = [
    SwitchPoint::Staging,
    SwitchPoint::Staged,
    SwitchPoint::Armed,
];

async fn start_group(arguments: &[&str]) -> Result<Fleet> {
    let deployment = Deployment::default()
        .with_service(llm(), RANKS, &["zone-a"])
        .with_group("g", "llm");
    let fleet = Fleet::start(FleetOptions {
        deployment,
        entries: 1,
        engine_arguments: arguments.iter().map(|word| (*word).to_owned()).collect(),
        ..FleetOptions::default()
    })
    .await?;
    wait_links(&fleet).await?;
    Ok(fleet)
}

/// Requests a map with this digest for the group.
async fn request_map(fleet: &Fleet, digest: u64) -> Result<()> {
    fleet
        .put_config("maps", "g", &json!({"digest": digest}))
        .await
}

async fn rank_state(fleet: &Fleet, rank: usize) -> Result<OrderReply> {
    fleet
        .client
        .get_json(fleet.upstreams[rank].address(), "/ranks/state")
        .await
}

/// Returns whether an engine uses the map with this digest and is not armed.
async fn uses_map(fleet: &Fleet, rank: usize, digest: u64) -> Result<bool> {
    let gate = rank_state(fleet, rank).await?.gate;
    let staged = gate.staged.map(|staged| staged.map);
    let active = staged.is_some_and(|map| map.digest == digest && gate.active == map.version);
    Ok(active && gate.armed.is_none())
}

/// Waits until every rank uses the map with this digest.
async fn wait_map(fleet: &Fleet, digest: u64) -> Result<()> {
    let result = wait_until("every rank uses the requested map", async || {
        for rank in 0..RANKS {
            if !uses_map(fleet, rank, digest).await? {
                return Ok(false);
            }
        }
        Ok(true)
    })
    .await;
    if let Err(error) = result {
        let mut gates = Vec::new();
        for rank in 0..RANKS {
            gates.push(rank_state(fleet, rank).await);
        }
        return Err(error.context(format!("{gates:#?}\n{}", fleet.recent_output())));
    }
    Ok(())
}

/// Waits until an engine has reached this point of the switch to the map with this digest, or has
/// completed the switch.
async fn wait_point(fleet: &Fleet, point: SwitchPoint, digest: u64) -> Result<()> {
    wait_until("an engine reaches the point of the switch", async || {
        for rank in 0..RANKS {
            let gate = rank_state(fleet, rank).await?.gate;
            let staged = gate.staged.filter(|staged| staged.map.digest == digest);
            let reached = match point {
                SwitchPoint::Staging => staged.is_some(),
                SwitchPoint::Staged => staged.is_some_and(|staged| staged.ready),
                SwitchPoint::Armed => staged.is_some() && gate.armed.is_some(),
            };
            if reached || uses_map(fleet, rank, digest).await? {
                return Ok(true);
            }
        }
        Ok(false)
    })
    .await
}

/// Checks that no step ran on two map versions. Returns how many records of a step agree with an
/// earlier rank's, and fails if there are none.
async fn check_steps(fleet: &Fleet) -> Result<usize> {
    let mut steps: BTreeMap<u64, MapVersion> = BTreeMap::new();
    let mut shared = 0;
    for upstream in &fleet.upstreams {
        let ranges: Vec<StepRange> = fleet.client.get_json(upstream.address(), "/steps").await?;
        for range in ranges {
            for step in range.from..=range.to {
                match steps.insert(step, range.version) {
                    Some(version) if version != range.version => {
                        anyhow::bail!("step {step} ran on {version:?} and {:?}", range.version);
                    }
                    Some(_) => shared += 1,
                    None => {}
                }
            }
        }
    }
    ensure!(shared > 0, "no step was recorded by two ranks");
    Ok(shared)
}

#[tokio::test(flavor = "multi_thread")]
async fn one_map_in_every_step_of_undisturbed_switches() -> Result<()> {
    let fleet = start_group(&[]).await?;
    for digest in 1..=3 {
        request_map(&fleet, digest).await?;
        wait_map(&fleet, digest).await?;
    }
    check_steps(&fleet).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn one_map_when_an_agent_is_killed_at_any_point() -> Result<()> {
    let mut fleet = start_group(&[]).await?;
    let mut digest = 0;
    for point in POINTS {
        for victim in 0..RANKS {
            digest += 1;
            request_map(&fleet, digest).await?;
            wait_point(&fleet, point, digest).await?;
            fleet.agents[victim].child.kill().await?;
            fleet.restart_agent(victim).await?;
            wait_map(&fleet, digest).await?;
        }
    }
    check_steps(&fleet).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn one_map_when_an_agent_is_frozen_at_any_point_and_thawed() -> Result<()> {
    let fleet = start_group(&[]).await?;
    freeze_agents(&fleet).await
}

#[tokio::test(flavor = "multi_thread")]
async fn one_map_on_engines_that_ignore_fencing_numbers() -> Result<()> {
    let fleet = start_group(&["--check-fence", "false"]).await?;
    freeze_agents(&fleet).await
}

/// Freezes each agent at each point of a switch until another member can have taken over, then
/// thaws it.
async fn freeze_agents(fleet: &Fleet) -> Result<()> {
    let mut digest = 0;
    for point in POINTS {
        for victim in 0..RANKS {
            digest += 1;
            request_map(fleet, digest).await?;
            wait_point(fleet, point, digest).await?;
            fleet.agents[victim].child.suspend()?;
            // Long enough for another agent to become coordinator while this one still takes itself
            // for the coordinator.
            tokio::time::sleep(std::time::Duration::from_millis(2_500)).await;
            fleet.agents[victim].child.resume()?;
            wait_map(fleet, digest).await?;
        }
    }
    check_steps(fleet).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn one_map_when_an_engine_is_killed_at_any_point() -> Result<()> {
    let mut fleet = start_group(&[]).await?;
    let mut digest = 0;
    for point in POINTS {
        for victim in [0, RANKS - 1] {
            digest += 1;
            request_map(&fleet, digest).await?;
            wait_point(&fleet, point, digest).await?;
            fleet.upstreams[victim].kill().await?;
            fleet.restart_upstream(victim).await?;
            wait_map(&fleet, digest).await?;
        }
    }
    check_steps(&fleet).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn one_map_with_the_platform_unavailable_and_order_responses_lost() -> Result<()> {
    let fleet = start_group(&[]).await?;
    request_map(&fleet, 1).await?;
    wait_point(&fleet, SwitchPoint::Staging, 1).await?;
    fleet
        .set_faults(&fleet.platform, &json!({"down": true}))
        .await?;
    fleet
        .set_faults(&fleet.upstreams[1], &json!({"lose_orders": true}))
        .await?;
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    fleet.set_faults(&fleet.upstreams[1], &json!({})).await?;
    wait_map(&fleet, 1).await?;
    check_steps(&fleet).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn one_map_rank_that_cannot_load_weights_keeps_the_group_on_the_old_map() -> Result<()> {
    let fleet = start_group(&[]).await?;
    request_map(&fleet, 1).await?;
    wait_map(&fleet, 1).await?;
    fleet
        .set_faults(&fleet.upstreams[2], &json!({"weights_out": true}))
        .await?;
    request_map(&fleet, 2).await?;
    wait_point(&fleet, SwitchPoint::Staged, 2).await?;
    let before = rank_state(&fleet, 0).await?.next_step;
    wait_until("the group runs further steps", async || {
        Ok(rank_state(&fleet, 0).await?.next_step > before + 100)
    })
    .await?;
    assert!(!uses_map(&fleet, 0, 2).await?);
    fleet.set_faults(&fleet.upstreams[2], &json!({})).await?;
    check_steps(&fleet).await?;
    Ok(())
}
