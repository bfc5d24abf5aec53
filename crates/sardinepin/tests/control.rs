//! Tests of the control plane with several nodes in one process, over loopback.

#![allow(clippy::unwrap_used)]

#[path = "control/nodes.rs"]
mod nodes;

use std::sync::Arc;

use assert_matches::assert_matches;
use nodes::{TestFleet, TestNode, UPSTREAM_KEY, count_members, wait_until};
use sardinepin::control::{ChangeError, UpstreamEdit};
use sardinepin_common::{Millis, Revision};
use sardinepin_config::Upstream;
use sardinepin_membership::{MemberStatus, Reachability};
use sardinepin_protocol::{ErrorKind, UpstreamState};
use sardinepin_store::{ConditionalWrite, MemoryStore, Precondition, Store};

const RULES: &str = r#"{"rules":[{"name":"one","then":{"class":"urgent"}}]}"#;

/// The maximum wait until a change is in force, far above what one needs.
const CHANGE_TIMEOUT: Millis = Millis(60_000);

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
async fn in_force_a_change_reaches_nodes_that_do_not_query_the_platform() {
    let fleet = TestFleet::start(8, 2).await;
    let store = Arc::clone(&fleet.store);
    fleet.wait_until_all_alive().await;
    wait_until("each node has listed the configuration once", || {
        store.call_counts().lists == 8
    })
    .await;
    let result = fleet.nodes[3].control.put_rules("op", None, RULES).await;
    let revision = result.unwrap().revision;
    fleet.nodes[5]
        .control
        .wait_in_force(revision, CHANGE_TIMEOUT)
        .await
        .unwrap();
    for node in &fleet.nodes {
        assert!(node.revision() >= revision);
        assert_eq!(node.snapshot().rules().rules.len(), 1);
    }
    assert_eq!(
        store.call_counts().lists,
        8,
        "after the first listing, nodes only watch"
    );
}

#[tokio::test]
async fn in_force_names_the_nodes_that_lag() {
    let fleet = TestFleet::start(3, 1).await;
    fleet.wait_until_all_alive().await;
    fleet.list_instance("lost", "127.0.0.1:1");
    let result = fleet.nodes[0].control.put_rules("op", None, RULES).await;
    let lagging = fleet.nodes[0]
        .control
        .wait_in_force(result.unwrap().revision, Millis(2_000))
        .await
        .unwrap_err();
    assert!(
        lagging
            .iter()
            .any(|member| member.name == "lost" && member.status == MemberStatus::Undiscovered)
    );
}

#[tokio::test]
async fn never_reverts_when_the_platform_responds_with_old_revisions() {
    let fleet = TestFleet::start(4, 1).await;
    fleet.wait_until_all_alive().await;
    let control = &fleet.nodes[0].control;
    let first = control.put_rules("op", None, RULES).await.unwrap().revision;
    control.wait_in_force(first, CHANGE_TIMEOUT).await.unwrap();
    fleet
        .store
        .inject_faults(|faults| faults.stale_at = Some(Revision(1)));
    // A node that starts now reads the old state, and learns the newer one from its peers.
    let new_node = fleet.add_node(9).await;
    wait_until("the new node is ready", || {
        *new_node.control.readiness().borrow()
    })
    .await;
    assert!(new_node.revision() >= first);
    for node in &fleet.nodes {
        assert!(node.revision() >= first);
        assert_eq!(node.snapshot().rules().rules.len(), 1);
    }
}

#[tokio::test]
async fn a_new_node_takes_the_highest_revision_of_its_peers_when_the_platform_is_unavailable() {
    let fleet = TestFleet::start(4, 1).await;
    fleet.wait_until_all_alive().await;
    let control = &fleet.nodes[0].control;
    let accepted = control.put_rules("op", None, RULES).await.unwrap();
    control
        .wait_in_force(accepted.revision, CHANGE_TIMEOUT)
        .await
        .unwrap();
    fleet.store.inject_faults(|faults| faults.down = true);
    let new_node = fleet.add_node(9).await;
    wait_until("the new node is ready", || {
        *new_node.control.readiness().borrow()
    })
    .await;
    assert!(new_node.revision() >= accepted.revision);
}

#[tokio::test]
async fn a_new_node_without_platform_and_peers_is_not_ready() {
    let store = Arc::new(MemoryStore::new());
    store.inject_faults(|faults| faults.down = true);
    let node = TestNode::start(0, 1, vec!["127.0.0.1:1".parse().unwrap()], &store).await;
    wait_until("the node has retried the platform", || {
        store.call_counts().lists > 5
    })
    .await;
    assert!(!*node.control.readiness().borrow());
    store.inject_faults(|faults| faults.down = false);
    wait_until("the node is ready", || *node.control.readiness().borrow()).await;
}

#[tokio::test]
async fn new_nodes_without_platform_do_not_make_each_other_ready() {
    let store = Arc::new(MemoryStore::new());
    store.inject_faults(|faults| faults.down = true);
    let one = TestNode::start(0, 1, Vec::new(), &store).await;
    let two = TestNode::start(1, 1, vec![one.address()], &store).await;
    let reachable_peers = |node: &TestNode| {
        count_members(node, |member| {
            member.name != node.name && member.reachability == Some(Reachability::Reachable)
        })
    };
    wait_until("the nodes reach each other", || {
        reachable_peers(&one) + reachable_peers(&two) == 2
    })
    .await;
    let lists = store.call_counts().lists;
    // Ten more tries of each node, one per round, take longer than the wait for reports of peers.
    wait_until("the wait for reports of peers is over", || {
        store.call_counts().lists >= lists + 20
    })
    .await;
    assert!(!*one.control.readiness().borrow() && !*two.control.readiness().borrow());
}

#[tokio::test]
async fn zone_that_is_cut_off_keeps_working_and_catches_up() {
    let fleet = TestFleet::start(6, 2).await;
    fleet.wait_until_all_alive().await;
    let control = &fleet.nodes[0].control;
    fleet.cut_zone(1).await;
    wait_until("each side considers the other gone", || {
        count_members(&fleet.nodes[0], |member| {
            member.status == MemberStatus::Gone
        }) == 3
            && count_members(&fleet.nodes[1], |member| {
                member.status == MemberStatus::Gone
            }) == 3
    })
    .await;
    let views = control.membership_views().await;
    assert!(
        views.iter().any(|view| view.members.is_none()),
        "a node that is cut off has no view"
    );
    assert!(
        count_members(&fleet.nodes[0], |member| member.reachability
            == Some(Reachability::Unreachable))
            > 0
    );
    // The cut zone still reaches the platform.
    let accepted = control.put_rules("op", None, RULES).await.unwrap();
    wait_until("the cut zone holds the change too", || {
        fleet
            .nodes
            .iter()
            .all(|node| node.revision() >= accepted.revision)
    })
    .await;
    fleet.restore_links().await;
    fleet.wait_until_all_alive().await;
}

#[tokio::test]
async fn operators_who_drain_concurrently_both_succeed_and_an_edit_is_kept() {
    let fleet = TestFleet::start(2, 1).await;
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
    let object = fleet.store.get(UPSTREAM_KEY).await.unwrap().unwrap();
    let stored: Upstream = serde_json::from_str(&object.value.unwrap()).unwrap();
    assert_eq!(stored.state, UpstreamState::Draining);
    assert_eq!(stored.zone, "zone-9");
    let more = one.drain_upstream("a", "u").await.unwrap();
    assert!(!more.changed);
    assert_eq!(more.revision, object.revision);
}

#[tokio::test]
async fn operators_get_the_outcome_of_a_change_whose_response_is_lost() {
    let fleet = TestFleet::start(1, 1).await;
    let control = &fleet.nodes[0].control;
    fleet
        .store
        .inject_faults(|faults| faults.lost_responses = 1);
    let accepted = control.put_rules("op", None, RULES).await.unwrap();
    assert_eq!(accepted.revision, fleet.store.revision());
}

#[tokio::test]
async fn operators_with_an_old_revision_get_the_current_object_and_the_differences() {
    let fleet = TestFleet::start(1, 1).await;
    let control = &fleet.nodes[0].control;
    control.put_rules("a", None, RULES).await.unwrap();
    let other = RULES.replace("one", "two");
    let error = control.put_rules("b", None, &other).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::Conflict);
    assert_matches!(error, ChangeError::Conflict { current: Some(_), differences }
        if differences == ["rule one", "rule two"]);
}

#[tokio::test]
async fn operators_are_refused_at_once_when_the_platform_is_unavailable() {
    let fleet = TestFleet::start(1, 1).await;
    fleet.store.inject_faults(|faults| faults.down = true);
    let result = fleet.nodes[0].control.put_rules("a", None, RULES).await;
    assert_eq!(result.unwrap_err().kind(), ErrorKind::PlatformOut);
    assert_eq!(
        fleet.store.call_counts().puts,
        1,
        "only the write that set up the fleet"
    );
}

#[tokio::test]
async fn operators_get_every_validation_error_before_anything_is_written() {
    let fleet = TestFleet::start(1, 1).await;
    let control = &fleet.nodes[0].control;
    let bad = Upstream {
        service: "none".to_owned(),
        address: "nowhere".to_owned(),
        ..upstream("u")
    };
    assert_matches!(control.add_upstream("op", &bad).await,
        Err(ChangeError::Invalid(errors)) if errors.len() == 2);
    let rules = r#"{"rules":[{"name":"","then":{}}]}"#;
    assert_matches!(control.put_rules("op", None, rules).await,
        Err(ChangeError::Invalid(errors)) if errors.len() == 2);
    let refused = control.put_object("op", "rules/list", None, Some(rules));
    assert_matches!(refused.await, Err(ChangeError::Invalid(_)));
    assert_eq!(fleet.store.revision(), Revision(1));
}

#[tokio::test]
async fn a_retired_upstream_stays_retired_when_drained_and_can_be_added_again() {
    let fleet = TestFleet::start(1, 1).await;
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
    let fleet = TestFleet::start(4, 1).await;
    fleet.wait_until_all_alive().await;
    let control = &fleet.nodes[0].control;
    let added = control.add_upstream("op", &upstream("u")).await.unwrap();
    control
        .wait_in_force(added.revision, CHANGE_TIMEOUT)
        .await
        .unwrap();
    let revision = fleet
        .store
        .put(ConditionalWrite {
            key: UPSTREAM_KEY,
            precondition: Precondition::Revision(added.revision),
            write_id: "deletion",
            value: None,
        })
        .await
        .unwrap();
    control
        .wait_in_force(revision, CHANGE_TIMEOUT)
        .await
        .unwrap();
    for node in &fleet.nodes {
        assert!(node.snapshot().upstream("u").is_none());
    }
}

#[tokio::test]
async fn a_node_that_leaves_is_not_ready_and_the_others_see_it_leaving() {
    let fleet = TestFleet::start(3, 1).await;
    fleet.wait_until_all_alive().await;
    fleet.nodes[2].control.leave();
    assert!(!*fleet.nodes[2].control.readiness().borrow());
    wait_until("another node sees it leaving", || {
        count_members(&fleet.nodes[0], |member| {
            member.status == MemberStatus::Leaving
        }) == 1
    })
    .await;
}

#[tokio::test]
async fn a_node_with_another_key_does_not_join() {
    let fleet = TestFleet::start(2, 1).await;
    fleet.wait_until_all_alive().await;
    let seeds = vec![fleet.nodes[0].address()];
    let stranger = TestNode::start_with(7, 1, seeds, &fleet.store, |settings| {
        settings.cluster.keys[0].secret = "quite another secret".to_owned();
    })
    .await;
    // It keeps trying, and is not admitted while another node joins.
    let new_node = fleet.add_node(9).await;
    wait_until("the new node sees the other members", || {
        count_members(&new_node, |member| member.status == MemberStatus::Alive) == 3
    })
    .await;
    assert_eq!(count_members(&stranger, |_| true), 1);
    assert_eq!(
        count_members(&fleet.nodes[0], |member| member.name.ends_with('7')),
        0
    );
}
