//! Serves the text of all metrics at a port of its own.

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
use tokio::net::{TcpListener, TcpStream};

use super::Telemetry;

/// The path of the metrics.
const PATH: &str = "/metrics";

/// The longest time over the head of a request.
const HEAD_MAX: Millis = Millis(5_000);

/// The wait after a failed accept.
const ACCEPT_PAUSE: Millis = Millis(100);

/// Serves metrics at `port` of every address for as long as the process lives.
///
/// A process that cannot serve its metrics still does its work, so a failure is only logged.
pub async fn serve(telemetry: Telemetry, port: u16) {
    let address = SocketAddr::from((Ipv4Addr::UNSPECIFIED, port));
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!(event = "metrics_unserved", address:% = address, error:% = error; "metrics cannot be served");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connected(telemetry.clone(), stream));
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "cannot accept a reader of metrics");
                tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
            }
        }
    }
}

async fn connected(telemetry: Telemetry, stream: TcpStream) {
    let service = service_fn(|request: Request<Incoming>| {
        let response = respond(&telemetry, request.method(), request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_MAX.duration())
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!(event = "metrics_broke", error:% = error; "a reader of metrics broke off");
    }
}

fn respond(telemetry: &Telemetry, method: &Method, path: &str) -> Response<Full<Bytes>> {
    if method != Method::GET || path != PATH {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    telemetry.upkeep();
    Response::new(Full::from(telemetry.render()))
}
