//! The server: whole requests in, answers out, and connections that break on purpose.

use std::fmt;
use std::io;
use std::net::SocketAddr;
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

/// The largest request body that a stand-in reads, in bytes.
const BODY_MAX: usize = 16 * 1024 * 1024;

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// An answer, or the wish to close the connection without one.
pub type HandlerResult = Result<Response<Body>, CloseConnection>;

/// The connection is to be closed without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CloseConnection;

impl fmt::Display for CloseConnection {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("the connection is closed on purpose")
    }
}

impl std::error::Error for CloseConnection {}

/// What a stand-in does with a request.
pub trait Handler: fmt::Debug + Send + Sync + 'static {
    /// Answers one request; the future is dropped if the peer closes the connection.
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

/// Serves `handler` for ever.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>) {
    loop {
        if let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(connection(socket, Arc::clone(&handler)));
        }
    }
}

async fn connection(socket: TcpStream, handler: Arc<dyn Handler>) {
    // Without the option small chunks merely come later.
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request| exchange(Arc::clone(&handler), request));
    // A connection that ends in an error has been broken by one side, which is a fault under test.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(socket), service)
        .await;
}

async fn exchange(handler: Arc<dyn Handler>, request: Request<Incoming>) -> HandlerResult {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, BODY_MAX)
        .collect()
        .await
        .map_err(|_| CloseConnection)?
        .to_bytes();
    handler.handle(Request::from_parts(head, body)).await
}

/// Returns an answer whose body is `value` as JSON.
///
/// # Errors
///
/// Closes the connection if the value cannot be encoded.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> HandlerResult {
    let bytes = serde_json::to_vec(value).map_err(|_| CloseConnection)?;
    reply(status, "application/json", whole(bytes.into()))
}

/// Returns an answer whose body is plain text.
///
/// # Errors
///
/// Closes the connection if the answer cannot be made.
pub fn text_response(status: StatusCode, body: &str) -> HandlerResult {
    reply(status, "text/plain", whole(body.to_owned().into()))
}

/// Returns an answer whose body comes in parts; an error among them breaks the connection.
///
/// # Errors
///
/// Closes the connection if the answer cannot be made.
pub fn streaming_response<S>(content_type: &str, parts: S) -> HandlerResult
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    use futures_util::StreamExt;
    let frames = parts.map(|part| part.map(Frame::data));
    reply(
        StatusCode::OK,
        content_type,
        StreamBody::new(frames).boxed_unsync(),
    )
}

/// Returns the first `bytes` bytes of `body` as parts that then break the connection.
pub fn truncated_body(body: &Bytes, bytes: usize) -> impl Stream<Item = io::Result<Bytes>> + use<> {
    let begun = body.slice(..bytes.min(body.len()));
    stream::unfold(Some(begun), |left| async move {
        match left {
            Some(part) if part.is_empty() => Some((Err(broken()), None)),
            Some(part) => Some((Ok(part), Some(Bytes::new()))),
            None => None,
        }
    })
}

fn broken() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, CloseConnection)
}

fn whole(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn reply(status: StatusCode, content_type: &str, body: Body) -> HandlerResult {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(body)
        .map_err(|_| CloseConnection)
}
