//! Why an operator's change was not made.

use std::fmt;

use sardinepin_config::ValidationError;
use sardinepin_protocol::ErrorKind;
use sardinepin_store::Object;

/// Why an operator's change was not made, or may not have been.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeError {
    /// The change has faults.
    Invalid(Vec<ValidationError>),
    /// Another change came first.
    Conflict {
        /// The object as it stands, if it is there.
        current: Option<Object>,
        /// What differs between it and the one that was asked for.
        differences: Vec<String>,
    },
    /// The object is not there.
    NotFound,
    /// The platform is out; nothing was accepted.
    PlatformOut(String),
    /// The platform did not answer and could not be asked again: the change may be in force later.
    OutcomeUnknown(String),
}

impl ChangeError {
    /// Returns the kind of error that this is.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Invalid(_) | Self::NotFound => ErrorKind::BadRequest,
            Self::Conflict { .. } => ErrorKind::Conflict,
            Self::PlatformOut(_) => ErrorKind::PlatformOut,
            Self::OutcomeUnknown(_) => ErrorKind::Internal,
        }
    }
}

impl fmt::Display for ChangeError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(faults) => {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
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
            Self::PlatformOut(reason) => write!(out, "not accepted, the platform is out: {reason}"),
            Self::OutcomeUnknown(reason) => write!(out, "it may have been accepted: {reason}"),
        }
    }
}

impl std::error::Error for ChangeError {}
