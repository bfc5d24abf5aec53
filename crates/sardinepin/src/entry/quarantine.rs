//! Quarantined requests, which entries share as objects of the configuration.
//!
//! Quarantines are rare, so they are distributed along with the configuration. While the platform
//! is unavailable, a new quarantine applies only to the entry that started it; it is shared once the
//! platform is back.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sardinepin_common::{Clock, Map, Millis};
use sardinepin_config::Snapshot;
use sardinepin_decisions::Event;
use sardinepin_protocol::Digest;
use sardinepin_store::{ConditionalWrite, Precondition, Store, StoreError, write_and_confirm};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};

use crate::entry::balancer::BalancerHandle;

/// The key prefix of quarantines within the configuration.
const QUARANTINE_PREFIX: &str = "quarantine/";

/// The key prefix of the configuration's objects in the store.
const CONFIG_PREFIX: &str = "config/";

/// The interval between two attempts to write a quarantine.
const WRITE_RETRY_INTERVAL: Millis = Millis(1_000);

/// The stored value of a quarantine; its key holds the request's digest.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct QuarantineRecord {
    /// The end of the quarantine, in wall-clock milliseconds.
    until: Millis,
}

/// The quarantines that are known to an entry.
#[derive(Debug, Clone)]
pub(crate) struct Quarantine {
    records: Arc<Mutex<Map<Digest, QuarantineRecord>>>,
    store: Option<Arc<dyn Store>>,
    balancer: BalancerHandle,
}

impl Quarantine {
    /// Starts publishing the quarantines of this entry's balancer and applying those of other
    /// entries.
    pub(crate) fn start(
        balancer: BalancerHandle,
        store: Option<Arc<dyn Store>>,
        quarantined: mpsc::UnboundedReceiver<(Digest, Millis)>,
        snapshots: watch::Receiver<Arc<Snapshot>>,
    ) -> Self {
        let quarantine = Self {
            records: Arc::default(),
            store,
            balancer,
        };
        tokio::spawn(quarantine.clone().publish_all(quarantined));
        tokio::spawn(quarantine.clone().follow_config(snapshots));
        quarantine
    }

    /// Returns the digests in quarantine and their remaining time.
    pub(crate) fn active(&self) -> Vec<(Digest, Millis)> {
        let now = Clock::wall_time();
        let records = self.lock_records();
        records
            .iter()
            .map(|(digest, record)| (*digest, record.until.since(now)))
            .filter(|(_, remaining)| *remaining > Millis::ZERO)
            .collect()
    }

    /// Lifts a quarantine here and in the shared configuration; returns whether there was one.
    pub(crate) async fn lift(&self, digest: Digest) -> bool {
        let existed = self.lock_records().remove(&digest).is_some();
        self.balancer.notify(Event::QuarantineLifted(digest));
        self.delete(digest).await || existed
    }

    async fn publish_all(self, mut quarantined: mpsc::UnboundedReceiver<(Digest, Millis)>) {
        while let Some((digest, remaining)) = quarantined.recv().await {
            let record = QuarantineRecord {
                until: Clock::wall_time() + remaining,
            };
            self.lock_records().insert(digest, record);
            tokio::spawn(self.clone().share(digest, record));
            tokio::spawn(self.clone().expire(digest, remaining));
        }
    }

    /// Writes a quarantine to the store; repeats that until it succeeds or the quarantine has ended.
    async fn share(self, digest: Digest, record: QuarantineRecord) {
        while self.lock_records().contains_key(&digest) {
            if self.write(digest, record).await {
                return;
            }
            tokio::time::sleep(WRITE_RETRY_INTERVAL.duration()).await;
        }
    }

    async fn expire(self, digest: Digest, remaining: Millis) {
        tokio::time::sleep(remaining.duration()).await;
        let expired = self
            .lock_records()
            .get(&digest)
            .is_some_and(|record| record.until <= Clock::wall_time());
        if expired {
            self.lock_records().remove(&digest);
            self.delete(digest).await;
        }
    }

    async fn follow_config(self, mut snapshots: watch::Receiver<Arc<Snapshot>>) {
        loop {
            let snapshot = Arc::clone(&snapshots.borrow_and_update());
            self.apply_snapshot(&snapshot);
            if snapshots.changed().await.is_err() {
                return;
            }
        }
    }

    /// Notifies the balancer of quarantines that the configuration adds or lifts.
    fn apply_snapshot(&self, snapshot: &Snapshot) {
        let now = Clock::wall_time();
        let mut added = Vec::new();
        for config_entry in snapshot.entries_with_prefix(QUARANTINE_PREFIX) {
            let Some(digest) =
                Digest::parse(config_entry.key.trim_start_matches(QUARANTINE_PREFIX))
            else {
                continue;
            };
            let Some(value) = &config_entry.value else {
                if self.lock_records().remove(&digest).is_some() {
                    self.balancer.notify(Event::QuarantineLifted(digest));
                }
                continue;
            };
            let Ok(record) = serde_json::from_str::<QuarantineRecord>(value) else {
                continue;
            };
            let remaining = record.until.since(now);
            if remaining > Millis::ZERO && self.lock_records().insert(digest, record).is_none() {
                added.push((digest, remaining));
            }
        }
        if !added.is_empty() {
            self.balancer.notify(Event::Quarantined(added));
        }
    }

    /// Writes a quarantine to the store, if there is one; returns whether it is there now.
    async fn write(&self, digest: Digest, record: QuarantineRecord) -> bool {
        let Some(store) = &self.store else {
            return true;
        };
        let value = serde_json::to_string(&record).unwrap_or_default();
        let change = ConditionalWrite {
            key: &key(digest),
            precondition: Precondition::Absent,
            write_id: &write_id(),
            value: Some(&value),
        };
        match write_and_confirm(store.as_ref(), change).await {
            // A conflict means that another entry has written it.
            Ok(_) | Err(StoreError::Conflict(_)) => true,
            Err(error) => {
                log::warn!(event = "quarantine_not_shared", error:% = error; "cannot share a quarantine with other entries; trying again");
                false
            }
        }
    }

    /// Deletes a quarantine from the store. Returns `false` if there was none or the store did not
    /// confirm the deletion.
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

    fn lock_records(&self) -> MutexGuard<'_, Map<Digest, QuarantineRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn key(digest: Digest) -> String {
    format!("{CONFIG_PREFIX}{QUARANTINE_PREFIX}{digest}")
}

fn write_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}
