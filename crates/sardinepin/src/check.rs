//! `sardinepin check`: validates files offline and prints every error.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use sardinepin_config::RuleList;
use serde_yaml_ng::Value;

use crate::options::document::Document;
use crate::options::{FileErrors, parse_settings};

pub use deployment::Deployment;
pub(crate) use deployment::validate_deployment;

mod deployment;
mod fields;
mod names;
mod references;
mod rules;

#[cfg(test)]
mod tests;

/// The exit code if a file is invalid or cannot be read.
const EXIT_INVALID: u8 = 2;

/// The fields that only a deployment file has.
const DEPLOYMENT_FIELDS: [&str; 4] = ["services", "upstreams", "organisations", "groups"];

/// The only field of a rule list.
const RULES_FIELD: &str = "rules";

/// The kind of a file, detected from its fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// The YAML settings of a process.
    Settings,
    /// A rule list.
    Rules,
    /// The services, upstreams, organisations, groups and rules of a deployment.
    Deployment,
    /// The settings in JSON that the platform writes for a process.
    PlatformSettings,
}

impl FileKind {
    fn description(self) -> &'static str {
        match self {
            Self::Settings => "settings",
            Self::Rules => "a rule list",
            Self::Deployment => "a deployment",
            Self::PlatformSettings => "settings of the platform",
        }
    }
}

/// Validates `files` and prints the result for each; returns 0 if all are valid or else 2.
#[must_use]
pub fn run(files: &[PathBuf]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for file in files {
        match check_file(file) {
            Ok(kind) => println!("{}: {} in order", file.display(), kind.description()),
            Err(errors) => {
                eprintln!("{errors}");
                code = ExitCode::from(EXIT_INVALID);
            }
        }
    }
    code
}

/// Validates one file and returns its kind.
///
/// # Errors
///
/// Returns all errors that were found, or the error that stopped the file from being read.
pub fn check_file(file: &Path) -> Result<FileKind, FileErrors> {
    let text = read_file(file)?;
    let name = file.display().to_string();
    let document = Document {
        file: &name,
        text: &text,
    };
    let kind = detect_kind(&text);
    match kind {
        FileKind::Settings => parse_settings(&name, &text).map(|_| kind),
        FileKind::Rules => rules::read_rules(&document).map(|_| kind),
        FileKind::Deployment => deployment::read_deployment(&document).map(|_| kind),
        FileKind::PlatformSettings => match sardinepin_platform::check_settings(text.as_bytes()) {
            Ok(()) => Ok(kind),
            Err(error) => Err(FileErrors::whole_file(file, error.to_string())),
        },
    }
}

/// Reads and validates the rule list of a rules file or a deployment file.
///
/// # Errors
///
/// Returns all errors that were found, or the error that stopped the file from being read.
pub fn load_rules(file: &Path) -> Result<RuleList, FileErrors> {
    let text = read_file(file)?;
    let name = file.display().to_string();
    let document = Document {
        file: &name,
        text: &text,
    };
    match detect_kind(&text) {
        FileKind::Deployment => {
            deployment::read_deployment(&document).map(|deployment| deployment.rule_list())
        }
        FileKind::Rules | FileKind::Settings | FileKind::PlatformSettings => {
            rules::read_rules(&document)
        }
    }
}

/// Reads and validates a deployment file.
///
/// # Errors
///
/// Returns all errors that were found, or the error that stopped the file from being read.
pub fn load_deployment(file: &Path) -> Result<Deployment, FileErrors> {
    let text = read_file(file)?;
    let name = file.display().to_string();
    deployment::read_deployment(&Document {
        file: &name,
        text: &text,
    })
}

fn read_file(file: &Path) -> Result<String, FileErrors> {
    std::fs::read_to_string(file).map_err(|error| FileErrors::unreadable(file, &error))
}

/// Detects the kind of a file from its fields; anything else, invalid YAML included, counts as
/// settings.
fn detect_kind(text: &str) -> FileKind {
    if sardinepin_platform::is_platform_settings(text.as_bytes()) {
        return FileKind::PlatformSettings;
    }
    let value: Value = serde_yaml_ng::from_str(text).unwrap_or_default();
    let has = |field: &str| value.get(field).is_some();
    if DEPLOYMENT_FIELDS.into_iter().any(has) {
        return FileKind::Deployment;
    }
    if has(RULES_FIELD) {
        return FileKind::Rules;
    }
    FileKind::Settings
}
