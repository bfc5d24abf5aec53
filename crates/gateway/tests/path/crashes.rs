//! Tests of the quarantine of requests that crash upstreams.

use std::sync::Arc;

use sardinepin_common::{Clock, Millis};
use sardinepin_decisions::Traits;
use sardinepin_decisions::direct::{CrashRecords, CrashedAttempt};
use sardinepin_gateway::start;
use sardinepin_protocol::Digest;

use super::util::{
    ScriptedUpstream, Step, is_ready, request, send_raw, settings, signed_response, start_gateway,
    wait_for,
};

async fn crashing(id: &str) -> ScriptedUpstream {
    ScriptedUpstream::start(id, vec![vec![Step::Crash]]).await
}

#[tokio::test]
async fn quarantine_applies_at_every_gateway_to_a_request_that_crashes_upstreams() {
    let mut upstreams = Vec::new();
    for id in ["a", "b", "c", "d"] {
        upstreams.push(crashing(id).await);
    }
    let all: Vec<&ScriptedUpstream> = upstreams.iter().collect();
    let (running, store) = start_gateway(&all).await;
    let other = start(settings(), Arc::new(store.clone())).await.unwrap();
    wait_for(async || is_ready(&other).await).await;
    wait_for(async || {
        let response = send_raw(running.caller_address(), &request("/safe/x", "r-1", "")).await;
        assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
        store.crash_count() >= 3
    })
    .await;
    // No listed upstream can respond, as a response would end the quarantine.
    for gateway in [&running, &other] {
        wait_for(async || {
            let response = send_raw(gateway.caller_address(), &request("/safe/x", "r-2", "")).await;
            response.starts_with("HTTP/1.1 503") && response.contains("quarantined")
        })
        .await;
    }
    let healthy = ScriptedUpstream::start("e", vec![signed_response("200 OK", "well")]).await;
    store.set_upstreams(vec![healthy.spec.clone()]);
    for gateway in [&running, &other] {
        wait_for(async || {
            let response = send_raw(gateway.caller_address(), &request("/safe/y", "r-3", "")).await;
            response.starts_with("HTTP/1.1 200")
        })
        .await;
        let before = healthy.count();
        let response = send_raw(gateway.caller_address(), &request("/safe/x", "r-4", "")).await;
        assert!(response.contains("quarantined"), "{response}");
        assert!(response.contains("retry-after: "), "{response}");
        assert_eq!(healthy.count(), before);
    }
}

#[tokio::test]
async fn connection_reset_is_not_counted_as_a_crash() {
    let upstream = ScriptedUpstream::start("a", vec![vec![Step::Reset]]).await;
    let (running, store) = start_gateway(&[&upstream]).await;
    for id in ["r-1", "r-2", "r-3", "r-4", "r-5"] {
        let response = send_raw(running.caller_address(), &request("/safe/x", id, "")).await;
        assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    }
    assert_eq!((upstream.count(), store.crash_count()), (5, 0));
}

#[tokio::test]
async fn response_removes_the_crashes_of_its_request() {
    let first = crashing("a").await;
    let (running, store) = start_gateway(&[&first]).await;
    send_raw(running.caller_address(), &request("/safe/x", "r-1", "")).await;
    wait_for(async || store.crash_count() == 1).await;
    let second = ScriptedUpstream::start("b", vec![signed_response("200 OK", "well")]).await;
    store.set_upstreams(vec![second.spec.clone()]);
    wait_for(async || {
        let response = send_raw(running.caller_address(), &request("/safe/x", "r-2", "")).await;
        response.starts_with("HTTP/1.1 200") && store.crash_count() == 0
    })
    .await;
}

/// A retry is often sent within the millisecond in which the crash before was seen; the time of that crash is told by the
/// wall clock, and both clocks are read in whole milliseconds.
#[test]
fn a_retry_sent_in_the_millisecond_of_the_crash_before_counts() {
    let request = Digest::of(&[b"poison"]);
    let mut crashes = CrashRecords::default();
    // Seen at 100.1 ms of the process, when the wall clock read 5,001.75; the retry was sent at 100.9 and broke off at 103.95.
    let seen = [
        ("a", Millis(100), Millis(5_001), Millis(1)),
        ("b", Millis(103), Millis(5_003), Millis(3)),
        ("c", Millis(200), Millis(5_100), Millis(3)),
    ];
    for (upstream, now, wall_now, age) in seen {
        let attempt = CrashedAttempt {
            traits: traits(request),
            upstream: &Arc::from(upstream),
            started_at: 1,
            age,
            is_probe: false,
        };
        assert!(crashes.record_crash(now, wall_now, attempt).is_some());
    }
    let remaining = crashes.quarantine_remaining(Millis(5_100), traits(request), false);
    assert!(remaining.is_some());
}

fn traits(request: Digest) -> Traits<'static> {
    Traits {
        request,
        parts: &[],
    }
}

#[test]
fn three_crashes_quarantine_a_request_until_the_first_expires() {
    let (crashing_request, other_request) = (Digest::of(&[b"poison"]), Digest::of(&[b"other"]));
    let mut crashes = CrashRecords::default();
    let mut now = Millis(5_000);
    let mut at = Clock::wall_time();
    for upstream in ["a", "b", "c"] {
        assert_eq!(
            crashes.quarantine_remaining(at, traits(crashing_request), false),
            None
        );
        let attempt = CrashedAttempt {
            traits: traits(crashing_request),
            upstream: &Arc::from(upstream),
            started_at: 1,
            age: Millis(200),
            is_probe: false,
        };
        assert!(crashes.record_crash(now, at, attempt).is_some());
        assert_eq!(crashes.record_crash(now, at, attempt), None);
        now = now + Millis(1_000);
        at = at + Millis(1_000);
    }
    assert_eq!(
        crashes.quarantine_remaining(at, traits(crashing_request), false),
        Some(Millis(597_000))
    );
    assert_eq!(
        crashes.quarantine_remaining(at, traits(other_request), false),
        None
    );
    assert_eq!(
        crashes.quarantine_remaining(at + Millis(597_000), traits(crashing_request), false),
        None
    );
    assert_eq!(crashes.remove_expired(at + Millis(598_000)).len(), 2);
    assert_eq!(crashes.remove_request(&crashing_request).len(), 1);
    assert!(crashes.is_empty());
}

/// Guards against a request that crashes upstreams being cleared by an error that an upstream gives without running it.
#[tokio::test]
async fn error_of_an_upstream_does_not_clear_the_crashes_of_its_request() {
    let first = crashing("a").await;
    let (running, store) = start_gateway(&[&first]).await;
    send_raw(running.caller_address(), &request("/once/x", "r-1", "")).await;
    wait_for(async || store.crash_count() == 1).await;
    let script = vec![signed_response("500 Error", "failed")];
    let second = ScriptedUpstream::start("b", script).await;
    store.set_upstreams(vec![second.spec.clone()]);
    wait_for(async || {
        let response = send_raw(running.caller_address(), &request("/once/x", "r-2", "")).await;
        response.starts_with("HTTP/1.1 500")
    })
    .await;
    // The removal of a record would have been shared by now.
    tokio::time::sleep(Millis(300).duration()).await;
    assert_eq!(store.crash_count(), 1);
}
