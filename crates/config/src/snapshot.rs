//! The configuration in force on a node: the objects of the platform's store at one revision.

mod index;

use std::collections::BTreeMap;
use std::sync::Arc;

use sardinepin_common::{Revision, Set};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::kinds::{Group, Organisation, Service, Upstream};
use crate::rules::RuleList;
use index::Index;

/// One configuration object, or the tombstone of a deleted one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// The object key, such as `upstreams/opptak-1`.
    pub key: String,
    /// The store revision of the object's last write; a deletion counts as a write.
    pub revision: Revision,
    /// The value as JSON text; `None` if the object was deleted.
    pub value: Option<String>,
}

/// The result of merging entries into a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeResult {
    /// The snapshot advanced to a newer revision.
    Applied,
    /// The revision equals that of the snapshot, which is unchanged.
    Unchanged,
    /// The revision is older than that of the snapshot, so all entries were ignored.
    Stale,
}

/// Entries that advance a snapshot to a newer revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// The revision up to which the entries are complete.
    pub revision: Revision,
    /// Whether the entries are the complete configuration; objects not among them were deleted.
    pub whole: bool,
    /// The objects and deletions, in any order.
    pub entries: Vec<ConfigEntry>,
}

/// The configuration objects in force and the revision up to which they are complete.
///
/// Neither the revision of the snapshot nor that of any object ever decreases. An object whose new
/// value cannot be parsed keeps its last valid value in force, because the new one was written
/// without validation.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    revision: Revision,
    /// Deletions up to and including this revision are not recorded in `entries`.
    history_start: Revision,
    entries: BTreeMap<String, Arc<ConfigEntry>>,
    index: Index,
}

impl Snapshot {
    /// Returns the revision up to which the configuration is complete.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision after which deletions are recorded; earlier ones are unknown.
    #[must_use]
    pub fn history_start(&self) -> Revision {
        self.history_start
    }

    /// Merges entries that advance the configuration to `revision`.
    ///
    /// `entries` must contain every object that changed between this snapshot's revision and
    /// `revision`, deletions included. Older entries are allowed and ignored.
    pub fn merge(&mut self, revision: Revision, entries: &[ConfigEntry]) -> MergeResult {
        if revision < self.revision {
            return MergeResult::Stale;
        }
        if revision == self.revision {
            return MergeResult::Unchanged;
        }
        self.revision = revision;
        for entry in entries {
            self.put_if_newer(entry);
        }
        MergeResult::Applied
    }

    /// Replaces the configuration by a listing of all objects at `revision`; objects not listed were
    /// deleted.
    pub fn replace(&mut self, revision: Revision, entries: &[ConfigEntry]) -> MergeResult {
        let result = self.merge(revision, entries);
        if result != MergeResult::Applied {
            return result;
        }
        let listed: Set<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        let deleted: Vec<String> = self
            .entries
            .keys()
            .filter(|key| !listed.contains(key.as_str()))
            .cloned()
            .collect();
        for key in deleted {
            self.entries.remove(&key);
            self.index.remove(&key);
        }
        self.history_start = revision;
        result
    }

    /// Applies an update made from another snapshot or from the store.
    pub fn apply(&mut self, update: &ConfigUpdate) -> MergeResult {
        if update.whole {
            self.replace(update.revision, &update.entries)
        } else {
            self.merge(update.revision, &update.entries)
        }
    }

    /// Returns the update that advances a snapshot at revision `after` to this one.
    ///
    /// If this snapshot does not know all deletions since `after`, the update is the complete
    /// configuration.
    #[must_use]
    pub fn update_since(&self, after: Revision) -> ConfigUpdate {
        let whole = after < self.history_start;
        let after = if whole { Revision::default() } else { after };
        ConfigUpdate {
            revision: self.revision,
            whole,
            entries: self.entries_after(after),
        }
    }

    /// Returns every entry written after `after`, including the recorded deletions.
    ///
    /// Deletions before this snapshot's last listing are not recorded;
    /// [`Snapshot::update_since`] takes this into account.
    #[must_use]
    pub fn entries_after(&self, after: Revision) -> Vec<ConfigEntry> {
        self.entries
            .values()
            .filter(|entry| entry.revision > after)
            .map(|entry| ConfigEntry::clone(entry))
            .collect()
    }

    /// Returns every entry whose key starts with `prefix`, deletions included, in key order.
    pub fn entries_with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = &'a ConfigEntry> {
        self.entries
            .range(prefix.to_owned()..)
            .map(|(_, entry)| entry.as_ref())
            .take_while(move |entry| entry.key.starts_with(prefix))
    }

    /// Returns the entry of `key`, or `None` if the object does not exist or was deleted.
    #[must_use]
    pub fn entry(&self, key: &str) -> Option<&ConfigEntry> {
        self.entries
            .get(key)
            .map(Arc::as_ref)
            .filter(|entry| entry.value.is_some())
    }

    /// Returns whether `value` can be parsed as the object `key` and its name matches the key.
    #[must_use]
    pub fn is_valid_object(key: &str, value: &str) -> bool {
        Index::default().put(key, value)
    }

    /// Returns the rule list in force.
    #[must_use]
    pub fn rules(&self) -> Arc<RuleList> {
        Arc::clone(&self.index.rules)
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.index.services.get(name)
    }

    /// Returns all services in name order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.index.services.values()
    }

    /// Returns the upstream with this name.
    #[must_use]
    pub fn upstream(&self, name: &str) -> Option<&Arc<Upstream>> {
        self.index.upstreams.get(name)
    }

    /// Returns all upstreams in name order.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.index.upstreams.values()
    }

    /// Returns the organisation with this name.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.index.organisations.get(name)
    }

    /// Returns all rank groups in name order.
    pub fn groups(&self) -> impl Iterator<Item = &Arc<Group>> {
        self.index.groups.values()
    }

    /// Returns the evacuated availability zones in name order.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &str> {
        self.index.evacuations.iter().map(String::as_str)
    }

    /// Returns whether an availability zone is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.index.evacuations.contains(zone)
    }

    fn put_if_newer(&mut self, entry: &ConfigEntry) {
        let newer = self
            .entries
            .get(&entry.key)
            .is_none_or(|current| current.revision < entry.revision);
        if !newer {
            return;
        }
        match &entry.value {
            Some(value) => {
                self.index.put(&entry.key, value);
            }
            None => self.index.remove(&entry.key),
        }
        self.entries
            .insert(entry.key.clone(), Arc::new(entry.clone()));
    }
}

/// Parses the value of an entry as JSON; returns `None` if it was deleted or is not valid JSON.
#[must_use]
pub fn parse_value(entry: &ConfigEntry) -> Option<Value> {
    serde_json::from_str(entry.value.as_deref()?).ok()
}
