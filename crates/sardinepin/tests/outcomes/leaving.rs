//! An upstream that is leaving gets no new work.

use anyhow::{Result, ensure};
use sardinepin_config::Upstream;
use sardinepin_protocol::UpstreamState;
use sardinepin_standins::fleet::Fleet;
use sardinepin_standins::http::Answer;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::util::*;

/// How many calls show where new work goes.
const PROBES: usize = 20;

/// Calls that are held at the upstreams, and the upstream that new work goes to.
struct Held {
    calls: Vec<JoinHandle<Result<Answer>>>,
    preferred: usize,
}

/// Holds calls at every upstream, so that a new call goes to the one that holds fewer.
async fn hold(fleet: &Fleet) -> Result<Held> {
    upstream_faults(fleet, json!({"hold_before": true})).await?;
    let mut calls = Vec::new();
    // One more than there are upstreams, so that one of them holds more than the others.
    for all in 1..=fleet.upstreams.len() as u64 + 1 {
        calls.push(start_status(fleet, 0));
        until("the call is held", async || {
            Ok(held(fleet).await?.iter().sum::<u64>() == all)
        })
        .await?;
    }
    let held = held(fleet).await?;
    let fewest = held.iter().copied().min().unwrap_or_default();
    ensure!(fewest > 0, "the calls are not spread: {held:?}");
    let preferred = held
        .iter()
        .position(|count| *count == fewest)
        .unwrap_or_default();
    upstream_faults(fleet, json!({"hold_before": true, "only": "nothing"})).await?;
    ensure!(
        probes(fleet, 0, preferred).await? > 0,
        "new work goes elsewhere anyway"
    );
    Ok(Held { calls, preferred })
}

async fn held(fleet: &Fleet) -> Result<Vec<u64>> {
    let mut held = Vec::new();
    for at in 0..fleet.upstreams.len() {
        held.push(counts(fleet, at).await?.held_before);
    }
    Ok(held)
}

/// Sends calls at one entry and returns how many of them came to upstream `at`.
async fn probes(fleet: &Fleet, entry: usize, at: usize) -> Result<u64> {
    let before = counts(fleet, at).await?.arrived;
    for _ in 0..PROBES {
        let answer = status(fleet, entry).await?;
        assert_eq!(
            outcome(&answer),
            "answered",
            "{}\n{}",
            reason(&answer),
            fleet.output()
        );
    }
    Ok(counts(fleet, at).await?.arrived - before)
}

/// Waits until no entry sends new work to the upstream, then lets the held calls finish.
async fn finish(fleet: &Fleet, held: Held) -> Result<()> {
    until("no new work comes", async || {
        let mut arrived = 0;
        for entry in 0..fleet.entries.len() {
            arrived += probes(fleet, entry, held.preferred).await?;
        }
        Ok(arrived == 0)
    })
    .await?;
    release(fleet).await;
    for call in held.calls {
        assert_eq!(outcome(&call.await??), "answered");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_agent_says_so_itself_with_the_platform_out() -> Result<()> {
    let mut fleet = start(app(), 2, 2, json!({})).await?;
    let held = hold(&fleet).await?;
    let at = held.preferred;
    fleet
        .faults(&fleet.platform, &json!({"down": true}))
        .await?;
    leave(&fleet, at).await?;
    finish(&fleet, held).await?;
    assert!(fleet.agents[at].child.wait_exit().await?.success());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_by_operator_finishes_and_gets_no_new_work() -> Result<()> {
    for state in [UpstreamState::Draining, UpstreamState::Retired] {
        let fleet = start(app(), 2, 2, json!({})).await?;
        let held = hold(&fleet).await?;
        let upstream = fleet.deployment.upstreams[held.preferred].clone();
        let name = upstream.name.clone();
        let leaving = Upstream {
            address: fleet.agents[held.preferred].address().to_string(),
            state,
            ..upstream
        };
        fleet.put_config("upstreams", &name, &leaving).await?;
        finish(&fleet, held).await?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_agent_refuses_work_of_an_entry_that_has_not_heard() -> Result<()> {
    let fleet = start(app(), 1, 1, json!({})).await?;
    let relay = relay(&fleet, 0).await?;
    upstream_faults(&fleet, json!({"hold_before": true})).await?;
    let open = start_book(&fleet, 0, "open");
    wait_held(&fleet).await?;
    relay.change(|flow| flow.hold_back = true);
    leave(&fleet, 0).await?;
    let late = start_book(&fleet, 0, "late");
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    relay.change(|flow| flow.hold_back = false);
    let late = late.await??;
    assert_eq!(
        outcome(&late),
        "not_run",
        "{}\n{}",
        reason(&late),
        fleet.output()
    );
    release(&fleet).await;
    assert_eq!(outcome(&open.await??), "answered");
    assert_eq!(runs(&fleet, "late").await?, 0);
    Ok(())
}
