//! Quarantined requests, shared among entries as objects of the configuration.
//!
//! Quarantines are rare, so they ride on the spread of the configuration. With the platform out,
//! an entry keeps its own.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Clock, Map, Millis};
use sardinepin_config::Snapshot;
use sardinepin_decisions::Event;
use sardinepin_protocol::Digest;
use sardinepin_store::{ConditionalWrite, Precondition, Store, write_and_confirm};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};

use crate::entry::core::Core;

/// The kind of object under which quarantines are kept.
const KIND: &str = "quarantine/";

/// Where the configuration's objects stand in the store.
const CONFIG_PREFIX: &str = "config/";

/// One quarantine.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Record {
    /// When it ends, by the wall clock.
    until: Millis,
}

/// The quarantines that an entry holds.
#[derive(Debug, Clone)]
pub(crate) struct Quarantine {
    held: Arc<Mutex<Map<Digest, Record>>>,
    store: Option<Arc<dyn Store>>,
    core: Core,
}

impl Quarantine {
    /// Starts sharing what the balancer holds back, and taking in what other entries do.
    pub(crate) fn start(
        core: Core,
        store: Option<Arc<dyn Store>>,
        found: mpsc::UnboundedReceiver<(Digest, Millis)>,
        snapshots: watch::Receiver<Arc<Snapshot>>,
    ) -> Self {
        let quarantine = Self {
            held: Arc::default(),
            store,
            core,
        };
        tokio::spawn(quarantine.clone().share(found));
        tokio::spawn(quarantine.clone().take_in(snapshots));
        quarantine
    }

    /// Returns the digests that are held back and the time left.
    pub(crate) fn held(&self) -> Vec<(Digest, Millis)> {
        let now = Clock::wall_time();
        let held = self.records();
        held.iter()
            .map(|(digest, record)| (*digest, record.until.since(now)))
            .filter(|(_, left)| *left > Millis::ZERO)
            .collect()
    }

    /// Lifts a quarantine here and at the others; returns whether there was one.
    pub(crate) async fn lift(&self, digest: Digest) -> bool {
        let found = self.records().remove(&digest).is_some();
        self.core.tell(Event::QuarantineLifted(digest));
        self.delete(digest).await || found
    }

    async fn share(self, mut found: mpsc::UnboundedReceiver<(Digest, Millis)>) {
        while let Some((digest, left)) = found.recv().await {
            let record = Record {
                until: Clock::wall_time() + left,
            };
            self.records().insert(digest, record);
            self.write(digest, record).await;
            tokio::spawn(self.clone().expire(digest, left));
        }
    }

    async fn expire(self, digest: Digest, left: Millis) {
        tokio::time::sleep(left.duration()).await;
        let over = self
            .records()
            .get(&digest)
            .is_some_and(|record| record.until <= Clock::wall_time());
        if over {
            self.records().remove(&digest);
            self.delete(digest).await;
        }
    }

    async fn take_in(self, mut snapshots: watch::Receiver<Arc<Snapshot>>) {
        loop {
            let snapshot = Arc::clone(&snapshots.borrow_and_update());
            self.compare(&snapshot);
            if snapshots.changed().await.is_err() {
                return;
            }
        }
    }

    /// Tells the balancer of quarantines that are new in the configuration, or were lifted.
    fn compare(&self, snapshot: &Snapshot) {
        let now = Clock::wall_time();
        let mut added = Vec::new();
        for entry in snapshot.entries_with_prefix(KIND) {
            let Some(digest) = Digest::parse(entry.key.trim_start_matches(KIND)) else {
                continue;
            };
            let Some(value) = &entry.value else {
                if self.records().remove(&digest).is_some() {
                    self.core.tell(Event::QuarantineLifted(digest));
                }
                continue;
            };
            let Ok(record) = serde_json::from_str::<Record>(value) else {
                continue;
            };
            let left = record.until.since(now);
            if left > Millis::ZERO && self.records().insert(digest, record).is_none() {
                added.push((digest, left));
            }
        }
        if !added.is_empty() {
            self.core.tell(Event::Quarantined(added));
        }
    }

    async fn write(&self, digest: Digest, record: Record) {
        let Some(store) = &self.store else { return };
        let value = serde_json::to_string(&record).unwrap_or_default();
        let change = ConditionalWrite {
            key: &key(digest),
            precondition: Precondition::Absent,
            write_id: &write_id(),
            value: Some(&value),
        };
        if let Err(error) = write_and_confirm(store.as_ref(), change).await {
            log::warn!(event = "quarantine_not_shared", error:% = error; "a quarantine was not shared");
        }
    }

    /// Deletes the shared quarantine; returns whether there was one.
    async fn delete(&self, digest: Digest) -> bool {
        let Some(store) = &self.store else {
            return false;
        };
        let key = key(digest);
        let Ok(Some(object)) = store.get(&key).await else {
            return false;
        };
        let change = ConditionalWrite {
            key: &key,
            precondition: Precondition::Revision(object.revision),
            write_id: &write_id(),
            value: None,
        };
        store.put(change).await.is_ok()
    }

    fn records(&self) -> MutexGuard<'_, Map<Digest, Record>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn key(digest: Digest) -> String {
    format!("{CONFIG_PREFIX}{KIND}{digest}")
}

fn write_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}
