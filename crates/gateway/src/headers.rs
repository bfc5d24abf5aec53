//! Filters the header fields that are forwarded with requests and responses.

use http::header::{self, HeaderMap, HeaderName};

use crate::header_names::HeaderNames;
use sardinepin_decisions::AskedAnswer;

/// Hop-by-hop header fields, which are never forwarded.
const CONNECTION_FIELDS: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns the header fields of a caller's request that are forwarded to the upstream.
pub(crate) fn to_upstream(names: &HeaderNames, headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = without_connection_fields(headers);
    for name in [
        &header::AUTHORIZATION,
        &header::EXPECT,
        &header::CONTENT_LENGTH,
        &names.organisation,
        &names.target_upstream,
        &names.priority,
        &names.weights_version,
        &names.deadline_ms,
    ] {
        forwarded.remove(name);
    }
    forwarded
}

/// Returns the header fields of an upstream's response that are forwarded to the caller.
pub(crate) fn to_caller(names: &HeaderNames, headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = without_connection_fields(headers);
    forwarded.remove(header::CONTENT_LENGTH);
    forwarded.remove(&names.load);
    forwarded
}

fn without_connection_fields(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for value in headers.get_all(header::CONNECTION) {
        for name in value.to_str().unwrap_or_default().split(',') {
            forwarded.remove(name.trim());
        }
    }
    for name in &CONNECTION_FIELDS {
        forwarded.remove(name);
    }
    forwarded
}

/// Returns what the header fields of a request ask for besides the whole resource.
#[must_use]
pub fn asked_answer(headers: &HeaderMap) -> AskedAnswer {
    let is_there = |name: HeaderName| headers.contains_key(name);
    AskedAnswer {
        range: is_there(header::RANGE),
        changed: is_there(header::IF_NONE_MATCH) || is_there(header::IF_MODIFIED_SINCE),
    }
}

/// Returns a header field as text, or `None` if it is missing or not visible ASCII.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header field as an unsigned integer, or `None` if it is missing or malformed.
pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}
