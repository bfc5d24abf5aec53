//! Problem bodies (RFC 9457), derived from the table of [`ErrorKind`].

use sardinepin_common::Revision;
use sardinepin_config::ValidationError;
use sardinepin_protocol::{ErrorKind, RetryAdvice};
use sardinepin_store::Object;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// The value of `Retry-After` for problems that a later retry may solve, in seconds.
const RETRY_AFTER_SECONDS: u64 = 1;

pub(crate) const PROBLEM_TYPE: &str = "application/problem+json";

/// The reason why a call of the administration API failed.
#[derive(Debug, Clone, PartialEq)]
pub struct Problem {
    /// Determines the status code, type, title and outcome.
    pub kind: ErrorKind,
    /// What is wrong with this call.
    pub detail: String,
    /// The validation errors of an object that was rejected.
    pub validation_errors: Vec<ValidationError>,
    /// The stored object, if a precondition failed.
    pub current: Option<Box<Object>>,
}

impl Problem {
    /// Creates a problem without validation errors.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            validation_errors: Vec::new(),
            current: None,
        }
    }

    /// Creates the problem of an object that fails validation.
    #[must_use]
    pub fn invalid(validation_errors: Vec<ValidationError>) -> Self {
        Self {
            validation_errors,
            ..Self::new(ErrorKind::BadRequest, "the object does not pass its checks")
        }
    }

    /// Creates the problem of an object that does not exist; `object_kind` is a word such as
    /// `upstream`.
    #[must_use]
    pub fn not_found(object_kind: &str, name: &str) -> Self {
        Self::new(
            ErrorKind::NotFound,
            format!("there is no {object_kind} '{name}'"),
        )
    }

    /// Returns the value of `Retry-After` in seconds, if a later retry may succeed.
    pub(crate) fn retry_after(&self) -> Option<u64> {
        (self.kind.response().retry == RetryAdvice::Later).then_some(RETRY_AFTER_SECONDS)
    }

    /// Returns the body of the problem response.
    #[must_use]
    pub fn body(&self) -> ProblemBody {
        let response = self.kind.response();
        ProblemBody {
            kind: format!("urn:sardinepin:{}", response.label),
            title: response.title.to_owned(),
            status: response.status,
            detail: self.detail.clone(),
            outcome: response.outcome.label().to_owned(),
            validation_errors: self
                .validation_errors
                .iter()
                .map(ToString::to_string)
                .collect(),
            revision: self.current.as_ref().map(|object| object.revision),
            current: self.current.as_ref().map(|object| parse_value(object)),
        }
    }
}

impl std::fmt::Display for Problem {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "{}: {}", self.kind, self.detail)
    }
}

impl std::error::Error for Problem {}

/// Returns the object's value, as a string if it is not valid JSON.
fn parse_value(object: &Object) -> Value {
    let text = object.value.as_deref().unwrap_or_default();
    serde_json::from_str(text).unwrap_or_else(|_| json!(text))
}

/// The body of a problem response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// The problem type, a URN that ends in the label of the error kind.
    #[serde(rename = "type")]
    pub kind: String,
    /// The title of the error kind.
    pub title: String,
    /// The HTTP status code.
    pub status: u16,
    /// What is wrong with this call.
    pub detail: String,
    /// `not_run` if the call changed nothing, `unknown` if it may have.
    pub outcome: String,
    /// The validation errors of an object that was rejected.
    #[serde(rename = "faults", default, skip_serializing_if = "Vec::is_empty")]
    pub validation_errors: Vec<String>,
    /// The revision of the stored object, after a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// The stored object, after a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Value>,
}
