//! What a snapshot keeps in force as entries come.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use sardinepin_common::Revision;
use sardinepin_config::{ConfigEntry, MergeOutcome, Snapshot};

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

const LIST: &str = r#"{"rules":[{"name":"one","then":{"class":"urgent"}}]}"#;

#[test]
fn neither_the_revision_nor_an_object_goes_down() {
    let mut snapshot = Snapshot::default();
    assert_eq!(
        snapshot.merge(Revision(5), &[upstream("a", 5)]),
        MergeOutcome::Applied
    );
    assert_eq!(snapshot.merge(Revision(4), &[]), MergeOutcome::Stale);
    assert_eq!(snapshot.replace(Revision(4), &[]), MergeOutcome::Stale);
    assert_eq!(snapshot.merge(Revision(5), &[]), MergeOutcome::Unchanged);
    let older = entry("upstreams/a", 3, None);
    snapshot.merge(Revision(6), &[older]);
    assert_eq!(snapshot.revision(), Revision(6));
    assert!(snapshot.upstream("a").is_some());
}

#[test]
fn a_rule_list_that_cannot_be_read_leaves_the_last_in_force() {
    let mut snapshot = Snapshot::default();
    snapshot.merge(Revision(1), &[rules(1, LIST)]);
    snapshot.merge(Revision(2), &[rules(2, "{\"rules\": 7}")]);
    assert_eq!(snapshot.revision(), Revision(2));
    assert_eq!(snapshot.rules().rules[0].name, "one");
    snapshot.merge(Revision(3), &[entry("rules/list", 3, None)]);
    assert!(snapshot.rules().rules.is_empty());
}

#[test]
fn only_what_changes_is_parsed_again() {
    let mut snapshot = Snapshot::default();
    snapshot.merge(Revision(2), &[rules(1, LIST), upstream("a", 2)]);
    let (rules, a) = (
        snapshot.rules(),
        Arc::clone(snapshot.upstream("a").unwrap()),
    );
    snapshot.merge(Revision(3), &[upstream("b", 3)]);
    assert!(Arc::ptr_eq(&rules, &snapshot.rules()));
    assert!(Arc::ptr_eq(&a, snapshot.upstream("a").unwrap()));
}

#[test]
fn a_deletion_reaches_a_node_behind_one_that_never_saw_it() {
    let mut behind = Snapshot::default();
    behind.merge(Revision(2), &[upstream("a", 1), upstream("b", 2)]);
    // It starts after `a` was deleted at revision 3, so its listing bears no trace of `a`.
    let mut fresh = Snapshot::default();
    fresh.replace(Revision(4), &[upstream("b", 2)]);
    let offer = fresh.update_since(behind.revision());
    assert!(offer.whole);
    assert_eq!(behind.apply(&offer), MergeOutcome::Applied);
    assert!(behind.upstream("a").is_none());
    assert!(behind.upstream("b").is_some());
    fresh.merge(Revision(5), &[upstream("c", 5)]);
    let offer = fresh.update_since(behind.revision());
    assert!(!offer.whole, "from the floor on, the difference will do");
    assert_eq!(offer.entries, [upstream("c", 5)]);
}

#[test]
fn shards_of_organisations_replace_each_other_whole() {
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
fn an_object_under_another_name_is_not_taken() {
    let mut snapshot = Snapshot::default();
    let mut misnamed = upstream("b", 1);
    misnamed.key = "upstreams/a".to_owned();
    snapshot.merge(Revision(1), &[misnamed]);
    assert_eq!(snapshot.upstreams().count(), 0);
}
