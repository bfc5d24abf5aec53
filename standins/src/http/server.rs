//! The HTTP server: handlers receive complete requests, and may close the connection on purpose.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::Arc;

use anyhow::Result;
use bytes::Bytes;
use futures_util::stream::{self, Stream};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use sardinepin_store::BoxFuture;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};

use super::endless::{ConnectionEnd, Endless, write_endless};

/// The largest request body that a stand-in accepts, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The body of a response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A response, or the request to close the connection without one.
pub type HandlerResult = Result<Response<Body>, CloseConnection>;

/// Makes the server close the connection without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CloseConnection;

impl fmt::Display for CloseConnection {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("the connection is closed on purpose")
    }
}

impl std::error::Error for CloseConnection {}

/// Handles the requests to a stand-in.
pub trait Handler: fmt::Debug + Send + Sync + 'static {
    /// Handles one request; the future is dropped if the peer closes the connection.
    fn handle(self: Arc<Self>, request: Request<Bytes>) -> BoxFuture<'static, HandlerResult>;
}

/// Serves `handler` on an ephemeral port of the loopback interface and returns the address.
///
/// # Errors
///
/// Fails if no port can be bound.
pub async fn spawn_server(handler: Arc<dyn Handler>) -> Result<SocketAddr> {
    let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(serve(listener, handler));
    Ok(address)
}

/// Serves `handler` until the future is dropped; a connection that cannot be accepted is skipped.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>) {
    loop {
        if let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(serve_connection(socket, Arc::clone(&handler)));
        }
    }
}

async fn serve_connection(socket: TcpStream, handler: Arc<dyn Handler>) {
    // A failure is ignored: without the option, small chunks are only delayed.
    let _ = socket.set_nodelay(true);
    let Ok(raw) = socket.as_fd().try_clone_to_owned() else {
        return;
    };
    let service = service_fn(move |request| handle_request(Arc::clone(&handler), request));
    // Other errors mean that one side broke the connection, which tests cause on purpose.
    let served = http1::Builder::new()
        .serve_connection(TokioIo::new(socket), service)
        .await;
    let endless = served.err().and_then(|error| {
        let source = std::error::Error::source(&error)?;
        match source.downcast_ref()? {
            ConnectionEnd::Endless(part) => Some(*part),
            ConnectionEnd::Close(_) => None,
        }
    });
    if let Some(part) = endless
        && let Ok(mut socket) = TcpStream::from_std(raw.into())
    {
        write_endless(&mut socket, part, "").await;
    }
}

async fn handle_request(
    handler: Arc<dyn Handler>,
    request: Request<Incoming>,
) -> Result<Response<Body>, ConnectionEnd> {
    let response = respond(handler, request)
        .await
        .map_err(ConnectionEnd::Close)?;
    match response.extensions().get::<Endless>() {
        Some(part) => Err(ConnectionEnd::Endless(*part)),
        None => Ok(response),
    }
}

async fn respond(handler: Arc<dyn Handler>, request: Request<Incoming>) -> HandlerResult {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|_| CloseConnection)?
        .to_bytes();
    handler.handle(Request::from_parts(head, body)).await
}

/// Returns a response whose body is `value` as JSON.
///
/// # Errors
///
/// Closes the connection if the value cannot be encoded.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> HandlerResult {
    let bytes = serde_json::to_vec(value).map_err(|_| CloseConnection)?;
    response(status, "application/json", full_body(bytes.into()))
}

/// Returns a response whose body is plain text.
///
/// # Errors
///
/// Closes the connection if the response cannot be built.
pub fn text_response(status: StatusCode, body: &str) -> HandlerResult {
    response(status, "text/plain", full_body(body.to_owned().into()))
}

/// Returns a response whose body is streamed in parts; an error in the stream breaks the
/// connection.
///
/// # Errors
///
/// Closes the connection if the response cannot be built.
pub fn streaming_response<S>(content_type: &str, parts: S) -> HandlerResult
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    use futures_util::StreamExt;
    let frames = parts.map(|part| part.map(Frame::data));
    response(
        StatusCode::OK,
        content_type,
        StreamBody::new(frames).boxed_unsync(),
    )
}

/// Returns a stream of the first `bytes` bytes of `body` and then an error that breaks the
/// connection.
pub fn truncated_body(body: &Bytes, bytes: usize) -> impl Stream<Item = io::Result<Bytes>> + use<> {
    let start = body.slice(..bytes.min(body.len()));
    stream::unfold(Some(start), |rest| async move {
        match rest {
            Some(part) if part.is_empty() => Some((Err(reset_error()), None)),
            Some(part) => Some((Ok(part), Some(Bytes::new()))),
            None => None,
        }
    })
}

fn reset_error() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, CloseConnection)
}

fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn response(status: StatusCode, content_type: &str, body: Body) -> HandlerResult {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(body)
        .map_err(|_| CloseConnection)
}
