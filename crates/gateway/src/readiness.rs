//! The readiness endpoint: whether this instance should receive traffic.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sardinepin_common::Millis;
use tokio::net::{TcpListener, TcpStream};

use crate::gateway::Gateway;

/// The timeout for reading the head of a readiness request.
const HEAD_TIMEOUT: Millis = Millis(10_000);

/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Millis = Millis(50);

/// Serves readiness at `path` until the process ends.
pub(crate) async fn serve(gateway: Arc<Gateway>, listener: TcpListener, path: String) {
    let path: Arc<str> = Arc::from(path);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(handle_connection(
                    Arc::clone(&gateway),
                    stream,
                    Arc::clone(&path),
                ));
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "cannot accept a readiness connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY.duration()).await;
            }
        }
    }
}

async fn handle_connection(gateway: Arc<Gateway>, stream: TcpStream, path: Arc<str>) {
    let service = service_fn(|request: Request<Incoming>| {
        let response = respond(&gateway, &path, request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT.duration())
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(event = "readiness_broke", error:% = error; "a readiness connection broke");
    }
}

fn respond(gateway: &Gateway, path: &str, requested: &str) -> Response<Full<Bytes>> {
    let status = if requested != path {
        StatusCode::NOT_FOUND
    } else if gateway.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
