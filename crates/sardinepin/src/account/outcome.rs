//! What became of a request, and why.

/// What became of a request.
#[derive(Debug, Clone, Copy)]
pub(super) enum RequestResult {
    /// It was served within its latency objective, and its stream had no pause longer than allowed.
    InTime,
    /// It was served later, or with a longer pause.
    Late,
    /// It was refused before it ran.
    Refused,
    /// It ran, or may have run, without a complete answer.
    Failed,
    /// Its caller left before the end.
    Left,
}

impl RequestResult {
    /// Returns the label in tables.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Left => "left",
        }
    }
}

/// What became of a request, and why.
#[derive(Debug)]
pub(super) struct Outcome {
    pub(super) result: RequestResult,
    /// The cause; empty if it was in time.
    pub(super) cause: String,
}

impl Outcome {
    pub(super) const IN_TIME: Self = Self {
        result: RequestResult::InTime,
        cause: String::new(),
    };

    pub(super) fn new(result: RequestResult, cause: &str) -> Self {
        Self {
            result,
            cause: cause.to_owned(),
        }
    }

    /// Returns the labels of the result and of the cause.
    pub(super) fn labels(&self) -> (&'static str, &str) {
        (self.result.label(), &self.cause)
    }
}
