//! Reads and validates settings files.

use std::path::Path;

use super::document::Document;
use super::errors::FileErrors;
use super::fields::{FIELDS, constraint_at};
use super::settings::Settings;
use super::validate::{consistency_errors, constraint_errors};

/// Reads and validates the settings in `file`.
///
/// # Errors
///
/// Returns all errors that were found, each with its line, its field and what the field allows.
pub fn load_settings(file: &Path) -> Result<Settings, FileErrors> {
    let text =
        std::fs::read_to_string(file).map_err(|error| FileErrors::unreadable(file, &error))?;
    parse_settings(&file.display().to_string(), &text)
}

/// Reads and validates settings in YAML; errors are reported under the name `file`.
///
/// # Errors
///
/// Returns all errors that were found, each with its line, its field and what the field allows.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, FileErrors> {
    let document = Document { file, text };
    let (settings, mut errors): (Settings, _) = document.deserialize(constraint_at)?;
    let mut field_errors = constraint_errors(&settings, FIELDS);
    // A field that could not be read has its default, so a conflict with it would be spurious.
    if errors.is_empty() {
        field_errors.extend(consistency_errors(&settings));
    }
    errors.extend(
        field_errors
            .into_iter()
            .map(|(field, message)| document.error_at(&field, message)),
    );
    FileErrors::into_result(errors, settings)
}

/// Returns the default settings as YAML.
///
/// # Errors
///
/// Returns an error if the settings hold a value that YAML cannot express.
pub fn default_yaml() -> anyhow::Result<String> {
    Ok(serde_yaml_ng::to_string(&Settings::default())?)
}
