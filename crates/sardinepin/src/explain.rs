//! `sardinepin explain`: prints the history of one request from the logs of several processes.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use serde_json::{Map, Value};

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
    for line in BufReader::new(File::open(file)?).lines() {
        lines.extend(parse_line(id, &source, &line?));
    }
    Ok(())
}

/// Parses a log line, and returns `None` unless it names the request.
///
/// Text in front of the JSON object is ignored.
fn parse_line(id: &str, source: &str, line: &str) -> Option<RequestLine> {
    let start = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
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
