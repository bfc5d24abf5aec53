//! A request whose caller or deadline has gone reaches no upstream any more.

use anyhow::Result;
use sardinepin_config::Service;
use sardinepin_standins::fleet::Fleet;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::util::*;

/// How long a request that is still on its way would take to reach the upstream.
const LATE_TIME: std::time::Duration = std::time::Duration::from_millis(2_500);

/// A request that may be repeated.
const STATUS: &str = "GET /status HTTP/1.1\r\nhost: x\r\nx-organisation: o1\r\n\r\n";

/// Sends a request over a connection of its own, which ends when it is dropped.
async fn send_status(fleet: &Fleet) -> Result<TcpStream> {
    let mut caller = TcpStream::connect(fleet.entries[0].address()).await?;
    caller.write_all(STATUS.as_bytes()).await?;
    Ok(caller)
}

/// Waits until the entry has given up its link to the agent.
async fn wait_link_given_up(fleet: &Fleet) -> Result<()> {
    wait_until("the entry gives up the link", async || {
        let output = fleet.entries[0].child.recent_output();
        Ok(output.contains("\"link_silent\""))
    })
    .await
}

/// Returns how many attempts the agent has admitted.
fn count_admitted(fleet: &Fleet) -> usize {
    let output = fleet.agents[0].child.recent_output();
    output.matches("\"event\":\"attempt\"").count()
}

/// Returns how many calls arrive at the upstream after `release` has been called.
async fn count_late(fleet: &Fleet, release: impl FnOnce() -> Result<()>) -> Result<u64> {
    let before = counts(fleet, 0).await?.arrived;
    release()?;
    tokio::time::sleep(LATE_TIME).await;
    Ok(counts(fleet, 0).await?.arrived - before)
}

#[tokio::test(flavor = "multi_thread")]
async fn late_request_of_a_caller_that_left_a_frozen_agent_does_not_run() -> Result<()> {
    let fleet = start_fleet(app(), 1, 1, json!({"entry": {"settle_ms": 10_000}})).await?;
    fleet.agents[0].child.suspend()?;
    let caller = send_status(&fleet).await?;
    wait_link_given_up(&fleet).await?;
    drop(caller);
    let late = count_late(&fleet, || fleet.agents[0].child.resume()).await?;
    assert_eq!(late, 0, "{}", fleet.recent_output());
    assert_eq!(outcome(&get_status(&fleet, 0).await?), "answered");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn late_call_past_its_deadline_at_a_frozen_agent_does_not_run() -> Result<()> {
    let service = Service {
        deadline_ms: 2_500,
        ..app()
    };
    let fleet = start_fleet(service, 1, 1, json!({})).await?;
    fleet.agents[0].child.suspend()?;
    let response = book(&fleet, 0, "k", "seat").await?;
    assert_ne!(outcome(&response), "answered");
    let late = count_late(&fleet, || fleet.agents[0].child.resume()).await?;
    assert_eq!(late, 0, "{}", fleet.recent_output());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn late_request_that_waited_at_a_frozen_agent_does_not_run() -> Result<()> {
    let settings = json!({
        "agent": {"slots": 1}, "entry": {"settle_ms": 10_000}, "log": {"level": "debug"}
    });
    let fleet = start_fleet(app(), 1, 1, settings).await?;
    set_upstream_faults(&fleet, json!({"hold_before": true})).await?;
    let running = spawn_status(&fleet, 0);
    wait_held(&fleet).await?;
    let admitted = count_admitted(&fleet);
    let waiting = send_status(&fleet).await?;
    wait_until("the second request waits at the agent", async || {
        Ok(count_admitted(&fleet) > admitted)
    })
    .await?;
    fleet.agents[0].child.suspend()?;
    wait_link_given_up(&fleet).await?;
    drop(waiting);
    release_held(&fleet).await;
    let late = count_late(&fleet, || fleet.agents[0].child.resume()).await?;
    assert_eq!(late, 0, "{}", fleet.recent_output());
    assert_eq!(outcome(&running.await??), "answered");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn late_request_that_the_network_held_up_is_lost_with_its_link() -> Result<()> {
    let fleet = start_fleet(app(), 1, 1, json!({"entry": {"settle_ms": 10_000}})).await?;
    let relay = insert_relay(&fleet, 0).await?;
    relay.update(|flow| flow.hold_outbound = true);
    let caller = send_status(&fleet).await?;
    wait_link_given_up(&fleet).await?;
    drop(caller);
    let late = count_late(&fleet, || {
        relay.update(|flow| flow.hold_outbound = false);
        Ok(())
    })
    .await?;
    assert_eq!(late, 0, "{}", fleet.recent_output());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn late_request_of_a_caller_that_left_with_another_request_sent_is_cancelled() -> Result<()> {
    let fleet = start_fleet(app(), 1, 1, json!({"agent": {"slots": 1}})).await?;
    set_upstream_faults(&fleet, json!({"hold_before": true})).await?;
    let mut caller = send_status(&fleet).await?;
    caller.write_all(STATUS.as_bytes()).await?;
    wait_held(&fleet).await?;
    // Further requests are not held, and get the only slot if the cancelled one gives it back.
    set_upstream_faults(&fleet, json!({"hold_before": true, "only": "nothing"})).await?;
    drop(caller);
    let answered = tokio::time::timeout(LATE_TIME, get_status(&fleet, 0)).await;
    assert!(answered.is_ok(), "{}", fleet.recent_output());
    release_held(&fleet).await;
    Ok(())
}
