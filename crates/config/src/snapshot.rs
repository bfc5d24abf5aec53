//! The configuration that a node has in force: objects of the platform's store at one revision.

mod index;

use std::collections::BTreeMap;
use std::sync::Arc;

use sardinepin_common::{Revision, Set};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::kinds::{Group, Organisation, Service, Upstream};
use crate::rules::RuleList;
use index::Index;

/// One object of the configuration, or the mark that it was deleted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// The key, such as `upstreams/opptak-1`.
    pub key: String,
    /// The revision of the object's last write.
    pub revision: Revision,
    /// The value as JSON text; `None` marks a deletion.
    pub value: Option<String>,
}

/// What merging newer entries did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Something newer is now in force.
    Applied,
    /// Nothing was newer than what is in force.
    Unchanged,
    /// The offer as a whole is older than what is in force; it was ignored.
    Stale,
}

/// Entries that bring another snapshot up to a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// The revision up to which they are complete.
    pub revision: Revision,
    /// Whether these are all entries; what is not among them is deleted.
    pub whole: bool,
    /// The entries.
    pub entries: Vec<ConfigEntry>,
}

/// The objects in force and the revision up to which they are complete.
///
/// Neither the revision nor any object's own ever goes down. An object whose new value cannot be
/// read keeps the last value that could, because it was written past the checks.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    revision: Revision,
    /// Deletions up to this revision are not among the entries.
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

    /// Returns the revision up to which deletions are not among the entries.
    #[must_use]
    pub fn history_start(&self) -> Revision {
        self.history_start
    }

    /// Takes in entries that bring the configuration up to `revision`.
    ///
    /// `entries` must hold every object that changed between this snapshot's revision and
    /// `revision`, deletions included; it may hold older ones.
    pub fn merge(&mut self, revision: Revision, entries: &[ConfigEntry]) -> MergeOutcome {
        if revision < self.revision {
            return MergeOutcome::Stale;
        }
        if revision == self.revision {
            return MergeOutcome::Unchanged;
        }
        self.revision = revision;
        for entry in entries {
            self.put(entry);
        }
        MergeOutcome::Applied
    }

    /// Takes in a listing of all objects that stand at `revision`: what it lacks was deleted.
    pub fn replace(&mut self, revision: Revision, entries: &[ConfigEntry]) -> MergeOutcome {
        let merged = self.merge(revision, entries);
        if merged != MergeOutcome::Applied {
            return merged;
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
        merged
    }

    /// Takes in what another snapshot offers.
    pub fn apply(&mut self, offer: &ConfigUpdate) -> MergeOutcome {
        if offer.whole {
            self.replace(offer.revision, &offer.entries)
        } else {
            self.merge(offer.revision, &offer.entries)
        }
    }

    /// Returns what a snapshot at revision `after` lacks.
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

    /// Returns every entry that was written after `after`, with the deletions that are known.
    ///
    /// Deletions from before this snapshot's first listing are not; [`Snapshot::update_since`] heeds that.
    #[must_use]
    pub fn entries_after(&self, after: Revision) -> Vec<ConfigEntry> {
        self.entries
            .values()
            .filter(|entry| entry.revision > after)
            .map(|entry| ConfigEntry::clone(entry))
            .collect()
    }

    /// Returns every entry whose key begins with `prefix`, deletions included.
    pub fn entries_with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = &'a ConfigEntry> {
        self.entries
            .range(prefix.to_owned()..)
            .map(|(_, entry)| entry.as_ref())
            .take_while(move |entry| entry.key.starts_with(prefix))
    }

    /// Returns the entry under `key`, if it stands.
    #[must_use]
    pub fn entry(&self, key: &str) -> Option<&ConfigEntry> {
        self.entries
            .get(key)
            .map(Arc::as_ref)
            .filter(|entry| entry.value.is_some())
    }

    /// Returns whether `value` could be in force under `key`.
    #[must_use]
    pub fn is_valid_object(key: &str, value: &str) -> bool {
        Index::default().put(key, value)
    }

    /// Returns the rule list in force.
    #[must_use]
    pub fn rules(&self) -> Arc<RuleList> {
        Arc::clone(&self.index.rules)
    }

    /// Returns the service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.index.services.get(name)
    }

    /// Returns all services, by name.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.index.services.values()
    }

    /// Returns the upstream of that name.
    #[must_use]
    pub fn upstream(&self, name: &str) -> Option<&Arc<Upstream>> {
        self.index.upstreams.get(name)
    }

    /// Returns all upstreams, by name.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.index.upstreams.values()
    }

    /// Returns the organisation of that name.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.index.organisations.get(name)
    }

    /// Returns all groups, by name.
    pub fn groups(&self) -> impl Iterator<Item = &Arc<Group>> {
        self.index.groups.values()
    }

    fn put(&mut self, entry: &ConfigEntry) {
        let newer = self
            .entries
            .get(&entry.key)
            .is_none_or(|held| held.revision < entry.revision);
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

/// Reads an object's value as JSON.
#[must_use]
pub fn parse_value(entry: &ConfigEntry) -> Option<Value> {
    serde_json::from_str(entry.value.as_deref()?).ok()
}
