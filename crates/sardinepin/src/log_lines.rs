//! Reads what processes have logged.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

use serde_json::{Map, Value};

/// The fields of a log line.
pub(crate) type Fields = Map<String, Value>;

/// Calls `visit` with the fields of each log line of a file, in order; other lines are ignored.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub(crate) fn read_file(file: &Path, mut visit: impl FnMut(Fields)) -> io::Result<()> {
    for line in BufReader::new(File::open(file)?).lines() {
        if let Some(fields) = parse(&line?) {
            visit(fields);
        }
    }
    Ok(())
}

/// Returns the fields of a log line. Text in front of the JSON object is ignored, such as the name of a container.
pub(crate) fn parse(line: &str) -> Option<Fields> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}
