//! Tests of limits that upstreams name.

use sardinepin_common::{Clock, Millis};

use super::util::{ScriptedUpstream, Step, request, send_raw, start_gateway, wait_for};

/// The limit, in requests a second.
const LIMIT: u64 = 2;

/// The span over which requests are counted, and how many more than the limit it may hold, as the users' rule says.
const WINDOW: Millis = Millis(4_000);
const ALLOWED: usize = 3 * (LIMIT * 4) as usize / 2 + 5;

/// Returns a response that names the limit.
fn limited_response(status: &str, extra: &str) -> Vec<Step> {
    vec![Step::Write(format!(
        "HTTP/1.1 {status}\r\nx-request-id: {{id}}\r\nx-signature: s\r\nx-limit: {LIMIT}\r\n\
         {extra}content-length: 0\r\n\r\n"
    ))]
}

/// Sends a request every 20 ms for a while; returns how many reached the upstream after the first answer.
async fn count_under_load(upstream: &ScriptedUpstream, address: std::net::SocketAddr) -> usize {
    send_raw(address, &request("/safe/first", "first", "")).await;
    let before = upstream.count();
    let clock = Clock::start();
    let mut number = 0;
    while clock.now() < WINDOW {
        number += 1;
        let call = request("/safe/a", &format!("r-{number}"), "");
        tokio::spawn(async move { send_raw(address, &call).await });
        tokio::time::sleep(Millis(20).duration()).await;
    }
    upstream.count() - before
}

/// An upstream in need names its limit in every answer: successes, failures and refusals.
#[tokio::test]
async fn an_upstream_gets_no_more_than_the_limit_that_it_named_in_any_answer() {
    for (status, extra) in [
        ("200 OK", ""),
        ("500 Error", ""),
        ("503 Busy", "x-not-run: 1\r\n"),
    ] {
        let upstream = ScriptedUpstream::start("one", vec![limited_response(status, extra)]).await;
        let (running, _) = start_gateway(&[&upstream]).await;
        let counted = count_under_load(&upstream, running.caller_address()).await;
        assert!(counted <= ALLOWED, "{status}: {counted} of {ALLOWED}");
    }
}

/// What the limit does not pass in time is refused at once, with the time at which its turn would come.
#[tokio::test]
async fn a_request_beyond_the_limit_of_the_only_upstream_is_refused_as_not_run() {
    let upstream = ScriptedUpstream::start("one", vec![limited_response("200 OK", "")]).await;
    let (running, _) = start_gateway(&[&upstream]).await;
    let address = running.caller_address();
    send_raw(address, &request("/once/first", "first", "")).await;
    wait_for(async || {
        let clock = Clock::start();
        let before = upstream.count();
        let response = send_raw(address, &request("/once/a", "r", "")).await;
        let refused = response.starts_with("HTTP/1.1 503") && response.contains("upstream_limited");
        assert!(!refused || response.contains("retry-after: "), "{response}");
        assert!(!refused || upstream.count() == before, "{response}");
        refused && clock.now() < Millis(100)
    })
    .await;
}
