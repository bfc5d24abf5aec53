//! The count of runs, kept in a journal where it is to outlive the process.

use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

use sardinepin_common::Map;
use serde::{Deserialize, Serialize};

/// What has run.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Runs by idempotency key.
    pub runs: Map<String, u64>,
    /// Runs by request identifier.
    pub requests: Map<String, u64>,
    /// All runs.
    pub total: u64,
    /// Calls that have arrived in this life of the process, run or not.
    pub arrived: u64,
    /// Calls that wait before their run.
    pub held_before: u64,
    /// Calls that wait after their run.
    pub held_after: u64,
}

/// Counts runs and writes each down before it is answered.
#[derive(Debug)]
pub(super) struct Journal {
    /// The counts.
    pub(super) counts: Counts,
    file: Option<File>,
}

/// One line of the journal.
#[derive(Debug, Serialize, Deserialize)]
struct Line {
    key: String,
    request: String,
}

impl Journal {
    /// Opens the journal and counts what it holds; without a path, nothing is kept.
    pub(super) fn open(path: Option<&Path>) -> io::Result<Self> {
        let mut journal = Self {
            counts: Counts::default(),
            file: None,
        };
        let Some(path) = path else {
            return Ok(journal);
        };
        let file = OpenOptions::new()
            .read(true)
            .append(true)
            .create(true)
            .open(path)?;
        for line in BufReader::new(&file).lines() {
            let Line { key, request } = serde_json::from_str(&line?)?;
            journal.count(&key, &request);
        }
        journal.file = Some(file);
        Ok(journal)
    }

    /// Counts a run and returns how often its key, or without one its request, has run.
    pub(super) fn run(&mut self, key: &str, request: &str) -> io::Result<u64> {
        if let Some(file) = &mut self.file {
            let line = Line {
                key: key.to_owned(),
                request: request.to_owned(),
            };
            let mut text = serde_json::to_string(&line)?;
            text.push('\n');
            file.write_all(text.as_bytes())?;
        }
        Ok(self.count(key, request))
    }

    fn count(&mut self, key: &str, request: &str) -> u64 {
        self.counts.total += 1;
        let by_key = bump(&mut self.counts.runs, key);
        let by_request = bump(&mut self.counts.requests, request);
        if key.is_empty() { by_request } else { by_key }
    }
}

fn bump(counts: &mut Map<String, u64>, name: &str) -> u64 {
    if name.is_empty() {
        return 0;
    }
    let count = counts.entry(name.to_owned()).or_default();
    *count += 1;
    *count
}
