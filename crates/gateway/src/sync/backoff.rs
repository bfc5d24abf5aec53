//! When a failed call of the store is repeated, and which failures are an outage of the store.

use rand::Rng as _;
use sardinepin_common::{Millis, Rng, seeded_rng};

use crate::settings::SyncSettings;
use crate::store::GatewayStoreError;

/// Delays calls after failures, and logs when the store is lost and when it recovers.
#[derive(Debug)]
pub(super) struct Backoff {
    /// What the calls read, for the log.
    object_kind: &'static str,
    retry_min: Millis,
    retry_max: Millis,
    rng: Rng,
    failures: u32,
    /// Whether the failures show that the store was out, so that entries may have expired there.
    outage: bool,
    /// When the last failed call began.
    failed_at: Millis,
}

impl Backoff {
    pub(super) fn new(settings: &SyncSettings, object_kind: &'static str) -> Self {
        Self {
            object_kind,
            retry_min: settings.retry_min,
            retry_max: settings.retry_max,
            rng: seeded_rng(settings.seed),
            failures: 0,
            outage: false,
            failed_at: Millis::ZERO,
        }
    }

    /// Limits the delay, before jitter.
    pub(super) fn with_retry_max(self, most: Millis) -> Self {
        Self {
            retry_max: self.retry_max.min(most),
            ..self
        }
    }

    /// Handles a successful call; returns when the last call before it began, if these calls show that the store was out.
    pub(super) fn handle_success(&mut self) -> Option<Millis> {
        if self.failures > 0 {
            log::info!(event = "store_back", reading = self.object_kind, failures = self.failures; "the store responds again");
        }
        self.failures = 0;
        std::mem::take(&mut self.outage).then_some(self.failed_at)
    }

    /// Handles a failed call that began at `began`, and waits before the next one.
    pub(super) async fn handle_failure(&mut self, began: Millis, error: &GatewayStoreError) {
        self.failures += 1;
        // Again and again, but less and less often, as long as it lasts.
        if self.failures.is_power_of_two() {
            log::warn!(event = "store_lost", reading = self.object_kind, failures = self.failures, error:% = error; "the store cannot be read");
        }
        if matches!(error, GatewayStoreError::Malformed(_)) {
            metrics::counter!("sardinepin_store_undecodable_total", "reading" => self.object_kind)
                .increment(1);
        }
        self.failed_at = began;
        self.outage |= match error {
            GatewayStoreError::TimedOut => true,
            // The store may cut off a single watch, so one such failure shows nothing.
            GatewayStoreError::Unavailable(_) => self.failures > 1,
            // The store has responded.
            GatewayStoreError::HistoryExpired | GatewayStoreError::Malformed(_) => false,
        };
        // A single broken watch is not an outage, and a call without response has taken long enough.
        if self.failures > 1 && *error != GatewayStoreError::TimedOut {
            let factor = 1 << self.failures.min(8);
            let pause = Millis(self.retry_min.0 * factor).min(self.retry_max);
            let delay = self.jitter(pause);
            tokio::time::sleep(delay.duration()).await;
        }
    }

    /// Returns a random time between 0.5 and 1.5 times `pause`, so that gateways of a deployment that
    /// start or fail together do not call the store together again.
    fn jitter(&mut self, pause: Millis) -> Millis {
        let half = pause.0 / 2;
        Millis(half + self.rng.random_range(0..=pause.0))
    }
}
