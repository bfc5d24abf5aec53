//! Watches for pauses of this process, logs them and counts them.

use std::sync::Arc;

use sardinepin_common::{Clock, Millis};
use tokio::sync::watch;

use crate::pause_detector::PauseDetector;

/// The interval between two readings of the clock.
const READING_INTERVAL: Millis = Millis(200);

/// The counter of pauses.
const PAUSES: &str = "sardinepin_process_pauses_total";

/// Detects pauses of this process.
#[derive(Debug)]
pub struct PauseWatch {
    clock: Clock,
    pauses: PauseDetector,
    ended: watch::Sender<u64>,
}

impl PauseWatch {
    /// Starts to read the clock at short intervals.
    pub fn start() -> Arc<Self> {
        let clock = Clock::start();
        let watch = Arc::new(Self {
            clock,
            pauses: PauseDetector::new(clock.now()),
            ended: watch::Sender::new(0),
        });
        metrics::describe_counter!(PAUSES, "Pauses of the process, such as of its instance.");
        metrics::counter!(PAUSES).absolute(0);
        tokio::spawn(Arc::clone(&watch).run());
        watch
    }

    async fn run(self: Arc<Self>) {
        let mut readings = tokio::time::interval(READING_INTERVAL.duration());
        readings.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            readings.tick().await;
            self.count();
        }
    }

    /// Returns how many pauses have ended so far, including one that ends now.
    pub fn count(&self) -> u64 {
        if let Some(paused) = self.pauses.record_reading(self.clock.now()) {
            metrics::counter!(PAUSES).increment(1);
            log::warn!(event = "paused", paused_ms = paused.0; "this process was paused");
            self.ended.send_replace(self.pauses.count());
        }
        self.pauses.count()
    }

    /// Waits until a pause ends after [`Self::count`] returned `count`.
    pub async fn wait_for_more_than(&self, count: u64) {
        let mut ended = self.ended.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = ended.wait_for(|ended| *ended > count).await;
    }
}
