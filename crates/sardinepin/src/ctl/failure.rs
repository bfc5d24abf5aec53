//! Why an order was not carried out, and the exit code that says so.

use std::fmt;

use sardinepin_common::Revision;
use serde_json::json;

use crate::admin::ProblemBody;
use crate::options::FileErrors;

/// Why an order was not carried out.
#[derive(Debug)]
pub(crate) enum Failure {
    /// An argument or a file is not in order.
    Usage(String),
    /// The call was turned down.
    Problem(Box<ProblemBody>),
    /// The call did not reach the administration API, or its answer cannot be read.
    Call(String),
    /// A change was sent and no answer came.
    Unknown(String),
    /// Some live nodes do not have the change in force.
    Behind {
        /// The revision that was waited for.
        revision: Revision,
        /// The names of the nodes that do not report it.
        nodes: Vec<String>,
    },
}

impl Failure {
    /// Returns the exit code.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Call(_) => 1,
            Self::Usage(_) => 2,
            Self::Problem(body) if body.status == http::StatusCode::CONFLICT.as_u16() => 3,
            Self::Problem(body) if body.outcome != "not_run" => 4,
            Self::Problem(_) => 1,
            Self::Unknown(_) => 4,
            Self::Behind { .. } => 5,
        }
    }

    /// Prints the failure: as JSON on the standard output, or for people on the standard error.
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
            Self::Behind { revision, nodes } => json!({ "revision": revision, "behind": nodes }),
            other => json!({ "error": other.to_string() }),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(why) | Self::Call(why) => out.write_str(why),
            Self::Unknown(why) => write!(out, "{why}; the change may have taken effect"),
            Self::Problem(body) => problem(body, out),
            Self::Behind { revision, nodes } if nodes.is_empty() => {
                write!(
                    out,
                    "no node could be asked whether revision {revision} is in force"
                )
            }
            Self::Behind { revision, nodes } => {
                let names = nodes.join(", ");
                write!(out, "revision {revision} is not in force at {names}")
            }
        }
    }
}

impl std::error::Error for Failure {}

impl From<FileErrors> for Failure {
    fn from(faults: FileErrors) -> Self {
        Self::Usage(faults.to_string())
    }
}

fn problem(body: &ProblemBody, out: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(out, "{}: {}", body.title, body.detail)?;
    for fault in &body.faults {
        write!(out, "\n  {fault}")?;
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
