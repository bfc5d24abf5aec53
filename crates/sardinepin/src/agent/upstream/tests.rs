//! Tests of what an upstream in trouble answers: statuses that answer no request, and answers without end.

use http_body_util::BodyExt;
use hyper::body::Bytes;
use sardinepin_common::{AttemptId, Incarnation, Millis, Term};
use sardinepin_groups::Order;
use sardinepin_protocol::{Attempt, Digest, UpstreamRequest};
use sardinepin_standins::http::{Endless, OddAnswer, OddServer};

use super::{CallError, UpstreamClient};

/// How long a call may take.
const CALL_TIMEOUT: Millis = Millis(300);

const WAIT_TIMEOUT: Millis = Millis(30_000);
const POLL_INTERVAL: Millis = Millis(10);

fn attempt(idempotent: bool) -> Attempt {
    Attempt {
        id: AttemptId {
            entry: Incarnation(1),
            number: 1,
        },
        request: "r".to_owned(),
        service: "app".to_owned(),
        organisation: "o".to_owned(),
        digest: Digest::of(&[b"r"]),
        budget_ms: 1_000,
        priority: 0,
        idempotent,
        key: None,
        resume: 0,
        call: UpstreamRequest {
            method: "GET".to_owned(),
            path: "/a".to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        },
    }
}

/// Guards against a status that answers no request reaching an entry, and with it a caller, as the answer.
#[tokio::test]
async fn status_that_does_not_answer_a_call_is_no_response() {
    for status in ["000", "099", "101", "206", "304", "600", "999"] {
        let text = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 0\r\n\r\n");
        let (address, _) = OddServer::start(OddAnswer::Text(text)).await.unwrap();
        let client = UpstreamClient::new(address);
        for idempotent in [false, true] {
            let called = client.call(&attempt(idempotent)).await;
            assert!(
                matches!(called, Err(CallError::Interrupted(_))),
                "{status}: {called:?}"
            );
        }
    }
}

/// Guards against an agent that reads an answer without end after its call has been given up.
#[tokio::test]
async fn call_without_an_end_of_its_answer_closes_its_connection() {
    for part in Endless::ALL {
        let (address, server) = OddServer::start(OddAnswer::Endless(part)).await.unwrap();
        let client = UpstreamClient::new(address);
        let limit = CALL_TIMEOUT.duration();
        for idempotent in [false, true] {
            let attempt = attempt(idempotent);
            let call = async {
                let called = client.call(&attempt).await.ok()?;
                let (_, body) = called.response.into_parts();
                body.collect().await.ok()
            };
            let _ = tokio::time::timeout(limit, call).await;
        }
        let _ = tokio::time::timeout(limit, client.send_order(Term::default(), Order::Look)).await;
        assert!(client.read_load(CALL_TIMEOUT).await.is_none(), "{part:?}");
        let ended = async {
            while server.ended() < server.connections() {
                tokio::time::sleep(POLL_INTERVAL.duration()).await;
            }
        };
        let ended = tokio::time::timeout(WAIT_TIMEOUT.duration(), ended).await;
        assert!(ended.is_ok(), "{part:?}");
    }
}
