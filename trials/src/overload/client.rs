//! Sends each call when it is due, independently of earlier answers, and checks the answers.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use sardinepin_common::{Clock, Millis};
use sardinepin_standins::http::{FullResponse, HttpClient};
use sardinepin_standins::tokens::{answer_text, prompt_digest};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use super::deployment::{MODEL, PATH, PURPOSE_HEADER, STATUS_PURPOSE, organisation_name};
use super::trace::Call;

/// The time after which the client stops waiting for an answer, far beyond any deadline.
const CALL_TIMEOUT: Millis = Millis(10_000);

/// The outcome of a call as the client sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum CallOutcome {
    /// The complete and correct answer arrived.
    Answered,
    /// The call did not run.
    Refused {
        reason: String,
        has_retry_after: bool,
    },
    /// The call may have run.
    Unknown(String),
    /// The answer has the wrong content, or states no known outcome.
    Wrong(String),
}

/// A call with its times and outcome.
#[derive(Debug, Clone)]
pub(super) struct Sample {
    pub(super) call: Call,
    /// When the client started to send the call, in microseconds after the start.
    pub(super) sent_at: u64,
    /// When the call ended, in microseconds after the start.
    pub(super) ended_at: u64,
    pub(super) outcome: CallOutcome,
}

impl Sample {
    /// Returns the time from when the call was due until it ended, in microseconds.
    pub(super) fn latency(&self) -> u64 {
        self.ended_at.saturating_sub(self.call.due_at)
    }

    /// Returns whether the correct answer arrived.
    pub(super) fn is_answered(&self) -> bool {
        self.outcome == CallOutcome::Answered
    }
}

/// Waits until the clock shows `due_at`, in microseconds.
pub(super) async fn wait_until(clock: Clock, due_at: u64) {
    let remaining = due_at.saturating_sub(clock.now_micros());
    // Even a sleep of zero length lasts until the timer's next tick, which would delay the trace.
    if remaining > 0 {
        tokio::time::sleep(Duration::from_micros(remaining)).await;
    }
}

/// Sends all calls and returns their outcomes.
pub(super) async fn send_all(
    calls: &[Call],
    entries: &[SocketAddr],
    clock: Clock,
) -> Result<Vec<Sample>> {
    let client = HttpClient::default();
    let mut tasks: Vec<JoinHandle<Sample>> = Vec::new();
    for call in calls {
        wait_until(clock, call.due_at).await;
        let client = client.clone();
        let (call, to) = (*call, entries[call.entry]);
        tasks.push(tokio::spawn(async move {
            let sent_at = clock.now_micros();
            let exchange = send_call(&client, &call, to);
            let outcome = tokio::time::timeout(CALL_TIMEOUT.duration(), exchange)
                .await
                .unwrap_or_else(|_| CallOutcome::Unknown("timeout".to_owned()));
            let ended_at = clock.now_micros();
            Sample {
                call,
                sent_at,
                ended_at,
                outcome,
            }
        }));
    }
    let mut samples = Vec::new();
    for task in tasks {
        samples.push(task.await?);
    }
    Ok(samples)
}

async fn send_call(client: &HttpClient, call: &Call, to: SocketAddr) -> CallOutcome {
    let organisation = organisation_name(call.organisation);
    let request = format!("overload-{}", call.number);
    let messages = json!([
        {"role": "system", "content": format!("You help {organisation}.")},
        {"role": "user", "content": request},
    ]);
    let body = json!({
        "model": MODEL,
        "messages": messages,
        "max_tokens": call.tokens,
        "stream": false,
    });
    let mut headers = vec![
        ("x-organisation", organisation.as_str()),
        ("content-type", "application/json"),
        ("x-request-id", request.as_str()),
    ];
    if call.urgent {
        headers.push((PURPOSE_HEADER, STATUS_PURPOSE));
    }
    let body = Bytes::from(body.to_string());
    match client.request(Method::POST, to, PATH, &headers, body).await {
        Ok(answer) => check_answer(&answer, &messages, call.tokens),
        Err(_) => CallOutcome::Unknown("connection".to_owned()),
    }
}

fn check_answer(response: &FullResponse, messages: &Value, tokens: u64) -> CallOutcome {
    let body: Value = response.json().unwrap_or_default();
    let problem_type = body["type"].as_str().unwrap_or_default();
    let reason = problem_type
        .rsplit(':')
        .next()
        .unwrap_or(problem_type)
        .to_owned();
    match response.header("x-sardinepin-outcome") {
        "answered" if response.status == StatusCode::OK => {
            let content = body["choices"][0]["message"]["content"].as_str();
            let expected = answer_text(prompt_digest(messages), tokens);
            if content == Some(expected.as_str()) {
                CallOutcome::Answered
            } else {
                CallOutcome::Wrong("content".to_owned())
            }
        }
        "not_run" => CallOutcome::Refused {
            reason,
            has_retry_after: response.headers.contains_key("retry-after"),
        },
        "unknown" => CallOutcome::Unknown(reason),
        header => CallOutcome::Wrong(format!("status {} outcome {header:?}", response.status)),
    }
}
