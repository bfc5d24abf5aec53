//! Tests that draining upstreams and stopping gateways interrupt no request.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::util::{
    ScriptedUpstream, Step, chunk, last_chunk, request, send_raw, signed_response, start_gateway,
    stream_head, wait_for,
};

#[tokio::test]
async fn leaving_upstream_gets_no_new_requests() {
    let one = ScriptedUpstream::start("one", vec![signed_response("200 OK", "")]).await;
    let two = ScriptedUpstream::start("two", vec![signed_response("200 OK", "")]).await;
    let (running, store) = start_gateway(&[&one, &two]).await;
    let mut draining = one.spec.clone();
    draining.draining = true;
    store.set_upstreams(vec![draining, two.spec.clone()]);
    let mut missed_in_row = 0;
    wait_for(async || {
        let before = one.count();
        send_raw(running.caller_address(), &request("/safe/a", "r", "")).await;
        missed_in_row = if one.count() == before {
            missed_in_row + 1
        } else {
            0
        };
        missed_in_row >= 20
    })
    .await;
}

#[tokio::test]
async fn leaving_upstream_whose_change_a_watch_missed_gets_no_new_requests() {
    let one = ScriptedUpstream::start("one", vec![signed_response("200 OK", "")]).await;
    let two = ScriptedUpstream::start("two", vec![signed_response("200 OK", "")]).await;
    let (running, store) = start_gateway(&[&one, &two]).await;
    store.set_upstreams_unseen(vec![two.spec.clone()]);
    let mut missed_in_row = 0;
    wait_for(async || {
        let before = one.count();
        send_raw(running.caller_address(), &request("/safe/a", "r", "")).await;
        missed_in_row = if one.count() == before {
            missed_in_row + 1
        } else {
            0
        };
        missed_in_row >= 20
    })
    .await;
}

#[tokio::test]
async fn leaving_address_taken_over_by_another_upstream_runs_nothing() {
    let misdirected = vec![Step::Write(
        "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n".to_owned(),
    )];
    let one = ScriptedUpstream::start("one", vec![misdirected]).await;
    let two = ScriptedUpstream::start("two", vec![signed_response("200 OK", "")]).await;
    let (running, _) = start_gateway(&[&one, &two]).await;
    for at in 0..10 {
        let id = format!("r{at}");
        let response = send_raw(running.caller_address(), &request("/once/a", &id, "")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    assert!(one.count() <= 1);
}

#[tokio::test]
async fn shutdown_waits_for_open_streams_and_closes_new_connections() {
    let script = vec![
        stream_head(),
        chunk("id: 1\ndata: a\n\n"),
        Step::Write(String::new()),
    ];
    let one = ScriptedUpstream::start("one", vec![script, signed_response("200 OK", "")]).await;
    let (running, _) = start_gateway(&[&one]).await;
    let address = running.caller_address();
    let mut caller = TcpStream::connect(address).await.unwrap();
    let text = request("/stream/a", "r", "");
    caller.write_all(text.as_bytes()).await.unwrap();
    wait_for(async || one.count() == 1).await;
    let stopping = tokio::spawn(running.stop());
    wait_for(async || {
        let text = request("/safe/a", "q", "").replace("connection: close\r\n", "");
        let mut new_caller = TcpStream::connect(address).await.unwrap();
        new_caller.write_all(text.as_bytes()).await.unwrap();
        let mut bytes = vec![0; 4_096];
        let count = new_caller.read(&mut bytes).await.unwrap();
        let response = String::from_utf8_lossy(&bytes[..count]).to_lowercase();
        assert!(response.starts_with("http/1.1 200"), "{response}");
        response.contains("connection: close")
    })
    .await;
    assert!(!stopping.is_finished());
    // The upstream closes the connection without a last chunk, so the caller sees an incomplete
    // stream. This test only checks that the gateway waits for it.
    let mut rest = Vec::new();
    drop(caller.shutdown().await);
    let _ = caller.read_to_end(&mut rest).await;
    drop(last_chunk());
    stopping.await.unwrap();
}
