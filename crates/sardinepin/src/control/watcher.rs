//! Watches the configuration in the platform's store while this node is one of its zone's watchers.

use std::sync::Arc;

use rand::Rng as _;
use sardinepin_common::Millis;
use sardinepin_membership::{Input, ListedNode};
use sardinepin_store::{
    CONFIG_PREFIX, Instance, InstanceState, Store, StoreError, listing_update, watch_update,
};

use super::state::ControlState;

/// The minimum and maximum delay, before jitter, after a failed read of the store.
const RETRY_DELAYS: (Millis, Millis) = (Millis(200), Millis(2_000));

/// Watches the configuration and the instance list whenever this node is a watcher.
pub(super) async fn run(state: Arc<ControlState>) {
    let Some(store) = state.store().map(Arc::clone) else {
        return;
    };
    let mut watching = state.watching();
    loop {
        if watching.wait_for(|watching| *watching).await.is_err() {
            return;
        }
        tokio::select! {
            () = watch_configuration(&state, store.as_ref()) => {}
            () = poll_instances(&state) => {}
            _ = watching.wait_for(|watching| !*watching) => {}
        }
    }
}

/// Reads the whole configuration and applies it.
pub(super) async fn read_configuration(
    state: &Arc<ControlState>,
    store: &dyn Store,
) -> Result<(), StoreError> {
    let listing = store.list(CONFIG_PREFIX).await?;
    state.apply_update("platform", &listing_update(listing));
    state.set_platform_read();
    Ok(())
}

async fn watch_configuration(state: &Arc<ControlState>, store: &dyn Store) {
    let mut delay = RETRY_DELAYS.0;
    loop {
        match read_or_watch(state, store).await {
            Ok(()) => delay = RETRY_DELAYS.0,
            Err(error) => {
                log::warn!(event = "platform_out", error:% = error; "cannot read the configuration; retrying");
                let jitter = rand::rng().random_range(0..=delay.0 / 2);
                tokio::time::sleep((delay + Millis(jitter)).duration()).await;
                delay = (delay + delay).min(RETRY_DELAYS.1);
            }
        }
    }
}

/// Reads the whole configuration the first time; after that, waits for newer objects.
async fn read_or_watch(state: &Arc<ControlState>, store: &dyn Store) -> Result<(), StoreError> {
    if !state.has_read_platform() {
        return read_configuration(state, store).await;
    }
    let after = state.revision();
    let wait = Millis(state.settings.platform.watch_ms);
    let listing = store.watch(CONFIG_PREFIX, after, wait).await?;
    if listing.objects.is_empty() && listing.revision >= after {
        return Ok(());
    }
    state.apply_update("platform", &watch_update(listing));
    Ok(())
}

/// Reads the instance list at the configured interval.
async fn poll_instances(state: &Arc<ControlState>) {
    loop {
        read_instances(state).await;
        let delay = Millis(state.settings.platform.instances_ms);
        tokio::time::sleep(delay.duration()).await;
    }
}

/// Reads the instance list once; on failure, the last list stays in use.
pub(super) async fn read_instances(state: &Arc<ControlState>) {
    let Some(store) = state.store() else { return };
    if let Ok(instances) = store.instances().await {
        let listed = instances.into_iter().filter_map(listed_node).collect();
        state.handle(Input::InstanceList(listed));
    }
}

fn listed_node(instance: Instance) -> Option<ListedNode> {
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
