//! Shares upstream crashes among gateways, as objects of the store.

use std::collections::VecDeque;
use std::sync::Arc;

use sardinepin_common::{Clock, Map, Millis};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use crate::crash_detection::CrashEvent;
use crate::gateway::Gateway;
use crate::settings::SyncSettings;
use crate::store::{GatewayStore, GatewayStoreError, ObjectBatch};
use crate::sync::backoff::Backoff;
use crate::sync::position::{BatchUse, Position};
use sardinepin_decisions::direct::{CRASH_RETENTION, Crash};

/// The longest time that one watch waits. Crashes are rare; a watch that an outage of the store may have cost its response is given up
/// when the outage ends.
const WATCH_WAIT: Millis = Millis(25_000);

/// The interval between two attempts to write what the store has not taken.
const WRITE_RETRY_INTERVAL: Millis = Millis(500);

/// The maximum number of writes that wait for the store.
const UNSENT_MAX: usize = 1_024;

/// How many names of removed crashes are remembered.
const REMOVED_MAX: usize = 256;

/// Writes crashes to the store and removes them there until the process ends.
pub(crate) async fn share_crashes(
    store: Arc<dyn GatewayStore>,
    mut events: UnboundedReceiver<CrashEvent>,
) {
    let mut written = WrittenCrashes::default();
    let mut unsent = UnsentWrites::default();
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            () = tokio::time::sleep(WRITE_RETRY_INTERVAL.duration()), if !unsent.is_empty() => {
                unsent.send(store.as_ref()).await;
                continue;
            }
        };
        match event {
            Some(CrashEvent::Seen(crash)) => {
                unsent.add(crash.clone());
                written.record_added(crash);
            }
            Some(CrashEvent::Removed(names)) => {
                written.record_removed(&names);
                unsent.remove_all(names);
            }
            Some(CrashEvent::StoreRestored(listed)) => {
                for crash in written.lost(Clock::wall_time(), &listed) {
                    unsent.add(crash);
                }
                unsent.remove_all(written.restored(&listed));
            }
            Some(CrashEvent::ClaimProbe { name, granted }) => {
                tokio::spawn(claim_probe(Arc::clone(&store), name, granted));
                continue;
            }
            None => return,
        }
        unsent.send(store.as_ref()).await;
    }
}

/// Claims the test of a culprit, and removes the claim when the evidence has expired.
async fn claim_probe(store: Arc<dyn GatewayStore>, name: Arc<str>, granted: oneshot::Sender<bool>) {
    // A request that waited too long is held back, and needs no test any more.
    if granted.is_closed() {
        return;
    }
    match store.claim_probe(&name).await {
        Ok(true) => {
            // A claim without a request is left to another gateway at once.
            if granted.send(true).is_ok() {
                tokio::time::sleep(CRASH_RETENTION.duration()).await;
            }
            if let Err(error) = store.remove_probe(&name).await {
                log::debug!(event = "probe_kept", test = &*name, error:% = error; "a claim stays in the store");
            }
        }
        Ok(false) => {
            let _ = granted.send(false);
        }
        Err(error) => {
            log::debug!(event = "probe_unclaimed", test = &*name, error:% = error; "a test cannot be claimed");
        }
    }
}

/// A write that the store has not confirmed. Repeating it changes nothing.
#[derive(Debug)]
enum CrashWrite {
    Add(Crash),
    Remove(Arc<str>),
}

impl CrashWrite {
    fn name(&self) -> Arc<str> {
        match self {
            Self::Add(crash) => crash.name(),
            Self::Remove(name) => Arc::clone(name),
        }
    }

    async fn send(&self, store: &dyn GatewayStore) -> Result<(), GatewayStoreError> {
        match self {
            Self::Add(crash) if crash.expires_at <= Clock::wall_time() => Ok(()),
            Self::Add(crash) => store.add_crash(crash).await,
            Self::Remove(name) => store.remove_crash(name).await,
        }
    }
}

/// The writes that the store has not confirmed, at most one for each name. They are kept while the
/// store is away.
#[derive(Debug, Default)]
struct UnsentWrites {
    writes: VecDeque<CrashWrite>,
    failing: bool,
}

impl UnsentWrites {
    fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    fn add(&mut self, crash: Crash) {
        self.push(CrashWrite::Add(crash));
    }

    fn remove_all(&mut self, names: Vec<Arc<str>>) {
        for name in names {
            self.push(CrashWrite::Remove(name));
        }
    }

    fn push(&mut self, write: CrashWrite) {
        let name = write.name();
        self.writes.retain(|waiting| waiting.name() != name);
        if self.writes.len() >= UNSENT_MAX {
            self.writes.pop_front();
        }
        self.writes.push_back(write);
    }

    /// Sends the writes in order until one fails, which then goes last.
    async fn send(&mut self, store: &dyn GatewayStore) {
        while let Some(write) = self.writes.pop_front() {
            let Err(error) = write.send(store).await else {
                self.failing = false;
                continue;
            };
            if !self.failing {
                log::warn!(event = "crash_unshared", error:% = error; "a crash could not be added to the store or removed from it; trying again");
            }
            self.failing = true;
            self.writes.push_back(write);
            return;
        }
    }
}

/// What this gateway has written to the store, so that it can be written again after the store came
/// back from an older copy.
#[derive(Debug, Default)]
struct WrittenCrashes {
    added: Map<Arc<str>, Crash>,
    /// The names of removed crashes, the newest last.
    removed: VecDeque<Arc<str>>,
}

impl WrittenCrashes {
    fn record_added(&mut self, crash: Crash) {
        self.added.insert(crash.name(), crash);
    }

    fn record_removed(&mut self, names: &[Arc<str>]) {
        for name in names {
            self.added.remove(name);
            self.removed.push_back(Arc::clone(name));
        }
        let excess = self.removed.len().saturating_sub(REMOVED_MAX);
        self.removed.drain(..excess);
    }

    /// Returns the crashes that the store has lost; forgets the expired ones.
    fn lost(&mut self, now: Millis, listed: &[Arc<str>]) -> Vec<Crash> {
        self.added.retain(|_, crash| crash.expires_at > now);
        let lost = self.added.iter().filter(|(name, _)| !listed.contains(name));
        lost.map(|(_, crash)| crash.clone()).collect()
    }

    /// Returns the names of removed crashes that the store holds again.
    fn restored(&self, listed: &[Arc<str>]) -> Vec<Arc<str>> {
        let restored = self.removed.iter().filter(|name| listed.contains(name));
        restored.map(Arc::clone).collect()
    }
}

/// Watches the crashes seen by other gateways until the process ends.
pub(crate) async fn follow_crashes(
    gateway: Arc<Gateway>,
    store: Arc<dyn GatewayStore>,
    settings: SyncSettings,
) {
    let mut position = Position::default();
    let mut backoff = Backoff::new(&settings, "crashes");
    let mut outage_ends = gateway.outage_ends();
    loop {
        let began = gateway.clock.now();
        let batch = match position.revision() {
            None => store.crashes().await,
            Some(revision) => tokio::select! {
                batch = store.watch_crashes(revision, WATCH_WAIT) => batch,
                _ = outage_ends.changed() => {
                    position.reset();
                    continue;
                }
            },
        };
        match batch {
            Ok(batch) => {
                backoff.handle_success();
                match position.advance(gateway.clock.now(), &batch) {
                    BatchUse::Discard => continue,
                    BatchUse::ReplaceAfterRestore => {
                        let listed = batch.items.iter().map(|item| Arc::clone(&item.name));
                        gateway.send_crash_event(CrashEvent::StoreRestored(listed.collect()));
                    }
                    BatchUse::Replace | BatchUse::Apply => {}
                }
                apply_crashes(&gateway, batch);
                gateway.set_crashes_known();
            }
            Err(error) => {
                position.reset();
                backoff.handle_failure(began, &error).await;
            }
        }
        let expired = gateway.crashes().remove_expired(Clock::wall_time());
        if !expired.is_empty() {
            gateway.send_crash_event(CrashEvent::Removed(expired));
        }
    }
}

fn apply_crashes(gateway: &Gateway, batch: ObjectBatch<Crash>) {
    let mut crashes = gateway.crashes();
    for item in batch.items {
        let Some(crash) = item.value else {
            if crashes.remove(&item.name) {
                log::info!(event = "crash_removed", crash = &*item.name, revision = item.revision; "a shared crash was removed");
            }
            continue;
        };
        if crashes.add(gateway.clock.now(), &crash) {
            let tally = crashes.tally(&crash.request);
            log::info!(
                event = "suspect", digest:% = crash.request, doubtful = crash.parts.unanswered.len(),
                upstream = &*crash.upstream, born = crash.started_at, revision = item.revision,
                known = tally.known, counted = tally.counted;
                "another gateway reported an upstream crash"
            );
        }
    }
}
