//! Reads a YAML document into a type and lists every fault that stands in the way.

use serde::de::DeserializeOwned;
use serde_path_to_error::{Path, Segment};
use serde_yaml_ng::Value;

use super::errors::{FileError, FileErrors};
use super::fields::Allowed;
use super::locate::{Step, line_of, path_of};

/// The most faults of one kind that are listed before the reader gives up.
const FAULTS_MAX: usize = 100;

/// A YAML document with the name under which its faults are reported.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Document<'a> {
    /// The file, as it was named.
    pub(crate) file: &'a str,
    /// The text.
    pub(crate) text: &'a str,
}

impl Document<'_> {
    /// Reads the document; `allowed` says what a field takes, for the messages.
    ///
    /// After each fault the faulty field is taken out and the rest read again, so that all faults
    /// are found; they come with what could be read. An empty document is an empty mapping.
    pub(crate) fn read<T: DeserializeOwned>(
        &self,
        allowed: fn(&str) -> Option<Allowed>,
    ) -> Result<(T, Vec<FileError>), FileErrors> {
        let mut value = self.parse()?;
        let mut faults: Vec<FileError> = Vec::new();
        let mut taken = Taken::default();
        loop {
            let error = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
                Ok(read) => return Ok((read, faults)),
                Err(error) => error,
            };
            let steps = steps_of_path(error.path());
            let field = path_of(&taken.original(&steps));
            let error = error.into_inner().to_string();
            if !taken.explains(&field, &error) {
                faults.push(self.fault(&field, message_of(&error, allowed(&field))));
            }
            if faults.len() == FAULTS_MAX || !taken.take_out(&mut value, &steps) {
                return Err(FileErrors::sorted(faults));
            }
        }
    }

    /// Makes a fault of the field at `path`, with its line.
    pub(crate) fn fault(&self, path: &str, message: String) -> FileError {
        FileError {
            file: self.file.to_owned(),
            line: line_of(self.text, path),
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
                line: error.location().map(|place| place.line()),
                field: String::new(),
                message: error.to_string(),
            }])),
        }
    }
}

/// Returns the steps of an error's path.
fn steps_of_path(path: &Path) -> Vec<Step> {
    path.iter()
        .filter_map(|segment| match segment {
            Segment::Seq { index } => Some(Step::Item(*index)),
            Segment::Map { key } => Some(Step::Key(key.clone())),
            Segment::Enum { .. } | Segment::Unknown => None,
        })
        .collect()
}

/// Says what the field allows in place of the name of a type of this language.
fn message_of(error: &str, allowed: Option<Allowed>) -> String {
    let Some(allowed) = allowed else {
        return error.to_owned();
    };
    let words = allowed.words();
    match error.split_once(", expected ") {
        Some(_) if error.starts_with("unknown field") => error.to_owned(),
        Some((wrong, _)) => format!("{wrong}, expected {words}"),
        None => format!("{error}, expected {words}"),
    }
}

/// The fields that were taken out, by their places in the document as it was.
#[derive(Debug, Default)]
struct Taken {
    paths: Vec<Vec<Step>>,
}

impl Taken {
    /// Returns `steps` as they were before anything was taken out.
    fn original(&self, steps: &[Step]) -> Vec<Step> {
        let mut original: Vec<Step> = Vec::new();
        for step in steps {
            let step = match step {
                Step::Key(key) => Step::Key(key.clone()),
                Step::Item(at) => Step::Item(self.original_item(&original, *at)),
            };
            original.push(step);
        }
        original
    }

    fn original_item(&self, list: &[Step], at: usize) -> usize {
        let mut gone: Vec<usize> = self
            .paths
            .iter()
            .filter_map(|path| match path.split_last() {
                Some((Step::Item(gone), around)) if around == list => Some(*gone),
                _ => None,
            })
            .collect();
        gone.sort_unstable();
        gone.into_iter()
            .fold(at, |at, gone| if gone <= at { at + 1 } else { at })
    }

    /// Says whether `error` only misses, in the mapping at `field`, what was taken out.
    fn explains(&self, field: &str, error: &str) -> bool {
        let missed = error
            .strip_prefix("missing field `")
            .and_then(|rest| rest.strip_suffix('`'));
        missed.is_some_and(|missed| {
            let full = format!("{field}.{missed}");
            self.paths.iter().any(|path| path_of(path) == full)
        })
    }

    /// Removes the field at `steps`, so that the rest can be read; says whether it was there.
    fn take_out(&mut self, value: &mut Value, steps: &[Step]) -> bool {
        let original = self.original(steps);
        let removed = remove(value, steps);
        if removed {
            self.paths.push(original);
        }
        removed
    }
}

fn remove(value: &mut Value, steps: &[Step]) -> bool {
    let Some((step, rest)) = steps.split_first() else {
        return false;
    };
    match (step, value) {
        (Step::Key(key), Value::Mapping(fields)) if rest.is_empty() => {
            fields.remove(key.as_str()).is_some()
        }
        (Step::Key(key), Value::Mapping(fields)) => fields
            .get_mut(key.as_str())
            .is_some_and(|inner| remove(inner, rest)),
        (Step::Item(at), Value::Sequence(items)) if rest.is_empty() => {
            let there = *at < items.len();
            if there {
                items.remove(*at);
            }
            there
        }
        (Step::Item(at), Value::Sequence(items)) => {
            items.get_mut(*at).is_some_and(|inner| remove(inner, rest))
        }
        _ => false,
    }
}
