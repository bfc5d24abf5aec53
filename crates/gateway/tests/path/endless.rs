//! Tests of upstreams whose answers never end.

use std::net::SocketAddr;

use futures_util::future::join_all;
use sardinepin_common::{Clock, Millis};
use sardinepin_standins::http::Endless;

use super::util::{
    ScriptedUpstream, Step, chunk, last_chunk, request, send_raw, signed_response, start_gateway,
    stream_head, wait_for,
};

/// How long a request may take that meets an answer without end; its deadline is ten times later.
const RESPONSE_TIME: Millis = Millis(2_000);

/// Returns an upstream that answers each request in full, as a stream if `streams` is set.
async fn healthy_upstream(streams: bool) -> ScriptedUpstream {
    let script = match streams {
        true => vec![stream_head(), chunk("id: 1\ndata: b\n\n"), last_chunk()],
        false => signed_response("200 OK", "b"),
    };
    ScriptedUpstream::start("healthy", vec![script]).await
}

/// How many requests are sent at once, so that no upstream can be preferred for all of them.
const CONCURRENT_REQUESTS: usize = 4;

/// Sends requests, several at once, until one has reached the upstream in trouble; returns all answers.
async fn responses_until_met(
    troubled: &ScriptedUpstream,
    address: SocketAddr,
    path: &str,
) -> Vec<String> {
    let mut responses = Vec::new();
    while troubled.count() == 0 {
        let clock = Clock::start();
        let ids = (0..CONCURRENT_REQUESTS).map(|at| format!("r-{}", responses.len() + at));
        let requests: Vec<String> = ids.map(|id| request(path, &id, "")).collect();
        let sent = requests.iter().map(|request| send_raw(address, request));
        responses.extend(join_all(sent).await);
        assert!(clock.now() < RESPONSE_TIME, "{}", clock.now());
    }
    responses
}

async fn closes_and_retries(path: &str, part: Endless, streams: bool) {
    let troubled = ScriptedUpstream::start("troubled", vec![vec![Step::Endless(part)]]).await;
    let healthy = healthy_upstream(streams).await;
    let (running, _) = start_gateway(&[&troubled, &healthy]).await;
    for response in responses_until_met(&troubled, running.caller_address(), path).await {
        assert!(response.starts_with("HTTP/1.1 200"), "{part:?}: {response}");
    }
    wait_for(async || troubled.disconnects() == troubled.count()).await;
}

#[tokio::test]
async fn an_answer_without_end_is_given_up_and_its_request_retried() {
    for part in Endless::ALL {
        closes_and_retries("/safe/a", part, false).await;
    }
}

#[tokio::test]
async fn a_stream_without_end_or_event_is_given_up_and_its_request_retried() {
    for part in Endless::ALL {
        closes_and_retries("/stream/a", part, true).await;
    }
}

/// A request that may have run is not sent again, and no part of the answer is passed on as a success.
#[tokio::test]
async fn an_answer_without_end_to_an_at_most_once_request_fails_soon() {
    for part in Endless::ALL {
        let troubled = ScriptedUpstream::start("troubled", vec![vec![Step::Endless(part)]]).await;
        let (running, _) = start_gateway(&[&troubled]).await;
        let responses = responses_until_met(&troubled, running.caller_address(), "/once/a").await;
        let expected = match part {
            // The answer itself is complete.
            Endless::AfterAnswer => "HTTP/1.1 200",
            _ => "HTTP/1.1 502",
        };
        let sent = troubled.count();
        let met = responses
            .iter()
            .filter(|response| response.starts_with(expected));
        assert_eq!(met.count(), sent, "{part:?}: {responses:?}");
        wait_for(async || troubled.disconnects() == sent).await;
    }
}

/// What a stream passed on counts: it ends in error, and its connection to the upstream is closed.
#[tokio::test]
async fn a_stream_whose_next_event_never_ends_is_resumed_elsewhere() {
    let script = vec![
        stream_head(),
        chunk("id: 1\ndata: a\n\n"),
        Step::Endless(Endless::Garbage),
    ];
    let troubled = ScriptedUpstream::start("troubled", vec![script]).await;
    let script = vec![stream_head(), chunk("id: 2\ndata: b\n\n"), last_chunk()];
    let healthy = ScriptedUpstream::start("healthy", vec![script]).await;
    let (running, _) = start_gateway(&[&troubled, &healthy]).await;
    responses_until_met(&troubled, running.caller_address(), "/stream/a").await;
    wait_for(async || troubled.disconnects() == troubled.count()).await;
}
