//! A graceful shutdown cuts off no request in flight; a second signal does, and logs it.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Result, ensure};
use bytes::Bytes;
use http::Method;
use sardinepin_standins::http::HttpClient;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

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

/// Guards against the end of a connection in place of an answer for a call that follows one which outlasts the grace period.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_of_an_entry_answers_the_call_after_a_long_one_on_its_connection() -> Result<()> {
    let mut fleet = start_fleet(llm(), 1, 1, json!({"stop": {"grace_ms": 100}})).await?;
    let faults = json!({"slow_micros": 2_000});
    set_upstream_faults(&fleet, faults).await?;
    let mut caller = TcpStream::connect(fleet.entries[0].address()).await?;
    let body = json!({"model": "m", "messages": [{"role": "user", "content": "long"}],
        "max_tokens": 400, "stream": true})
    .to_string();
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-organisation: o1\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    caller.write_all(text.as_bytes()).await?;
    read_until(&mut caller, "data: ").await?;
    fleet.entries[0].child.terminate()?;
    let stream = read_until(&mut caller, "0\r\n\r\n").await?;
    assert!(stream.contains("[DONE]"), "{stream}");
    tokio::time::sleep(Duration::from_millis(300)).await;
    caller.write_all(text.as_bytes()).await?;
    let next = read_until(&mut caller, "\r\n\r\n").await?;
    assert!(next.to_lowercase().contains("connection: close"), "{next}");
    drop(caller);
    assert!(fleet.entries[0].child.wait_exit().await?.success());
    Ok(())
}

/// Reads until a text has come; fails if the connection ends before.
async fn read_until(caller: &mut TcpStream, end: &str) -> Result<String> {
    let mut text = String::new();
    let mut part = [0; 4_096];
    while !text.contains(end) {
        let count = caller.read(&mut part).await?;
        ensure!(count > 0, "the connection ended: {text}");
        text.push_str(&String::from_utf8_lossy(&part[..count]));
    }
    Ok(text)
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
