//! Problem bodies (RFC 9457) from the one table of error kinds.

use sardinepin_common::Revision;
use sardinepin_config::ValidationError;
use sardinepin_protocol::{ErrorKind, RetryAdvice};
use sardinepin_store::Object;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// When an operator is told to come back, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// The media type of problem bodies.
pub(crate) const PROBLEM_TYPE: &str = "application/problem+json";

/// Why a call of the administration API was turned down.
#[derive(Debug, Clone, PartialEq)]
pub struct Problem {
    /// The kind, which decides the status code.
    pub kind: ErrorKind,
    /// What is wrong with this call.
    pub detail: String,
    /// The faults of an object that was refused.
    pub faults: Vec<ValidationError>,
    /// The object as it stands, if a condition did not hold.
    pub current: Option<Box<Object>>,
}

impl Problem {
    /// Makes a problem without faults.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            faults: Vec::new(),
            current: None,
        }
    }

    /// Makes the problem of an object that does not pass its checks.
    #[must_use]
    pub fn faulty(faults: Vec<ValidationError>) -> Self {
        Self {
            faults,
            ..Self::new(ErrorKind::BadRequest, "the object does not pass its checks")
        }
    }

    /// Makes the problem of a name that nothing has.
    #[must_use]
    pub fn not_found(what: &str, name: &str) -> Self {
        Self::new(ErrorKind::NotFound, format!("there is no {what} '{name}'"))
    }

    /// Returns the seconds after which coming back makes sense, if it does.
    pub(crate) fn retry_after(&self) -> Option<u64> {
        (self.kind.response().retry == RetryAdvice::Later).then_some(RETRY_AFTER_S)
    }

    /// Returns the body.
    #[must_use]
    pub fn body(&self) -> ProblemBody {
        let answer = self.kind.response();
        ProblemBody {
            kind: format!("urn:sardinepin:{}", answer.label),
            title: answer.title.to_owned(),
            status: answer.status,
            detail: self.detail.clone(),
            outcome: answer.outcome.label().to_owned(),
            faults: self.faults.iter().map(ToString::to_string).collect(),
            revision: self.current.as_ref().map(|object| object.revision),
            current: self.current.as_ref().map(|object| value_of(object)),
        }
    }
}

impl std::fmt::Display for Problem {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}: {}", self.kind, self.detail)
    }
}

impl std::error::Error for Problem {}

fn value_of(object: &Object) -> Value {
    let text = object.value.as_deref().unwrap_or_default();
    serde_json::from_str(text).unwrap_or_else(|_| json!(text))
}

/// The members of a problem body.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// The type, which ends in the label of the error kind.
    #[serde(rename = "type")]
    pub kind: String,
    /// The title of the error kind.
    pub title: String,
    /// The HTTP status code.
    pub status: u16,
    /// What is wrong with this call.
    pub detail: String,
    /// What may be concluded: `not_run` if nothing was changed, else `unknown`.
    pub outcome: String,
    /// The faults of an object that was refused.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<String>,
    /// The revision of the object as it stands, after a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// The object as it stands, after a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Value>,
}
