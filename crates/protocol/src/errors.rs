//! The closed list of error kinds and the one table from kind to answer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What a caller may conclude about the run of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and its whole answer was delivered.
    Answered,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the label used in headers, metrics and reports.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// What a caller is told about sending the request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryAdvice {
    /// Sending the same request again gives the same answer.
    Never,
    /// Sending it again after the time given with the answer makes sense.
    Later,
}

/// One row of the table from error kind to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The HTTP status code.
    pub status: u16,
    /// What the caller may conclude about the run.
    pub outcome: Outcome,
    /// What the caller is told about sending the request again.
    pub retry: RetryAdvice,
    /// The label in metrics, logs and problem bodies.
    pub label: &'static str,
    /// The title of the problem body.
    pub title: &'static str,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $status:literal, $outcome:ident, $retry:ident, $label:literal, $title:literal;)*) => {
        /// Every reason for which a request, an order or a link can be turned down.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// Every kind, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the row of the table for this kind.
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
    /// The call may not be repeated and bears no idempotency key.
    KeyRequired => 400, NotRun, Never, "key_required", "This call needs an Idempotency-Key";
    /// No organisation is named, or the peer is not trusted to name it.
    NoOrganisation => 401, NotRun, Never, "no_organisation", "The organisation is missing or not trusted";
    /// The operator's token is missing or unknown.
    NotAuthenticated => 401, NotRun, Never, "not_authenticated", "The token is missing or unknown";
    /// The operator's role does not allow the call.
    Forbidden => 403, NotRun, Never, "forbidden", "The role does not allow this";
    /// A rule refuses the request.
    RefusedByRule => 403, NotRun, Never, "refused_by_rule", "A rule refuses this request";
    /// No service takes the path.
    NoService => 404, NotRun, Never, "no_service", "No service takes this path";
    /// A conditional write met another version.
    Conflict => 409, NotRun, Never, "conflict", "The object has changed";
    /// The body is over its bound.
    BodyTooLarge => 413, NotRun, Never, "body_too_large", "The body is too large";
    /// The same idempotency key came with another body.
    KeyReused => 422, NotRun, Never, "key_reused", "The Idempotency-Key was used for another request";
    /// The request crashed upstreams and is held back for a time.
    Quarantined => 503, NotRun, Later, "quarantined", "This request crashed upstreams";
    /// The header fields are over their bound.
    HeadersTooLarge => 431, NotRun, Never, "headers_too_large", "The header fields are too large";
    /// The organisation is over the limit that a rule sets.
    OverLimit => 429, NotRun, Later, "over_limit", "The organisation is over its limit";
    /// The queue of the class or organisation is full.
    QueueFull => 503, NotRun, Later, "queue_full", "Too many requests are waiting";
    /// The deadline cannot be met, or passed before the request was sent.
    TooLate => 503, NotRun, Later, "too_late", "The deadline cannot be met";
    /// No upstream of the service can take the request.
    NoUpstream => 503, NotRun, Later, "no_upstream", "No upstream can take this request";
    /// The upstream's agent has no room.
    Busy => 503, NotRun, Later, "busy", "The upstream has no room";
    /// The upstream is leaving.
    Leaving => 503, NotRun, Later, "leaving", "The upstream is leaving";
    /// The attempt was settled as never to run.
    Tombstoned => 503, NotRun, Later, "tombstoned", "The attempt was withdrawn before it ran";
    /// The upstream could not be reached, and no byte of the call left for it.
    Unreachable => 503, NotRun, Later, "unreachable", "The upstream cannot be reached";
    /// The platform is out and the call needs a claim.
    PlatformOut => 503, NotRun, Later, "platform_out", "The platform cannot be reached";
    /// The store of claims or the table of attempts is full.
    ClaimsFull => 503, NotRun, Later, "claims_full", "No more keyed calls can be taken";
    /// This instance is stopping.
    ShuttingDown => 503, NotRun, Later, "shutting_down", "This instance is stopping";
    /// This instance has no configuration yet.
    NotReady => 503, NotRun, Later, "not_ready", "This instance is not ready";
    /// The retry budget of the service is spent, after an attempt that did not run.
    BudgetSpent => 503, NotRun, Later, "budget_spent", "No retry is left for this service";
    /// The caller hung up.
    HungUp => 499, Unknown, Never, "hung_up", "The caller hung up";
    /// The upstream broke off before its answer was whole.
    UpstreamBroke => 502, Unknown, Later, "upstream_broke", "The upstream broke off";
    /// The upstream died while the request ran.
    UpstreamCrashed => 502, Unknown, Later, "upstream_crashed", "The upstream died";
    /// The upstream stalled, and the attempt was taken away from it.
    Stalled => 502, Unknown, Later, "stalled", "The upstream stalled";
    /// The link to the agent was lost and the agent did not settle the attempt in time.
    LinkLost => 502, Unknown, Later, "link_lost", "The upstream's instance was lost";
    /// The deadline passed while the request ran.
    DeadlinePassed => 504, Unknown, Later, "deadline_passed", "The deadline passed";
    /// The process that claimed the key is gone, and its answer with it.
    ClaimerGone => 502, Unknown, Never, "claimer_gone", "The first run of this key cannot be asked";
    /// The answer is no longer kept, though the call ran.
    AnswerGone => 502, Unknown, Never, "answer_gone", "The answer to this key is no longer kept";
    /// A fault in this program.
    Internal => 500, Unknown, Never, "internal", "Internal error";
    /// An operator names an object, or calls a path, that is not there.
    NotFound => 404, NotRun, Never, "not_found", "There is nothing of that name";
    /// The platform did not say whether an operator's change took effect.
    Unsettled => 504, Unknown, Later, "unsettled", "The platform did not confirm the change";
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.response().label)
    }
}

impl std::error::Error for ErrorKind {}
