//! Checks answers: whether they belong to their call, are in order and complete, and their outcome.

use std::fmt;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Response, StatusCode};
use sardinepin_common::{Clock, Millis};
use sardinepin_protocol::{Digest, Outcome};
use serde_json::Value;

use super::LoadRun;
use super::calls::{Call, CallKind};
use super::events::{Event, EventParser};
use crate::http::FullResponse;
use crate::plain::Echo;
use crate::tokens::{answer_text, token_text};

/// The header field with the outcome of a request.
const OUTCOME_HEADER: &str = "x-sardinepin-outcome";

/// The host name by which calls reach gateways of the users' platform.
pub const PLATFORM_HOST: &str = "host.example";

/// The header field with the identifier of a request on the users' platform.
const ATTEMPT_HEADER: &str = "x-attempt-id";

/// How long a slow reader waits before each part of a stream.
const SLOW_READ_DELAY: Millis = Millis(40);

/// The data of the event that ends a complete stream.
const STREAM_END: &str = "[DONE]";

/// An error of an answer, as opposed to a reported failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerError {
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
pub(super) struct SendResult {
    pub(super) outcome: Outcome,
    /// Why the call was not answered; empty if it was.
    pub(super) reason: String,
    /// What is wrong with the answer, if anything.
    pub(super) error: Option<AnswerError>,
    /// The time from sending to the end of the answer, in microseconds.
    pub(super) micros: u64,
    /// The time from sending to the first token, in microseconds.
    pub(super) first_token: Option<u64>,
    /// The body of an answer that is not streamed.
    pub(super) body: Bytes,
    /// When the caller left, in wall-clock time.
    pub(super) left_at: Option<Millis>,
}

impl fmt::Display for AnswerError {
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

impl SendResult {
    /// Returns a result with this outcome and reason, and nothing else.
    pub(super) fn with_outcome(outcome: Outcome, reason: &str) -> Self {
        Self {
            outcome,
            reason: reason.to_owned(),
            error: None,
            micros: 0,
            first_token: None,
            body: Bytes::new(),
            left_at: None,
        }
    }

    /// Returns the result of a call whose caller leaves now.
    pub(super) fn left() -> Self {
        Self {
            left_at: Some(Clock::wall_time()),
            ..Self::with_outcome(Outcome::Unknown, "caller_left")
        }
    }

    fn answered() -> Self {
        Self::with_outcome(Outcome::Answered, "")
    }

    fn with_error(self, error: Option<AnswerError>) -> Self {
        Self { error, ..self }
    }
}

/// Returns whether two copies got different answers.
pub(super) fn answers_differ(results: &[SendResult]) -> bool {
    let mut answered = results
        .iter()
        .filter(|result| result.outcome == Outcome::Answered);
    let first = answered.next();
    answered.any(|other| first.is_some_and(|first| first.body != other.body))
}

/// Sends one copy of a call and checks its answer.
pub(super) async fn send_and_check(run: &LoadRun, call: &Call, copy: usize) -> SendResult {
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
    let authorization = format!("Token {}", call.organisation);
    if settings.platform {
        headers = vec![
            ("host", PLATFORM_HOST),
            ("authorization", authorization.as_str()),
            (ATTEMPT_HEADER, request.as_str()),
        ];
    }
    headers.extend(call.key.as_deref().map(|key| ("idempotency-key", key)));
    let start_micros = run.clock.now_micros();
    let body = call.body.clone();
    let opened = run
        .client
        .request_streaming(Method::POST, to, &call.path, &headers, body)
        .await;
    let mut result = match opened {
        Ok(response) if is_stream(&response) => {
            read_stream(run, call, response, start_micros).await
        }
        Ok(response) if settings.platform => read_platform_response(call, &request, response).await,
        Ok(response) => read_response(call, response).await,
        Err(error) if is_connect_error(&error) => {
            SendResult::with_outcome(Outcome::NotRun, "connect")
        }
        Err(_) => SendResult::with_outcome(Outcome::Unknown, "connection"),
    };
    result.micros = run.clock.now_micros() - start_micros;
    result
}

fn is_stream(response: &Response<Incoming>) -> bool {
    let kind = response.headers().get("content-type");
    kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

/// Returns whether no connection was made, so that no byte of the call was sent.
fn is_connect_error(error: &anyhow::Error) -> bool {
    let error = error.downcast_ref::<hyper_util::client::legacy::Error>();
    error.is_some_and(hyper_util::client::legacy::Error::is_connect)
}

async fn read_response(call: &Call, response: Response<Incoming>) -> SendResult {
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return SendResult::with_outcome(Outcome::Unknown, "connection");
    };
    let answer = FullResponse {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    };
    match answer.header(OUTCOME_HEADER) {
        "answered" => check_answer(call, &answer),
        "not_run" => from_problem(Outcome::NotRun, &answer.body),
        "unknown" => from_problem(Outcome::Unknown, &answer.body),
        // A stand-in that is called directly sends no outcome.
        "" if answer.status.is_success() => check_answer(call, &answer),
        _ => SendResult::with_outcome(Outcome::Unknown, "no outcome")
            .with_error(Some(AnswerError::Malformed)),
    }
}

/// Reads the response of a gateway, whose status tells whether the call ran.
async fn read_platform_response(
    call: &Call,
    request: &str,
    response: Response<Incoming>,
) -> SendResult {
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return SendResult::with_outcome(Outcome::Unknown, "connection");
    };
    let answer = FullResponse {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    };
    let is_own = answer.header(ATTEMPT_HEADER) == request;
    let result = match answer.status.as_u16() {
        200 => check_answer(call, &answer),
        400..500 | 503 => from_problem(Outcome::NotRun, &answer.body),
        _ => from_problem(Outcome::Unknown, &answer.body),
    };
    let owner = (!is_own).then_some(AnswerError::Owner);
    let error = result.error.or(owner);
    result.with_error(error)
}

/// Checks a complete answer of the upstream.
fn check_answer(call: &Call, answer: &FullResponse) -> SendResult {
    let error = match call.kind {
        _ if answer.status != StatusCode::OK => Some(AnswerError::Malformed),
        CallKind::Keyed | CallKind::Plain => plain_error(call, &answer.body),
        CallKind::Chat => chat_error(call, &answer.body),
        CallKind::Stream => Some(AnswerError::Malformed),
    };
    SendResult {
        body: answer.body.clone(),
        ..SendResult::answered().with_error(error)
    }
}

fn plain_error(call: &Call, body: &[u8]) -> Option<AnswerError> {
    let Ok(echo) = serde_json::from_slice::<Echo>(body) else {
        return Some(AnswerError::Malformed);
    };
    let belongs_to_call = echo.organisation == call.organisation
        && echo.path == call.path
        && echo.digest == Digest::of(&[&call.body]).to_string()
        && call.key.as_ref().is_none_or(|key| *key == echo.key);
    match call.kind {
        _ if !belongs_to_call => Some(AnswerError::Owner),
        CallKind::Keyed if echo.run != 1 => Some(AnswerError::Run),
        _ => None,
    }
}

fn chat_error(call: &Call, body: &[u8]) -> Option<AnswerError> {
    let Ok(value) = serde_json::from_slice::<Value>(body) else {
        return Some(AnswerError::Malformed);
    };
    let content = value["choices"][0]["message"]["content"].as_str();
    let expected = answer_text(call.prompt, call.tokens);
    (content != Some(expected.as_str())).then_some(AnswerError::Owner)
}

/// Returns the result for a problem body, with its reason.
fn from_problem(outcome: Outcome, body: &[u8]) -> SendResult {
    let problem: Value = serde_json::from_slice(body).unwrap_or_default();
    let kind = problem["type"].as_str().or(problem["reason"].as_str());
    let kind = kind.unwrap_or("no reason");
    SendResult::with_outcome(outcome, kind.rsplit(':').next().unwrap_or(kind))
}

/// Reads a stream to its end and checks its events.
async fn read_stream(
    run: &LoadRun,
    call: &Call,
    response: Response<Incoming>,
    start_micros: u64,
) -> SendResult {
    let mut body = response.into_body();
    let mut parser = EventParser::default();
    let mut stream = StreamCheck::default();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return stream.finish(call, "connection");
        };
        if call.reads_slowly {
            tokio::time::sleep(SLOW_READ_DELAY.duration()).await;
        }
        if let Some(data) = frame.data_ref() {
            parser.push(data);
        }
        while let Some(event) = parser.next() {
            stream.handle_event(call, &event);
            let tokens = stream.tokens;
            stream.first_token = stream
                .first_token
                .or((tokens > 0).then(|| run.clock.now_micros() - start_micros));
        }
    }
    if parser.is_partial() {
        stream.error = stream.error.or(Some(AnswerError::Cut));
    }
    stream.finish(call, "")
}

/// The checks of a stream so far.
#[derive(Debug, Default)]
struct StreamCheck {
    tokens: u64,
    done: bool,
    /// The result for the error event of the stream, if it has sent one.
    reported: Option<SendResult>,
    /// The first error found by the checks.
    error: Option<AnswerError>,
    first_token: Option<u64>,
}

impl StreamCheck {
    fn handle_event(&mut self, call: &Call, event: &Event) {
        let is_over = self.done || self.reported.is_some();
        if is_over {
            self.error = self.error.or(Some(AnswerError::Order));
        } else if event.kind == "error" {
            self.reported = Some(from_error_event(&event.data));
        } else if event.data == STREAM_END {
            self.done = true;
        } else {
            self.check_token(call, &event.data);
        }
    }

    fn check_token(&mut self, call: &Call, data: &str) {
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        let content = chunk["choices"][0]["delta"]["content"].as_str();
        if content != Some(token_text(call.prompt, self.tokens).as_str()) {
            let is_first = self.tokens == 0;
            let error = if is_first {
                AnswerError::Owner
            } else {
                AnswerError::Order
            };
            self.error = self.error.or(Some(error));
        }
        self.tokens += 1;
    }

    /// Returns the result at the end of the stream; `broken` names the failure that ended it, if
    /// any.
    fn finish(self, call: &Call, broken: &str) -> SendResult {
        let is_complete = self.done && self.tokens == call.tokens;
        let result = match self.reported {
            Some(reported) => reported,
            None if self.done && broken.is_empty() => SendResult::answered(),
            None if broken.is_empty() => SendResult::with_outcome(Outcome::Unknown, "silence"),
            None => SendResult::with_outcome(Outcome::Unknown, broken),
        };
        // Without an error event or a broken connection, only a complete answer may end.
        let must_be_complete = result.reason.is_empty() || result.reason == "silence";
        let cut = (must_be_complete && !is_complete).then_some(AnswerError::Cut);
        SendResult {
            first_token: self.first_token,
            ..result.with_error(self.error.or(cut))
        }
    }
}

/// Returns the result for the problem in an error event.
fn from_error_event(data: &str) -> SendResult {
    let problem: Value = serde_json::from_str(data).unwrap_or_default();
    match problem["outcome"].as_str() {
        Some("not_run") => from_problem(Outcome::NotRun, data.as_bytes()),
        Some("unknown") => from_problem(Outcome::Unknown, data.as_bytes()),
        _ => SendResult::with_outcome(Outcome::Unknown, "no outcome")
            .with_error(Some(AnswerError::Malformed)),
    }
}
