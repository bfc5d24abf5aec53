//! Tests of the model engine: its tokens, resumed streams, faults and cancellation.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use sardinepin_standins::engine::{CacheEventKind, CacheEvents, Counts, Engine, Faults, Settings};
use sardinepin_standins::http::{FullResponse, HttpClient, spawn_server};
use sardinepin_standins::tokens::{prompt_digest, token_text};
use serde_json::{Value, json};

const TOKENS: u64 = 20;

async fn start() -> SocketAddr {
    let settings = Settings {
        step_micros: 1_000,
        cache_entries: 1,
        ..Settings::default()
    };
    let engine = Engine::start(settings).await.expect("the engine starts");
    spawn_server(engine).await.expect("a port is bound")
}

fn messages(content: &str) -> Value {
    json!([{"role": "user", "content": content}])
}

async fn chat(
    to: SocketAddr,
    content: &str,
    headers: &[(&str, &str)],
) -> anyhow::Result<FullResponse> {
    let body =
        json!({"model": "m", "messages": messages(content), "max_tokens": TOKENS, "stream": true});
    let body = body.to_string().into();
    HttpClient::default()
        .request(Method::POST, to, "/v1/chat/completions", headers, body)
        .await
}

/// Returns the tokens of a stream and whether it has the end marker.
fn stream_tokens(answer: &FullResponse) -> (Vec<String>, bool) {
    let body = std::str::from_utf8(&answer.body).expect("the body is UTF-8");
    let mut tokens = Vec::new();
    let mut has_end = false;
    for event in body.split_terminator("\n\n") {
        let data = event
            .strip_prefix("data: ")
            .expect("each event has a data line");
        if data == "[DONE]" {
            has_end = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).expect("the data is JSON");
        let content = &chunk["choices"][0]["delta"]["content"];
        tokens.push(content.as_str().expect("the chunk has a token").to_owned());
    }
    (tokens, has_end)
}

#[tokio::test]
async fn resumed_stream_has_the_same_tokens_on_another_engine() {
    let (first, second) = (start().await, start().await);
    let prompt = prompt_digest(&messages("hello"));
    let expected: Vec<String> = (0..TOKENS).map(|index| token_text(prompt, index)).collect();
    let complete = chat(first, "hello", &[]).await.unwrap();
    assert_eq!(stream_tokens(&complete), (expected.clone(), true));
    let resumed = chat(second, "hello", &[("x-resume-offset", "7")])
        .await
        .unwrap();
    assert_eq!(stream_tokens(&resumed), (expected[7..].to_vec(), true));
    let nothing_left = chat(second, "hello", &[("x-resume-offset", "20")])
        .await
        .unwrap();
    assert_eq!(stream_tokens(&nothing_left), (vec![], true));
}

#[tokio::test]
async fn stalled_engine_resumes_and_cancelled_stream_has_no_end_marker() {
    let to = start().await;
    let client = HttpClient::default();
    let stall = Faults {
        stall: true,
        ..Faults::default()
    };
    client.post_json(to, "/faults", &stall).await.unwrap();
    let cancelled = tokio::spawn(async move { chat(to, "a", &[("x-request-id", "r 1")]).await });
    let other = tokio::spawn(async move { chat(to, "b", &[("x-request-id", "r2")]).await });
    loop {
        let answer = client
            .request(Method::POST, to, "/cancel/r%201", &[], Bytes::new())
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        if answer.json::<u64>().unwrap() == 1 {
            break;
        }
        tokio::task::yield_now().await;
    }
    assert_eq!(
        stream_tokens(&cancelled.await.unwrap().unwrap()),
        (vec![], false)
    );
    assert_eq!(
        client
            .get_json::<Counts>(to, "/counts")
            .await
            .unwrap()
            .tokens,
        0
    );
    client.post_json(to, "/release", &()).await.unwrap();
    let (other, has_end) = stream_tokens(&other.await.unwrap().unwrap());
    assert_eq!((other.len() as u64, has_end), (TOKENS, true));
    let events: CacheEvents = client.get_json(to, "/cache-events?after=1").await.unwrap();
    let kinds: Vec<CacheEventKind> = events.events.iter().map(|event| event.kind).collect();
    assert_eq!(kinds, [CacheEventKind::Stored, CacheEventKind::Evicted]);
}

#[tokio::test]
async fn broken_stream_is_an_error_and_counts_as_cancelled() {
    let to = start().await;
    let client = HttpClient::default();
    let break_connection = Faults {
        break_after: Some(3),
        ..Faults::default()
    };
    client
        .post_json(to, "/faults", &break_connection)
        .await
        .unwrap();
    assert!(chat(to, "a", &[]).await.is_err());
    let counts: Counts = client.get_json(to, "/counts").await.unwrap();
    assert_eq!((counts.tokens, counts.cancelled), (3, 1));
}
