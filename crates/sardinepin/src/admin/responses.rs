//! Construction of responses, and parsing of the preconditions that refer to their entity tags.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, ETAG, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use sardinepin_common::Revision;
use sardinepin_protocol::ErrorKind;
use serde::Serialize;

use super::problem::{PROBLEM_TYPE, Problem};

/// A response with a complete body.
pub(crate) type ApiResponse = Response<Full<Bytes>>;

const JSON_TYPE: &str = "application/json";

/// The media type of the Prometheus text format.
pub(crate) const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

pub(crate) const TEXT_TYPE: &str = "text/plain; charset=utf-8";

/// Builds a response with a body of the given media type.
pub(crate) fn text(
    status: StatusCode,
    media_type: &'static str,
    body: impl Into<Bytes>,
) -> ApiResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let media_type = HeaderValue::from_static(media_type);
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

/// Builds a 200 response with a JSON body and, if a revision is given, an entity tag.
pub(crate) fn json<T: Serialize>(value: &T, revision: Option<Revision>) -> ApiResponse {
    let body = match serde_json::to_vec(value) {
        Ok(body) => body,
        Err(error) => return problem(&Problem::new(ErrorKind::Internal, error.to_string())),
    };
    let mut response = text(StatusCode::OK, JSON_TYPE, body);
    set_etag(&mut response, revision);
    response
}

/// Builds the problem response of a call that failed.
pub(crate) fn problem(problem: &Problem) -> ApiResponse {
    let body = problem.body();
    let status = StatusCode::from_u16(body.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let revision = body.revision;
    let bytes = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = text(status, PROBLEM_TYPE, bytes);
    set_etag(&mut response, revision);
    let headers = response.headers_mut();
    if let Some(seconds) = problem.retry_after() {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if problem.kind == ErrorKind::NotAuthenticated {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    response
}

fn set_etag(response: &mut ApiResponse, revision: Option<Revision>) {
    let value = revision.and_then(|revision| HeaderValue::try_from(format!("\"{revision}\"")).ok());
    if let Some(value) = value {
        response.headers_mut().insert(ETAG, value);
    }
}

/// Returns the precondition of a request, if it has one: `If-Match` gives the object's expected
/// revision; `If-None-Match: *` gives `Some(None)`, which means that the object must not exist.
pub(crate) fn precondition(headers: &HeaderMap) -> Result<Option<Option<Revision>>, Problem> {
    let header = |name: &str| {
        headers
            .get(name)
            .map(|value| value.to_str().unwrap_or_default())
    };
    match (header("if-match"), header("if-none-match")) {
        (None, None) => Ok(None),
        (None, Some("*")) => Ok(Some(None)),
        (Some(tag), None) => parse_etag(tag).map(|revision| Some(Some(revision))),
        _ => Err(Problem::new(
            ErrorKind::BadRequest,
            "expected either 'if-match: \"REVISION\"' or 'if-none-match: *'",
        )),
    }
}

fn parse_etag(tag: &str) -> Result<Revision, Problem> {
    tag.strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'))
        .and_then(|number| number.parse().ok())
        .map(Revision)
        .ok_or_else(|| {
            let detail = format!("if-match: {tag}, expected an entity tag such as \"12\"");
            Problem::new(ErrorKind::BadRequest, detail)
        })
}
