//! Responses of the administration API.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, ETAG, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use sardinepin_common::Revision;
use sardinepin_protocol::ErrorKind;
use serde::Serialize;

use super::problem::{PROBLEM_TYPE, Problem};

/// A response with its whole body.
pub(crate) type Answer = Response<Full<Bytes>>;

/// The media type of JSON.
const JSON_TYPE: &str = "application/json";

/// The media type of Prometheus text.
pub(crate) const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// The media type of plain text.
pub(crate) const TEXT_TYPE: &str = "text/plain; charset=utf-8";

/// Makes a response of text.
pub(crate) fn text(status: StatusCode, media: &'static str, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    let media = HeaderValue::from_static(media);
    answer.headers_mut().insert(CONTENT_TYPE, media);
    answer
}

/// Makes a response of JSON, with the revision as its entity tag if there is one.
pub(crate) fn json<T: Serialize>(value: &T, revision: Option<Revision>) -> Answer {
    let body = match serde_json::to_vec(value) {
        Ok(body) => body,
        Err(error) => return problem(&Problem::new(ErrorKind::Internal, error.to_string())),
    };
    let mut answer = text(StatusCode::OK, JSON_TYPE, body);
    tag(&mut answer, revision);
    answer
}

/// Makes the response of a call that was turned down.
pub(crate) fn problem(problem: &Problem) -> Answer {
    let body = problem.body();
    let status = StatusCode::from_u16(body.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let revision = body.revision;
    let bytes = serde_json::to_vec(&body).unwrap_or_default();
    let mut answer = text(status, PROBLEM_TYPE, bytes);
    tag(&mut answer, revision);
    let headers = answer.headers_mut();
    if let Some(seconds) = problem.retry_after() {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if problem.kind == ErrorKind::NotAuthenticated {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    answer
}

fn tag(answer: &mut Answer, revision: Option<Revision>) {
    let value = revision.and_then(|revision| HeaderValue::try_from(format!("\"{revision}\"")).ok());
    if let Some(value) = value {
        answer.headers_mut().insert(ETAG, value);
    }
}

/// Returns the condition that `If-Match` or `If-None-Match` sets, if one does: the revision at which
/// the object stands, or `None` for one that is not there.
pub(crate) fn condition(headers: &HeaderMap) -> Result<Option<Option<Revision>>, Problem> {
    let given = |name: &str| {
        headers
            .get(name)
            .map(|value| value.to_str().unwrap_or_default())
    };
    match (given("if-match"), given("if-none-match")) {
        (None, None) => Ok(None),
        (None, Some("*")) => Ok(Some(None)),
        (Some(tag), None) => revision(tag).map(|revision| Some(Some(revision))),
        _ => Err(Problem::new(
            ErrorKind::BadRequest,
            "expected either 'if-match: \"REVISION\"' or 'if-none-match: *'",
        )),
    }
}

fn revision(tag: &str) -> Result<Revision, Problem> {
    tag.strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'))
        .and_then(|number| number.parse().ok())
        .map(Revision)
        .ok_or_else(|| {
            let detail = format!("if-match: {tag}, expected an entity tag such as \"12\"");
            Problem::new(ErrorKind::BadRequest, detail)
        })
}
