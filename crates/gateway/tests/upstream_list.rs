//! Tests of the upstream list: expiry, grace period and duplicate addresses.

// Clippy allows `unwrap` in tests only within test functions; this covers the helpers.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_gateway::{StoredObject, UpstreamList, UpstreamSpec};

const GRACE: Millis = Millis(2_000);

fn item(id: &str, revision: u64, draining: Option<bool>) -> StoredObject<UpstreamSpec> {
    StoredObject {
        name: Arc::from(id),
        revision,
        value: draining.map(|draining| UpstreamSpec {
            id: Arc::from(id),
            started_at: 1,
            service: Arc::from("llm"),
            address: SocketAddr::from(([127, 0, 0, 1], u16::from(id.as_bytes()[0]))),
            zone: Arc::from("a"),
            slots: 2,
            draining,
            group: None,
        }),
    }
}

fn ids(list: &mut UpstreamList, now: u64) -> Option<Vec<String>> {
    let specs = list.take_changed(Millis(now))?;
    let mut ids: Vec<String> = specs.iter().map(|spec| spec.id.to_string()).collect();
    ids.sort();
    Some(ids)
}

#[test]
fn removed_entry_is_dropped_at_once_while_the_store_is_available() {
    let mut list = UpstreamList::new(GRACE);
    list.replace_all(
        Millis(0),
        vec![item("a", 1, Some(false)), item("b", 2, Some(false))],
    );
    assert_eq!(ids(&mut list, 0).unwrap(), ["a", "b"]);
    list.apply_changes(Millis(10), vec![item("a", 3, None)]);
    assert_eq!(ids(&mut list, 10).unwrap(), ["b"]);
    assert_eq!(ids(&mut list, 20), None);
}

#[test]
fn entry_that_expired_during_a_store_outage_is_kept_for_the_grace_period() {
    let mut list = UpstreamList::new(GRACE);
    list.replace_all(
        Millis(0),
        vec![item("a", 1, Some(false)), item("b", 2, Some(false))],
    );
    ids(&mut list, 0);
    list.handle_store_recovery(Millis(5_000));
    list.replace_all(Millis(5_000), vec![]);
    assert_eq!(ids(&mut list, 5_000).unwrap(), ["a", "b"]);
    list.apply_changes(Millis(6_000), vec![item("a", 9, Some(false))]);
    assert_eq!(ids(&mut list, 7_000).unwrap_or_default(), ["a"]);
}

#[test]
fn older_revision_is_ignored() {
    let mut list = UpstreamList::new(GRACE);
    list.replace_all(Millis(0), vec![item("a", 5, Some(true))]);
    assert!(list.take_changed(Millis(0)).unwrap()[0].draining);
    list.apply_changes(Millis(1), vec![item("a", 4, Some(false))]);
    assert_eq!(list.take_changed(Millis(1)), None);
}

#[test]
fn older_entry_of_a_shared_address_is_marked_as_draining() {
    let mut list = UpstreamList::new(GRACE);
    list.replace_all(
        Millis(0),
        vec![item("a-old", 1, Some(false)), item("b", 2, Some(false))],
    );
    ids(&mut list, 0);
    list.apply_changes(Millis(10), vec![item("a-new", 3, Some(false))]);
    let draining = |specs: Vec<UpstreamSpec>| {
        let draining = specs.into_iter().filter(|spec| spec.draining);
        draining.map(|spec| spec.id.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(draining(list.take_changed(Millis(10)).unwrap()), ["a-old"]);
    list.apply_changes(Millis(20), vec![item("a-new", 4, None)]);
    assert!(draining(list.take_changed(Millis(20)).unwrap()).is_empty());
}
