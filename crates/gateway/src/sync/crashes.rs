//! Shares upstream crashes among gateways, as objects of the store.

use std::sync::Arc;

use sardinepin_common::{Clock, Millis};
use tokio::sync::mpsc::UnboundedReceiver;

use super::{Backoff, advance_revision, jitter};
use crate::crash_detection::CrashEvent;
use crate::crashes::Crash;
use crate::gateway::Gateway;
use crate::settings::SyncSettings;
use crate::store::{GatewayStore, GatewayStoreError, ObjectBatch, WriteFuture};

/// The longest time that one watch waits. Crashes are rare, and a lost watch delays them at most
/// this long.
const WATCH_WAIT: Millis = Millis(15_000);

/// The mean of the random delay before crashes are first read, so that what a gateway needs to serve
/// is read first.
const FIRST_READ_DELAY: Millis = Millis(1_000);

/// The number of attempts of a write; repeating it changes nothing.
const WRITE_ATTEMPTS: u32 = 3;

/// Confirms suspected crashes and adds or removes their objects until the process ends.
pub(crate) async fn share_crashes(
    gateway: Arc<Gateway>,
    store: Arc<dyn GatewayStore>,
    mut events: UnboundedReceiver<CrashEvent>,
) {
    while let Some(event) = events.recv().await {
        match event {
            CrashEvent::Suspected { request, upstream } => {
                let crash = gateway.confirm_crash(request, &upstream).await;
                if let Some(crash) = crash {
                    write_with_retries(|| store.add_crash(&crash)).await;
                }
            }
            CrashEvent::Cleared(names) => remove_crashes(store.as_ref(), names).await,
        }
    }
}

/// Watches the crashes seen by other gateways until the process ends.
pub(crate) async fn follow_crashes(
    gateway: Arc<Gateway>,
    store: Arc<dyn GatewayStore>,
    settings: SyncSettings,
) {
    let mut revision = None;
    let mut backoff = Backoff::new(settings);
    tokio::time::sleep(jitter(FIRST_READ_DELAY).duration()).await;
    loop {
        let batch = match revision {
            None => store.crashes().await,
            Some(revision) => store.watch_crashes(revision, WATCH_WAIT).await,
        };
        match batch {
            Ok(batch) => {
                backoff.handle_success("crashes");
                advance_revision(&mut revision, &batch);
                apply_crashes(&gateway, batch);
            }
            Err(error) => {
                revision = None;
                backoff.handle_failure("crashes", &error).await;
            }
        }
        let expired = gateway.crashes().remove_expired(Clock::wall_time());
        remove_crashes(store.as_ref(), expired).await;
    }
}

fn apply_crashes(gateway: &Gateway, batch: ObjectBatch<Crash>) {
    let mut crashes = gateway.crashes();
    for item in batch.items {
        let Some(crash) = item.value else {
            crashes.remove(&item.name);
            continue;
        };
        if crashes.add(crash.clone()) {
            log::info!(
                event = "suspect", digest:% = crash.request, upstream = &*crash.upstream,
                born = crash.started_at, revision = item.revision;
                "another gateway reported an upstream crash"
            );
        }
    }
}

async fn remove_crashes(store: &dyn GatewayStore, names: Vec<Arc<str>>) {
    for name in names {
        write_with_retries(|| store.remove_crash(&name)).await;
    }
}

/// Repeats a write until it succeeds, at most `WRITE_ATTEMPTS` times. A crash that is not shared
/// now is shared when the request crashes the next upstream.
async fn write_with_retries<'a>(write: impl Fn() -> WriteFuture<'a>) {
    let mut last_error: Option<GatewayStoreError> = None;
    for _ in 0..WRITE_ATTEMPTS {
        match write().await {
            Ok(()) => return,
            Err(error) => last_error = Some(error),
        }
    }
    if let Some(error) = last_error {
        log::warn!(event = "crash_unshared", error:% = error; "a crash could not be added to the store or removed from it");
    }
}
