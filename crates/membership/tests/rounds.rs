//! Gossip among simulated nodes, with lost, blocked and replayed datagrams.

#![allow(clippy::unwrap_used)]

mod support;

use assert_matches::assert_matches;
use sardinepin_common::{Millis, Revision};
use sardinepin_membership::{
    DropReason, Input, MemberState, MemberStatus, Output, PeerChoice, Reachability,
};
use support::{ClusterSettings, SimulatedCluster, node_name};

/// Settings of a cluster that loses 5 % of its datagrams.
const LOSSY: ClusterSettings = ClusterSettings {
    nodes: 24,
    zones: 3,
    loss_milli: 50,
    choice: PeerChoice::Uniform,
    seed: 11,
};

#[test]
fn nodes_discover_each_other_through_seeds() {
    for choice in [PeerChoice::Uniform, PeerChoice::LongLinks] {
        let mut cluster = SimulatedCluster::new(ClusterSettings { choice, ..LOSSY });
        cluster.run_until("all nodes know each other", |cluster| {
            cluster
                .ids()
                .all(|id| cluster.count_status(id, MemberStatus::Alive) == 24)
        });
    }
}

#[test]
fn revision_reaches_every_node_and_two_nodes_per_zone_watch() {
    for choice in [PeerChoice::Uniform, PeerChoice::LongLinks] {
        let mut cluster = SimulatedCluster::converged(ClusterSettings { choice, ..LOSSY });
        for zone in 0..3 {
            let watchers = cluster
                .ids()
                .filter(|id| id % 3 == zone && cluster.is_watching(*id))
                .count();
            assert_eq!(watchers, 2, "zone {zone}");
        }
        cluster.apply_revision(5, Revision(9));
        cluster.run_until("all nodes have the revision", |cluster| {
            cluster.ids().all(|id| cluster.revision(id) == Revision(9))
        });
    }
}

#[test]
fn datagram_loss_alone_marks_no_node_gone() {
    let mut cluster = SimulatedCluster::converged(LOSSY);
    cluster.run_for(Millis(120_000));
    for id in cluster.ids() {
        assert_eq!(cluster.count_status(id, MemberStatus::Gone), 0);
    }
}

#[test]
fn stopped_node_becomes_gone_on_every_node() {
    let mut cluster = SimulatedCluster::converged(LOSSY);
    cluster.stop(7);
    cluster.run_until("node 7 is gone on all other nodes", |cluster| {
        cluster
            .ids()
            .filter(|id| *id != 7)
            .all(|id| cluster.status(id, 7) == MemberStatus::Gone)
    });
    for id in cluster.ids().filter(|id| *id != 7) {
        assert!(
            cluster
                .state_changes(id)
                .contains(&(node_name(7), MemberState::Gone))
        );
    }
}

/// A node that resumes after a freeze has missed all acks, and must not suspect other nodes for it.
#[test]
fn frozen_node_rejoins_without_suspecting_others() {
    let mut cluster = SimulatedCluster::converged(LOSSY);
    cluster.stop(7);
    cluster.run_until("node 7 is gone", |cluster| {
        cluster.status(0, 7) == MemberStatus::Gone
    });
    let before = cluster.state_changes(7).len();
    cluster.resume(7);
    cluster.run_until("node 7 is alive on all nodes", |cluster| {
        cluster
            .ids()
            .all(|id| cluster.status(id, 7) == MemberStatus::Alive)
    });
    assert_eq!(
        cluster.state_changes(7).len(),
        before,
        "the frozen node changed the state of others"
    );
}

#[test]
fn restarted_process_replaces_old_process_of_the_same_name() {
    let mut cluster = SimulatedCluster::converged(LOSSY);
    let old_message = cluster.last_sent(7);
    cluster.restart(7);
    cluster.run_until("all nodes know the new process", |cluster| {
        cluster
            .ids()
            .all(|id| cluster.incarnation(id, 7) == cluster.own_incarnation(7))
    });
    assert_matches!(
        cluster.deliver(0, old_message).as_slice(),
        [Output::MessageDropped(DropReason::OldProcess)]
    );
}

/// The version comes from the wall clock, so a process may start with a lower one than its
/// predecessor.
#[test]
fn restarted_process_with_an_earlier_clock_replaces_old_process() {
    let mut cluster = SimulatedCluster::converged(LOSSY);
    cluster.restart_with_version(7, 1);
    cluster.run_until("all nodes know the new process", |cluster| {
        cluster
            .ids()
            .all(|id| cluster.incarnation(id, 7) == cluster.own_incarnation(7))
    });
}

#[test]
fn replayed_datagram_is_dropped() {
    let mut cluster = SimulatedCluster::converged(LOSSY);
    let message = cluster.last_sent(3);
    let receiver = cluster.ids().find(|id| *id != 3).unwrap();
    cluster.deliver(receiver, message.clone());
    assert_matches!(
        cluster.deliver(receiver, message).as_slice(),
        [Output::MessageDropped(DropReason::Replay)]
    );
}

#[test]
fn one_way_reachability_is_reported_and_its_nodes_stay_alive() {
    let mut cluster = SimulatedCluster::converged(ClusterSettings {
        nodes: 6,
        loss_milli: 0,
        ..LOSSY
    });
    // Datagrams from node 1 to node 2 are lost; those from node 2 to node 1 arrive.
    cluster.block(|from, to| from == 1 && to == 2);
    cluster.run_until("nodes 1 and 2 detect the fault", |cluster| {
        cluster.reachability(1, 2) == Reachability::ReceiveOnly
            && cluster.reachability(2, 1) == Reachability::Unreachable
    });
    assert_eq!(cluster.status(1, 2), MemberStatus::Alive);
    assert_eq!(cluster.reachability(0, 2), Reachability::Reachable);
    cluster.block(|_, _| false);
    cluster.run_until("both nodes are reachable again", |cluster| {
        cluster.reachability(1, 2) == Reachability::Reachable
            && cluster.reachability(2, 1) == Reachability::Reachable
    });
}

/// Both sides take each other for gone, and the processes of one side are replaced meanwhile. The
/// sides must still find each other, and the revision applied on one side must reach the other.
#[test]
fn partitioned_zone_with_replaced_processes_rejoins() {
    let mut cluster = SimulatedCluster::converged(LOSSY);
    cluster.block(|from, to| (from % 3 == 0) != (to % 3 == 0));
    cluster.run_until("each side takes the other for gone", |cluster| {
        cluster.status(1, 0) == MemberStatus::Gone && cluster.status(0, 1) == MemberStatus::Gone
    });
    for id in (0..24).step_by(3) {
        cluster.restart(id);
    }
    cluster.apply_revision(1, Revision(4));
    cluster.run_for(Millis(10_000));
    assert!(
        (0..24)
            .step_by(3)
            .all(|id| cluster.revision(id) < Revision(4))
    );
    cluster.block(|_, _| false);
    cluster.run_until("all nodes know each other and the revision", |cluster| {
        cluster.ids().all(|id| {
            cluster.count_status(id, MemberStatus::Alive) == 24
                && cluster.revision(id) == Revision(4)
        })
    });
}

#[test]
fn leaving_node_is_never_suspected() {
    let mut cluster = SimulatedCluster::converged(LOSSY);
    cluster.leave(7);
    cluster.run_until("node 7 is leaving on all nodes", |cluster| {
        cluster
            .ids()
            .all(|id| cluster.status(id, 7) == MemberStatus::Leaving)
    });
    cluster.stop(7);
    cluster.run_until("node 7 is gone on all other nodes", |cluster| {
        cluster
            .ids()
            .filter(|id| *id != 7)
            .all(|id| cluster.status(id, 7) == MemberStatus::Gone)
    });
    for id in cluster.ids().filter(|id| *id != 7) {
        assert!(
            !cluster
                .state_changes(id)
                .contains(&(node_name(7), MemberState::Suspected))
        );
    }
}

#[test]
fn listed_node_without_updates_is_undiscovered() {
    let mut cluster = SimulatedCluster::converged(LOSSY);
    cluster.input(0, Input::InstanceList(vec![support::listed_node(99)]));
    assert_eq!(cluster.status(0, 99), MemberStatus::Undiscovered);
    assert!(cluster.view(0, 99).must_confirm());
}

#[test]
fn same_seed_sends_the_same_number_of_datagrams() {
    let counts: Vec<u64> = (0..2)
        .map(|_| {
            let mut cluster = SimulatedCluster::converged(LOSSY);
            cluster.run_for(Millis(5_000));
            cluster.sent_count()
        })
        .collect();
    assert_eq!(counts[0], counts[1]);
}
