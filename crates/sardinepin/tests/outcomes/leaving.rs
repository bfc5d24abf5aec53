//! An upstream that is leaving gets no new requests and finishes those it has.

use anyhow::{Result, ensure};
use sardinepin_config::Upstream;
use sardinepin_protocol::UpstreamState;
use sardinepin_standins::fleet::Fleet;
use sardinepin_standins::http::FullResponse;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::util::*;

/// The number of calls that show which upstream gets new requests.
const PROBES: usize = 20;

/// Calls that are held at the upstreams, and the upstream that is preferred for new requests.
struct HeldCalls {
    calls: Vec<JoinHandle<Result<FullResponse>>>,
    preferred: usize,
}

/// Holds calls at every upstream, so that new calls go to the upstream that holds the fewest.
async fn hold_calls(fleet: &Fleet) -> Result<HeldCalls> {
    set_upstream_faults(fleet, json!({"hold_before": true})).await?;
    let mut calls = Vec::new();
    // One call more than there are upstreams, so that one upstream holds more than the others.
    for all in 1..=fleet.upstreams.len() as u64 + 1 {
        calls.push(spawn_status(fleet, 0));
        wait_until("the call is held", async || {
            Ok(count_held(fleet).await?.iter().sum::<u64>() == all)
        })
        .await?;
    }
    let held = count_held(fleet).await?;
    let fewest = held.iter().copied().min().unwrap_or_default();
    ensure!(fewest > 0, "the calls are not spread: {held:?}");
    let preferred = held
        .iter()
        .position(|count| *count == fewest)
        .unwrap_or_default();
    set_upstream_faults(fleet, json!({"hold_before": true, "only": "nothing"})).await?;
    ensure!(
        count_probes(fleet, 0, preferred).await? > 0,
        "new calls do not go to the preferred upstream"
    );
    Ok(HeldCalls { calls, preferred })
}

async fn count_held(fleet: &Fleet) -> Result<Vec<u64>> {
    let mut held = Vec::new();
    for index in 0..fleet.upstreams.len() {
        held.push(counts(fleet, index).await?.held_before);
    }
    Ok(held)
}

/// Sends calls to one entry and returns how many of them arrived at upstream `index`.
async fn count_probes(fleet: &Fleet, entry: usize, index: usize) -> Result<u64> {
    let before = counts(fleet, index).await?.arrived;
    for _ in 0..PROBES {
        let response = get_status(fleet, entry).await?;
        assert_eq!(
            outcome(&response),
            "answered",
            "{}\n{}",
            reason(&response),
            fleet.recent_output()
        );
    }
    Ok(counts(fleet, index).await?.arrived - before)
}

/// Waits until no entry sends new calls to the preferred upstream, then lets the held calls finish.
async fn finish_held(fleet: &Fleet, held: HeldCalls) -> Result<()> {
    wait_until("no new call arrives", async || {
        let mut arrived = 0;
        for entry in 0..fleet.entries.len() {
            arrived += count_probes(fleet, entry, held.preferred).await?;
        }
        Ok(arrived == 0)
    })
    .await?;
    release_held(fleet).await;
    for call in held.calls {
        assert_eq!(outcome(&call.await??), "answered");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_agent_notifies_entries_while_the_platform_is_unavailable() -> Result<()> {
    let mut fleet = start_fleet(app(), 2, 2, json!({})).await?;
    let held = hold_calls(&fleet).await?;
    let index = held.preferred;
    fleet
        .set_faults(&fleet.platform, &json!({"down": true}))
        .await?;
    terminate_agent(&fleet, index).await?;
    finish_held(&fleet, held).await?;
    assert!(fleet.agents[index].child.wait_exit().await?.success());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstream_set_by_an_operator_finishes_and_gets_no_new_work() -> Result<()> {
    for state in [UpstreamState::Draining, UpstreamState::Retired] {
        let fleet = start_fleet(app(), 2, 2, json!({})).await?;
        let held = hold_calls(&fleet).await?;
        let upstream = fleet.deployment.upstreams[held.preferred].clone();
        let name = upstream.name.clone();
        let leaving = Upstream {
            address: fleet.agents[held.preferred].address().to_string(),
            state,
            ..upstream
        };
        fleet.put_config("upstreams", &name, &leaving).await?;
        finish_held(&fleet, held).await?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_agent_refuses_work_of_an_entry_that_has_not_heard() -> Result<()> {
    let fleet = start_fleet(app(), 1, 1, json!({})).await?;
    let relay = insert_relay(&fleet, 0).await?;
    set_upstream_faults(&fleet, json!({"hold_before": true})).await?;
    let open = spawn_book(&fleet, 0, "open");
    wait_held(&fleet).await?;
    relay.update(|flow| flow.hold_inbound = true);
    terminate_agent(&fleet, 0).await?;
    let late = spawn_book(&fleet, 0, "late");
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    relay.update(|flow| flow.hold_inbound = false);
    let late = late.await??;
    assert_eq!(
        outcome(&late),
        "not_run",
        "{}\n{}",
        reason(&late),
        fleet.recent_output()
    );
    release_held(&fleet).await;
    assert_eq!(outcome(&open.await??), "answered");
    assert_eq!(count_runs(&fleet, "late").await?, 0);
    Ok(())
}
