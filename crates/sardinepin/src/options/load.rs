//! Reads a settings file and checks it.

use std::path::Path;

use super::document::Document;
use super::errors::FileErrors;
use super::fields::{FIELDS, allowed_at};
use super::settings::Settings;
use super::validate::{contradictions, table_faults};

/// Reads and checks the settings in `file`.
///
/// # Errors
///
/// Returns every fault that was found: with its line, its field and what is allowed there.
pub fn load_settings(file: &Path) -> Result<Settings, FileErrors> {
    let text =
        std::fs::read_to_string(file).map_err(|error| FileErrors::unreadable(file, &error))?;
    parse_settings(&file.display().to_string(), &text)
}

/// Reads and checks settings in YAML; `file` is the name under which faults are reported.
///
/// # Errors
///
/// Returns every fault that was found: with its line, its field and what is allowed there.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, FileErrors> {
    let document = Document { file, text };
    let (settings, mut faults): (Settings, _) = document.read(allowed_at)?;
    let mut found = table_faults(&settings, FIELDS);
    // What could not be read stands at its default, so contradictions would be made up.
    if faults.is_empty() {
        found.extend(contradictions(&settings));
    }
    faults.extend(
        found
            .into_iter()
            .map(|(field, message)| document.fault(&field, message)),
    );
    FileErrors::or(faults, settings)
}

/// Returns the default settings as YAML.
///
/// # Errors
///
/// Returns an error if the settings hold a value that YAML cannot express.
pub fn default_yaml() -> anyhow::Result<String> {
    Ok(serde_yaml_ng::to_string(&Settings::default())?)
}
