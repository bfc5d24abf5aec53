//! The callers' HTTP server.

use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::request::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::answer::{self, Body};
use crate::call::{Call, Head};
use crate::connection::prepare;
use crate::gateway::{Gateway, Open};
use crate::manifest::CallerLimits;
use crate::measure;

/// The wait after a failed accept, such as when no file descriptor is left.
const ACCEPT_PAUSE: Millis = Millis(50);

/// When to come back to an instance that cannot serve yet or any more.
const COME_BACK: Millis = Millis(200);

/// The smallest read buffer that the HTTP library takes, in bytes.
const BUFFER_MIN: usize = 8 * 1024;

/// A body whose request counts as open until it has been given out.
struct Counted {
    body: Body,
    _open: Open,
}

impl HttpBody for Counted {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Takes callers until `closing` says so; connections end on their own.
pub(crate) async fn serve(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
) {
    let signal = closing.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closed(&mut closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(connected(Arc::clone(&gateway), stream, signal.clone()));
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "cannot accept a caller");
                tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
            }
        }
    }
}

/// Waits until connections are to be closed.
async fn closed(closing: &mut watch::Receiver<bool>) {
    // An error means that the sender is gone, and with it the gateway.
    let _ = closing.wait_for(|closing| *closing).await;
}

async fn connected(gateway: Arc<Gateway>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    prepare(&stream);
    let limits = gateway
        .table()
        .map_or_else(CallerLimits::default, |table| *table.limits());
    let service = service_fn(|request| {
        let gateway = Arc::clone(&gateway);
        async move { Ok::<_, Infallible>(respond(&gateway, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.duration())
        .max_buf_size(limits.head_bytes.max(BUFFER_MIN))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closed(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(event = "caller_broke", error:% = error; "a caller's connection broke");
    }
}

async fn respond(gateway: &Arc<Gateway>, request: Request<Incoming>) -> Response<Counted> {
    let open = gateway.enter();
    let mut response = answer(gateway, request).await;
    if gateway.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response.map(|body| Counted { body, _open: open })
}

async fn answer(gateway: &Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let came = gateway.clock.now();
    let (parts, body) = request.into_parts();
    let id = parts.headers.get(&gateway.names.request_id).cloned();
    match read(gateway, parts, body, came).await {
        Ok(call) => gateway.follow(call).await,
        Err(kind) => {
            let name = id.as_ref().and_then(|id| id.to_str().ok());
            measure::turned_down();
            log::info!(
                event = "turned_down", request = name, reason = kind.response().label;
                "request turned down"
            );
            let id = id.as_ref().map(|id| (&gateway.names.request_id, id));
            answer::error(kind, COME_BACK, id)
        }
    }
}

async fn read(
    gateway: &Gateway,
    parts: Parts,
    body: Incoming,
    came: Millis,
) -> Result<Call, ErrorKind> {
    let table = gateway.table().ok_or(ErrorKind::NotReady)?;
    let names = &gateway.names;
    let head = Head::read(names, &table, &parts)?;
    let body = read_body(body, table.limits()).await?;
    let ticket = gateway.dispatch.ticket();
    Ok(Call::new(names, head, parts, body, ticket, came))
}

async fn read_body(body: Incoming, limits: &CallerLimits) -> Result<Bytes, ErrorKind> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(ErrorKind::BodyTooLarge);
    }
    let whole = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(limits.idle_timeout.duration(), whole).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(ErrorKind::BodyTooLarge)
        }
        _ => Err(ErrorKind::BadRequest),
    }
}
