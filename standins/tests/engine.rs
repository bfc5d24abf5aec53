//! The engine's answers can be checked, and resumed on another engine.

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
    let engine = Engine::start(settings).await.expect("an engine");
    spawn_server(engine).await.expect("a port")
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

/// Returns the tokens of a stream and whether its end mark came.
fn tokens(answer: &FullResponse) -> (Vec<String>, bool) {
    let body = std::str::from_utf8(&answer.body).expect("text");
    let mut tokens = Vec::new();
    let mut whole = false;
    for event in body.split_terminator("\n\n") {
        let data = event.strip_prefix("data: ").expect("an event");
        if data == "[DONE]" {
            whole = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).expect("JSON");
        let content = &chunk["choices"][0]["delta"]["content"];
        tokens.push(content.as_str().expect("a token").to_owned());
    }
    (tokens, whole)
}

#[tokio::test]
async fn a_resumed_answer_has_the_same_tokens_on_another_engine() {
    let (first, second) = (start().await, start().await);
    let prompt = prompt_digest(&messages("hello"));
    let expected: Vec<String> = (0..TOKENS).map(|index| token_text(prompt, index)).collect();
    let whole = chat(first, "hello", &[]).await.unwrap();
    assert_eq!(tokens(&whole), (expected.clone(), true));
    let resumed = chat(second, "hello", &[("x-resume-offset", "7")])
        .await
        .unwrap();
    assert_eq!(tokens(&resumed), (expected[7..].to_vec(), true));
    let nothing_left = chat(second, "hello", &[("x-resume-offset", "20")])
        .await
        .unwrap();
    assert_eq!(tokens(&nothing_left), (vec![], true));
}

#[tokio::test]
async fn a_stalled_engine_goes_on_and_a_cancelled_answer_has_no_end_mark() {
    let to = start().await;
    let caller = HttpClient::default();
    let stall = Faults {
        stall: true,
        ..Faults::default()
    };
    caller.post_json(to, "/faults", &stall).await.unwrap();
    let held = tokio::spawn(async move { chat(to, "a", &[("x-request-id", "r 1")]).await });
    let other = tokio::spawn(async move { chat(to, "b", &[("x-request-id", "r2")]).await });
    loop {
        let answer = caller
            .request(Method::POST, to, "/cancel/r%201", &[], Bytes::new())
            .await
            .unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        if answer.json::<u64>().unwrap() == 1 {
            break;
        }
        tokio::task::yield_now().await;
    }
    assert_eq!(tokens(&held.await.unwrap().unwrap()), (vec![], false));
    assert_eq!(
        caller
            .get_json::<Counts>(to, "/counts")
            .await
            .unwrap()
            .tokens,
        0
    );
    caller.post_json(to, "/release", &()).await.unwrap();
    let (other, whole) = tokens(&other.await.unwrap().unwrap());
    assert_eq!((other.len() as u64, whole), (TOKENS, true));
    let events: CacheEvents = caller.get_json(to, "/cache-events?after=1").await.unwrap();
    let kinds: Vec<CacheEventKind> = events.events.iter().map(|event| event.kind).collect();
    assert_eq!(kinds, [CacheEventKind::Stored, CacheEventKind::Evicted]);
}

#[tokio::test]
async fn a_broken_answer_is_an_error_and_frees_its_slot() {
    let to = start().await;
    let caller = HttpClient::default();
    let cut = Faults {
        break_after: Some(3),
        ..Faults::default()
    };
    caller.post_json(to, "/faults", &cut).await.unwrap();
    assert!(chat(to, "a", &[]).await.is_err());
    let counts: Counts = caller.get_json(to, "/counts").await.unwrap();
    assert_eq!((counts.tokens, counts.cancelled), (3, 1));
}
