//! Whether a connection is in use.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use sardinepin_common::{Clock, Millis};

/// When bytes came or went over a connection last, and how many requests are open on it.
#[derive(Debug, Clone)]
pub struct Activity {
    clock: Clock,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    last_ms: AtomicU64,
    open: AtomicUsize,
}

impl Activity {
    /// Creates the activity of a connection that has just been made.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        let activity = Self {
            clock,
            state: Arc::default(),
        };
        activity.record();
        activity
    }

    /// Records that bytes came or went.
    pub fn record(&self) {
        let now = self.clock.now();
        self.state.last_ms.store(now.0, Ordering::Relaxed);
    }

    /// Counts a request as open until the returned guard is dropped.
    #[must_use]
    pub fn begin(&self) -> OpenExchange {
        self.state.open.fetch_add(1, Ordering::Relaxed);
        OpenExchange(self.clone())
    }

    /// Returns whether a request is open.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.state.open.load(Ordering::Relaxed) > 0
    }

    /// Returns how long the connection has not been in use: zero while a request is open.
    #[must_use]
    pub fn idle_time(&self) -> Millis {
        if self.is_open() {
            return Millis::ZERO;
        }
        let last = Millis(self.state.last_ms.load(Ordering::Relaxed));
        self.clock.now().since(last)
    }

    /// Waits until the connection has not been in use for `time`.
    pub async fn wait_until_idle(&self, time: Millis) {
        loop {
            let idle = self.idle_time();
            if idle >= time {
                return;
            }
            tokio::time::sleep(time.since(idle).duration()).await;
        }
    }
}

/// A guard that counts one open request of a connection.
#[derive(Debug)]
pub struct OpenExchange(Activity);

impl Drop for OpenExchange {
    fn drop(&mut self) {
        self.0.record();
        self.0.state.open.fetch_sub(1, Ordering::Relaxed);
    }
}
