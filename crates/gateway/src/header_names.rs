//! The names of the header fields that a gateway reads and writes.

use http::HeaderName;

/// The header fields exchanged between callers, gateways and upstreams.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The identifier of a request, chosen by the caller and echoed by the upstream.
    pub request_id: HeaderName,
    /// The caller's remaining timeout, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The number of the last event that the caller received, when it resumes a stream.
    pub last_event_id: HeaderName,
    /// The upstream's signature; a successful response without it is not forwarded.
    pub signature: HeaderName,
    /// The caller's organisation, set by the gateway for the upstream.
    pub organisation: HeaderName,
    /// The identifier of the upstream that a request is sent to.
    pub target_upstream: HeaderName,
    /// The identifier of the upstream that responds about its health.
    pub upstream: HeaderName,
    /// When the process of the upstream that responds started, in milliseconds since the Unix epoch.
    pub started_at: HeaderName,
    /// An upstream's load: the numbers of running and waiting requests, then its slots.
    pub load: HeaderName,
    /// The number of requests a second that an upstream takes from all gateways together, while it is in need.
    pub limit: HeaderName,
    /// `1` in all responses of an upstream that is leaving.
    pub leaving: HeaderName,
    /// Present on a response to a request that the upstream did not run.
    pub not_run: HeaderName,
    /// The identifier of the upstream that caused the rejection of a request that did not run.
    pub faulty_upstream: HeaderName,
    /// The priority of a request, 0 to 9; removed from caller requests, and set on those to model engines.
    pub priority: HeaderName,
    /// The model weights version that a request asks for; removed from caller requests.
    pub weights_version: HeaderName,
    /// The parts of a request's prompt in order, as `ID:TOKENS` entries separated by commas. Requests
    /// share parts, except for the last one.
    pub prompt_parts: HeaderName,
    /// The number of tokens of a request's prompt, and the most that its answer may have, separated by a comma.
    pub token_counts: HeaderName,
    /// The authentication scheme that precedes the key in `authorization`.
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
            upstream: HeaderName::from_static("x-upstream-id"),
            started_at: HeaderName::from_static("x-started-at"),
            load: HeaderName::from_static("x-load"),
            limit: HeaderName::from_static("x-limit"),
            leaving: HeaderName::from_static("x-leaving"),
            not_run: HeaderName::from_static("x-not-run"),
            faulty_upstream: HeaderName::from_static("x-fault-at"),
            priority: HeaderName::from_static("x-priority"),
            weights_version: HeaderName::from_static("x-weights"),
            prompt_parts: HeaderName::from_static("x-prompt-parts"),
            token_counts: HeaderName::from_static("x-tokens"),
            auth_scheme: "Bearer".to_owned(),
        }
    }
}
