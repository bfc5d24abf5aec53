//! What is counted of each request: its end, its retries, and how long its parts took.

use std::sync::Arc;

use sardinepin_common::Millis;

use crate::attempt::AttemptFailure;
use crate::call::Call;
use crate::manifest::RequestKind;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A plain answer was passed on.
    Answered,
    /// A stream was passed on whole.
    Streamed,
    /// A stream was cut off.
    Cut,
    /// The caller left before the end.
    CallerLeft,
    /// The gateway gave up on it.
    GivenUp,
    /// It was not in order, or this instance cannot serve.
    TurnedDown,
}

impl RequestOutcome {
    /// Every end.
    pub const ALL: [Self; 6] = [
        Self::Answered,
        Self::Streamed,
        Self::Cut,
        Self::CallerLeft,
        Self::GivenUp,
        Self::TurnedDown,
    ];

    /// Returns the label in metrics, which is the event in logs too.
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

/// A part of a request's time.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Latency {
    /// From its arrival to its first upstream.
    Wait,
    /// From its arrival to the first event of its stream.
    FirstEvent,
    /// The longest pause between two events.
    EventPause,
    /// From its arrival to its end.
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

/// Returns the class of a request; the services come from the configuration, so that what callers
/// send makes no labels.
fn class_label(call: &Call) -> &'static str {
    match call.route.kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::AtMostOnce => "once",
        RequestKind::Stream { resumable: true } => "resumable_stream",
        RequestKind::Stream { resumable: false } => "stream",
    }
}

/// Counts the end of a request.
pub(crate) fn count_outcome(call: &Call, outcome: RequestOutcome) {
    let service = Arc::clone(&call.service);
    metrics::counter!("sardinepin_requests_ended_total",
        "end" => outcome.label(), "service" => service, "class" => class_label(call))
    .increment(1);
}

/// Counts a request that was turned down before its route was known or its body read.
pub(crate) fn count_turned_down() {
    metrics::counter!("sardinepin_requests_ended_total",
        "end" => RequestOutcome::TurnedDown.label(), "service" => "", "class" => "")
    .increment(1);
}

/// Counts one more attempt at a request, after `failure`.
pub(crate) fn count_retry(failure: AttemptFailure) {
    metrics::counter!("sardinepin_retries_total", "reason" => failure.label()).increment(1);
}

/// Records how long a part of a request took.
pub(crate) fn record_latency(call: &Call, latency: Latency, time: Millis) {
    let service = Arc::clone(&call.service);
    metrics::histogram!(latency.name(), "service" => service, "class" => class_label(call))
        .record(time.as_f64());
}
