//! Writes log lines on a separate thread, so that a slow reader of the log never delays a request.

use std::io::Write;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};

use sardinepin_common::{Clock, Millis};

/// The capacity of the queue to the writer thread, in lines.
const QUEUE_LINES: usize = 1_024;

/// The length of the window over which the rate limit is enforced.
const RATE_WINDOW: Millis = Millis(1_000);

/// The bytes that are accepted in the current window of the rate limit.
#[derive(Debug, Default)]
struct RateWindow {
    started_at: Millis,
    bytes: usize,
}

/// The handle of the writer thread; dropping it ends the thread once the queue is empty.
#[derive(Debug)]
pub(crate) struct LogWriter {
    lines: SyncSender<String>,
    lost: Arc<AtomicU64>,
    pending: Arc<AtomicUsize>,
    window: Mutex<RateWindow>,
    bytes_max: usize,
    clock: Clock,
}

impl LogWriter {
    /// Starts a thread that writes to `out`, at most `bytes_max` bytes a second.
    pub(crate) fn start(out: impl Write + Send + 'static, bytes_max: usize) -> Self {
        let (lines, receiver) = sync_channel(QUEUE_LINES);
        let lost = Arc::new(AtomicU64::new(0));
        let pending = Arc::new(AtomicUsize::new(0));
        let (thread_lost, thread_pending) = (Arc::clone(&lost), Arc::clone(&pending));
        std::thread::spawn(move || write_lines(out, &receiver, &thread_lost, &thread_pending));
        Self {
            lines,
            lost,
            pending,
            window: Mutex::default(),
            bytes_max,
            clock: Clock::start(),
        }
    }

    /// Returns the counter of the lines that are queued but not written yet.
    pub(crate) fn pending(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.pending)
    }

    /// Queues a line, or counts it as lost if it exceeds the rate limit or the queue is full.
    pub(crate) fn push(&self, line: String) {
        if !self.reserve_bytes(line.len()) {
            self.count_lost_line();
            return;
        }
        self.pending.fetch_add(1, Ordering::Relaxed);
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.pending.fetch_sub(1, Ordering::Relaxed);
                self.count_lost_line();
            }
        }
    }

    fn count_lost_line(&self) {
        self.lost.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("sardinepin_log_lines_lost_total").increment(1);
    }

    /// Counts `len` bytes towards the rate limit, and returns whether they fit.
    fn reserve_bytes(&self, len: usize) -> bool {
        let now = self.clock.now();
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(window.started_at) >= RATE_WINDOW {
            *window = RateWindow {
                started_at: now,
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

/// Writes lines until the writer is dropped.
///
/// After a loss, a notice with the number of lost lines precedes the next line.
fn write_lines(
    mut out: impl Write,
    lines: &Receiver<String>,
    lost: &AtomicU64,
    pending: &AtomicUsize,
) {
    while let Ok(line) = lines.recv() {
        let lost_count = lost.swap(0, Ordering::Relaxed);
        let notice = match lost_count {
            0 => String::new(),
            count => format!("{{\"event\":\"lines_lost\",\"count\":{count}}}\n"),
        };
        // An error cannot be reported anywhere, since this is the log itself.
        let _ = writeln!(out, "{notice}{line}").and_then(|()| out.flush());
        pending.fetch_sub(1, Ordering::Relaxed);
    }
}
