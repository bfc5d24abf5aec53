//! The logger: writes each record as a line of JSON to the standard output.

use std::str::FromStr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::UNIX_EPOCH;

use anyhow::Context;
use log::kv::{self, Key, Value, VisitSource, VisitValue};
use log::{LevelFilter, Record};
use sardinepin_common::{Clock, Millis};
use serde::ser::{Serialize, SerializeMap, Serializer};
use serde_json::Value as Json;

use crate::options::LogSettings;

mod writer;

#[cfg(test)]
mod tests;

use writer::LogWriter;

/// The longest time that [`flush`] waits.
const FLUSH_TIMEOUT: Millis = Millis(100);

/// The interval at which [`flush`] checks for lines that are not written yet.
const FLUSH_POLL_INTERVAL: Millis = Millis(1);

/// The number of lines of the process's log that are queued but not written yet.
static PENDING_LINES: OnceLock<Arc<AtomicUsize>> = OnceLock::new();

/// The fields of every line; a key of the record that equals one of them gets a trailing `_`.
const FIXED_FIELDS: [&str; 4] = ["time", "level", "target", "message"];

/// Installs the logger of the process with the level and rate limit of `settings`.
///
/// # Errors
///
/// Returns an error if the level is unknown or the process already has a logger.
pub fn start(settings: &LogSettings) -> anyhow::Result<()> {
    let level = LevelFilter::from_str(&settings.level)
        .with_context(|| format!("log.level: '{}' is no level", settings.level))?;
    let writer = LogWriter::start(std::io::stdout(), settings.bytes_max);
    let pending = writer.pending();
    // If a logger is installed already, this keeps the first count and `apply` fails below.
    let _ = PENDING_LINES.set(pending);
    fern::Dispatch::new()
        .level(level)
        .format(|out, _, record| {
            out.finish(format_args!("{}", format_line(record, Clock::wall_time())))
        })
        .chain(fern::Output::call(move |record| {
            writer.push(record.args().to_string());
        }))
        .apply()
        .context("the logger cannot be installed")
}

/// Waits until all queued lines are written, at most `FLUSH_TIMEOUT`.
///
/// Call it before the process exits, or the last lines may be lost.
pub fn flush() {
    let Some(pending) = PENDING_LINES.get() else {
        return;
    };
    let clock = Clock::start();
    while pending.load(Ordering::Relaxed) > 0 && clock.now() < FLUSH_TIMEOUT {
        std::thread::sleep(FLUSH_POLL_INTERVAL.duration());
    }
}

/// Formats `record` as a line of JSON, without the line break.
fn format_line(record: &Record<'_>, wall: Millis) -> String {
    let mut fields = KeyValues::default();
    // The visitor accepts every pair, so it never fails.
    let _ = record.key_values().visit(&mut fields);
    let line = LogLine {
        time: humantime::format_rfc3339_millis(UNIX_EPOCH + wall.duration()).to_string(),
        record,
        fields: fields.0,
    };
    serde_json::to_string(&line).unwrap_or_else(|error| format!("{{\"message\":\"{error}\"}}"))
}

/// A log line: the fixed fields, followed by the key-value pairs of the record.
#[derive(Debug)]
struct LogLine<'a> {
    time: String,
    record: &'a Record<'a>,
    fields: Vec<(String, Json)>,
}

impl Serialize for LogLine<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(FIXED_FIELDS.len() + self.fields.len()))?;
        map.serialize_entry("time", &self.time)?;
        map.serialize_entry("level", &self.record.level().as_str().to_ascii_lowercase())?;
        map.serialize_entry("target", self.record.target())?;
        map.serialize_entry("message", &self.record.args().to_string())?;
        for (key, value) in &self.fields {
            map.serialize_entry(key, value)?;
        }
        map.end()
    }
}

/// Collects the key-value pairs of a record; if a key occurs twice, the first value is kept.
#[derive(Debug, Default)]
struct KeyValues(Vec<(String, Json)>);

impl<'kvs> VisitSource<'kvs> for KeyValues {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let mut name = key.as_str().to_owned();
        if FIXED_FIELDS.contains(&name.as_str()) {
            name.push('_');
        }
        if self.0.iter().all(|(other, _)| *other != name) {
            let mut json = JsonVisitor(Json::Null);
            value.visit(&mut json)?;
            self.0.push((name, json.0));
        }
        Ok(())
    }
}

/// Converts the value of a pair to JSON; a value that JSON has no type for becomes a string.
#[derive(Debug)]
struct JsonVisitor(Json);

impl<'v> VisitValue<'v> for JsonVisitor {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), kv::Error> {
        self.0 = Json::String(value.to_string());
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), kv::Error> {
        self.0 = Json::Null;
        Ok(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), kv::Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), kv::Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), kv::Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), kv::Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_str(&mut self, value: &str) -> Result<(), kv::Error> {
        self.0 = value.into();
        Ok(())
    }
}
