//! The HTTP server for callers.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;

use http::header::{CONNECTION, HeaderValue};
use http::request::Parts;
use http::{Request, Response, Version};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;
use sardinepin_runtime::{Activity, CallerStream, GuardedBody, OpenExchange};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::body_reader::{self, BodyError, WholeBody};
use crate::call::{Call, RequestHead};
use crate::connection::set_socket_options;
use crate::constants::TCP_USER_TIMEOUT;
use crate::gateway::{Gateway, OpenRequest};
use crate::manifest::CallerLimits;
use crate::request_metrics;
use crate::response::{self, Body};

/// The delay after a failed accept, such as when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Millis = Millis(50);

/// The retry delay sent by an instance that is not ready or is shutting down.
const NOT_READY_RETRY: Millis = Millis(200);

/// How long a connection has to be out of use until it is closed at a stop: a caller that sends one request after the other sends the
/// next one sooner.
const UNUSED_TIME: Millis = Millis(1_000);

/// The part of the time for reading a body, as a divisor, that it may wait for memory.
const MEMORY_WAIT_DIVISOR: u64 = 2;

/// The minimum read buffer size that hyper accepts, in bytes.
const READ_BUFFER_MIN: usize = 8 * 1024;

/// A response body whose request counts as open until the body is dropped.
type CountedBody = GuardedBody<Body, (OpenRequest, OpenExchange)>;

/// Accepts connections until `closing` is true. Those that were made before are still served.
pub(crate) async fn serve(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
) {
    let signal = closing.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = wait_for_close(&mut closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(handle_connection(
                    Arc::clone(&gateway),
                    stream,
                    signal.clone(),
                ));
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "cannot accept a caller's connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY.duration()).await;
            }
        }
    }
    // The runtime may not have been notified of the last ones; the system resets what is left when the listener closes.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        if let Ok(stream) = stream {
            tokio::spawn(handle_connection(
                Arc::clone(&gateway),
                stream,
                signal.clone(),
            ));
        }
    }
}

/// Waits until connections have to be closed.
async fn wait_for_close(closing: &mut watch::Receiver<bool>) {
    // An error means that the sender is dropped because the gateway has ended.
    let _ = closing.wait_for(|closing| *closing).await;
}

async fn handle_connection(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) {
    let _open = gateway.open_connection();
    set_socket_options(&stream);
    let stream = CallerStream::new(stream, gateway.clock);
    let limits = gateway
        .table()
        .map_or_else(CallerLimits::default, |table| *table.limits());
    let service = service_fn(|request| {
        let gateway = Arc::clone(&gateway);
        let caller = stream.clone();
        async move { Ok::<_, Infallible>(respond(&gateway, &caller, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.duration())
        .max_buf_size(limits.head_bytes.max(READ_BUFFER_MIN))
        .serve_connection(TokioIo::new(stream.clone()), service);
    let mut connection = pin!(connection);
    let serving = async {
        tokio::select! {
            biased;
            result = connection.as_mut() => result,
            () = wait_until_unused(&mut closing, stream.activity()) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    tokio::select! {
        biased;
        result = serving => if let Err(error) = result {
            log_broken_connection(&gateway, &stream, &error);
        },
        // Ends the request in progress.
        () = stream.closed_by_caller() => {}
    }
}

/// Logs that a connection ended with an error; one that ended in the middle of an answer is worth an operator's notice.
fn log_broken_connection(gateway: &Gateway, stream: &CallerStream, error: &hyper::Error) {
    let level = match stream.activity().is_open() {
        true => log::Level::Info,
        false => log::Level::Debug,
    };
    let cause = std::error::Error::source(error).map(ToString::to_string);
    log::log!(
        level, event = "caller_broke", error:% = error, cause = cause,
        ends_ms = gateway.time_to_end().map(|time| time.0);
        "a caller's connection broke"
    );
}

/// Waits until connections have to be closed, and this one has not been in use for some time.
///
/// Its caller cannot be told that it is closed unless it sends a further request, whose response says so.
async fn wait_until_unused(closing: &mut watch::Receiver<bool>, activity: &Activity) {
    wait_for_close(closing).await;
    activity.wait_until_idle(UNUSED_TIME).await;
}

async fn respond(
    gateway: &Arc<Gateway>,
    caller: &CallerStream,
    request: Request<Incoming>,
) -> Response<CountedBody> {
    let open = (gateway.open_request(), caller.activity().begin());
    let has_chunks = request.version() > Version::HTTP_10;
    let mut response = handle(gateway, caller, request).await;
    if !has_chunks {
        // The caller cannot tell an answer that breaks off from one that has ended, unless its connection is reset.
        let caller = caller.clone();
        response = response.map(|body| {
            let body = body.inspect_err(move |_| caller.reset_on_close());
            body.boxed_unsync()
        });
    }
    if gateway.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response.map(|body| GuardedBody::new(body, open))
}

async fn handle(
    gateway: &Arc<Gateway>,
    caller: &CallerStream,
    request: Request<Incoming>,
) -> Response<Body> {
    let received_at = gateway.clock.now();
    let (parts, body) = request.into_parts();
    let id = parts.headers.get(&gateway.names.request_id).cloned();
    match read_call(gateway, parts, body, received_at).await {
        Ok(call) => {
            // A caller may pause in reading as long as its request may take.
            caller.allow_silence(call.timeout().max(TCP_USER_TIMEOUT));
            gateway.handle(call).await
        }
        Err(kind) => {
            let name = id.as_ref().and_then(|id| id.to_str().ok());
            request_metrics::count_turned_down();
            log::info!(
                event = "turned_down", request = name, reason = kind.response().label;
                "request rejected"
            );
            let id = id.as_ref().map(|id| (&gateway.names.request_id, id));
            response::error_response(kind, NOT_READY_RETRY, id)
        }
    }
}

async fn read_call(
    gateway: &Gateway,
    parts: Parts,
    body: Incoming,
    received_at: Millis,
) -> Result<Call, ErrorKind> {
    let table = gateway
        .table()
        .filter(|_| gateway.crashes_known() && gateway.evacuations.are_known());
    let table = table.ok_or(ErrorKind::NotReady)?;
    let names = &gateway.names;
    let head = RequestHead::read(names, &table, &parts)?;
    let deadline = received_at + head.timeout;
    let time_left = deadline.since(gateway.clock.now());
    let body = read_body(gateway, body, table.limits(), time_left).await?;
    let number = gateway.dispatcher.next_request_number();
    Ok(Call::new(names, head, parts, body, number, received_at))
}

/// Reads a request's body; `time_left` is the time until the request's deadline.
async fn read_body(
    gateway: &Gateway,
    mut body: Incoming,
    limits: &CallerLimits,
    time_left: Millis,
) -> Result<WholeBody, ErrorKind> {
    if body.is_end_stream() {
        return Ok(WholeBody::default());
    }
    let memory = &gateway.memory.requests;
    let timeout = limits.idle_timeout.min(time_left);
    let patience = Millis(timeout.0 / MEMORY_WAIT_DIVISOR);
    let reading = body_reader::read_whole(&mut body, limits.body_bytes, memory, patience);
    match tokio::time::timeout(timeout.duration(), reading).await {
        Ok(Ok(whole)) => Ok(whole),
        Ok(Err(BodyError::TooLarge)) => Err(ErrorKind::BodyTooLarge),
        Ok(Err(BodyError::NoMemory)) => Err(ErrorKind::QueueFull),
        Err(_) if time_left <= limits.idle_timeout => Err(ErrorKind::TooLate),
        _ => Err(ErrorKind::BadRequest),
    }
}
