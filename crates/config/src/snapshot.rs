//! The configuration that a node has in force: objects of the platform's store at one revision.

use std::collections::BTreeMap;
use std::sync::Arc;

use sardinepin_common::{Map, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::kinds::{Group, Organisation, Service, Upstream};
use crate::rules::RuleList;

/// One object of the configuration, or the mark that it was deleted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The key, such as `upstreams/opptak-1`.
    pub key: String,
    /// The revision of the object's last write.
    pub revision: Revision,
    /// The value as JSON text; `None` marks a deletion.
    pub value: Option<String>,
}

/// What merging newer entries did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// Something newer is now in force.
    Newer,
    /// Nothing was newer than what is in force.
    Nothing,
    /// The offer as a whole is older than what is in force; it was ignored.
    Stale,
}

/// The objects in force and the revision up to which they are complete.
///
/// Neither the revision nor any object's own ever goes down.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    revision: Revision,
    entries: BTreeMap<String, Entry>,
    rules: Arc<RuleList>,
    services: Map<String, Arc<Service>>,
    upstreams: BTreeMap<String, Arc<Upstream>>,
    organisations: Map<String, Arc<Organisation>>,
    groups: BTreeMap<String, Arc<Group>>,
}

impl Snapshot {
    /// Returns the revision up to which the configuration is complete.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes in entries that bring the configuration up to `revision`.
    ///
    /// `entries` must hold every object that changed between this snapshot's revision and
    /// `revision`; it may hold older ones.
    pub fn merge(&mut self, revision: Revision, entries: &[Entry]) -> Merge {
        if revision < self.revision {
            return Merge::Stale;
        }
        if revision == self.revision {
            return Merge::Nothing;
        }
        self.revision = revision;
        for entry in entries {
            self.put(entry);
        }
        self.rebuild();
        Merge::Newer
    }

    /// Returns every entry that was written after `after`, deletions included.
    #[must_use]
    pub fn entries_after(&self, after: Revision) -> Vec<Entry> {
        self.entries
            .values()
            .filter(|entry| entry.revision > after)
            .cloned()
            .collect()
    }

    /// Returns the entry under `key`, if it stands.
    #[must_use]
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key).filter(|entry| entry.value.is_some())
    }

    /// Returns the rule list in force.
    #[must_use]
    pub fn rules(&self) -> Arc<RuleList> {
        Arc::clone(&self.rules)
    }

    /// Returns the service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the upstream of that name.
    #[must_use]
    pub fn upstream(&self, name: &str) -> Option<&Arc<Upstream>> {
        self.upstreams.get(name)
    }

    /// Returns all upstreams, by name.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.upstreams.values()
    }

    /// Returns the organisation of that name.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.organisations.get(name)
    }

    /// Returns all groups, by name.
    pub fn groups(&self) -> impl Iterator<Item = &Arc<Group>> {
        self.groups.values()
    }

    fn put(&mut self, entry: &Entry) {
        let newer = self
            .entries
            .get(&entry.key)
            .is_none_or(|held| held.revision < entry.revision);
        if newer {
            self.entries.insert(entry.key.clone(), entry.clone());
        }
    }

    fn rebuild(&mut self) {
        self.rules = Arc::default();
        self.services.clear();
        self.upstreams.clear();
        self.organisations.clear();
        self.groups.clear();
        for entry in self.entries.values() {
            let Some(value) = &entry.value else { continue };
            let Some((kind, _)) = entry.key.split_once('/') else {
                continue;
            };
            // An object that cannot be read was written past the checks; the rest stays in force.
            match kind {
                "rules" => self.rules = parse(value).unwrap_or_default(),
                "services" => insert_parsed(value, |found: Service| {
                    self.services.insert(found.name.clone(), Arc::new(found));
                }),
                "upstreams" => insert_parsed(value, |found: Upstream| {
                    self.upstreams.insert(found.name.clone(), Arc::new(found));
                }),
                "organisations" => insert_parsed(value, |found: Vec<Organisation>| {
                    for one in found {
                        self.organisations.insert(one.name.clone(), Arc::new(one));
                    }
                }),
                "groups" => insert_parsed(value, |found: Group| {
                    self.groups.insert(found.name.clone(), Arc::new(found));
                }),
                _ => {}
            }
        }
    }
}

fn parse<T: for<'de> Deserialize<'de>>(value: &str) -> Option<T> {
    serde_json::from_str(value).ok()
}

fn insert_parsed<T: for<'de> Deserialize<'de>>(value: &str, insert: impl FnOnce(T)) {
    if let Some(found) = parse(value) {
        insert(found);
    }
}

/// Reads an object's value as JSON.
#[must_use]
pub fn as_json(entry: &Entry) -> Option<Value> {
    entry.value.as_deref().and_then(parse)
}
