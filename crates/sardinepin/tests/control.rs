//! Configuration and membership among several nodes of one process, over loopback.

#![allow(clippy::unwrap_used)]

#[path = "control/nodes.rs"]
mod nodes;

use std::sync::Arc;

use assert_matches::assert_matches;
use nodes::{Fleet, Node, UPSTREAM, count_where, until};
use sardinepin::control::{ChangeError, UpstreamEdit};
use sardinepin_common::{Millis, Revision};
use sardinepin_config::Upstream;
use sardinepin_membership::{LinkState, MemberStatus};
use sardinepin_protocol::{ErrorKind, UpstreamState};
use sardinepin_store::{ConditionalWrite, MemoryStore, Precondition, Store};

const RULES: &str = r#"{"rules":[{"name":"one","then":{"class":"urgent"}}]}"#;

/// Far beyond what a change needs.
const LONG: Millis = Millis(60_000);

fn upstream(name: &str) -> Upstream {
    Upstream {
        name: name.to_owned(),
        service: "opptak".to_owned(),
        zone: "zone-0".to_owned(),
        address: "127.0.0.1:7000".to_owned(),
        ..Upstream::default()
    }
}

#[tokio::test]
async fn in_force_a_change_reaches_nodes_that_never_ask_the_platform() {
    let fleet = Fleet::start(8, 2).await;
    let store = Arc::clone(&fleet.store);
    fleet.all_know_all().await;
    until("each has listed once", || store.call_counts().lists == 8).await;
    let done = fleet.nodes[3].control.put_rules("op", None, RULES).await;
    let revision = done.unwrap().revision;
    fleet.nodes[5]
        .control
        .wait_in_force(revision, LONG)
        .await
        .unwrap();
    for node in &fleet.nodes {
        assert!(node.revision() >= revision);
        assert_eq!(node.snapshot().rules().rules.len(), 1);
    }
    assert_eq!(store.call_counts().lists, 8, "only watches since");
}

#[tokio::test]
async fn in_force_names_the_nodes_that_lag() {
    let fleet = Fleet::start(3, 1).await;
    fleet.all_know_all().await;
    fleet.list_instance("lost", "127.0.0.1:1");
    let done = fleet.nodes[0].control.put_rules("op", None, RULES).await;
    let lagging = fleet.nodes[0]
        .control
        .wait_in_force(done.unwrap().revision, Millis(2_000))
        .await
        .unwrap_err();
    assert!(
        lagging
            .iter()
            .any(|row| row.name == "lost" && row.status == MemberStatus::Undiscovered)
    );
}

#[tokio::test]
async fn never_reverts_when_the_platform_answers_with_older_versions() {
    let fleet = Fleet::start(4, 1).await;
    fleet.all_know_all().await;
    let control = &fleet.nodes[0].control;
    let first = control.put_rules("op", None, RULES).await.unwrap().revision;
    control.wait_in_force(first, LONG).await.unwrap();
    fleet
        .store
        .inject_faults(|faults| faults.stale_at = Some(Revision(1)));
    // A process that starts now reads the old state, and hears the newer one from its peers.
    let fresh = fleet.add(9).await;
    until("the fresh node is ready", || {
        *fresh.control.readiness().borrow()
    })
    .await;
    assert!(fresh.revision() >= first);
    for node in &fleet.nodes {
        assert!(node.revision() >= first);
        assert_eq!(node.snapshot().rules().rules.len(), 1);
    }
}

#[tokio::test]
async fn a_fresh_node_takes_the_highest_of_its_peers_when_the_platform_is_out() {
    let fleet = Fleet::start(4, 1).await;
    fleet.all_know_all().await;
    let control = &fleet.nodes[0].control;
    let done = control.put_rules("op", None, RULES).await.unwrap();
    control.wait_in_force(done.revision, LONG).await.unwrap();
    fleet.store.inject_faults(|faults| faults.down = true);
    let fresh = fleet.add(9).await;
    until("the fresh node is ready", || {
        *fresh.control.readiness().borrow()
    })
    .await;
    assert!(fresh.revision() >= done.revision);
}

#[tokio::test]
async fn a_fresh_node_without_platform_and_peers_is_not_ready() {
    let store = Arc::new(MemoryStore::new());
    store.inject_faults(|faults| faults.down = true);
    let node = Node::start(0, 1, vec!["127.0.0.1:1".parse().unwrap()], &store).await;
    until("it has asked the platform again", || {
        store.call_counts().lists > 5
    })
    .await;
    assert!(!*node.control.readiness().borrow());
    store.inject_faults(|faults| faults.down = false);
    until("it is ready", || *node.control.readiness().borrow()).await;
}

#[tokio::test]
async fn fresh_nodes_without_platform_are_not_ready_by_each_others_word() {
    let store = Arc::new(MemoryStore::new());
    store.inject_faults(|faults| faults.down = true);
    let one = Node::start(0, 1, Vec::new(), &store).await;
    let two = Node::start(1, 1, vec![one.address()], &store).await;
    let heard = |node: &Node| {
        count_where(node, |row| {
            row.name != node.name && row.link == Some(LinkState::Working)
        })
    };
    until("they have heard each other", || {
        heard(&one) + heard(&two) == 2
    })
    .await;
    let lists = store.call_counts().lists;
    // Ten more tries of both, a round each, are longer than peers are waited for.
    until("they have waited", || {
        store.call_counts().lists >= lists + 20
    })
    .await;
    assert!(!*one.control.readiness().borrow() && !*two.control.readiness().borrow());
}

#[tokio::test]
async fn zone_that_is_cut_off_goes_on_and_catches_up() {
    let fleet = Fleet::start(6, 2).await;
    fleet.all_know_all().await;
    let control = &fleet.nodes[0].control;
    fleet.cut_zone(1).await;
    until("each side has given up the other", || {
        count_where(&fleet.nodes[0], |row| row.status == MemberStatus::Gone) == 3
            && count_where(&fleet.nodes[1], |row| row.status == MemberStatus::Gone) == 3
    })
    .await;
    let views = control.membership_views().await;
    assert!(views.iter().any(|view| view.members.is_none()), "cut off");
    assert!(count_where(&fleet.nodes[0], |row| row.link == Some(LinkState::Down)) > 0);
    // The cut zone has its own way to the platform.
    let done = control.put_rules("op", None, RULES).await.unwrap();
    until("the cut zone follows too", || {
        fleet
            .nodes
            .iter()
            .all(|node| node.revision() >= done.revision)
    })
    .await;
    fleet.heal().await;
    fleet.all_know_all().await;
}

#[tokio::test]
async fn operators_who_both_drain_both_succeed_and_an_edit_is_kept() {
    let fleet = Fleet::start(2, 1).await;
    let (one, two) = (&fleet.nodes[0].control, &fleet.nodes[1].control);
    one.add_upstream("op", &upstream("u")).await.unwrap();
    let edit = UpstreamEdit {
        zone: Some("zone-9".to_owned()),
        ..UpstreamEdit::default()
    };
    let (drained, again, edited) = tokio::join!(
        one.drain_upstream("a", "u"),
        two.drain_upstream("b", "u"),
        two.edit_upstream("c", "u", &edit),
    );
    assert!(drained.is_ok() && again.is_ok() && edited.is_ok());
    let object = fleet.store.get(UPSTREAM).await.unwrap().unwrap();
    let held: Upstream = serde_json::from_str(&object.value.unwrap()).unwrap();
    assert_eq!(held.state, UpstreamState::Draining);
    assert_eq!(held.zone, "zone-9");
    let more = one.drain_upstream("a", "u").await.unwrap();
    assert!(!more.changed);
    assert_eq!(more.revision, object.revision);
}

#[tokio::test]
async fn operators_whose_answer_is_lost_are_told_what_became_of_the_change() {
    let fleet = Fleet::start(1, 1).await;
    let control = &fleet.nodes[0].control;
    fleet
        .store
        .inject_faults(|faults| faults.lost_responses = 1);
    let done = control.put_rules("op", None, RULES).await.unwrap();
    assert_eq!(done.revision, fleet.store.revision());
}

#[tokio::test]
async fn operators_against_an_old_version_see_what_stands_and_what_differs() {
    let fleet = Fleet::start(1, 1).await;
    let control = &fleet.nodes[0].control;
    control.put_rules("a", None, RULES).await.unwrap();
    let other = RULES.replace("one", "two");
    let refusal = control.put_rules("b", None, &other).await.unwrap_err();
    assert_eq!(refusal.kind(), ErrorKind::Conflict);
    assert_matches!(refusal, ChangeError::Conflict { current: Some(_), differences }
        if differences == ["rule one", "rule two"]);
}

#[tokio::test]
async fn operators_are_refused_at_once_when_the_platform_is_out() {
    let fleet = Fleet::start(1, 1).await;
    fleet.store.inject_faults(|faults| faults.down = true);
    let refusal = fleet.nodes[0].control.put_rules("a", None, RULES).await;
    assert_eq!(refusal.unwrap_err().kind(), ErrorKind::PlatformOut);
    assert_eq!(
        fleet.store.call_counts().puts,
        1,
        "the seeding of the fleet"
    );
}

#[tokio::test]
async fn operators_get_every_fault_before_anything_is_written() {
    let fleet = Fleet::start(1, 1).await;
    let control = &fleet.nodes[0].control;
    let bad = Upstream {
        service: "none".to_owned(),
        address: "nowhere".to_owned(),
        ..upstream("u")
    };
    assert_matches!(control.add_upstream("op", &bad).await,
        Err(ChangeError::Invalid(faults)) if faults.len() == 2);
    let rules = r#"{"rules":[{"name":"","then":{}}]}"#;
    assert_matches!(control.put_rules("op", None, rules).await,
        Err(ChangeError::Invalid(faults)) if faults.len() == 2);
    let refused = control.put_object("op", "rules/list", None, Some(rules));
    assert_matches!(refused.await, Err(ChangeError::Invalid(_)));
    assert_eq!(fleet.store.revision(), Revision(1));
}

#[tokio::test]
async fn a_retired_upstream_stays_retired_under_drains_and_can_be_added_again() {
    let fleet = Fleet::start(1, 1).await;
    let control = &fleet.nodes[0].control;
    assert_eq!(
        control.drain_upstream("op", "u").await,
        Err(ChangeError::NotFound)
    );
    control.add_upstream("op", &upstream("u")).await.unwrap();
    assert!(
        !control
            .add_upstream("op", &upstream("u"))
            .await
            .unwrap()
            .changed
    );
    control.retire_upstream("op", "u").await.unwrap();
    assert!(!control.drain_upstream("op", "u").await.unwrap().changed);
    assert!(
        control
            .add_upstream("op", &upstream("u"))
            .await
            .unwrap()
            .changed
    );
}

#[tokio::test]
async fn a_deletion_reaches_every_node() {
    let fleet = Fleet::start(4, 1).await;
    fleet.all_know_all().await;
    let control = &fleet.nodes[0].control;
    let added = control.add_upstream("op", &upstream("u")).await.unwrap();
    control.wait_in_force(added.revision, LONG).await.unwrap();
    let revision = fleet
        .store
        .put(ConditionalWrite {
            key: UPSTREAM,
            precondition: Precondition::Revision(added.revision),
            write_id: "deletion",
            value: None,
        })
        .await
        .unwrap();
    control.wait_in_force(revision, LONG).await.unwrap();
    for node in &fleet.nodes {
        assert!(node.snapshot().upstream("u").is_none());
    }
}

#[tokio::test]
async fn a_node_that_leaves_is_not_ready_and_the_others_know() {
    let fleet = Fleet::start(3, 1).await;
    fleet.all_know_all().await;
    fleet.nodes[2].control.leave();
    assert!(!*fleet.nodes[2].control.readiness().borrow());
    until("the others know", || {
        count_where(&fleet.nodes[0], |row| row.status == MemberStatus::Leaving) == 1
    })
    .await;
}

#[tokio::test]
async fn a_node_with_another_key_is_a_stranger() {
    let fleet = Fleet::start(2, 1).await;
    fleet.all_know_all().await;
    let seeds = vec![fleet.nodes[0].address()];
    let stranger = Node::start_with(7, 1, seeds, &fleet.store, |settings| {
        settings.cluster.keys[0].secret = "quite another secret".to_owned();
    })
    .await;
    // It keeps trying, and stays a stranger while others come and go.
    let fresh = fleet.add(9).await;
    until("the fresh node is known", || {
        count_where(&fresh, |row| row.status == MemberStatus::Alive) == 3
    })
    .await;
    assert_eq!(count_where(&stranger, |_| true), 1);
    assert_eq!(
        count_where(&fleet.nodes[0], |row| row.name.ends_with('7')),
        0
    );
}
