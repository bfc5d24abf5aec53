//! Writes lines on a thread of its own, so that no request ever waits for a reader.

use std::io::Write;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};

use sardinepin_common::{Clock, Millis};

/// The most lines that wait to be written.
const LINES_MAX: usize = 1_024;

/// The span over which the bound on bytes is kept.
const WINDOW: Millis = Millis(1_000);

/// The bytes of the present window.
#[derive(Debug, Default)]
struct Window {
    began: Millis,
    bytes: usize,
}

/// The way to the thread that writes.
#[derive(Debug)]
pub(crate) struct Writer {
    lines: SyncSender<String>,
    lost: Arc<AtomicU64>,
    waiting: Arc<AtomicUsize>,
    window: Mutex<Window>,
    bytes_max: usize,
    clock: Clock,
}

impl Writer {
    /// Starts a thread that writes to `out`, at most `bytes_max` bytes a second.
    pub(crate) fn start(out: impl Write + Send + 'static, bytes_max: usize) -> Self {
        let (lines, receiver) = sync_channel(LINES_MAX);
        let lost = Arc::new(AtomicU64::new(0));
        let waiting = Arc::new(AtomicUsize::new(0));
        let (shared, left) = (Arc::clone(&lost), Arc::clone(&waiting));
        std::thread::spawn(move || write_all(out, &receiver, &shared, &left));
        Self {
            lines,
            lost,
            waiting,
            window: Mutex::default(),
            bytes_max,
            clock: Clock::start(),
        }
    }

    /// Returns the count of the lines that wait to be written.
    pub(crate) fn waiting(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.waiting)
    }

    /// Queues a line, or counts it as lost if there is no room for it.
    pub(crate) fn push(&self, line: String) {
        if !self.fits(line.len()) {
            self.lose();
            return;
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.waiting.fetch_sub(1, Ordering::Relaxed);
                self.lose();
            }
        }
    }

    fn lose(&self) {
        self.lost.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("sardinepin_log_lines_lost_total").increment(1);
    }

    fn fits(&self, len: usize) -> bool {
        let now = self.clock.now();
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(window.began) >= WINDOW {
            *window = Window {
                began: now,
                bytes: 0,
            };
        }
        let fits = window.bytes + len <= self.bytes_max;
        if fits {
            window.bytes += len;
        }
        fits
    }
}

/// Writes lines until the writer is gone; the line after a loss says how many were left out.
fn write_all(
    mut out: impl Write,
    lines: &Receiver<String>,
    lost: &AtomicU64,
    waiting: &AtomicUsize,
) {
    while let Ok(line) = lines.recv() {
        let missing = lost.swap(0, Ordering::Relaxed);
        let notice = match missing {
            0 => String::new(),
            count => format!("{{\"event\":\"lines_lost\",\"count\":{count}}}\n"),
        };
        // Nothing is left to report an error to: this is the log.
        let _ = writeln!(out, "{notice}{line}").and_then(|()| out.flush());
        waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
