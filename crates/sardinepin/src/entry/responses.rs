//! The response to a caller: either complete, or ended with an explicit error.

use std::io;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use sardinepin_common::Millis;
use sardinepin_decisions::{StreamFault, StreamHead};
use sardinepin_protocol::{ErrorKind, HeaderField, Outcome, RetryAdvice};
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use crate::entry::sse::EventStream;
use crate::telemetry::count_refusal;

/// The body type of all responses.
pub(crate) type Body = BoxBody<Bytes, io::Error>;

/// The header field that tells the caller whether the request ran.
pub(crate) const OUTCOME_HEADER: &str = "x-sardinepin-outcome";

/// The size up to which a response is buffered until it is complete, in bytes. Event streams are
/// not buffered.
const BUFFER_MAX_BYTES: usize = 64 * 1024;

/// The maximum number of parts of a response that are queued for a slow caller.
const QUEUED_PARTS_MAX: usize = 16;

/// The status code and header fields of an upstream's response.
#[derive(Debug, Clone)]
pub(crate) struct ResponseHead {
    status: u16,
    headers: Vec<HeaderField>,
}

/// The response to one request. It is passed on from the attempts, or replaced by an error.
#[derive(Debug)]
pub(crate) struct CallerResponse {
    request_id: String,
    state: ResponseState,
    head: Option<ResponseHead>,
    events: Option<EventStream>,
    buffered: Vec<Bytes>,
}

#[derive(Debug)]
enum ResponseState {
    /// Nothing has been sent to the caller.
    Pending(oneshot::Sender<Response<Body>>),
    /// The head has been sent, and parts of the body follow.
    Streaming(mpsc::Sender<io::Result<Frame<Bytes>>>),
    /// The response has ended, or the caller has hung up.
    Ended,
}

/// Why a part of a response does not reach the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ForwardError {
    /// The caller has hung up.
    HungUp,
    /// It is no part of the stream that the caller has received so far.
    Discontinuous(StreamFault),
}

impl CallerResponse {
    /// Starts the response to a caller that waits on the receiver of `sender`.
    pub(crate) fn new(request_id: &str, sender: oneshot::Sender<Response<Body>>) -> Self {
        Self {
            request_id: request_id.to_owned(),
            state: ResponseState::Pending(sender),
            head: None,
            events: None,
            buffered: Vec::new(),
        }
    }

    /// Waits until the caller hangs up.
    pub(crate) async fn hung_up(&mut self) {
        match &mut self.state {
            ResponseState::Pending(sender) => sender.closed().await,
            ResponseState::Streaming(parts) => parts.closed().await,
            ResponseState::Ended => {}
        }
    }

    /// Returns whether the caller has received bytes after which another upstream cannot resume.
    pub(crate) fn is_unresumable(&self) -> bool {
        !matches!(self.state, ResponseState::Pending(_)) && self.events.is_none()
    }

    /// Returns the number of tokens that were passed to the caller.
    pub(crate) fn tokens(&self) -> u64 {
        self.events.as_ref().map_or(0, EventStream::tokens)
    }

    /// Prepares for the response of another attempt; an event stream that was started is kept.
    pub(crate) fn reset(&mut self) {
        self.buffered.clear();
        if matches!(self.state, ResponseState::Pending(_)) {
            self.head = None;
            self.events = None;
        }
    }

    /// Sets the head of the response and starts an event stream at once. The head of a resuming
    /// attempt is only checked.
    pub(crate) fn set_head(
        &mut self,
        status: u16,
        headers: Vec<HeaderField>,
    ) -> Result<(), ForwardError> {
        let head = StreamHead {
            status,
            content_type: content_type(&headers),
        };
        if let Some(events) = &mut self.events {
            return events.resume(head).map_err(ForwardError::Discontinuous);
        }
        if self.head.is_some() {
            return Ok(());
        }
        let is_stream = head.content_type.is_some_and(is_event_stream);
        // An error is no stream, whatever its type.
        self.events = is_stream.then(|| EventStream::begin(head).ok()).flatten();
        self.head = Some(ResponseHead { status, headers });
        match &self.events {
            Some(_) => self.start_stream(),
            None => Ok(()),
        }
    }

    /// Buffers a chunk of the response or sends it to the caller.
    pub(crate) async fn push_chunk(&mut self, data: Bytes) -> Result<(), ForwardError> {
        if let Some(events) = &mut self.events {
            let pushed = events.push(&data);
            if !pushed.forward.is_empty() {
                self.send_part(pushed.forward).await?;
            }
            let fault = pushed.fault.map(ForwardError::Discontinuous);
            return fault.map_or(Ok(()), Err);
        }
        let part = data;
        if part.is_empty() {
            return Ok(());
        }
        if matches!(self.state, ResponseState::Pending(_)) {
            self.buffered.push(part);
            if self.buffered.iter().map(Bytes::len).sum::<usize>() <= BUFFER_MAX_BYTES {
                return Ok(());
            }
            self.start_stream()?;
            for part in std::mem::take(&mut self.buffered) {
                self.send_part(part).await?;
            }
            return Ok(());
        }
        self.send_part(part).await
    }

    /// Returns whether the response shows no sign of being cut: an event stream needs its end
    /// event, unless the status is an error.
    pub(crate) fn seems_complete(&self) -> bool {
        let failed = self.head.as_ref().is_some_and(|head| head.status >= 400);
        failed || self.events.as_ref().is_none_or(EventStream::is_done)
    }

    /// Ends a complete response.
    pub(crate) fn complete(&mut self) {
        let ResponseState::Pending(sender) =
            std::mem::replace(&mut self.state, ResponseState::Ended)
        else {
            return;
        };
        let body = Full::new(concat(&self.buffered))
            .map_err(infallible)
            .boxed();
        let mut response = self.response(body);
        response.headers_mut().insert(
            OUTCOME_HEADER,
            HeaderValue::from_static(Outcome::Answered.label()),
        );
        let _ = sender.send(response);
    }

    /// Ends the response with an error: a problem body, an error event in an event stream, or a
    /// broken connection.
    pub(crate) async fn fail(&mut self, kind: ErrorKind, retry_after: Millis) {
        count_refusal(kind);
        match std::mem::replace(&mut self.state, ResponseState::Ended) {
            ResponseState::Pending(sender) => {
                let _ = sender.send(problem(kind, retry_after, &self.request_id));
            }
            ResponseState::Streaming(parts) if self.events.is_some() => {
                let problem = problem_json(kind, retry_after, &self.request_id);
                let event = format!("event: error\ndata: {problem}\n\n");
                let _ = parts.send(Ok(Frame::data(Bytes::from(event)))).await;
            }
            // Part of the body was sent, so breaking the connection is the only way to signal the
            // error.
            ResponseState::Streaming(parts) => {
                let _ = parts.send(Err(io::Error::other(kind))).await;
            }
            ResponseState::Ended => {}
        }
    }

    /// Sends the head and starts a streamed body.
    fn start_stream(&mut self) -> Result<(), ForwardError> {
        let (sender, receiver) = mpsc::channel(QUEUED_PARTS_MAX);
        let parts = stream::unfold(receiver, async |mut receiver: mpsc::Receiver<_>| {
            receiver.recv().await.map(|part| (part, receiver))
        });
        let response = self.response(BodyExt::boxed(StreamBody::new(parts)));
        match std::mem::replace(&mut self.state, ResponseState::Streaming(sender)) {
            ResponseState::Pending(sender) => {
                sender.send(response).map_err(|_| ForwardError::HungUp)
            }
            _ => Err(ForwardError::HungUp),
        }
    }

    async fn send_part(&mut self, part: Bytes) -> Result<(), ForwardError> {
        match &self.state {
            ResponseState::Streaming(parts) => parts
                .send(Ok(Frame::data(part)))
                .await
                .map_err(|_| ForwardError::HungUp),
            _ => Err(ForwardError::HungUp),
        }
    }

    fn response(&self, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        if let Some(head) = &self.head {
            *response.status_mut() =
                StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
            for field in &head.headers {
                let name = http::HeaderName::from_bytes(field.name.as_bytes());
                let value = HeaderValue::from_maybe_shared(field.value.clone());
                if let (Ok(name), Ok(value)) = (name, value) {
                    response.headers_mut().append(name, value);
                }
            }
        }
        set_request_id(&mut response, &self.request_id);
        response
    }
}

/// Returns the problem details response (RFC 9457) for an error kind.
pub(crate) fn problem(kind: ErrorKind, retry_after: Millis, request_id: &str) -> Response<Body> {
    let error_response = kind.response();
    let body = Full::from(problem_json(kind, retry_after, request_id));
    let mut response = Response::new(body.map_err(infallible).boxed());
    *response.status_mut() =
        StatusCode::from_u16(error_response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    headers.insert(
        OUTCOME_HEADER,
        HeaderValue::from_static(error_response.outcome.label()),
    );
    if error_response.retry == RetryAdvice::Later {
        headers.insert(
            header::RETRY_AFTER,
            HeaderValue::from(retry_after_seconds(retry_after)),
        );
    }
    set_request_id(&mut response, request_id);
    response
}

fn problem_json(kind: ErrorKind, retry_after: Millis, request_id: &str) -> String {
    let error_response = kind.response();
    let mut body = json!({
        "type": format!("urn:sardinepin:{}", error_response.label),
        "title": error_response.title,
        "status": error_response.status,
        "outcome": error_response.outcome.label(),
        "request": request_id,
    });
    if error_response.retry == RetryAdvice::Later {
        body["retry_after_ms"] = json!(retry_after.0);
    }
    body.to_string()
}

fn set_request_id(response: &mut Response<Body>, request_id: &str) {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert("x-request-id", value);
    }
}

fn content_type(headers: &[HeaderField]) -> Option<&str> {
    let is_type = |field: &&HeaderField| field.name == header::CONTENT_TYPE.as_str();
    let field = headers.iter().find(is_type)?;
    std::str::from_utf8(&field.value).ok()
}

fn is_event_stream(content_type: &str) -> bool {
    content_type.starts_with("text/event-stream")
}

/// Rounds up to whole seconds, at least one, because `retry-after` has no smaller unit.
fn retry_after_seconds(retry_after: Millis) -> u64 {
    retry_after.0.div_ceil(1_000).max(1)
}

fn concat(parts: &[Bytes]) -> Bytes {
    match parts {
        [one] => one.clone(),
        many => Bytes::from(many.concat()),
    }
}

fn infallible(error: std::convert::Infallible) -> io::Error {
    match error {}
}
