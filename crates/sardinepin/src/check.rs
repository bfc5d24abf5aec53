//! `sardinepin check`: checks files offline and names each fault.

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

/// The exit code if a file is not in order.
const EXIT_FAULTY: u8 = 2;

/// The fields of a deployment file that no other file has.
const DEPLOYMENT_FIELDS: [&str; 4] = ["services", "upstreams", "organisations", "groups"];

/// The one field of a rule list.
const RULES_FIELD: &str = "rules";

/// What a file holds, as its fields show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// The settings of a process.
    Settings,
    /// A rule list.
    Rules,
    /// Services, upstreams, organisations, groups and rules of a deployment.
    Deployment,
    /// The settings that the users' platform writes for a process.
    PlatformSettings,
}

impl FileKind {
    fn words(self) -> &'static str {
        match self {
            Self::Settings => "settings",
            Self::Rules => "a rule list",
            Self::Deployment => "a deployment",
            Self::PlatformSettings => "settings of the platform",
        }
    }
}

/// Checks `files`, prints the result for each, and returns 0 if all are in order or else 2.
#[must_use]
pub fn run(files: &[PathBuf]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for file in files {
        match check_file(file) {
            Ok(kind) => println!("{}: {} in order", file.display(), kind.words()),
            Err(faults) => {
                eprintln!("{faults}");
                code = ExitCode::from(EXIT_FAULTY);
            }
        }
    }
    code
}

/// Checks one file and says what it holds.
///
/// # Errors
///
/// Returns every fault that was found.
pub fn check_file(file: &Path) -> Result<FileKind, FileErrors> {
    let text = read(file)?;
    let name = file.display().to_string();
    let document = Document {
        file: &name,
        text: &text,
    };
    let kind = kind_of(&text);
    match kind {
        FileKind::Settings => parse_settings(&name, &text).map(|_| kind),
        FileKind::Rules => rules::read_rules(&document).map(|_| kind),
        FileKind::Deployment => deployment::read_deployment(&document).map(|_| kind),
        FileKind::PlatformSettings => match sardinepin_platform::check_settings(text.as_bytes()) {
            Ok(()) => Ok(kind),
            Err(error) => Err(FileErrors::whole(file, error.to_string())),
        },
    }
}

/// Reads the rule list of a file that holds one by itself or within a deployment.
///
/// # Errors
///
/// Returns every fault that was found.
pub fn load_rules(file: &Path) -> Result<RuleList, FileErrors> {
    let text = read(file)?;
    let name = file.display().to_string();
    let document = Document {
        file: &name,
        text: &text,
    };
    match kind_of(&text) {
        FileKind::Deployment => {
            deployment::read_deployment(&document).map(|found| found.rule_list())
        }
        FileKind::Rules | FileKind::Settings | FileKind::PlatformSettings => {
            rules::read_rules(&document)
        }
    }
}

/// Reads a deployment file.
///
/// # Errors
///
/// Returns every fault that was found.
pub fn load_deployment(file: &Path) -> Result<Deployment, FileErrors> {
    let text = read(file)?;
    let name = file.display().to_string();
    deployment::read_deployment(&Document {
        file: &name,
        text: &text,
    })
}

fn read(file: &Path) -> Result<String, FileErrors> {
    std::fs::read_to_string(file).map_err(|error| FileErrors::unreadable(file, &error))
}

/// Tells files apart by their fields; one that cannot be read at all counts as settings.
fn kind_of(text: &str) -> FileKind {
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
