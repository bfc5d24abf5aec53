//! The HTTP client of the upstream.

use std::net::SocketAddr;

use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use sardinepin_common::{Millis, Term};
use sardinepin_decisions::{Framing, LimitNotice, ProcessState};
use sardinepin_groups::{Order, OrderReply};
use sardinepin_protocol::{Attempt, ErrorKind, HeaderField, UpstreamRequest};
use sardinepin_runtime::Connecting;
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
    pooled: Client<HttpConnector, Full<Bytes>>,
    fresh: Client<HttpConnector, Full<Bytes>>,
}

impl UpstreamClient {
    /// Creates a client for the upstream at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            pooled: http_client(usize::MAX),
            // A call that must not be repeated gets a connection of its own: a pooled one may be
            // closed while the call is sent, and then it is unknown whether the call ran.
            fresh: http_client(0),
        }
    }

    /// Makes the call of an attempt; returns once the head of the response has arrived.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the call may have run.
    pub(crate) async fn call(&self, attempt: &Attempt) -> Result<Response<Incoming>, CallError> {
        let request = self.request(attempt).map_err(|_| CallError::Malformed)?;
        let client = if attempt.idempotent {
            &self.pooled
        } else {
            &self.fresh
        };
        match client.request(request).await {
            Ok(response) => Ok(response),
            Err(error) if error.is_connect() => Err(CallError::Unreachable),
            Err(_) => Err(CallError::Interrupted(self.classify_interruption().await)),
        }
    }

    /// Sends the engine an order with its term as the fencing token; returns `None` if no reply can
    /// be read.
    pub(crate) async fn send_order(&self, term: Term, order: Order) -> Option<OrderReply> {
        let body = serde_json::to_vec(&json!({"term": term, "order": order})).ok()?;
        let request = Request::post(format!("http://{}/orders", self.address))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        // A fresh connection, since the pool would retry the order on its own if a reused one
        // closed.
        read_json(&self.fresh, request).await
    }

    /// Reads the load that the engine reports; returns `None` if no valid report arrives within
    /// `limit`.
    pub(crate) async fn read_load(&self, limit: Millis) -> Option<EngineLoad> {
        let uri = format!("http://{}/load", self.address);
        let request = Request::get(uri).body(Full::default()).ok()?;
        let exchange = read_json(&self.pooled, request);
        timeout(limit.duration(), exchange).await.ok()?
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
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(call.path.as_str())
            .build()?;
        let mut request = Request::builder().method(call.method.as_str()).uri(uri);
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

/// Sends a request and reads its response, which must not be longer than [`REPLY_MAX_BYTES`].
async fn read_json<T: DeserializeOwned>(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Option<T> {
    let response = client.request(request).await.ok()?;
    let body = Limited::new(response.into_body(), REPLY_MAX_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
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

fn http_client(idle_max: usize) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(idle_max)
        .build(connector)
}
