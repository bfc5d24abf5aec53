//! The fixed set of error kinds and the table that maps each kind to an HTTP response.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What a caller may conclude about whether its request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and its complete response was delivered.
    Answered,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run; the caller cannot tell.
    Unknown,
}

impl Outcome {
    /// Returns the label used in header fields, metrics and reports.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Advice to the caller on retrying the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAdvice {
    /// A retry of the same request gets the same response.
    Never,
    /// A retry may succeed after the delay given in the response.
    Later,
}

/// The HTTP response for an error kind: one row of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The HTTP status code.
    pub status: u16,
    /// What the caller may conclude about whether the request ran.
    pub outcome: Outcome,
    /// Advice to the caller on retrying the request.
    pub retry: RetryAdvice,
    /// The label used in metrics, logs and problem bodies.
    pub label: &'static str,
    /// The title of the problem body.
    pub title: &'static str,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $status:literal, $outcome:ident, $retry:ident, $label:literal, $title:literal;)*) => {
        /// Every reason for which the system rejects or fails a request or an operator's call.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in table order.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the HTTP response for this kind.
            #[must_use]
            pub fn response(self) -> ErrorResponse {
                match self {
                    $(Self::$kind => ErrorResponse {
                        status: $status,
                        outcome: Outcome::$outcome,
                        retry: RetryAdvice::$retry,
                        label: $label,
                        title: $title,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The request is malformed.
    BadRequest => 400, NotRun, Never, "bad_request", "The request is malformed";
    /// The request is not idempotent and has no idempotency key.
    KeyRequired => 400, NotRun, Never, "key_required", "This call needs an Idempotency-Key";
    /// The request names no organisation, or its sender is not trusted to name one.
    NoOrganisation => 401, NotRun, Never, "no_organisation", "The organisation is missing or not trusted";
    /// The operator's token is missing or unknown.
    NotAuthenticated => 401, NotRun, Never, "not_authenticated", "The token is missing or unknown";
    /// The operator's role does not permit the call.
    Forbidden => 403, NotRun, Never, "forbidden", "The role does not allow this";
    /// A configured rule refuses the request.
    RefusedByRule => 403, NotRun, Never, "refused_by_rule", "A rule refuses this request";
    /// No service matches the path.
    NoService => 404, NotRun, Never, "no_service", "No service takes this path";
    /// The object's revision does not match the precondition of a conditional write.
    Conflict => 409, NotRun, Never, "conflict", "The object has changed";
    /// The body exceeds the size limit.
    BodyTooLarge => 413, NotRun, Never, "body_too_large", "The body is too large";
    /// The idempotency key was already used for a different request.
    KeyReused => 422, NotRun, Never, "key_reused", "The Idempotency-Key was used for another request";
    /// The request crashed upstreams and is quarantined for a time.
    Quarantined => 503, NotRun, Later, "quarantined", "This request crashed upstreams";
    /// The header fields exceed the size limit.
    HeadersTooLarge => 431, NotRun, Never, "headers_too_large", "The header fields are too large";
    /// The organisation exceeds the rate limit set by a rule.
    OverLimit => 429, NotRun, Later, "over_limit", "The organisation is over its limit";
    /// The queue of the request's class or organisation is full.
    QueueFull => 503, NotRun, Later, "queue_full", "Too many requests are waiting";
    /// The deadline cannot be met, or passed before the request was sent to an upstream.
    TooLate => 503, NotRun, Later, "too_late", "The deadline cannot be met";
    /// No upstream of the service can accept the request.
    NoUpstream => 503, NotRun, Later, "no_upstream", "No upstream can take this request";
    /// The upstream's agent has no free capacity.
    Busy => 503, NotRun, Later, "busy", "The upstream has no room";
    /// The upstream is draining and accepts no new attempts.
    Leaving => 503, NotRun, Later, "leaving", "The upstream is leaving";
    /// The attempt was withdrawn before it ran, and never will run.
    Tombstoned => 503, NotRun, Later, "tombstoned", "The attempt was withdrawn before it ran";
    /// The upstream could not be reached, and no byte of the request was sent to it.
    Unreachable => 503, NotRun, Later, "unreachable", "The upstream cannot be reached";
    /// The platform's store is unavailable, and the call needs it, for example to claim a key.
    PlatformOut => 503, NotRun, Later, "platform_out", "The platform cannot be reached";
    /// The claim store or the attempt table is full.
    ClaimsFull => 503, NotRun, Later, "claims_full", "No more keyed calls can be taken";
    /// This instance is shutting down.
    ShuttingDown => 503, NotRun, Later, "shutting_down", "This instance is stopping";
    /// This instance has not received a configuration yet.
    NotReady => 503, NotRun, Later, "not_ready", "This instance is not ready";
    /// An attempt did not run, and the retry budget of the service is exhausted.
    BudgetSpent => 503, NotRun, Later, "budget_spent", "No retry is left for this service";
    /// The caller closed the connection before the response was complete.
    HungUp => 499, Unknown, Never, "hung_up", "The caller hung up";
    /// The upstream closed the connection before its response was complete.
    UpstreamBroke => 502, Unknown, Later, "upstream_broke", "The upstream broke off";
    /// The upstream crashed while the request was running.
    UpstreamCrashed => 502, Unknown, Later, "upstream_crashed", "The upstream died";
    /// The upstream stalled, and the attempt was withdrawn from it.
    Stalled => 502, Unknown, Later, "stalled", "The upstream stalled";
    /// The link to the agent was lost, and the agent did not report the attempt's state in time.
    LinkLost => 502, Unknown, Later, "link_lost", "The upstream's instance was lost";
    /// The deadline passed while the request was running.
    DeadlinePassed => 504, Unknown, Later, "deadline_passed", "The deadline passed";
    /// The process that claimed the idempotency key is gone, and its response with it.
    ClaimerGone => 502, Unknown, Never, "claimer_gone", "The first run of this key cannot be asked";
    /// The request with this idempotency key ran, but its response is no longer kept.
    AnswerGone => 502, Unknown, Never, "answer_gone", "The answer to this key is no longer kept";
    /// An internal error in this process.
    Internal => 500, Unknown, Never, "internal", "Internal error";
    /// The object or path that an operator requested does not exist.
    NotFound => 404, NotRun, Never, "not_found", "There is nothing of that name";
    /// The platform did not confirm whether an operator's change took effect.
    Unsettled => 504, Unknown, Later, "unsettled", "The platform did not confirm the change";
    /// The upstreams that could take the request have named limits, which allow no more at present.
    UpstreamLimited => 503, NotRun, Later, "upstream_limited", "The upstreams take no more requests now";
    /// The upstreams that could take the request have turned others away, and asked for none for some time.
    UpstreamResting => 503, NotRun, Later, "upstream_resting", "The upstreams have asked to be spared for some time";
    /// The upstreams that could take the request are in availability zones that operators have evacuated.
    ZonesEvacuated => 503, NotRun, Later, "zones_evacuated", "The zones of the upstreams are evacuated";
    /// No upstream that could take the request is in a region that its route and its organisation allow.
    RegionNotAllowed => 503, NotRun, Later, "region_not_allowed", "No upstream is in an allowed region";
    /// The rank group takes only a share of all requests at present, as its coordinator has decided, and this one is not in it.
    NotAdmitted => 503, NotRun, Later, "not_admitted", "The model takes only a part of all requests now";
    /// This instance ended before the upstream had answered.
    Stopped => 502, Unknown, Later, "stopped", "This instance ended before the answer";
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.response().label)
    }
}

impl std::error::Error for ErrorKind {}
