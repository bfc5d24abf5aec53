//! Keeps the configuration, the list of upstreams and the crashes in step with the store.

mod backoff;
mod cold_entry;
mod crashes;
mod departures;
mod doubt;
mod evacuations;
mod follow_upstreams;
mod position;
#[cfg(test)]
mod tests;
mod upstreams;

use std::sync::Arc;

use sardinepin_common::Millis;

use crate::gateway::Gateway;
use crate::manifest::Manifest;
use crate::route_table::RouteTable;
use crate::settings::SyncSettings;
use crate::store::{GatewayStore, ObjectBatch};
use crate::sync::backoff::Backoff;
use crate::sync::position::{BatchUse, Position};

pub(crate) use crashes::{follow_crashes, share_crashes};
pub(crate) use evacuations::follow_evacuations;
pub use evacuations::{EvacuationList, evacuation_wait};
pub(crate) use follow_upstreams::follow_upstreams;
pub use upstreams::UpstreamList;

/// Watches the configuration until the process ends.
pub(crate) async fn follow_manifest(
    gateway: Arc<Gateway>,
    store: Arc<dyn GatewayStore>,
    settings: SyncSettings,
) {
    let mut position = Position::default();
    let mut backoff = Backoff::new(&settings, "manifest");
    // A version that one watch misses is returned as soon as the next one begins, from the same revision.
    let wait = settings.manifest.wait(Millis::ZERO);
    loop {
        let began = gateway.clock.now();
        let batch = match position.revision() {
            None => store.manifest().await,
            Some(revision) => store.watch_manifest(revision, wait).await,
        };
        match batch {
            Ok(batch) => {
                backoff.handle_success();
                if position.advance(gateway.clock.now(), &batch) == BatchUse::Discard {
                    continue;
                }
                let changed = !batch.items.is_empty();
                let has_table = apply_manifest(&gateway, batch);
                if changed || !has_table {
                    tokio::time::sleep(settings.manifest.pause.duration()).await;
                }
            }
            Err(error) => {
                position.reset();
                backoff.handle_failure(began, &error).await;
            }
        }
    }
}

/// Applies a batch; returns whether a configuration is known.
///
/// A store that came back from an older copy returns an older version, which is ignored: the
/// configuration in force never goes back while the process lives.
fn apply_manifest(gateway: &Gateway, batch: ObjectBatch<Manifest>) -> bool {
    for item in batch.items {
        let Some(manifest) = item.value else {
            continue;
        };
        let version = manifest.version;
        let services = manifest.services.clone();
        if gateway.apply_table(RouteTable::new(manifest)) {
            gateway.dispatcher.set_cold_services(&services);
            log::info!(event = "configuration", version = version, revision = item.revision; "configuration applied");
        }
    }
    gateway.table().is_some()
}
