//! Faults of a settings file or another file that operators write.

use std::fmt;
use std::path::Path;

/// One fault: where it stands, what is wrong and what is allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileError {
    /// The file, as it was named.
    pub file: String,
    /// The line, from 1, if it is known.
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

/// Every fault that was found in a file, in the order of its lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileErrors(pub Vec<FileError>);

impl fmt::Display for FileErrors {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.0.iter().enumerate() {
            if at > 0 {
                out.write_str("\n")?;
            }
            fault.fmt(out)?;
        }
        Ok(())
    }
}

impl std::error::Error for FileErrors {}

impl FileErrors {
    /// Returns `value` if there are no faults.
    pub(crate) fn or<T>(faults: Vec<FileError>, value: T) -> Result<T, Self> {
        if faults.is_empty() {
            return Ok(value);
        }
        Err(Self::sorted(faults))
    }

    /// Puts faults in the order of their lines.
    pub(crate) fn sorted(mut faults: Vec<FileError>) -> Self {
        faults.sort_by_key(|fault| fault.line);
        Self(faults)
    }

    /// Makes the one fault of a file that cannot be read at all.
    pub(crate) fn unreadable(file: &Path, error: &std::io::Error) -> Self {
        Self::whole(file, format!("cannot be read: {error}"))
    }

    /// Makes the one fault of a file that belongs to no line of it.
    pub(crate) fn whole(file: &Path, message: String) -> Self {
        Self(vec![FileError {
            file: file.display().to_string(),
            line: None,
            field: String::new(),
            message,
        }])
    }
}
