//! Checks answers: whether they belong to their call, are in order and complete, and their outcome.

use std::fmt;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Response, StatusCode};
use sardinepin_protocol::{Digest, Outcome};
use serde_json::Value;

use super::Run;
use super::calls::{Call, CallKind};
use super::events::{Event, Events};
use crate::http::FullResponse;
use crate::plain::Echo;
use crate::tokens::{answer_text, token_text};

/// The header field with the outcome of a request.
const OUTCOME_HEADER: &str = "x-sardinepin-outcome";

/// The data of the event that ends a complete stream.
const DONE: &str = "[DONE]";

/// An error of an answer, as opposed to a reported failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// The answer belongs to another call.
    Owner,
    /// A token is not the expected next one, or an event follows the end.
    Order,
    /// The stream ended without an end marker or an error.
    Cut,
    /// The answer reports a second or later run of its key.
    Run,
    /// Two copies of a keyed call got different answers.
    Differs,
    /// The answer cannot be parsed.
    Malformed,
}

/// The result of sending one copy of a call.
#[derive(Debug, Clone)]
pub(super) struct Verdict {
    pub(super) outcome: Outcome,
    /// Why the call was not answered; empty if it was.
    pub(super) reason: String,
    pub(super) fault: Option<Fault>,
    /// The time from sending to the end of the answer, in microseconds.
    pub(super) micros: u64,
    /// The time from sending to the first token, in microseconds.
    pub(super) first_token: Option<u64>,
    /// The body of an answer that is not streamed.
    pub(super) body: Bytes,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Owner => "owner",
            Self::Order => "order",
            Self::Cut => "cut",
            Self::Run => "run",
            Self::Differs => "differs",
            Self::Malformed => "malformed",
        })
    }
}

impl Verdict {
    /// Returns a result without an answer to check.
    pub(super) fn lost(outcome: Outcome, reason: &str) -> Self {
        Self {
            outcome,
            reason: reason.to_owned(),
            fault: None,
            micros: 0,
            first_token: None,
            body: Bytes::new(),
        }
    }

    fn answered() -> Self {
        Self::lost(Outcome::Answered, "")
    }

    fn with(self, fault: Option<Fault>) -> Self {
        Self { fault, ..self }
    }
}

/// Returns whether two copies got different answers.
pub(super) fn differ(verdicts: &[Verdict]) -> bool {
    let mut answered = verdicts
        .iter()
        .filter(|verdict| verdict.outcome == Outcome::Answered);
    let first = answered.next();
    answered.any(|other| first.is_some_and(|first| first.body != other.body))
}

/// Sends one copy of a call and checks its answer.
pub(super) async fn exchange(run: &Run, call: &Call, copy: usize) -> Verdict {
    let settings = &run.settings;
    let to = settings.entries[call.entry(copy, settings.entries.len())];
    let request = call.request(copy);
    let mut headers = vec![
        (
            settings.organisation_header.as_str(),
            call.organisation.as_str(),
        ),
        ("content-type", "application/json"),
        ("x-request-id", request.as_str()),
    ];
    headers.extend(call.key.as_deref().map(|key| ("idempotency-key", key)));
    let began = run.clock.now_micros();
    let body = call.body.clone();
    let opened = run
        .caller
        .request_streaming(Method::POST, to, &call.path, &headers, body)
        .await;
    let mut verdict = match opened {
        Ok(response) if is_stream(&response) => follow(run, call, response, began).await,
        Ok(response) => read(call, response).await,
        Err(error) if is_unconnected(&error) => Verdict::lost(Outcome::NotRun, "connect"),
        Err(_) => Verdict::lost(Outcome::Unknown, "connection"),
    };
    verdict.micros = run.clock.now_micros() - began;
    verdict
}

fn is_stream(response: &Response<Incoming>) -> bool {
    let kind = response.headers().get("content-type");
    kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

/// Returns whether no connection was made, so that no byte of the call was sent.
fn is_unconnected(error: &anyhow::Error) -> bool {
    let error = error.downcast_ref::<hyper_util::client::legacy::Error>();
    error.is_some_and(hyper_util::client::legacy::Error::is_connect)
}

async fn read(call: &Call, response: Response<Incoming>) -> Verdict {
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return Verdict::lost(Outcome::Unknown, "connection");
    };
    let answer = FullResponse {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    };
    match answer.header(OUTCOME_HEADER) {
        "answered" => judge(call, &answer),
        "not_run" => refused(Outcome::NotRun, &answer.body),
        "unknown" => refused(Outcome::Unknown, &answer.body),
        // A stand-in that is called directly sends no outcome.
        "" if answer.status.is_success() => judge(call, &answer),
        _ => Verdict::lost(Outcome::Unknown, "no outcome").with(Some(Fault::Malformed)),
    }
}

/// Checks a complete answer of the upstream.
fn judge(call: &Call, answer: &FullResponse) -> Verdict {
    let fault = match call.kind {
        _ if answer.status != StatusCode::OK => Some(Fault::Malformed),
        CallKind::Keyed | CallKind::Plain => plain_fault(call, &answer.body),
        CallKind::Chat => chat_fault(call, &answer.body),
        CallKind::Stream => Some(Fault::Malformed),
    };
    Verdict {
        body: answer.body.clone(),
        ..Verdict::answered().with(fault)
    }
}

fn plain_fault(call: &Call, body: &[u8]) -> Option<Fault> {
    let Ok(echo) = serde_json::from_slice::<Echo>(body) else {
        return Some(Fault::Malformed);
    };
    let is_own = echo.organisation == call.organisation
        && echo.path == call.path
        && echo.digest == Digest::of(&[&call.body]).to_string()
        && call.key.as_ref().is_none_or(|key| *key == echo.key);
    match call.kind {
        _ if !is_own => Some(Fault::Owner),
        CallKind::Keyed if echo.run != 1 => Some(Fault::Run),
        _ => None,
    }
}

fn chat_fault(call: &Call, body: &[u8]) -> Option<Fault> {
    let Ok(value) = serde_json::from_slice::<Value>(body) else {
        return Some(Fault::Malformed);
    };
    let content = value["choices"][0]["message"]["content"].as_str();
    let expected = answer_text(call.prompt, call.tokens);
    (content != Some(expected.as_str())).then_some(Fault::Owner)
}

/// Returns the result for a problem body, with its reason.
fn refused(outcome: Outcome, body: &[u8]) -> Verdict {
    let problem: Value = serde_json::from_slice(body).unwrap_or_default();
    let kind = problem["type"].as_str().unwrap_or("no reason");
    Verdict::lost(outcome, kind.rsplit(':').next().unwrap_or(kind))
}

/// Reads a stream to its end and checks its events.
async fn follow(run: &Run, call: &Call, response: Response<Incoming>, began: u64) -> Verdict {
    let mut body = response.into_body();
    let mut events = Events::default();
    let mut stream = Stream::default();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return stream.ended(call, "connection");
        };
        if let Some(data) = frame.data_ref() {
            events.push(data);
        }
        while let Some(event) = events.next() {
            stream.take(call, &event);
            let tokens = stream.tokens;
            stream.first_token = stream
                .first_token
                .or((tokens > 0).then(|| run.clock.now_micros() - began));
        }
    }
    if events.is_partial() {
        stream.fault = stream.fault.or(Some(Fault::Cut));
    }
    stream.ended(call, "")
}

/// The checks of a stream so far.
#[derive(Debug, Default)]
struct Stream {
    tokens: u64,
    done: bool,
    error: Option<Verdict>,
    fault: Option<Fault>,
    first_token: Option<u64>,
}

impl Stream {
    fn take(&mut self, call: &Call, event: &Event) {
        let is_over = self.done || self.error.is_some();
        if is_over {
            self.fault = self.fault.or(Some(Fault::Order));
        } else if event.kind == "error" {
            self.error = Some(error(&event.data));
        } else if event.data == DONE {
            self.done = true;
        } else {
            self.token(call, &event.data);
        }
    }

    fn token(&mut self, call: &Call, data: &str) {
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        let content = chunk["choices"][0]["delta"]["content"].as_str();
        if content != Some(token_text(call.prompt, self.tokens).as_str()) {
            let is_first = self.tokens == 0;
            let fault = if is_first { Fault::Owner } else { Fault::Order };
            self.fault = self.fault.or(Some(fault));
        }
        self.tokens += 1;
    }

    /// Returns the result at the end of the stream; `broken` names the failure that ended it, if any.
    fn ended(self, call: &Call, broken: &str) -> Verdict {
        let is_whole = self.done && self.tokens == call.tokens;
        let verdict = match self.error {
            Some(error) => error,
            None if self.done && broken.is_empty() => Verdict::answered(),
            None if broken.is_empty() => Verdict::lost(Outcome::Unknown, "silence"),
            None => Verdict::lost(Outcome::Unknown, broken),
        };
        // Without an error event or a broken connection, only a complete answer may end.
        let must_be_whole = verdict.reason.is_empty() || verdict.reason == "silence";
        let cut = (must_be_whole && !is_whole).then_some(Fault::Cut);
        Verdict {
            first_token: self.first_token,
            ..verdict.with(self.fault.or(cut))
        }
    }
}

/// Returns the result for the problem in an error event.
fn error(data: &str) -> Verdict {
    let problem: Value = serde_json::from_str(data).unwrap_or_default();
    match problem["outcome"].as_str() {
        Some("not_run") => refused(Outcome::NotRun, data.as_bytes()),
        Some("unknown") => refused(Outcome::Unknown, data.as_bytes()),
        _ => Verdict::lost(Outcome::Unknown, "no outcome").with(Some(Fault::Malformed)),
    }
}
