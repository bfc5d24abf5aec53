//! Errors in a settings file or another file that operators write.

use std::fmt;
use std::path::Path;

/// An error in a file: its location, the problem and what the field allows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileError {
    /// The path of the file, as the caller gave it.
    pub file: String,
    /// The line, from 1; `None` if the error concerns the whole file or its line is unknown.
    pub line: Option<usize>,
    /// The path of the field, such as `entry.body_max`; empty for the file as a whole.
    pub field: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(out, ":{line}")?;
        }
        if !self.field.is_empty() {
            write!(out, ": {}", self.field)?;
        }
        write!(out, ": {}", self.message)
    }
}

/// All errors that were found in a file, in the order of its lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileErrors(pub Vec<FileError>);

impl fmt::Display for FileErrors {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                out.write_str("\n")?;
            }
            error.fmt(out)?;
        }
        Ok(())
    }
}

impl std::error::Error for FileErrors {}

impl FileErrors {
    /// Returns `value` if `errors` is empty, or else the errors in the order of their lines.
    pub(crate) fn into_result<T>(errors: Vec<FileError>, value: T) -> Result<T, Self> {
        if errors.is_empty() {
            return Ok(value);
        }
        Err(Self::sorted(errors))
    }

    /// Sorts errors by line.
    pub(crate) fn sorted(mut errors: Vec<FileError>) -> Self {
        errors.sort_by_key(|error| error.line);
        Self(errors)
    }

    /// Returns the error for a file that cannot be read.
    pub(crate) fn unreadable(file: &Path, error: &std::io::Error) -> Self {
        Self::whole_file(file, format!("cannot be read: {error}"))
    }

    /// Returns an error that concerns the file as a whole.
    pub(crate) fn whole_file(file: &Path, message: String) -> Self {
        Self(vec![FileError {
            file: file.display().to_string(),
            line: None,
            field: String::new(),
            message,
        }])
    }
}
