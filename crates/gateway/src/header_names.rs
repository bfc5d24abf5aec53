//! The names of header fields that a gateway reads and writes.

use http::HeaderName;

/// The header fields between callers, gateways and upstreams.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The identifier of a request, drawn by the caller and echoed by the upstream.
    pub request_id: HeaderName,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The last event of a stream that the caller has.
    pub last_event_id: HeaderName,
    /// The upstream's proof that an answer is its own.
    pub signature: HeaderName,
    /// The organisation, for the upstream.
    pub organisation: HeaderName,
    /// The identifier of the upstream that a request is meant for.
    pub target_upstream: HeaderName,
    /// What an upstream says of its load: running, waiting and slots.
    pub load: HeaderName,
    /// The mark of an answer to a request that did not run.
    pub not_run: HeaderName,
    /// The identifier of the upstream at fault, in an answer to a request that did not run.
    pub faulty_upstream: HeaderName,
    /// The upstream's rank for a request.
    pub priority: HeaderName,
    /// The version of the weights that a request asks for.
    pub weights_version: HeaderName,
    /// The word before a key in `authorization`.
    pub auth_scheme: String,
}

impl Default for HeaderNames {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static("x-request-id"),
            deadline_ms: HeaderName::from_static("x-deadline-ms"),
            last_event_id: HeaderName::from_static("last-event-id"),
            signature: HeaderName::from_static("x-signature"),
            organisation: HeaderName::from_static("x-organisation"),
            target_upstream: HeaderName::from_static("x-upstream"),
            load: HeaderName::from_static("x-load"),
            not_run: HeaderName::from_static("x-not-run"),
            faulty_upstream: HeaderName::from_static("x-fault-at"),
            priority: HeaderName::from_static("x-priority"),
            weights_version: HeaderName::from_static("x-weights"),
            auth_scheme: "Bearer".to_owned(),
        }
    }
}
