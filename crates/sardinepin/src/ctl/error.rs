//! Errors of `ctl`, with their exit codes.

use std::fmt;

use sardinepin_common::Revision;
use serde_json::json;

use crate::admin::ProblemBody;
use crate::options::FileErrors;

/// The reason why an operation failed.
#[derive(Debug)]
pub(crate) enum CtlError {
    /// An argument or a file is invalid.
    Usage(String),
    /// The administration API rejected the call.
    Problem(Box<ProblemBody>),
    /// The call did not reach the administration API, or its response cannot be read.
    RequestFailed(String),
    /// A change was sent, but no usable response arrived, so it may have taken effect.
    OutcomeUnknown(String),
    /// The change was not in force on every live node in time.
    NotInForce {
        /// The revision that was waited for.
        revision: Revision,
        /// The names of the nodes that do not report it; empty if no request for them succeeded.
        nodes: Vec<String>,
    },
}

impl CtlError {
    /// Returns the exit code that `ctl` documents for this error.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::RequestFailed(_) => 1,
            Self::Usage(_) => 2,
            Self::Problem(body) if body.status == http::StatusCode::CONFLICT.as_u16() => 3,
            Self::Problem(body) if body.outcome != "not_run" => 4,
            Self::Problem(_) => 1,
            Self::OutcomeUnknown(_) => 4,
            Self::NotInForce { .. } => 5,
        }
    }

    /// Prints the error: as JSON to the standard output, or as text to the standard error.
    pub(crate) fn print(&self, json: bool) {
        if json {
            println!("{}", self.json());
        } else {
            eprintln!("sardinepin ctl: {self}");
        }
    }

    fn json(&self) -> serde_json::Value {
        match self {
            Self::Problem(body) => json!(body),
            Self::NotInForce { revision, nodes } => {
                json!({ "revision": revision, "behind": nodes })
            }
            other => json!({ "error": other.to_string() }),
        }
    }
}

impl fmt::Display for CtlError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(reason) | Self::RequestFailed(reason) => out.write_str(reason),
            Self::OutcomeUnknown(reason) => {
                write!(out, "{reason}; the change may have taken effect")
            }
            Self::Problem(body) => write_problem(body, out),
            Self::NotInForce { revision, nodes } if nodes.is_empty() => {
                write!(
                    out,
                    "no node could be asked whether revision {revision} is in force"
                )
            }
            Self::NotInForce { revision, nodes } => {
                let names = nodes.join(", ");
                write!(out, "revision {revision} is not in force at {names}")
            }
        }
    }
}

impl std::error::Error for CtlError {}

impl From<FileErrors> for CtlError {
    fn from(errors: FileErrors) -> Self {
        Self::Usage(errors.to_string())
    }
}

fn write_problem(body: &ProblemBody, out: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(out, "{}: {}", body.title, body.detail)?;
    for error in &body.validation_errors {
        write!(out, "\n  {error}")?;
    }
    if let Some(revision) = body.revision {
        write!(out, "\nIt stands at revision {revision}")?;
    }
    if let Some(current) = &body.current
        && let Ok(text) = serde_yaml_ng::to_string(current)
    {
        write!(out, " as:\n{text}")?;
    }
    if body.outcome == "unknown" {
        out.write_str("\nThe change may have taken effect.")?;
    }
    Ok(())
}
