//! The parsed objects of a snapshot; only what changes is parsed again.

use std::collections::BTreeMap;
use std::sync::Arc;

use sardinepin_common::Map;
use serde::Deserialize;

use crate::kinds::{Group, Organisation, Service, Upstream};
use crate::rules::RuleList;

/// Parsed objects by the names in their keys.
#[derive(Debug, Clone, Default)]
pub(super) struct Index {
    pub(super) rules: Arc<RuleList>,
    pub(super) services: BTreeMap<String, Arc<Service>>,
    pub(super) upstreams: BTreeMap<String, Arc<Upstream>>,
    pub(super) organisations: Arc<Map<String, Arc<Organisation>>>,
    pub(super) groups: BTreeMap<String, Arc<Group>>,
    /// The shards from which the organisations come.
    shards: BTreeMap<String, Arc<Vec<Arc<Organisation>>>>,
}

impl Index {
    /// Takes an object's new value and returns whether it is in force; one that cannot be read, or
    /// bears another name than its key, leaves the last one in force.
    pub(super) fn put(&mut self, key: &str, value: &str) -> bool {
        let Some((kind, name)) = key.split_once('/') else {
            return false;
        };
        match kind {
            "rules" => match parse(key, value) {
                Some(rules) => self.rules = Arc::new(rules),
                None => return false,
            },
            "services" => return put(&mut self.services, key, value, |found| &found.name),
            "upstreams" => return put(&mut self.upstreams, key, value, |found| &found.name),
            "groups" => return put(&mut self.groups, key, value, |found| &found.name),
            "organisations" => match parse(key, value) {
                Some(shard) => {
                    self.shards.insert(name.to_owned(), Arc::new(shard));
                    self.gather();
                }
                None => return false,
            },
            _ => return false,
        }
        true
    }

    /// Takes an object out.
    pub(super) fn remove(&mut self, key: &str) {
        let Some((kind, name)) = key.split_once('/') else {
            return;
        };
        match kind {
            "rules" => self.rules = Arc::default(),
            "services" => drop(self.services.remove(name)),
            "upstreams" => drop(self.upstreams.remove(name)),
            "groups" => drop(self.groups.remove(name)),
            "organisations" => {
                self.shards.remove(name);
                self.gather();
            }
            _ => {}
        }
    }

    /// Gathers the organisations of all shards; where a name stands twice, the later shard wins.
    fn gather(&mut self) {
        let all = self
            .shards
            .values()
            .flat_map(|shard| shard.iter())
            .map(|one| (one.name.clone(), Arc::clone(one)))
            .collect();
        self.organisations = Arc::new(all);
    }
}

fn put<T: for<'de> Deserialize<'de>>(
    held: &mut BTreeMap<String, Arc<T>>,
    key: &str,
    value: &str,
    name: impl Fn(&T) -> &String,
) -> bool {
    let Some(found) = parse::<T>(key, value) else {
        return false;
    };
    let own = name(&found).clone();
    let named = key.split_once('/').is_some_and(|(_, name)| name == own);
    if named {
        held.insert(own, Arc::new(found));
    } else {
        log::warn!(event = "misnamed_object", key = key, name = own.as_str(); "the last value stays in force");
    }
    named
}

fn parse<T: for<'de> Deserialize<'de>>(key: &str, value: &str) -> Option<T> {
    serde_json::from_str(value)
        .inspect_err(|error| {
            log::warn!(event = "unreadable_object", key = key, error:% = error; "the last value stays in force");
        })
        .ok()
}
