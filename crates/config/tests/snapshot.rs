//! Merging of store entries into a configuration snapshot.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use sardinepin_common::Revision;
use sardinepin_config::{ConfigEntry, MergeResult, Snapshot};

fn entry(key: &str, revision: u64, value: Option<&str>) -> ConfigEntry {
    ConfigEntry {
        key: key.to_owned(),
        revision: Revision(revision),
        value: value.map(str::to_owned),
    }
}

fn upstream(name: &str, revision: u64) -> ConfigEntry {
    let value = format!(r#"{{"name":"{name}","service":"s","address":"127.0.0.1:1"}}"#);
    entry(&format!("upstreams/{name}"), revision, Some(&value))
}

fn rules(revision: u64, value: &str) -> ConfigEntry {
    entry("rules/list", revision, Some(value))
}

const RULE_LIST: &str = r#"{"rules":[{"name":"one","then":{"class":"urgent"}}]}"#;

#[test]
fn revisions_never_decrease() {
    let mut snapshot = Snapshot::default();
    assert_eq!(
        snapshot.merge(Revision(5), &[upstream("a", 5)]),
        MergeResult::Applied
    );
    assert_eq!(snapshot.merge(Revision(4), &[]), MergeResult::Stale);
    assert_eq!(snapshot.replace(Revision(4), &[]), MergeResult::Stale);
    assert_eq!(snapshot.merge(Revision(5), &[]), MergeResult::Unchanged);
    let older = entry("upstreams/a", 3, None);
    snapshot.merge(Revision(6), &[older]);
    assert_eq!(snapshot.revision(), Revision(6));
    assert!(snapshot.upstream("a").is_some());
}

#[test]
fn unparsable_rule_list_keeps_the_last_valid_one() {
    let mut snapshot = Snapshot::default();
    snapshot.merge(Revision(1), &[rules(1, RULE_LIST)]);
    snapshot.merge(Revision(2), &[rules(2, "{\"rules\": 7}")]);
    assert_eq!(snapshot.revision(), Revision(2));
    assert_eq!(snapshot.rules().rules[0].name, "one");
    snapshot.merge(Revision(3), &[entry("rules/list", 3, None)]);
    assert!(snapshot.rules().rules.is_empty());
}

#[test]
fn unchanged_objects_are_not_parsed_again() {
    let mut snapshot = Snapshot::default();
    snapshot.merge(Revision(2), &[rules(1, RULE_LIST), upstream("a", 2)]);
    let (rules, a) = (
        snapshot.rules(),
        Arc::clone(snapshot.upstream("a").unwrap()),
    );
    snapshot.merge(Revision(3), &[upstream("b", 3)]);
    assert!(Arc::ptr_eq(&rules, &snapshot.rules()));
    assert!(Arc::ptr_eq(&a, snapshot.upstream("a").unwrap()));
}

#[test]
fn deletion_reaches_a_lagging_node_from_a_node_that_never_saw_the_object() {
    let mut lagging = Snapshot::default();
    lagging.merge(Revision(2), &[upstream("a", 1), upstream("b", 2)]);
    // The new node starts after `a` was deleted at revision 3, so its listing has no entry for `a`.
    let mut new_node = Snapshot::default();
    new_node.replace(Revision(4), &[upstream("b", 2)]);
    let update = new_node.update_since(lagging.revision());
    assert!(update.whole);
    assert_eq!(lagging.apply(&update), MergeResult::Applied);
    assert!(lagging.upstream("a").is_none());
    assert!(lagging.upstream("b").is_some());
    new_node.merge(Revision(5), &[upstream("c", 5)]);
    let update = new_node.update_since(lagging.revision());
    assert!(
        !update.whole,
        "after the start of the history an incremental update suffices"
    );
    assert_eq!(update.entries, [upstream("c", 5)]);
}

#[test]
fn organisation_shard_replaces_its_previous_value() {
    let mut snapshot = Snapshot::default();
    let shard = |revision, names: &[&str]| {
        let list: Vec<String> = names
            .iter()
            .map(|name| format!(r#"{{"name":"{name}"}}"#))
            .collect();
        let value = format!("[{}]", list.join(","));
        entry("organisations/0", revision, Some(&value))
    };
    snapshot.merge(Revision(1), &[shard(1, &["x", "y"])]);
    snapshot.merge(Revision(2), &[shard(2, &["y"])]);
    assert!(snapshot.organisation("x").is_none());
    assert!(snapshot.organisation("y").is_some());
}

#[test]
fn object_whose_name_differs_from_its_key_is_ignored() {
    let mut snapshot = Snapshot::default();
    let mut misnamed = upstream("b", 1);
    misnamed.key = "upstreams/a".to_owned();
    snapshot.merge(Revision(1), &[misnamed]);
    assert_eq!(snapshot.upstreams().count(), 0);
}

/// An evacuation must be in force whatever another writer put into it.
#[test]
fn an_evacuation_is_in_force_while_its_object_exists() {
    let mut snapshot = Snapshot::default();
    let values = [
        ("zone-a", "{}"),
        ("zone-b", r#"{"later":1}"#),
        ("zone-c", ""),
    ];
    let entries = values.map(|(zone, value)| entry(&format!("evacuations/{zone}"), 3, Some(value)));
    snapshot.merge(Revision(3), &entries);
    let zones: Vec<&str> = snapshot.evacuated_zones().collect();
    assert_eq!(zones, ["zone-a", "zone-b", "zone-c"]);
    snapshot.merge(Revision(4), &[entry("evacuations/zone-a", 4, None)]);
    assert!(!snapshot.is_evacuated("zone-a") && snapshot.is_evacuated("zone-b"));
    assert_eq!(snapshot.replace(Revision(2), &[]), MergeResult::Stale);
    assert!(
        snapshot.is_evacuated("zone-b"),
        "an older listing ends nothing"
    );
    snapshot.replace(Revision(5), &[]);
    assert_eq!(snapshot.evacuated_zones().count(), 0);
}
