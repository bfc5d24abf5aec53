//! Watches which availability zones are evacuated.

use std::sync::Arc;

use sardinepin_common::{Map, Millis, Set};

use crate::gateway::Gateway;
use crate::settings::{EvacuationSettings, SyncSettings};
use crate::store::{GatewayStore, ObjectBatch, StoredObject};
use crate::sync::backoff::Backoff;
use crate::sync::position::{BatchUse, Position};

/// How long a zone stays evacuated whose object an older copy of the store lacks, unless it is written again or removed: its operator
/// may have taken it back in the time that the store has lost, and nobody would ever say so.
const RESTORE_RETENTION: Millis = Millis(60_000);

/// The evacuated zones that a gateway knows, built from batches of the store.
#[derive(Debug, Default)]
pub struct EvacuationList {
    zones: Map<Arc<str>, Evacuation>,
    /// The era of the last full read.
    era: Option<u64>,
    /// Whether the last full read lacked a zone that is kept.
    keeps_unlisted: bool,
}

/// What is known of the evacuation of a zone.
#[derive(Debug, Clone, Copy)]
struct Evacuation {
    /// The revision of the last read that contained it.
    revision: u64,
    /// When the store came back from an older copy, if it has not listed the zone since. Revisions say nothing then: other objects
    /// are written again, too.
    restored_at: Option<Millis>,
}

impl Evacuation {
    fn listed_at(revision: u64) -> Self {
        Self {
            revision,
            restored_at: None,
        }
    }

    /// Returns whether the zone stays evacuated although a full read of `revision` lacks it.
    fn outlives(self, now: Millis, revision: u64) -> bool {
        match self.restored_at {
            Some(restored_at) => now.since(restored_at) < RESTORE_RETENTION,
            None => revision <= self.revision,
        }
    }
}

impl EvacuationList {
    /// Replaces the list by a full read.
    ///
    /// A zone that the read lacks is kept unless the read is newer than the last one that had it. After the store has come back from an
    /// older copy, which may have lost the object, it is kept until the store lists the zone again, or for [`RESTORE_RETENTION`].
    pub fn replace_all(&mut self, now: Millis, batch: ObjectBatch<()>) {
        if self.era.is_some_and(|era| era < batch.era) {
            for zone in self.zones.values_mut() {
                zone.restored_at.get_or_insert(now);
            }
        }
        self.era = Some(batch.era);
        let listed = batch.items.into_iter().filter(is_in_force);
        let listed: Set<Arc<str>> = listed.map(|item| item.name).collect();
        self.zones
            .retain(|zone, known| listed.contains(zone) || known.outlives(now, batch.revision));
        self.keeps_unlisted = self.zones.keys().any(|zone| !listed.contains(zone));
        for zone in listed {
            self.zones
                .insert(zone, Evacuation::listed_at(batch.revision));
        }
    }

    /// Applies the changes of a watch.
    pub fn apply_changes(&mut self, batch: ObjectBatch<()>) {
        for item in batch.items {
            match is_in_force(&item) {
                true => {
                    let known = Evacuation::listed_at(item.revision);
                    self.zones.insert(item.name, known);
                }
                false => {
                    self.zones.remove(&item.name);
                }
            }
        }
    }

    /// Returns whether a further full read may end an evacuation that the last one lacked.
    #[must_use]
    pub fn keeps_unlisted(&self) -> bool {
        self.keeps_unlisted
    }

    /// Returns the evacuated zones.
    #[must_use]
    pub fn zones(&self) -> Set<Arc<str>> {
        self.zones.keys().map(Arc::clone).collect()
    }
}

/// Returns whether the object of a zone exists. Its content does not matter, so that it need not be readable.
fn is_in_force(item: &StoredObject<()>) -> bool {
    item.value.is_some() || item.is_unreadable
}

/// Watches the evacuations until the process ends.
pub(crate) async fn follow_evacuations(
    gateway: Arc<Gateway>,
    store: Arc<dyn GatewayStore>,
    sync: SyncSettings,
    settings: EvacuationSettings,
) {
    let mut list = EvacuationList::default();
    let mut position = Position::default();
    let mut backoff = Backoff::new(&sync, "evacuations");
    let recency = &gateway.evacuations;
    loop {
        let began = gateway.clock.now();
        let watched = position.revision();
        let wait = recency.next_wait(began, &settings);
        let batch = match watched {
            None => store.evacuations().await,
            Some(revision) => store.watch_evacuations(revision, wait).await,
        };
        let now = gateway.clock.now();
        let batch = match batch {
            Ok(batch) => batch,
            Err(error) => {
                position.reset();
                if watched.is_none() {
                    recency.record_unreachable(now, began);
                }
                backoff.handle_failure(began, &error).await;
                continue;
            }
        };
        backoff.handle_success();
        let (era, revision) = (batch.era, batch.revision);
        match position.advance(now, &batch) {
            BatchUse::Discard => continue,
            BatchUse::Replace | BatchUse::ReplaceAfterRestore => {
                let kept_before = list.keeps_unlisted();
                list.replace_all(now, batch);
                if list.keeps_unlisted() && !kept_before {
                    log::warn!(event = "evacuations_kept", era = era, revision = revision; "the store came back from an older copy that lacks evacuations; they stay in force until it lists them again or for a minute");
                }
                apply(&gateway, &list, revision);
                recency.record_list(began);
            }
            BatchUse::Apply => {
                list.apply_changes(batch);
                apply(&gateway, &list, revision);
                recency.record_watch(now, began, wait);
                if list.keeps_unlisted() {
                    position.reset();
                }
            }
        }
    }
}

fn apply(gateway: &Gateway, list: &EvacuationList, revision: u64) {
    let changes = gateway.dispatcher.replace_evacuated(list.zones());
    for zone in &changes.evacuated {
        log::info!(event = "zone_evacuated", zone = &**zone, revision = revision; "zone is evacuated; no requests are sent to it");
    }
    for zone in &changes.restored {
        log::info!(event = "zone_restored", zone = &**zone, revision = revision; "evacuation has ended; the zone gets requests again");
    }
    metrics::gauge!("sardinepin_evacuated_zones").set(list.zones.len() as f64);
}

/// Returns the longest wait of a watch under the bound within which an evacuation has to be in force.
#[must_use]
pub fn evacuation_wait(bound: Millis) -> Millis {
    bound.since(NOTICE_TIME).clamp(WAIT_MIN, WAIT_MAX)
}

/// The time that is left after a watch should have returned: for giving it up (800 ms), a list call over another connection that may
/// be dead too (800 ms), and its processing.
const NOTICE_TIME: Millis = Millis(2_000);

/// The shortest and the longest wait; the store refuses longer ones.
const WAIT_MIN: Millis = Millis(250);
const WAIT_MAX: Millis = Millis(30_000);
