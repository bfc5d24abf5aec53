//! Counts of runs, with an optional journal file that preserves them across a restart.

use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

use sardinepin_common::{Clock, Map, Millis};
use serde::{Deserialize, Serialize};

/// Counts of runs and calls.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Runs by idempotency key.
    pub runs: Map<String, u64>,
    /// Runs by request identifier.
    pub requests: Map<String, u64>,
    /// The number of all runs.
    pub total: u64,
    /// Calls that arrived since the process started, whether they ran or not.
    pub arrived: u64,
    /// Those of them whose request identifier had arrived before.
    pub repeated: u64,
    /// When each of them arrived last, by request identifier, in wall-clock time.
    pub arrivals: Map<String, Millis>,
    /// Calls that are held before their run at present.
    pub held_before: u64,
    /// Calls that are held after their run at present.
    pub held_after: u64,
}

impl Counts {
    /// Counts a call that has arrived now.
    pub(super) fn record_arrival(&mut self, request: &str) {
        self.arrived += 1;
        if !request.is_empty() {
            let earlier = self.arrivals.insert(request.to_owned(), Clock::wall_time());
            self.repeated += u64::from(earlier.is_some());
        }
    }
}

/// Counts runs and writes each to the journal file before it is answered.
#[derive(Debug)]
pub(super) struct Journal {
    /// The counts, including those read from the file.
    pub(super) counts: Counts,
    file: Option<File>,
}

/// One line of the journal file: one run.
#[derive(Debug, Serialize, Deserialize)]
struct JournalEntry {
    key: String,
    request: String,
}

impl Journal {
    /// Opens the journal file and counts the runs in it; without a path, counts stay in memory.
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
            let JournalEntry { key, request } = serde_json::from_str(&line?)?;
            journal.count(&key, &request);
        }
        journal.file = Some(file);
        Ok(journal)
    }

    /// Counts a run and returns how often its key has run, or its request identifier if there is no
    /// key.
    pub(super) fn run(&mut self, key: &str, request: &str) -> io::Result<u64> {
        if let Some(file) = &mut self.file {
            let entry = JournalEntry {
                key: key.to_owned(),
                request: request.to_owned(),
            };
            let mut text = serde_json::to_string(&entry)?;
            text.push('\n');
            file.write_all(text.as_bytes())?;
        }
        Ok(self.count(key, request))
    }

    fn count(&mut self, key: &str, request: &str) -> u64 {
        self.counts.total += 1;
        let by_key = increment(&mut self.counts.runs, key);
        let by_request = increment(&mut self.counts.requests, request);
        if key.is_empty() { by_request } else { by_key }
    }
}

fn increment(counts: &mut Map<String, u64>, name: &str) -> u64 {
    if name.is_empty() {
        return 0;
    }
    let count = counts.entry(name.to_owned()).or_default();
    *count += 1;
    *count
}
