//! Shares the crashes of upstreams among gateways, as objects of the store.

use std::sync::Arc;

use sardinepin_common::{Clock, Millis};
use tokio::sync::mpsc::UnboundedReceiver;

use super::{Backoff, advance_revision, jitter};
use crate::crash_detection::CrashEvent;
use crate::crashes::Crash;
use crate::gateway::Gateway;
use crate::settings::SyncSettings;
use crate::store::{GatewayStore, ObjectBatch, StoreError, WriteFuture};

/// The longest that one watch waits; crashes are rare, and a lost watch delays them at most so long.
const WATCH_WAIT: Millis = Millis(15_000);

/// The time around which crashes are first read; what a gateway needs to serve comes before.
const FIRST_READ_DELAY: Millis = Millis(1_000);

/// How often a write without an answer is made; its repetition changes nothing.
const WRITE_ATTEMPTS: u32 = 3;

/// Looks into suspicions and writes what comes of them, for as long as the process lives.
pub(crate) async fn share_crashes(
    gateway: Arc<Gateway>,
    source: Arc<dyn GatewayStore>,
    mut events: UnboundedReceiver<CrashEvent>,
) {
    while let Some(event) = events.recv().await {
        match event {
            CrashEvent::Suspected { request, upstream } => {
                let crash = gateway.confirm_crash(request, &upstream).await;
                if let Some(crash) = crash {
                    write_with_retries(|| source.add_crash(&crash)).await;
                }
            }
            CrashEvent::Cleared(names) => remove_crashes(source.as_ref(), names).await,
        }
    }
}

/// Follows the crashes that other gateways saw, for as long as the process lives.
pub(crate) async fn follow_crashes(
    gateway: Arc<Gateway>,
    source: Arc<dyn GatewayStore>,
    settings: SyncSettings,
) {
    let mut revision = None;
    let mut backoff = Backoff::new(settings);
    tokio::time::sleep(jitter(FIRST_READ_DELAY).duration()).await;
    loop {
        let reading = match revision {
            None => source.crashes().await,
            Some(revision) => source.watch_crashes(revision, WATCH_WAIT).await,
        };
        match reading {
            Ok(reading) => {
                backoff.succeeded("crashes");
                advance_revision(&mut revision, &reading);
                apply_crashes(&gateway, reading);
            }
            Err(error) => {
                revision = None;
                backoff.failed("crashes", &error).await;
            }
        }
        let over = gateway.crashes().remove_expired(Clock::wall());
        remove_crashes(source.as_ref(), over).await;
    }
}

fn apply_crashes(gateway: &Gateway, reading: ObjectBatch<Crash>) {
    let mut crashes = gateway.crashes();
    for item in reading.items {
        let Some(crash) = item.value else {
            crashes.remove(&item.name);
            continue;
        };
        if crashes.add(crash.clone()) {
            log::info!(
                event = "suspect", digest:% = crash.request, upstream = &*crash.upstream,
                born = crash.started_at, revision = item.revision;
                "another gateway saw an upstream crash"
            );
        }
    }
}

async fn remove_crashes(source: &dyn GatewayStore, names: Vec<Arc<str>>) {
    for name in names {
        write_with_retries(|| source.remove_crash(&name)).await;
    }
}

/// Makes a write until it has an answer, but not for long: what is not shared now is shared when
/// the request crashes the next upstream.
async fn write_with_retries<'a>(write: impl Fn() -> WriteFuture<'a>) {
    let mut last: Option<StoreError> = None;
    for _ in 0..WRITE_ATTEMPTS {
        match write().await {
            Ok(()) => return,
            Err(error) => last = Some(error),
        }
    }
    if let Some(error) = last {
        log::warn!(event = "crash_unshared", error:% = error; "a crash could not be shared or forgotten");
    }
}
