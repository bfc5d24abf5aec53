//! Sends the calls when they are due, whatever became of those before, and checks the answers.

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

use super::deployment::{MODEL, PATH, PURPOSE_HEADER, STATUS_PURPOSE, organisation};
use super::trace::Call;

/// How long the client waits for an answer: far longer than any deadline.
const GIVES_UP: Millis = Millis(10_000);

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Ending {
    /// The whole and right answer came.
    Answered,
    /// The call did not run.
    Refused { reason: String, has_retry: bool },
    /// The call may have run.
    Unknown(String),
    /// The answer is not that of the call, or says nothing of its outcome.
    Wrong(String),
}

/// One call and what became of it.
#[derive(Debug, Clone)]
pub(super) struct Sample {
    pub(super) call: Call,
    /// When the client began to send it, in microseconds after the start.
    pub(super) begun: u64,
    /// When it ended, in microseconds after the start.
    pub(super) done: u64,
    pub(super) ending: Ending,
}

impl Sample {
    /// Returns the time from when the call was due to its end, in microseconds.
    pub(super) fn latency(&self) -> u64 {
        self.done.saturating_sub(self.call.at)
    }

    /// Says whether the right answer came.
    pub(super) fn is_answered(&self) -> bool {
        self.ending == Ending::Answered
    }
}

/// Waits until so many microseconds have passed on a clock.
pub(super) async fn wait_until(clock: Clock, at: u64) {
    let left = at.saturating_sub(clock.now_micros());
    // Even a sleep of no length lasts to the timer's next tick, and a trace would fall behind.
    if left > 0 {
        tokio::time::sleep(Duration::from_micros(left)).await;
    }
}

/// Sends all calls and returns what became of them.
pub(super) async fn send_all(
    calls: &[Call],
    entries: &[SocketAddr],
    clock: Clock,
) -> Result<Vec<Sample>> {
    let caller = HttpClient::default();
    let mut tasks: Vec<JoinHandle<Sample>> = Vec::new();
    for call in calls {
        wait_until(clock, call.at).await;
        let caller = caller.clone();
        let (call, to) = (*call, entries[call.entry]);
        tasks.push(tokio::spawn(async move {
            let begun = clock.now_micros();
            let exchange = exchange(&caller, &call, to);
            let ending = tokio::time::timeout(GIVES_UP.duration(), exchange)
                .await
                .unwrap_or_else(|_| Ending::Unknown("timeout".to_owned()));
            let done = clock.now_micros();
            Sample {
                call,
                begun,
                done,
                ending,
            }
        }));
    }
    let mut samples = Vec::new();
    for task in tasks {
        samples.push(task.await?);
    }
    Ok(samples)
}

async fn exchange(caller: &HttpClient, call: &Call, to: SocketAddr) -> Ending {
    let organisation = organisation(call.organisation);
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
    match caller.request(Method::POST, to, PATH, &headers, body).await {
        Ok(answer) => judge(&answer, &messages, call.tokens),
        Err(_) => Ending::Unknown("connection".to_owned()),
    }
}

fn judge(got: &FullResponse, messages: &Value, tokens: u64) -> Ending {
    let body: Value = got.json().unwrap_or_default();
    let kind = body["type"].as_str().unwrap_or_default();
    let reason = kind.rsplit(':').next().unwrap_or(kind).to_owned();
    match got.header("x-sardinepin-outcome") {
        "answered" if got.status == StatusCode::OK => {
            let content = body["choices"][0]["message"]["content"].as_str();
            let wanted = answer_text(prompt_digest(messages), tokens);
            if content == Some(wanted.as_str()) {
                Ending::Answered
            } else {
                Ending::Wrong("content".to_owned())
            }
        }
        "not_run" => Ending::Refused {
            reason,
            has_retry: got.headers.contains_key("retry-after"),
        },
        "unknown" => Ending::Unknown(reason),
        outcome => Ending::Wrong(format!("status {} outcome {outcome:?}", got.status)),
    }
}
