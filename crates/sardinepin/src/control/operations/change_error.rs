//! The error of an operator's change.

use std::fmt;

use sardinepin_config::ValidationError;
use sardinepin_protocol::ErrorKind;
use sardinepin_store::Object;

/// Why an operator's change was not made, or is not known to have been made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeError {
    /// The change is invalid; holds every validation error that was found.
    Invalid(Vec<ValidationError>),
    /// The object has another revision or state than the change expects.
    Conflict {
        /// The current object; `None` if there is none or it cannot be parsed.
        current: Option<Object>,
        /// The fields or rules in which the current object and the requested one differ.
        differences: Vec<String>,
    },
    /// The object does not exist.
    NotFound,
    /// The platform is unavailable; nothing was accepted.
    PlatformUnavailable(String),
    /// The platform did not respond and could not be asked again, so the change may still take
    /// effect.
    OutcomeUnknown(String),
}

impl ChangeError {
    /// Returns the protocol error kind for this error.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Invalid(_) | Self::NotFound => ErrorKind::BadRequest,
            Self::Conflict { .. } => ErrorKind::Conflict,
            Self::PlatformUnavailable(_) => ErrorKind::PlatformOut,
            Self::OutcomeUnknown(_) => ErrorKind::Internal,
        }
    }
}

impl fmt::Display for ChangeError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(errors) => {
                let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
                out.write_str(&lines.join("\n"))
            }
            Self::Conflict {
                current,
                differences,
            } => {
                match current {
                    Some(object) => write!(out, "it stands at revision {}", object.revision)?,
                    None => out.write_str("it does not stand")?,
                }
                write!(out, "; what differs: {}", differences.join(", "))
            }
            Self::NotFound => out.write_str("there is no such object"),
            Self::PlatformUnavailable(reason) => {
                write!(out, "not accepted, the platform is out: {reason}")
            }
            Self::OutcomeUnknown(reason) => write!(out, "it may have been accepted: {reason}"),
        }
    }
}

impl std::error::Error for ChangeError {}
