//! What is passed on of the head of a request and of an answer.

use http::header::{self, HeaderMap, HeaderName};

use crate::header_names::HeaderNames;

/// Fields that concern one connection only.
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

/// Returns the fields of a caller's request that an upstream is shown.
pub(crate) fn to_upstream(names: &HeaderNames, given: &HeaderMap) -> HeaderMap {
    let mut passed = without_connection_fields(given);
    for own in [
        &header::AUTHORIZATION,
        &header::EXPECT,
        &header::CONTENT_LENGTH,
        &names.organisation,
        &names.target_upstream,
        &names.priority,
        &names.weights_version,
        &names.deadline_ms,
    ] {
        passed.remove(own);
    }
    passed
}

/// Returns the fields of an upstream's answer that a caller is shown.
pub(crate) fn to_caller(names: &HeaderNames, given: &HeaderMap) -> HeaderMap {
    let mut passed = without_connection_fields(given);
    passed.remove(header::CONTENT_LENGTH);
    passed.remove(&names.load);
    passed
}

fn without_connection_fields(given: &HeaderMap) -> HeaderMap {
    let mut passed = given.clone();
    for value in given.get_all(header::CONNECTION) {
        for name in value.to_str().unwrap_or_default().split(',') {
            passed.remove(name.trim());
        }
    }
    for name in &CONNECTION_FIELDS {
        passed.remove(name);
    }
    passed
}

/// Returns a field as text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a field as a whole number.
pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}
