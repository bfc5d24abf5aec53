//! The parsed objects of a snapshot; only objects that change are parsed again.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sardinepin_common::Map;
use serde::Deserialize;

use crate::kinds::{Group, Organisation, Service, Upstream};
use crate::rules::RuleList;

/// Parsed objects by name.
#[derive(Debug, Clone, Default)]
pub(super) struct Index {
    pub(super) rules: Arc<RuleList>,
    pub(super) services: BTreeMap<String, Arc<Service>>,
    pub(super) upstreams: BTreeMap<String, Arc<Upstream>>,
    pub(super) organisations: Arc<Map<String, Arc<Organisation>>>,
    pub(super) groups: BTreeMap<String, Arc<Group>>,
    /// The evacuated availability zones.
    pub(super) evacuations: BTreeSet<String>,
    /// The shards from which `organisations` is built.
    shards: BTreeMap<String, Arc<Vec<Arc<Organisation>>>>,
}

impl Index {
    /// Parses the new value of an object and returns whether it is now in force.
    ///
    /// A value that cannot be parsed, or whose name differs from its key, leaves the last one in
    /// force.
    pub(super) fn put(&mut self, key: &str, value: &str) -> bool {
        let Some((kind, name)) = key.split_once('/') else {
            return false;
        };
        match kind {
            "rules" => match parse(key, value) {
                Some(rules) => self.rules = Arc::new(rules),
                None => return false,
            },
            "services" => return put_named(&mut self.services, key, value, |object| &object.name),
            "upstreams" => {
                return put_named(&mut self.upstreams, key, value, |object| &object.name);
            }
            "groups" => return put_named(&mut self.groups, key, value, |object| &object.name),
            // The name says all: an evacuation is in force whatever its content.
            "evacuations" => {
                self.evacuations.insert(name.to_owned());
            }
            "organisations" => match parse(key, value) {
                Some(shard) => {
                    self.shards.insert(name.to_owned(), Arc::new(shard));
                    self.rebuild_organisations();
                }
                None => return false,
            },
            _ => return false,
        }
        true
    }

    /// Removes an object.
    pub(super) fn remove(&mut self, key: &str) {
        let Some((kind, name)) = key.split_once('/') else {
            return;
        };
        match kind {
            "rules" => self.rules = Arc::default(),
            "services" => drop(self.services.remove(name)),
            "upstreams" => drop(self.upstreams.remove(name)),
            "groups" => drop(self.groups.remove(name)),
            "evacuations" => drop(self.evacuations.remove(name)),
            "organisations" => {
                self.shards.remove(name);
                self.rebuild_organisations();
            }
            _ => {}
        }
    }

    /// Rebuilds `organisations` from all shards; if a name occurs twice, the last shard in key order
    /// wins.
    fn rebuild_organisations(&mut self) {
        let all = self
            .shards
            .values()
            .flat_map(|shard| shard.iter())
            .map(|organisation| (organisation.name.clone(), Arc::clone(organisation)))
            .collect();
        self.organisations = Arc::new(all);
    }
}

fn put_named<T: for<'de> Deserialize<'de>>(
    objects: &mut BTreeMap<String, Arc<T>>,
    key: &str,
    value: &str,
    name: impl Fn(&T) -> &String,
) -> bool {
    let Some(object) = parse::<T>(key, value) else {
        return false;
    };
    let own_name = name(&object).clone();
    let matches_key = key
        .split_once('/')
        .is_some_and(|(_, key_name)| key_name == own_name);
    if matches_key {
        objects.insert(own_name, Arc::new(object));
    } else {
        log::warn!(event = "misnamed_object", key = key, name = own_name.as_str(); "object name differs from its key; keeping the last valid value");
    }
    matches_key
}

fn parse<T: for<'de> Deserialize<'de>>(key: &str, value: &str) -> Option<T> {
    serde_json::from_str(value)
        .inspect_err(|error| {
            log::warn!(event = "unreadable_object", key = key, error:% = error; "object cannot be parsed; keeping the last valid value");
        })
        .ok()
}
