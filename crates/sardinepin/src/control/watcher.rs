//! Follows the configuration in the platform's store while this node is one of its zone's watchers.

use std::sync::Arc;

use rand::Rng as _;
use sardinepin_common::Millis;
use sardinepin_membership::{Input, ListedNode};
use sardinepin_store::{
    CONFIG_PREFIX, Instance, InstanceState, Store, StoreError, listing_update, watch_update,
};

use super::hub::Hub;

/// The shortest and the longest wait after the store could not be read.
const PAUSES: (Millis, Millis) = (Millis(200), Millis(2_000));

/// Reads the configuration once, then follows it whenever this node is chosen to.
pub(super) async fn follow(hub: Arc<Hub>) {
    let Some(store) = hub.store().map(Arc::clone) else {
        return;
    };
    let mut watching = hub.watching();
    loop {
        if watching.wait_for(|chosen| *chosen).await.is_err() {
            return;
        }
        tokio::select! {
            () = watch(&hub, store.as_ref()) => {}
            () = instances(&hub) => {}
            _ = watching.wait_for(|chosen| !*chosen) => {}
        }
    }
}

/// Reads the whole configuration once.
pub(super) async fn read(hub: &Arc<Hub>, store: &dyn Store) -> Result<(), StoreError> {
    let listing = store.list(CONFIG_PREFIX).await?;
    hub.publish("platform", &listing_update(listing));
    hub.note_read();
    Ok(())
}

async fn watch(hub: &Arc<Hub>, store: &dyn Store) {
    let mut pause = PAUSES.0;
    loop {
        match step(hub, store).await {
            Ok(()) => pause = PAUSES.0,
            Err(error) => {
                log::warn!(event = "platform_out", error:% = error; "the configuration cannot be read");
                let jitter = rand::rng().random_range(0..=pause.0 / 2);
                tokio::time::sleep((pause + Millis(jitter)).duration()).await;
                pause = (pause + pause).min(PAUSES.1);
            }
        }
    }
}

/// Reads all that there is, or waits for what is newer.
async fn step(hub: &Arc<Hub>, store: &dyn Store) -> Result<(), StoreError> {
    if !hub.has_read() {
        return read(hub, store).await;
    }
    let after = hub.revision();
    let wait = Millis(hub.settings.platform.watch_ms);
    let listing = store.watch(CONFIG_PREFIX, after, wait).await?;
    if listing.objects.is_empty() && listing.revision >= after {
        return Ok(());
    }
    hub.publish("platform", &watch_update(listing));
    Ok(())
}

/// Reads the instance list from time to time.
async fn instances(hub: &Arc<Hub>) {
    loop {
        read_instances(hub).await;
        let pause = Millis(hub.settings.platform.instances_ms);
        tokio::time::sleep(pause.duration()).await;
    }
}

/// Reads the instance list once; if it cannot be read, the last one stays.
pub(super) async fn read_instances(hub: &Arc<Hub>) {
    let Some(store) = hub.store() else { return };
    if let Ok(instances) = store.instances().await {
        let listed = instances.into_iter().filter_map(listed).collect();
        hub.input(Input::InstanceList(listed));
    }
}

fn listed(instance: Instance) -> Option<ListedNode> {
    if instance.state != InstanceState::Live {
        return None;
    }
    Some(ListedNode {
        address: instance.address.parse().ok()?,
        name: instance.name,
        role: instance.role,
        zone: instance.zone,
    })
}
