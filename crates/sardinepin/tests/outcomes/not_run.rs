//! The outcome "not run" is reported only for requests that did not run.

use anyhow::Result;
use serde_json::json;

use crate::util::*;

#[tokio::test(flavor = "multi_thread")]
async fn not_run_full_agent_refuses() -> Result<()> {
    let settings = json!({"agent": {"slots": 1, "queue_max": 1}});
    let fleet = start_fleet(app(), 1, 1, settings).await?;
    set_upstream_faults(&fleet, json!({"hold_before": true})).await?;
    let calls: Vec<_> = (0..6)
        .map(|index| spawn_book(&fleet, 0, &format!("k{index}")))
        .collect();
    wait_held(&fleet).await?;
    release_held(&fleet).await;
    for (index, call) in calls.into_iter().enumerate() {
        let response = call.await??;
        let expected = u64::from(outcome(&response) == "answered");
        assert!(["answered", "not_run"].contains(&outcome(&response)));
        assert_eq!(count_runs(&fleet, &format!("k{index}")).await?, expected);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn not_run_attempt_lost_before_the_agent_is_settled() -> Result<()> {
    let fleet = start_fleet(app(), 1, 1, json!({})).await?;
    let relay = insert_relay(&fleet, 0).await?;
    relay.update(|flow| flow.hold_outbound = true);
    let call = spawn_book(&fleet, 0, "k");
    // The relay holds the attempt's frame, which is then lost with the connection.
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    relay.close_connections();
    relay.update(|flow| flow.hold_outbound = false);
    let response = call.await??;
    let expected = u64::from(outcome(&response) == "answered");
    assert_ne!(outcome(&response), "unknown", "{}", fleet.recent_output());
    assert_eq!(count_runs(&fleet, "k").await?, expected);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_not_reported_when_the_agent_is_unreachable() -> Result<()> {
    let fleet = start_fleet(app(), 1, 1, json!({"entry": {"settle_ms": 300}})).await?;
    let relay = insert_relay(&fleet, 0).await?;
    set_upstream_faults(&fleet, json!({"hold_before": true})).await?;
    let call = spawn_book(&fleet, 0, "k");
    wait_held(&fleet).await?;
    relay.update(|flow| flow.refuse = true);
    relay.close_connections();
    assert_eq!(outcome(&call.await??), "unknown");
    release_held(&fleet).await;
    wait_until("the call has run", async || {
        Ok(count_runs(&fleet, "k").await? == 1)
    })
    .await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_reported_when_the_upstream_is_down() -> Result<()> {
    let mut fleet = start_fleet(app(), 1, 1, json!({})).await?;
    fleet.upstreams[0].kill().await?;
    let response = book(&fleet, 0, "k", "seat").await?;
    assert_eq!(outcome(&response), "not_run");
    assert!(!response.header("retry-after").is_empty());
    fleet.restart_upstream(0).await?;
    wait_until("a repeat is answered", async || {
        Ok(outcome(&book(&fleet, 0, "k", "seat").await?) == "answered")
    })
    .await?;
    assert_eq!(count_runs(&fleet, "k").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_not_reported_after_the_agent_was_replaced() -> Result<()> {
    let mut fleet = start_fleet(app(), 1, 1, json!({})).await?;
    set_upstream_faults(&fleet, json!({"hold_before": true})).await?;
    // The call has no key, so that only the entry's rules for retries prevent a second run.
    let caller = fleet.client.clone();
    let entry = fleet.entries[0].address();
    let call = tokio::spawn(async move {
        let headers = [("x-organisation", "o1"), ("x-request-id", "once")];
        let body = bytes::Bytes::from_static(b"seat");
        caller
            .request(http::Method::POST, entry, "/other", &headers, body)
            .await
    });
    wait_held(&fleet).await?;
    fleet.restart_agent(0).await?;
    assert_eq!(outcome(&call.await??), "unknown");
    release_held(&fleet).await;
    wait_until("the call has run", async || {
        let runs = counts(&fleet, 0).await?.requests;
        Ok(runs.get("once").copied() == Some(1))
    })
    .await
}
