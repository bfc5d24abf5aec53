//! A caller gets the complete response to its own request, or an explicit error.

use anyhow::Result;
use bytes::Bytes;
use http::Method;
use http_body_util::BodyExt;
use sardinepin_standins::fleet::Fleet;
use sardinepin_standins::tokens;
use serde_json::{Value, json};

use crate::util::*;

const TOKENS: u64 = 200;

/// Starts a streamed chat completion.
async fn start_chat(fleet: &Fleet, prompt: &str) -> Result<hyper::Response<hyper::body::Incoming>> {
    let body = json!({
        "model": "m",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": TOKENS,
        "stream": true,
    });
    fleet
        .client
        .request_streaming(
            Method::POST,
            fleet.entries[0].address(),
            "/v1/chat/completions",
            &[("x-organisation", "o1")],
            Bytes::from(body.to_string()),
        )
        .await
}

/// Reads a stream to its end; runs `interrupt` once after more than 500 bytes.
async fn read(
    response: hyper::Response<hyper::body::Incoming>,
    interrupt: impl AsyncFnOnce() -> Result<()>,
) -> Result<String> {
    let mut body = response.into_body();
    let mut text = Vec::new();
    let mut interrupt = Some(interrupt);
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            text.extend_from_slice(&data);
        }
        if text.len() > 500
            && let Some(interrupt) = interrupt.take()
        {
            interrupt().await?;
        }
    }
    Ok(String::from_utf8(text)?)
}

/// Returns the text of a stream, and whether the stream contains its end event.
fn content(stream: &str) -> (String, bool) {
    let mut content = String::new();
    for line in stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
    {
        let chunk: Value = serde_json::from_str(line).unwrap_or_default();
        if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
            content.push_str(text);
        }
    }
    (content, stream.contains("data: [DONE]"))
}

fn expected_text(prompt: &str) -> String {
    let messages = json!([{"role": "user", "content": prompt}]);
    tokens::answer_text(tokens::prompt_digest(&messages), TOKENS)
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answer_streams_over_a_link_that_is_cut_twice() -> Result<()> {
    let fleet = start_fleet(llm(), 1, 1, json!({})).await?;
    let relay = insert_relay(&fleet, 0).await?;
    let response = start_chat(&fleet, "first").await?;
    let text = read(response, async || {
        relay.close_connections();
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        relay.close_connections();
        Ok(())
    })
    .await?;
    assert_eq!(
        content(&text),
        (expected_text("first"), true),
        "{}",
        fleet.recent_output()
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answer_resumes_at_another_upstream() -> Result<()> {
    for victim in ["upstream", "agent"] {
        let mut fleet = start_fleet(llm(), 2, 1, json!({"entry": {"settle_ms": 300}})).await?;
        let response = start_chat(&fleet, victim).await?;
        let text = read(response, async || {
            let index = find_busy_upstream(&fleet).await?;
            match victim {
                "upstream" => fleet.upstreams[index].kill().await,
                _ => fleet.agents[index].child.kill().await,
            }
        })
        .await?;
        assert_eq!(content(&text), (expected_text(victim), true), "{victim}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answer_that_cannot_resume_ends_in_an_error_event() -> Result<()> {
    let mut fleet = start_fleet(llm(), 1, 1, json!({})).await?;
    let response = start_chat(&fleet, "alone").await?;
    let text = read(response, async || fleet.upstreams[0].kill().await).await?;
    let (content, done) = content(&text);
    assert!(!done);
    assert!(expected_text("alone").starts_with(&content));
    assert!(text.contains("event: error"), "{text}");
    assert!(text.contains("\"outcome\":\"unknown\""), "{text}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answer_of_a_plain_service_is_never_truncated_silently() -> Result<()> {
    let fleet = start_fleet(app(), 1, 1, json!({})).await?;
    set_upstream_faults(&fleet, json!({"break_after": 20})).await?;
    let response = book(&fleet, 0, "k", "seat").await?;
    assert_eq!(outcome(&response), "unknown");
    assert_eq!(response.status, 502);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answer_without_a_length_is_forwarded() -> Result<()> {
    let fleet = start_fleet(app(), 1, 1, json!({})).await?;
    set_upstream_faults(&fleet, json!({"without_length": true})).await?;
    for key in ["k1", "k2"] {
        let response = book(&fleet, 0, key, "seat").await?;
        assert_eq!(outcome(&response), "answered", "{}", reason(&response));
        let echo: Value = response.json()?;
        assert_eq!(echo["key"], key);
    }
    Ok(())
}

/// Guards against an answer without length that a crash has cut being passed on, or kept for repeats of its key, as a whole one.
#[tokio::test(flavor = "multi_thread")]
async fn whole_answer_without_a_length_is_not_one_that_a_crash_has_cut() -> Result<()> {
    let mut fleet = start_fleet(app(), 1, 1, json!({})).await?;
    let faults = json!({"without_length": true, "crash_after": 20});
    set_upstream_faults(&fleet, faults).await?;
    let response = book(&fleet, 0, "k", "seat").await?;
    assert_eq!(outcome(&response), "unknown", "{:?}", response.body);
    assert_eq!(response.status, 502);
    fleet.restart_upstream(0).await?;
    let repeat = book(&fleet, 0, "k", "seat").await?;
    assert_ne!(outcome(&repeat), "answered", "{:?}", repeat.body);
    Ok(())
}

/// Guards against what another upstream answers to a resumed stream reaching the caller though it is no part of the stream, or ending it.
#[tokio::test(flavor = "multi_thread")]
async fn whole_answer_is_not_continued_by_a_foreign_one() -> Result<()> {
    for foreign in ["json", "error", "empty", "head"] {
        let mut fleet = start_fleet(llm(), 2, 1, json!({"entry": {"settle_ms": 300}})).await?;
        let response = start_chat(&fleet, foreign).await?;
        let text = read(response, async || {
            let busy = find_busy_upstream(&fleet).await?;
            let other = fleet.upstreams[1 - busy].address();
            let faults = json!({"foreign": foreign});
            fleet.client.post_json(other, "/faults", &faults).await?;
            fleet.upstreams[busy].kill().await
        })
        .await?;
        let (content, done) = content(&text);
        assert!(!done, "{foreign}: {text}");
        assert!(
            expected_text(foreign).starts_with(&content),
            "{foreign}: {text}"
        );
        assert!(text.contains("event: error"), "{foreign}: {text}");
        assert!(!text.contains("overloaded"), "{foreign}: {text}");
        assert!(!text.contains("HTTP/1.1"), "{foreign}: {text}");
    }
    Ok(())
}

/// Returns the index of an upstream whose engine is running a request.
async fn find_busy_upstream(fleet: &Fleet) -> Result<usize> {
    for index in 0..fleet.upstreams.len() {
        let load: Value = fleet
            .client
            .get_json(fleet.upstreams[index].address(), "/load")
            .await?;
        if load["running"].as_u64().unwrap_or_default() > 0 {
            return Ok(index);
        }
    }
    anyhow::bail!("no engine is running a request")
}
