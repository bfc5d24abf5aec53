//! Parameters of policies that are set on the command line.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Why a parameter cannot be set.
#[derive(Debug, PartialEq, Eq)]
pub enum PolicyError {
    /// It is not of the form `NAME=VALUE`.
    NoAssignment(String),
    /// There is no parameter of this name.
    UnknownName {
        /// The name.
        name: String,
        /// The names that are known where the name ceases to be.
        known: Vec<String>,
    },
    /// The value is not one that the parameter takes.
    WrongValue(String),
}

impl fmt::Display for PolicyError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAssignment(text) => write!(out, "{text:?} is not of the form NAME=VALUE"),
            Self::UnknownName { name, known } => {
                write!(
                    out,
                    "there is no parameter {name}; known here: {}",
                    known.join(", ")
                )
            }
            Self::WrongValue(why) => write!(out, "a parameter does not take its value: {why}"),
        }
    }
}

impl std::error::Error for PolicyError {}

/// Returns the default policy with parameters replaced; each override has the form `NAME=VALUE`, and
/// the name of a nested parameter is a path with dots.
///
/// # Errors
///
/// Returns an error if an override is malformed, or names an unknown parameter or a value that the
/// parameter does not take.
pub fn policy_with<T>(overrides: &[String]) -> Result<T, PolicyError>
where
    T: Default + Serialize + DeserializeOwned,
{
    let wrong_value = |error: serde_json::Error| PolicyError::WrongValue(error.to_string());
    let mut policy = serde_json::to_value(T::default()).map_err(wrong_value)?;
    for one in overrides {
        let (name, value) = one
            .split_once('=')
            .ok_or_else(|| PolicyError::NoAssignment(one.clone()))?;
        *parameter(&mut policy, name)? = serde_json::from_str(value).map_err(wrong_value)?;
    }
    serde_json::from_value(policy).map_err(wrong_value)
}

fn parameter<'a>(policy: &'a mut Value, name: &str) -> Result<&'a mut Value, PolicyError> {
    let mut inner = policy;
    for part in name.split('.') {
        let known: Vec<String> = inner
            .as_object()
            .map(|parameters| parameters.keys().cloned().collect())
            .unwrap_or_default();
        inner = inner
            .get_mut(part)
            .ok_or_else(|| PolicyError::UnknownName {
                name: name.to_owned(),
                known,
            })?;
    }
    Ok(inner)
}
