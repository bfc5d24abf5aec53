//! The command `explain`: what happened to one request, from the logs of several processes.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use serde_json::{Map, Value};

#[cfg(test)]
mod tests;

/// The exit code if no line names the request.
const NOT_FOUND: u8 = 1;

/// The exit code if a file cannot be read.
const MISUSE: u8 = 2;

/// The fields that stand at the start of a line, or say nothing of the request.
const LEADING: [&str; 6] = ["time", "level", "target", "message", "event", "request"];

/// One line that names the request.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Found {
    time: String,
    text: String,
}

/// Prints what the logs in `files` say of the request `id`, in order of time.
#[must_use]
pub fn run(id: &str, files: &[PathBuf]) -> ExitCode {
    let mut found = Vec::new();
    for file in files {
        if let Err(error) = read(id, file, &mut found) {
            eprintln!("sardinepin: {}: {error}", file.display());
            return ExitCode::from(MISUSE);
        }
    }
    found.sort();
    for line in &found {
        println!("{}  {}", line.time, line.text);
    }
    if found.is_empty() {
        eprintln!("sardinepin: no line names the request {id}");
        return ExitCode::from(NOT_FOUND);
    }
    ExitCode::SUCCESS
}

fn read(id: &str, file: &Path, found: &mut Vec<Found>) -> io::Result<()> {
    let source = file.file_name().unwrap_or_default().to_string_lossy();
    for line in BufReader::new(File::open(file)?).lines() {
        found.extend(parse(id, &source, &line?));
    }
    Ok(())
}

/// Returns what a line says of the request; what stands before its JSON is passed over.
fn parse(id: &str, source: &str, line: &str) -> Option<Found> {
    let start = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    if fields.get("request")?.as_str()? != id {
        return None;
    }
    let text = |name| fields.get(name).and_then(Value::as_str).unwrap_or_default();
    let rest = fields
        .iter()
        .filter(|(name, _)| !LEADING.contains(&name.as_str()))
        .map(|(name, value)| format!(" {name}={value}"));
    Some(Found {
        time: text("time").to_owned(),
        text: format!("{source}: {}{}", text("event"), rest.collect::<String>()),
    })
}
