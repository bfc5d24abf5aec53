//! JSON lines on the standard output, one for each record of the log.

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

use writer::Writer;

/// The longest wait for the last lines.
const FLUSH_MAX: Millis = Millis(100);

/// The time between two looks at whether they are written.
const FLUSH_POLL: Millis = Millis(1);

/// How many lines of the process's log are still to be written.
static WAITING: OnceLock<Arc<AtomicUsize>> = OnceLock::new();

/// The fields that every line has; a pair of the record with such a name gets a trailing `_`.
const FIXED_FIELDS: [&str; 4] = ["time", "level", "target", "message"];

/// Starts the log at the level that the settings give.
///
/// # Errors
///
/// Returns an error if the level is unknown or the process has a log already.
pub fn start(settings: &LogSettings) -> anyhow::Result<()> {
    let level = LevelFilter::from_str(&settings.level)
        .with_context(|| format!("log.level: '{}' is no level", settings.level))?;
    let writer = Writer::start(std::io::stdout(), settings.bytes_max);
    let waiting = writer.waiting();
    // A second log fails below, so the first one's count stands.
    let _ = WAITING.set(waiting);
    fern::Dispatch::new()
        .level(level)
        .format(|out, _, record| out.finish(format_args!("{}", line(record, Clock::wall_time()))))
        .chain(fern::Output::call(move |record| {
            writer.push(record.args().to_string());
        }))
        .apply()
        .context("the log cannot be started")
}

/// Waits a little for the lines that are still to be written; call it before the process ends.
pub fn flush() {
    let Some(waiting) = WAITING.get() else {
        return;
    };
    let clock = Clock::start();
    while waiting.load(Ordering::Relaxed) > 0 && clock.now() < FLUSH_MAX {
        std::thread::sleep(FLUSH_POLL.duration());
    }
}

/// Returns the line for `record`, without its end.
fn line(record: &Record<'_>, wall: Millis) -> String {
    let mut pairs = Pairs::default();
    // The visitor takes every pair, so that it never fails.
    let _ = record.key_values().visit(&mut pairs);
    let line = Line {
        time: humantime::format_rfc3339_millis(UNIX_EPOCH + wall.duration()).to_string(),
        record,
        pairs: pairs.0,
    };
    serde_json::to_string(&line).unwrap_or_else(|error| format!("{{\"message\":\"{error}\"}}"))
}

/// One line, with its fields in a fixed order.
#[derive(Debug)]
struct Line<'a> {
    time: String,
    record: &'a Record<'a>,
    pairs: Vec<(String, Json)>,
}

impl Serialize for Line<'_> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let mut map = to.serialize_map(Some(FIXED_FIELDS.len() + self.pairs.len()))?;
        map.serialize_entry("time", &self.time)?;
        map.serialize_entry("level", &self.record.level().as_str().to_ascii_lowercase())?;
        map.serialize_entry("target", self.record.target())?;
        map.serialize_entry("message", &self.record.args().to_string())?;
        for (key, value) in &self.pairs {
            map.serialize_entry(key, value)?;
        }
        map.end()
    }
}

/// Collects the pairs of a record; of two with one name the first stands.
#[derive(Debug, Default)]
struct Pairs(Vec<(String, Json)>);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let mut name = key.as_str().to_owned();
        if FIXED_FIELDS.contains(&name.as_str()) {
            name.push('_');
        }
        if self.0.iter().all(|(taken, _)| *taken != name) {
            let mut json = ToJson(Json::Null);
            value.visit(&mut json)?;
            self.0.push((name, json.0));
        }
        Ok(())
    }
}

/// Turns the value of a pair into JSON; what JSON does not have becomes text.
#[derive(Debug)]
struct ToJson(Json);

impl<'v> VisitValue<'v> for ToJson {
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
