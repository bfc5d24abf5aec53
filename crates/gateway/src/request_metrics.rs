//! Metrics of requests: outcomes, retries and latencies.

use std::sync::Arc;

use sardinepin_common::Millis;

use crate::attempt::AttemptFailure;
use crate::call::Call;
use crate::manifest::RequestKind;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A non-streaming response was forwarded.
    Answered,
    /// A stream was forwarded to its end.
    Streamed,
    /// A stream was cut off before its end.
    Cut,
    /// The caller disconnected before the end.
    CallerLeft,
    /// The gateway responded to a valid request with an error of its own.
    GivenUp,
    /// The request was invalid, or this instance cannot serve.
    TurnedDown,
}

impl RequestOutcome {
    /// All outcomes, for tests that need each of them.
    pub const ALL: [Self; 6] = [
        Self::Answered,
        Self::Streamed,
        Self::Cut,
        Self::CallerLeft,
        Self::GivenUp,
        Self::TurnedDown,
    ];

    /// Returns the label in metrics, which is also the `event` field in logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Streamed => "streamed",
            Self::Cut => "cut",
            Self::CallerLeft => "caller_left",
            Self::GivenUp => "given_up",
            Self::TurnedDown => "turned_down",
        }
    }
}

/// A latency that is recorded for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Latency {
    /// From arrival to the first attempt.
    Wait,
    /// From arrival to the first event of a stream.
    FirstEvent,
    /// The longest pause between two chunks of a stream.
    EventPause,
    /// From arrival to the end of the response.
    Total,
}

impl Latency {
    fn name(self) -> &'static str {
        match self {
            Self::Wait => "sardinepin_wait_milliseconds",
            Self::FirstEvent => "sardinepin_first_event_milliseconds",
            Self::EventPause => "sardinepin_event_pause_milliseconds",
            Self::Total => "sardinepin_request_milliseconds",
        }
    }
}

/// Returns the class label of a request. Like the service label it comes from the configuration, so
/// that callers cannot create label values.
fn class_label(call: &Call) -> &'static str {
    match call.route.kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::AtMostOnce => "once",
        RequestKind::Stream { resumable: true } => "resumable_stream",
        RequestKind::Stream { resumable: false } => "stream",
    }
}

/// Counts the outcome of a request.
pub(crate) fn count_outcome(call: &Call, outcome: RequestOutcome) {
    let service = Arc::clone(&call.service);
    metrics::counter!("sardinepin_requests_ended_total",
        "end" => outcome.label(), "service" => service, "class" => class_label(call))
    .increment(1);
}

/// Counts a request that was rejected before its route was known or its body was read.
pub(crate) fn count_turned_down() {
    metrics::counter!("sardinepin_requests_ended_total",
        "end" => RequestOutcome::TurnedDown.label(), "service" => "", "class" => "")
    .increment(1);
}

/// Counts a retry after `failure`.
pub(crate) fn count_retry(failure: AttemptFailure) {
    metrics::counter!("sardinepin_retries_total", "reason" => failure.label()).increment(1);
}

/// Counts a retry that the budget of the service did not allow.
pub(crate) fn count_refused_retry(call: &Call) {
    let service = Arc::clone(&call.service);
    metrics::counter!("sardinepin_retries_refused_total", "service" => service).increment(1);
}

/// Records a latency of a request.
pub(crate) fn record_latency(call: &Call, latency: Latency, duration: Millis) {
    let service = Arc::clone(&call.service);
    metrics::histogram!(latency.name(), "service" => service, "class" => class_label(call))
        .record(duration.as_f64());
}
