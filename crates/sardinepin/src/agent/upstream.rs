//! The HTTP client of the upstream.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use http::response::Parts;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use sardinepin_common::{Millis, Term};
use sardinepin_decisions::{AskedAnswer, Framing, LimitNotice, ProcessState};
use sardinepin_gateway::asked_answer;
use sardinepin_groups::{Order, OrderReply};
use sardinepin_protocol::{Attempt, ErrorKind, HeaderField, UpstreamRequest};
use sardinepin_runtime::{Connecting, HttpConnection, HttpPool, SendError};
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::time::timeout;

use crate::agent::load::EngineLoad;

/// Header fields that are not forwarded: those of a single connection, and `content-length`, which
/// the HTTP library sets itself.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// How long a connection to the upstream, which is on the same instance, may take.
const CONNECT_TIMEOUT: Millis = Millis(200);

/// The largest reply to an order or a query of the load, in bytes.
const REPLY_MAX_BYTES: usize = 64 * 1024;

/// The header field in which an upstream in need names how many requests a second it takes from all entries together.
const LIMIT_HEADER: HeaderName = HeaderName::from_static("x-limit");

/// Why a call produced no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No connection could be opened, so no byte of the call was sent and it has not run.
    Unreachable,
    /// The call cannot be expressed as an HTTP request.
    Malformed,
    /// The call failed on an open connection: it may have run.
    Interrupted(ErrorKind),
}

/// An HTTP client for one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamClient {
    address: SocketAddr,
    pool: HttpPool,
}

/// A response whose head has arrived.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: HttpConnection,
}

impl UpstreamClient {
    /// Creates a client for the upstream at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            pool: HttpPool::new(CONNECT_TIMEOUT),
        }
    }

    /// Makes the call of an attempt; returns once the head of the response has arrived.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the call may have run.
    pub(crate) async fn call(&self, attempt: &Attempt) -> Result<UpstreamResponse, CallError> {
        let request = self.request(attempt).map_err(|_| CallError::Malformed)?;
        let asked = asked_answer(request.headers());
        let found = match attempt.idempotent {
            true => self.send_over_any(request).await,
            // A call that must not be repeated gets a connection of its own: a pooled one may be
            // closed while the call is sent, and then it is unknown whether the call ran.
            false => self.send_over_new(request).await,
        };
        match found {
            Ok(found) if asked.is_answered_by(found.response.status().as_u16()) => Ok(found),
            Ok(found) => {
                log::info!(event = "response_rejected", attempt:% = attempt.id, rule = "status", fault = found.response.status().as_u16(); "a response has a status that does not answer its request");
                Err(CallError::Interrupted(ErrorKind::UpstreamBroke))
            }
            Err(SendError::NotSent) => Err(CallError::Unreachable),
            Err(SendError::MaybeSent) => {
                Err(CallError::Interrupted(self.classify_interruption().await))
            }
        }
    }

    async fn send_over_any(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<UpstreamResponse, SendError> {
        if let Some(mut connection) = self.pool.reuse(self.address) {
            match connection.send(request.clone()).await {
                // The upstream had closed it.
                Err(SendError::NotSent) => {}
                sent => {
                    return sent.map(|response| UpstreamResponse {
                        response,
                        connection,
                    });
                }
            }
        }
        self.send_over_new(request).await
    }

    async fn send_over_new(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<UpstreamResponse, SendError> {
        let mut connection = self.pool.open(self.address).await?;
        let response = connection.send(request).await?;
        Ok(UpstreamResponse {
            response,
            connection,
        })
    }

    /// Keeps the connection of a response that was read to its end.
    pub(crate) fn keep(&self, connection: HttpConnection) {
        self.pool.put(self.address, connection);
    }

    /// Sends the engine an order with its term as the fencing token; returns `None` if no reply can
    /// be read.
    pub(crate) async fn send_order(&self, term: Term, order: Order) -> Option<OrderReply> {
        let body = serde_json::to_vec(&json!({"term": term, "order": order})).ok()?;
        let request = Request::post("/orders")
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        // A fresh connection: on a reused one that closes, the order may be sent again.
        let mut connection = self.pool.open(self.address).await.ok()?;
        decode_reply(connection.exchange(request, REPLY_MAX_BYTES).await.ok()?)
    }

    /// Reads the load that the engine reports; returns `None` if no valid report arrives within
    /// `limit`.
    pub(crate) async fn read_load(&self, limit: Millis) -> Option<EngineLoad> {
        let request = Request::get("/load")
            .header(header::HOST, self.address.to_string())
            .body(Full::default())
            .ok()?;
        let exchange = self.pool.exchange(self.address, request, REPLY_MAX_BYTES);
        let exchange = timeout(limit.duration(), exchange);
        decode_reply(exchange.await.ok()?.ok()?)
    }

    /// Returns `UpstreamCrashed` if the upstream no longer accepts connections, else
    /// `UpstreamBroke`.
    pub(crate) async fn classify_interruption(&self) -> ErrorKind {
        match tokio::net::TcpStream::connect(self.address).await {
            Ok(_) => ErrorKind::UpstreamBroke,
            Err(_) => ErrorKind::UpstreamCrashed,
        }
    }

    /// Returns whether the upstream still runs after a response without length has ended.
    pub(crate) async fn process_state(&self) -> ProcessState {
        match Connecting::after_close(self.address, CONNECT_TIMEOUT).await {
            Connecting::Open(_) => ProcessState::Alive,
            Connecting::Refused => ProcessState::Gone,
            Connecting::Failed => ProcessState::Unknown,
        }
    }

    fn request(&self, attempt: &Attempt) -> Result<Request<Full<Bytes>>, http::Error> {
        let call = &attempt.call;
        let mut request = Request::builder()
            .method(call.method.as_str())
            .uri(call.path.as_str());
        if !call.headers.iter().any(|field| field.name == "host") {
            request = request.header(header::HOST, self.address.to_string());
        }
        for (name, value) in forwarded_headers(call) {
            request = request.header(name, value);
        }
        request = request
            .header("x-request-id", attempt.request.as_str())
            .header("x-organisation", attempt.organisation.as_str())
            .header("x-priority", u16::from(attempt.priority));
        if attempt.resume > 0 {
            request = request.header("x-resume-offset", attempt.resume);
        }
        request.body(Full::new(call.body.clone()))
    }
}

/// Decodes the reply to an order or a query of the load.
fn decode_reply<T: DeserializeOwned>((parts, body): (Parts, Bytes)) -> Option<T> {
    let is_answer = AskedAnswer::default().is_answered_by(parts.status.as_u16());
    is_answer
        .then(|| serde_json::from_slice(&body).ok())
        .flatten()
}

/// Returns how a response tells where it ends.
pub(crate) fn framing(attempt: &Attempt, response: &Response<Incoming>) -> Framing {
    let headers = response.headers();
    let is_marked = attempt.call.method == Method::HEAD.as_str()
        || matches!(
            response.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        )
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    match is_marked {
        true => Framing::Marked,
        false => Framing::Connection,
    }
}

/// Returns what a response says about the upstream's limit.
pub(crate) fn named_limit(response: &Response<Incoming>) -> LimitNotice {
    let values = response.headers().get_all(LIMIT_HEADER).iter();
    LimitNotice::from_values(values.map(|value| value.to_str().ok()))
}

/// Returns how long the upstream wants no calls after it has turned one away; `None` if it has not, or does not say.
pub(crate) fn named_rest(response: &Response<Incoming>) -> Option<Millis> {
    let is_rejected = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    is_rejected
        .then(|| sardinepin_gateway::rest_time(response.headers()))
        .flatten()
}

/// Returns the header fields of a response that are forwarded to the caller.
pub(crate) fn response_headers(response: &Response<Incoming>) -> Vec<HeaderField> {
    response
        .headers()
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| HeaderField {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

fn forwarded_headers(call: &UpstreamRequest) -> impl Iterator<Item = (HeaderName, HeaderValue)> {
    call.headers
        .iter()
        .filter(|field| !HOP_BY_HOP_HEADERS.contains(&field.name.as_str()))
        .filter_map(|field| {
            let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
            let value = HeaderValue::from_maybe_shared(field.value.clone()).ok()?;
            Some((name, value))
        })
}
