//! Follows the configuration and the list of upstreams.

mod crashes;
mod upstreams;

use std::sync::Arc;

use rand::Rng as _;
use sardinepin_common::Millis;

use crate::gateway::Gateway;
use crate::manifest::Manifest;
use crate::route_table::RouteTable;
use crate::settings::SyncSettings;
use crate::store::{GatewayStore, ObjectBatch, StoreError};

pub(crate) use crashes::{follow_crashes, share_crashes};
pub use upstreams::UpstreamList;

/// Follows the configuration for as long as the process lives.
pub(crate) async fn follow_manifest(
    gateway: Arc<Gateway>,
    source: Arc<dyn GatewayStore>,
    settings: SyncSettings,
) {
    let mut revision = None;
    let mut backoff = Backoff::new(settings);
    loop {
        let reading = match revision {
            None => source.manifest().await,
            Some(revision) => {
                source
                    .watch_manifest(revision, settings.manifest_wait)
                    .await
            }
        };
        match reading {
            Ok(reading) => {
                backoff.succeeded("manifest");
                let changed = !reading.items.is_empty();
                let known = apply_manifest(&gateway, reading, &mut revision);
                if !known {
                    // There is no configuration yet, so it is looked for again.
                    revision = None;
                }
                if changed || !known {
                    tokio::time::sleep(settings.manifest_pause.duration()).await;
                }
            }
            Err(error) => {
                revision = None;
                backoff.failed("manifest", &error).await;
            }
        }
    }
}

/// Takes over what was read; returns whether a configuration is known.
fn apply_manifest(
    gateway: &Gateway,
    reading: ObjectBatch<Manifest>,
    revision: &mut Option<u64>,
) -> bool {
    advance_revision(revision, &reading);
    for item in reading.items {
        let Some(manifest) = item.value else {
            continue;
        };
        let version = manifest.version;
        if gateway.apply_table(RouteTable::new(manifest)) {
            log::info!(event = "configuration", version = version, revision = item.revision; "configuration taken");
        }
    }
    gateway.table().is_some()
}

/// Sets the revision from which the next watch goes on.
///
/// A watch may end empty although there were changes, while the store drops its history. So the
/// revision only moves with what was read, and such changes come, or are asked for anew, later.
fn advance_revision<T>(revision: &mut Option<u64>, reading: &ObjectBatch<T>) {
    if revision.is_none() || !reading.items.is_empty() {
        *revision = Some(reading.revision);
    }
}

/// Follows the list of upstreams for as long as the process lives.
pub(crate) async fn follow_upstreams(
    gateway: Arc<Gateway>,
    source: Arc<dyn GatewayStore>,
    settings: SyncSettings,
) {
    let mut list = UpstreamList::new(settings.recovery_grace);
    let mut revision = None;
    let mut backoff = Backoff::new(settings);
    loop {
        let reading = match revision {
            None => source.upstreams().await,
            Some(revision) => {
                source
                    .watch_upstreams(revision, settings.upstreams_wait)
                    .await
            }
        };
        let now = gateway.clock.now();
        match reading {
            Ok(reading) => {
                if backoff.succeeded("upstreams") {
                    list.store_recovered(now);
                }
                let whole = revision.is_none();
                advance_revision(&mut revision, &reading);
                if whole {
                    list.replace_all(now, reading.items);
                } else {
                    list.apply_changes(now, reading.items);
                }
            }
            Err(error) => {
                revision = None;
                backoff.failed("upstreams", &error).await;
                continue;
            }
        }
        if let Some(specs) = list.take_changed(gateway.clock.now()) {
            log::info!(event = "upstreams", count = specs.len(), revision = revision; "list of upstreams taken");
            gateway.dispatcher.replace_upstreams(&specs);
            gateway.set_upstreams_known();
        }
        tokio::time::sleep(settings.upstreams_pause.duration()).await;
    }
}

/// Returns a time between half of `pause` and one and a half of it, so that the gateways of a
/// deployment that start or fail together do not call together again.
fn jitter(pause: Millis) -> Millis {
    let half = pause.0 / 2;
    Millis(half + rand::rng().random_range(0..=pause.0))
}

/// The pauses after failed calls, and the log lines at the loss and the return of the store.
#[derive(Debug)]
struct Backoff {
    settings: SyncSettings,
    failures: u32,
}

impl Backoff {
    fn new(settings: SyncSettings) -> Self {
        Self {
            settings,
            failures: 0,
        }
    }

    /// Counts a call that succeeded; returns whether calls had failed before.
    fn succeeded(&mut self, what: &str) -> bool {
        let was_failing = self.failures > 0;
        if was_failing {
            log::info!(event = "store_back", reading = what, failures = self.failures; "the store answers again");
        }
        self.failures = 0;
        was_failing
    }

    /// Counts a call that failed, and waits before the next.
    async fn failed(&mut self, what: &str, error: &StoreError) {
        if self.failures == 0 {
            log::warn!(event = "store_lost", reading = what, error:% = error; "the store cannot be read");
        }
        self.failures += 1;
        // A watch that was cut is no outage yet, so the first try follows at once.
        if self.failures > 1 {
            let factor = 1 << self.failures.min(8);
            let pause = Millis(self.settings.retry_min.0 * factor).min(self.settings.retry_max);
            tokio::time::sleep(jitter(pause).duration()).await;
        }
    }
}
