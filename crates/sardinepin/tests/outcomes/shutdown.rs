//! A graceful shutdown cuts off no request in flight; a second signal does, and logs it.

use std::net::SocketAddr;

use anyhow::Result;
use bytes::Bytes;
use http::Method;
use sardinepin_standins::http::HttpClient;
use serde_json::json;

use crate::util::*;

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_of_an_entry_finishes_open_requests() -> Result<()> {
    let mut fleet = start_fleet(app(), 1, 1, json!({"stop": {"grace_ms": 50}})).await?;
    set_upstream_faults(&fleet, json!({"hold_before": true})).await?;
    let call = spawn_book(&fleet, 0, "k");
    wait_held(&fleet).await?;
    fleet.entries[0].child.terminate()?;
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    release_held(&fleet).await;
    assert_eq!(outcome(&call.await??), "answered");
    assert!(fleet.entries[0].child.wait_exit().await?.success());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_of_an_agent_finishes_open_requests() -> Result<()> {
    let mut fleet = start_fleet(app(), 1, 1, json!({})).await?;
    set_upstream_faults(&fleet, json!({"hold_before": true})).await?;
    let call = spawn_book(&fleet, 0, "k");
    wait_held(&fleet).await?;
    terminate_agent(&fleet, 0).await?;
    let refused = book(&fleet, 0, "k2", "seat").await?;
    assert_eq!(outcome(&refused), "not_run");
    release_held(&fleet).await;
    assert_eq!(outcome(&call.await??), "answered");
    assert!(fleet.agents[0].child.wait_exit().await?.success());
    assert_eq!(count_runs(&fleet, "k2").await?, 0);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_by_a_second_signal_logs_cut_requests() -> Result<()> {
    let mut fleet = start_fleet(app(), 1, 1, json!({"stop": {"grace_ms": 50}})).await?;
    set_upstream_faults(&fleet, json!({"hold_before": true})).await?;
    let call = spawn_book(&fleet, 0, "k");
    wait_held(&fleet).await?;
    fleet.entries[0].child.terminate()?;
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    fleet.entries[0].child.terminate()?;
    assert!(!fleet.entries[0].child.wait_exit().await?.success());
    wait_until("the entry logs that requests were cut off", async || {
        Ok(fleet.entries[0].child.recent_output().contains("\"cut\""))
    })
    .await?;
    assert!(call.await?.is_err());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_of_an_entry_breaks_no_connection_of_busy_callers() -> Result<()> {
    let mut fleet = start_fleet(app(), 1, 1, json!({"stop": {"grace_ms": 300}})).await?;
    let entry = fleet.entries[0].address();
    let callers: Vec<_> = (0..16)
        .map(|_| tokio::spawn(call_until_refused(fleet.client.clone(), entry)))
        .collect();
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    fleet.entries[0].child.terminate()?;
    for caller in callers {
        let error = caller.await?;
        let refused = error
            .downcast_ref::<hyper_util::client::legacy::Error>()
            .is_some_and(hyper_util::client::legacy::Error::is_connect);
        assert!(refused, "a call was cut off: {error:?}");
    }
    assert!(fleet.entries[0].child.wait_exit().await?.success());
    Ok(())
}

/// Sends one call after another over persistent connections, and returns the first error.
async fn call_until_refused(caller: HttpClient, entry: SocketAddr) -> anyhow::Error {
    loop {
        let headers = [("x-organisation", "o1")];
        let call = caller.request(Method::GET, entry, "/status", &headers, Bytes::new());
        if let Err(error) = call.await {
            return error;
        }
    }
}
