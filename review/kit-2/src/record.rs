//! The record of a run: what was sent, answered and run, with the time since its start.

use std::fmt::Arguments;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A record that threads share.
#[derive(Debug, Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file `record.txt` in a folder.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: Arguments<'_>) {
        let seconds = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that cannot be written shows in its length.
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}

/// Writes a formatted line to a record.
#[macro_export]
macro_rules! note {
    ($record:expr, $($text:tt)*) => { $record.line(format_args!($($text)*)) };
}
