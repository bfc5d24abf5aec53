//! Deserialises a YAML document and reports every error in it, not only the first.

use serde::de::DeserializeOwned;
use serde_path_to_error::{Path, Segment};
use serde_yaml_ng::Value;

use super::errors::{FileError, FileErrors};
use super::fields::Constraint;
use super::locate::{PathSegment, find_line, format_path};

/// The most deserialisation errors that one document reports; reading stops there.
const ERRORS_MAX: usize = 100;

/// A YAML document and the name under which its errors are reported.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Document<'a> {
    /// The path of the file, as the caller gave it.
    pub(crate) file: &'a str,
    /// The YAML text.
    pub(crate) text: &'a str,
}

impl Document<'_> {
    /// Deserialises the document; `constraint_at` returns what a field allows, for the messages.
    ///
    /// After each error the invalid field is removed and the document is deserialised again, so
    /// that one call finds all errors. They are returned with the value that the remaining fields
    /// give. An empty document counts as an empty mapping.
    pub(crate) fn deserialize<T: DeserializeOwned>(
        &self,
        constraint_at: fn(&str) -> Option<Constraint>,
    ) -> Result<(T, Vec<FileError>), FileErrors> {
        let mut value = self.parse()?;
        let mut errors: Vec<FileError> = Vec::new();
        let mut removed = RemovedFields::default();
        loop {
            let error = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
                Ok(parsed) => return Ok((parsed, errors)),
                Err(error) => error,
            };
            let path = path_segments(error.path());
            let field = format_path(&removed.original_path(&path));
            let error = error.into_inner().to_string();
            if !removed.is_cause_of(&field, &error) {
                errors.push(self.error_at(&field, error_message(&error, constraint_at(&field))));
            }
            if errors.len() == ERRORS_MAX || !removed.remove(&mut value, &path) {
                return Err(FileErrors::sorted(errors));
            }
        }
    }

    /// Returns an error for the field at `path`, with the line of the field.
    pub(crate) fn error_at(&self, path: &str, message: String) -> FileError {
        FileError {
            file: self.file.to_owned(),
            line: find_line(self.text, path),
            field: path.to_owned(),
            message,
        }
    }

    fn parse(&self) -> Result<Value, FileErrors> {
        let parsed: Result<Value, _> = serde_yaml_ng::from_str(self.text);
        match parsed {
            Ok(Value::Null) => Ok(Value::Mapping(serde_yaml_ng::Mapping::new())),
            Ok(value) => Ok(value),
            Err(error) => Err(FileErrors(vec![FileError {
                file: self.file.to_owned(),
                line: error.location().map(|location| location.line()),
                field: String::new(),
                message: error.to_string(),
            }])),
        }
    }
}

/// Converts the path of a deserialisation error.
fn path_segments(path: &Path) -> Vec<PathSegment> {
    path.iter()
        .filter_map(|segment| match segment {
            Segment::Seq { index } => Some(PathSegment::Index(*index)),
            Segment::Map { key } => Some(PathSegment::Key(key.clone())),
            Segment::Enum { .. } | Segment::Unknown => None,
        })
        .collect()
}

/// Replaces the Rust type that a serde message expects by what the field allows.
fn error_message(error: &str, constraint: Option<Constraint>) -> String {
    let Some(constraint) = constraint else {
        return error.to_owned();
    };
    let description = constraint.description();
    match error.split_once(", expected ") {
        Some(_) if error.starts_with("unknown field") => error.to_owned(),
        Some((problem, _)) => format!("{problem}, expected {description}"),
        None => format!("{error}, expected {description}"),
    }
}

/// The fields removed so far, by their paths in the original document.
#[derive(Debug, Default)]
struct RemovedFields {
    paths: Vec<Vec<PathSegment>>,
}

impl RemovedFields {
    /// Converts a path in the reduced document to the path in the original one.
    fn original_path(&self, path: &[PathSegment]) -> Vec<PathSegment> {
        let mut original: Vec<PathSegment> = Vec::new();
        for segment in path {
            let segment = match segment {
                PathSegment::Key(key) => PathSegment::Key(key.clone()),
                PathSegment::Index(index) => {
                    PathSegment::Index(self.original_index(&original, *index))
                }
            };
            original.push(segment);
        }
        original
    }

    /// Returns the index that an item of `list` had before items in front of it were removed.
    fn original_index(&self, list: &[PathSegment], index: usize) -> usize {
        let mut removed: Vec<usize> = self
            .paths
            .iter()
            .filter_map(|path| match path.split_last() {
                Some((PathSegment::Index(index), parent)) if parent == list => Some(*index),
                _ => None,
            })
            .collect();
        removed.sort_unstable();
        removed.into_iter().fold(
            index,
            |index, gap| if gap <= index { index + 1 } else { index },
        )
    }

    /// Returns whether `error` is that the mapping `field` lacks a field that was removed here.
    fn is_cause_of(&self, field: &str, error: &str) -> bool {
        let missing = error
            .strip_prefix("missing field `")
            .and_then(|rest| rest.strip_suffix('`'));
        missing.is_some_and(|missing| {
            let missing_path = format!("{field}.{missing}");
            self.paths
                .iter()
                .any(|path| format_path(path) == missing_path)
        })
    }

    /// Removes the field at `path` and returns whether it existed.
    fn remove(&mut self, value: &mut Value, path: &[PathSegment]) -> bool {
        let original = self.original_path(path);
        let removed = remove_at(value, path);
        if removed {
            self.paths.push(original);
        }
        removed
    }
}

fn remove_at(value: &mut Value, path: &[PathSegment]) -> bool {
    let Some((segment, rest)) = path.split_first() else {
        return false;
    };
    match (segment, value) {
        (PathSegment::Key(key), Value::Mapping(fields)) if rest.is_empty() => {
            fields.remove(key.as_str()).is_some()
        }
        (PathSegment::Key(key), Value::Mapping(fields)) => fields
            .get_mut(key.as_str())
            .is_some_and(|inner| remove_at(inner, rest)),
        (PathSegment::Index(index), Value::Sequence(items)) if rest.is_empty() => {
            let exists = *index < items.len();
            if exists {
                items.remove(*index);
            }
            exists
        }
        (PathSegment::Index(index), Value::Sequence(items)) => items
            .get_mut(*index)
            .is_some_and(|inner| remove_at(inner, rest)),
        _ => false,
    }
}
