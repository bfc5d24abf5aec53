//! The response body type, and the error responses that the gateway itself sends.

use std::io;

use bytes::Bytes;
use futures_util::future::ready;
use futures_util::stream::once;
use http::{HeaderName, HeaderValue, Response, StatusCode, Version, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use sardinepin_common::Millis;
use sardinepin_protocol::{ErrorKind, RetryAdvice};

/// The body of a response; an error aborts the caller's connection.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Returns a body that consists of `bytes`.
pub(crate) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a response that ends with its connection, as the upstream's own did: its caller is told no more of its end than the gateway
/// was.
pub(crate) fn unframed(bytes: Bytes) -> Response<Body> {
    let frames = once(ready(Ok(Frame::data(bytes))));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    // The HTTP server frames whatever it sends as HTTP/1.1.
    *response.version_mut() = Version::HTTP_10;
    response
}

/// Returns the `application/problem+json` response for an error.
pub(crate) fn error_response(
    kind: ErrorKind,
    retry_after: Millis,
    request_id: Option<(&HeaderName, &HeaderValue)>,
) -> Response<Body> {
    let row = kind.response();
    metrics::counter!("sardinepin_refusals_total", "reason" => row.label).increment(1);
    let body = format!(
        "{{\"title\":\"{}\",\"reason\":\"{}\"}}",
        row.title, row.label
    );
    let mut response = Response::new(full_body(Bytes::from(body)));
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if row.retry == RetryAdvice::Later && retry_after > Millis::ZERO {
        let seconds = format!("{:.3}", retry_after.as_f64() / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    if let Some((name, value)) = request_id {
        headers.insert(name, value.clone());
    }
    response
}
