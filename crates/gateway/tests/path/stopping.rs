//! Tests that draining upstreams and stopping gateways interrupt no request.

use std::net::SocketAddr;
use std::sync::Arc;

use sardinepin_common::{Clock, Millis};
use sardinepin_gateway::{GatewaySettings, GroupMembership, RunningGateway, StopSettings, start};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::util::{
    FakeStore, ScriptedUpstream, Step, chunk, is_ready, last_chunk, manifest, request, send_raw,
    settings, signed_response, start_gateway, stream_head, wait_for,
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
    let answer = signed_response("200 OK", "");
    let one = ScriptedUpstream::start("one", vec![answer.clone(), script, answer]).await;
    let (running, _) = start_gateway(&[&one]).await;
    let address = running.caller_address();
    // Only a request that is known to end in time is taken while the gateway stops.
    send_raw(address, &request("/safe/a", "p", "")).await;
    let mut caller = TcpStream::connect(address).await.unwrap();
    let text = request("/stream/a", "r", "");
    caller.write_all(text.as_bytes()).await.unwrap();
    wait_for(async || one.count() == 2).await;
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

/// Starts a gateway in front of upstreams that stops within `shutdown_timeout`.
async fn start_stoppable(
    upstreams: &[&ScriptedUpstream],
    shutdown_timeout: Millis,
) -> (RunningGateway, SocketAddr) {
    let store = FakeStore::default();
    store.set_manifest(manifest(1));
    store.set_upstreams(upstreams.iter().map(|one| one.spec.clone()).collect());
    let settings = GatewaySettings {
        stop: StopSettings {
            drain_delay: Millis(300),
            shutdown_timeout,
        },
        ..settings()
    };
    let running = start(settings, Arc::new(store)).await.unwrap();
    wait_for(async || is_ready(&running).await).await;
    let address = running.caller_address();
    (running, address)
}

/// Sends a request on a connection and reads until `end`.
async fn exchange(caller: &mut TcpStream, text: &str, end: &str) -> String {
    caller.write_all(text.as_bytes()).await.unwrap();
    read_until(caller, end).await
}

async fn read_until(caller: &mut TcpStream, end: &str) -> String {
    let mut response = Vec::new();
    let mut part = [0; 1_024];
    while !response.ends_with(end.as_bytes()) {
        let count = caller.read(&mut part).await.unwrap();
        assert!(count > 0, "{}", String::from_utf8_lossy(&response));
        response.extend_from_slice(&part[..count]);
    }
    String::from_utf8(response).unwrap()
}

fn kept(text: &str) -> String {
    text.replace("connection: close\r\n", "")
}

/// Guards against the end of a connection, in place of an answer, for the request that follows a stream which began before the stop.
#[tokio::test]
async fn request_after_a_stream_that_outlasts_the_drain_delay_gets_an_answer() {
    let stream = vec![
        stream_head(),
        chunk("id: 1\ndata: a\n\n"),
        Step::Pause(Millis(1_500)),
        last_chunk(),
    ];
    let script = vec![stream, signed_response("200 OK", "whole")];
    let upstream = ScriptedUpstream::start("one", script).await;
    let (running, address) = start_stoppable(&[&upstream], Millis(20_000)).await;
    let mut caller = TcpStream::connect(address).await.unwrap();
    let text = kept(&request("/stream/a", "r", ""));
    caller.write_all(text.as_bytes()).await.unwrap();
    wait_for(async || upstream.count() == 1).await;
    let stopping = tokio::spawn(running.stop());
    let stream = read_until(&mut caller, "0\r\n\r\n").await;
    assert!(stream.contains("id: 1"), "{stream}");
    tokio::time::sleep(Millis(200).duration()).await;
    let text = kept(&request("/once/a", "q", "x-deadline-ms: 1000\r\n"));
    let answer = exchange(&mut caller, &text, "whole").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let fields = answer.to_lowercase();
    assert!(fields.contains("connection: close"), "{answer}");
    stopping.await.unwrap();
}

/// Guards against a request being taken in a stop and cut at its end, where another instance would have answered it.
#[tokio::test]
async fn request_that_may_not_end_before_the_gateway_is_refused_as_not_run() {
    let upstream = ScriptedUpstream::start("one", vec![vec![Step::Hang]]).await;
    let (running, address) = start_stoppable(&[&upstream], Millis(2_000)).await;
    let stopping = tokio::spawn(running.stop());
    wait_for(async || {
        let text = request("/once/a", "r", "x-deadline-ms: 3000\r\n");
        let answer = send_raw(address, &text).await.to_lowercase();
        answer.starts_with("http/1.1 503")
            && answer.contains("shutting_down")
            && answer.contains("connection: close")
            && !answer.contains("retry-after")
    })
    .await;
    let before = upstream.count();
    for path in ["/once/a", "/safe/a", "/stream/a"] {
        let text = request(path, "r", "x-deadline-ms: 3000\r\n");
        let answer = send_raw(address, &text).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    assert_eq!(upstream.count(), before);
    stopping.await.unwrap();
}

/// Guards against the end of a connection in place of an answer for what still runs when a gateway ends, and against such an answer
/// promising that the request did not run.
#[tokio::test]
async fn request_that_still_runs_at_the_end_of_a_stop_gets_an_error() {
    for path in ["/once/a", "/safe/a"] {
        let upstream = ScriptedUpstream::start("one", vec![vec![Step::Hang]]).await;
        let (running, address) = start_stoppable(&[&upstream], Millis(1_000)).await;
        let waiting = tokio::spawn(async move { send_raw(address, &request(path, "r", "")).await });
        wait_for(async || upstream.count() == 1).await;
        running.stop().await;
        let answer = waiting.await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
        assert!(answer.contains("\"reason\":\"stopped\""), "{answer}");
    }
}

/// Guards against a request that waits for an upstream being sent too late to end, or kept waiting until the gateway has gone.
#[tokio::test]
async fn request_that_waits_when_a_gateway_stops_is_refused_as_soon_as_it_may_not_end() {
    let upstream = ScriptedUpstream::start("one", vec![vec![Step::Hang]]).await;
    let (running, address) = start_stoppable(&[&upstream], Millis(3_000)).await;
    let clock = Clock::start();
    let callers: Vec<_> = (0..40)
        .map(|number| {
            let text = request("/once/a", &format!("r-{number}"), "x-deadline-ms: 6000\r\n");
            tokio::spawn(async move { (send_raw(address, &text).await, clock.now()) })
        })
        .collect();
    wait_for(async || upstream.count() > 0).await;
    tokio::time::sleep(Millis(200).duration()).await;
    let began = clock.now();
    let stopping = tokio::spawn(running.stop());
    let mut refused = 0;
    for caller in callers {
        let (answer, answered_at) = caller.await.unwrap();
        match answer.starts_with("HTTP/1.1 503") {
            true => refused += 1,
            false => assert!(answer.starts_with("HTTP/1.1 502"), "{answer}"),
        }
        if answer.contains("shutting_down") {
            let waited = answered_at.since(began);
            assert!(waited < Millis(2_000), "{waited}");
        }
    }
    assert_eq!(refused + upstream.count(), 40);
    stopping.await.unwrap();
}

/// Guards against a broken stream being sent to another upstream only to be cut there when the gateway ends.
#[tokio::test]
async fn stream_that_breaks_in_a_stop_is_not_resumed_where_it_may_not_end() {
    let breaks = vec![
        stream_head(),
        chunk("id: 1\ndata: a\n\n"),
        Step::Pause(Millis(500)),
        Step::Close,
    ];
    let one = ScriptedUpstream::start("one", vec![breaks]).await;
    let mut two = ScriptedUpstream::start("two", vec![vec![Step::Hang]]).await;
    two.spec.zone = "zone-b".into();
    let (running, address) = start_stoppable(&[&one, &two], Millis(4_000)).await;
    let caller =
        tokio::spawn(async move { send_raw(address, &request("/stream/a", "r", "")).await });
    wait_for(async || one.count() == 1).await;
    let clock = Clock::start();
    let stopping = tokio::spawn(running.stop());
    let answer = caller.await.unwrap();
    assert!(clock.now() < Millis(2_000), "{}", clock.now());
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!((one.count(), two.count()), (1, 0));
    stopping.await.unwrap();
}

/// Guards against cutting a stream of a stalled group as its gateway stops, although the group continues a moment later: the stream
/// could not move to another group any more.
#[tokio::test]
async fn stream_of_a_stalled_group_is_not_cut_as_its_gateway_stops() {
    let stalls = vec![
        stream_head(),
        chunk("id: 1\ndata: a\n\n"),
        Step::Pause(Millis(1_200)),
        chunk("id: 2\ndata: b\n\n"),
        last_chunk(),
    ];
    let mut one = ScriptedUpstream::start("one", vec![stalls]).await;
    let mut two = ScriptedUpstream::start("two", vec![vec![Step::Hang]]).await;
    for (upstream, group) in [(&mut one, "g0"), (&mut two, "g1")] {
        upstream.spec.group = Some(GroupMembership {
            name: group.into(),
            rank: 0,
            broken: false,
        });
    }
    two.spec.zone = "zone-b".into();
    let (running, address) = start_stoppable(&[&one, &two], Millis(4_000)).await;
    let caller =
        tokio::spawn(async move { send_raw(address, &request("/stream/a", "r", "")).await });
    wait_for(async || one.count() == 1).await;
    let stopping = tokio::spawn(running.stop());
    let answer = caller.await.unwrap();
    assert!(answer.contains("id: 2"), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!((one.count(), two.count()), (1, 0));
    stopping.await.unwrap();
}

/// Guards against a request on a kept connection being taken late in a stop, as earlier answers of its route were short, and cut when the
/// gateway ends.
#[tokio::test]
async fn request_that_may_outlast_a_stop_is_refused_though_earlier_answers_were_short() {
    let stream = vec![stream_head(), chunk("id: 1\ndata: a\n\n"), last_chunk()];
    let plain = signed_response("200 OK", "whole");
    for (path, short, end) in [
        ("/stream/a", stream, "0\r\n\r\n"),
        ("/once/a", plain.clone(), "whole"),
        ("/safe/a", plain, "whole"),
    ] {
        let upstream = ScriptedUpstream::start("one", vec![short, vec![Step::Hang]]).await;
        let (running, address) = start_stoppable(&[&upstream], Millis(3_000)).await;
        let mut caller = TcpStream::connect(address).await.unwrap();
        exchange(&mut caller, &kept(&request(path, "r", "")), end).await;
        let stopping = tokio::spawn(running.stop());
        wait_for(async || TcpStream::connect(address).await.is_err()).await;
        let text = kept(&request(path, "q", "x-deadline-ms: 6000\r\n"));
        caller.write_all(text.as_bytes()).await.unwrap();
        let mut answer = String::new();
        caller.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 503"), "{path}: {answer}");
        assert!(answer.contains("shutting_down"), "{path}: {answer}");
        assert_eq!(upstream.count(), 1, "{path}");
        stopping.await.unwrap();
    }
}

/// Guards against a long stream being taken early in a stop by the time of a short one, although its request says how long it may be.
#[tokio::test]
async fn stream_that_is_allowed_many_tokens_is_not_taken_by_the_time_of_a_short_one() {
    let short = vec![
        stream_head(),
        chunk("id: 1\ndata: a\n\n"),
        Step::Pause(Millis(100)),
        last_chunk(),
    ];
    let upstream = ScriptedUpstream::start("one", vec![short]).await;
    let (running, address) = start_stoppable(&[&upstream], Millis(3_000)).await;
    let send = async |tokens: &str| {
        let fields = format!("x-deadline-ms: 6000\r\nx-tokens: 800,{tokens}\r\n");
        send_raw(address, &request("/stream/a", "r", &fields)).await
    };
    assert!(send("10").await.starts_with("HTTP/1.1 200"));
    let stopping = tokio::spawn(running.stop());
    wait_for(async || send("400").await.starts_with("HTTP/1.1 503")).await;
    assert!(send("10").await.starts_with("HTTP/1.1 200"));
    stopping.await.unwrap();
}
