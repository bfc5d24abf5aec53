//! `sardinepin explain`: prints the history of one request from the logs of several processes.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use serde_json::Value;

use crate::log_lines::{self, Fields};

#[cfg(test)]
mod tests;

/// The exit code if no line names the request.
const EXIT_NOT_FOUND: u8 = 1;

/// The exit code if a file cannot be read.
const EXIT_UNREADABLE: u8 = 2;

/// The fields that are left out of the field list of a line: they are printed in front of it or
/// say nothing about the request.
const UNLISTED_FIELDS: [&str; 6] = ["time", "level", "target", "message", "event", "request"];

/// A log line that names the request; the derived order sorts lines by time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestLine {
    time: String,
    text: String,
}

/// Prints the lines of `files` that name the request `id`, sorted by time.
///
/// Returns 0 if there is such a line, 1 if there is none, and 2 if a file cannot be read.
#[must_use]
pub fn run(id: &str, files: &[PathBuf]) -> ExitCode {
    let mut lines = Vec::new();
    for file in files {
        if let Err(error) = read_log(id, file, &mut lines) {
            eprintln!("sardinepin: {}: {error}", file.display());
            return ExitCode::from(EXIT_UNREADABLE);
        }
    }
    lines.sort();
    for line in &lines {
        println!("{}  {}", line.time, line.text);
    }
    if lines.is_empty() {
        eprintln!("sardinepin: no line names the request {id}");
        return ExitCode::from(EXIT_NOT_FOUND);
    }
    ExitCode::SUCCESS
}

fn read_log(id: &str, file: &Path, lines: &mut Vec<RequestLine>) -> io::Result<()> {
    let source = file.file_name().unwrap_or_default().to_string_lossy();
    log_lines::read_file(file, |fields| {
        lines.extend(request_line(id, &source, &fields));
    })
}

/// Returns a log line for printing, or `None` unless it names the request.
fn request_line(id: &str, source: &str, fields: &Fields) -> Option<RequestLine> {
    if fields.get("request")?.as_str()? != id {
        return None;
    }
    let text = |name| fields.get(name).and_then(Value::as_str).unwrap_or_default();
    let rest = fields
        .iter()
        .filter(|(name, _)| !UNLISTED_FIELDS.contains(&name.as_str()))
        .map(|(name, value)| format!(" {name}={value}"));
    Some(RequestLine {
        time: text("time").to_owned(),
        text: format!("{source}: {}{}", text("event"), rest.collect::<String>()),
    })
}
