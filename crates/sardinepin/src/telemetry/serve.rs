//! Serves the metrics over HTTP on a separate port.

use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sardinepin_common::Millis;
use sardinepin_runtime::listen;
use tokio::net::TcpStream;

use super::Telemetry;

/// The URL path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// The longest time to receive the headers of a request.
const HEADER_READ_TIMEOUT: Millis = Millis(5_000);

/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Millis = Millis(100);

/// Serves metrics at `port` on all IPv4 addresses, as soon as it is free; returns only if the port cannot be bound.
///
/// A process works without its metrics endpoint, so a failure is only logged.
pub async fn serve(telemetry: Telemetry, port: u16) {
    let address = SocketAddr::from((Ipv4Addr::UNSPECIFIED, port));
    let listener = match listen(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!(event = "metrics_unserved", address:% = address, error:% = error; "metrics cannot be served");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(telemetry.clone(), stream));
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "cannot accept a connection for metrics");
                tokio::time::sleep(ACCEPT_RETRY_DELAY.duration()).await;
            }
        }
    }
}

async fn serve_connection(telemetry: Telemetry, stream: TcpStream) {
    let service = service_fn(|request: Request<Incoming>| {
        let response = respond(&telemetry, request.method(), request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT.duration())
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(event = "metrics_broke", error:% = error; "a connection for metrics failed");
    }
}

fn respond(telemetry: &Telemetry, method: &Method, path: &str) -> Response<Full<Bytes>> {
    if method != Method::GET || path != METRICS_PATH {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    telemetry.upkeep();
    Response::new(Full::from(telemetry.render()))
}
