//! Rounds among nodes in memory, with datagrams that are lost, cut off and replayed.

#![allow(clippy::unwrap_used)]

mod support;

use assert_matches::assert_matches;
use sardinepin_common::{Millis, Revision};
use sardinepin_membership::{
    DropReason, Input, LinkState, MemberState, MemberStatus, Output, PeerChoice,
};
use support::{Net, NetSettings, node_name};

const LOSS: NetSettings = NetSettings {
    nodes: 24,
    zones: 3,
    loss_milli: 50,
    choice: PeerChoice::Uniform,
    seed: 11,
};

#[test]
fn every_node_finds_every_other_from_one_seed() {
    for choice in [PeerChoice::Uniform, PeerChoice::LongLinks] {
        let mut net = Net::new(NetSettings { choice, ..LOSS });
        net.run_until("all know all", |net| {
            net.ids().all(|id| net.count(id, MemberStatus::Alive) == 24)
        });
    }
}

#[test]
fn a_revision_reaches_every_node_and_two_of_each_zone_watch() {
    for choice in [PeerChoice::Uniform, PeerChoice::LongLinks] {
        let mut net = Net::settled(NetSettings { choice, ..LOSS });
        for zone in 0..3 {
            let watchers = net
                .ids()
                .filter(|id| id % 3 == zone && net.watching(*id))
                .count();
            assert_eq!(watchers, 2, "zone {zone}");
        }
        net.publish(5, Revision(9));
        net.run_until("all hold the revision", |net| {
            net.ids().all(|id| net.revision(id) == Revision(9))
        });
    }
}

#[test]
fn lost_datagrams_alone_make_nobody_gone() {
    let mut net = Net::settled(LOSS);
    net.run_for(Millis(120_000));
    for id in net.ids() {
        assert_eq!(net.count(id, MemberStatus::Gone), 0);
    }
}

#[test]
fn a_node_that_stops_is_suspected_and_then_gone_everywhere() {
    let mut net = Net::settled(LOSS);
    net.stop(7);
    net.run_until("it is gone", |net| {
        net.ids()
            .filter(|id| *id != 7)
            .all(|id| net.standing(id, 7) == MemberStatus::Gone)
    });
    for id in net.ids().filter(|id| *id != 7) {
        assert!(net.changes(id).contains(&(node_name(7), MemberState::Gone)));
    }
}

#[test]
fn a_frozen_node_returns_and_judges_nobody() {
    let mut net = Net::settled(LOSS);
    net.stop(7);
    net.run_until("it is gone", |net| net.standing(0, 7) == MemberStatus::Gone);
    let before = net.changes(7).len();
    net.resume(7);
    net.run_until("it is back", |net| {
        net.ids()
            .all(|id| net.standing(id, 7) == MemberStatus::Alive)
    });
    assert_eq!(net.changes(7).len(), before, "it judged others");
}

#[test]
fn a_restarted_process_of_the_same_name_replaces_the_old_one() {
    let mut net = Net::settled(LOSS);
    let old = net.last_sent(7);
    net.restart(7);
    net.run_until("the new one is known", |net| {
        net.ids()
            .all(|id| net.incarnation(id, 7) == net.own_incarnation(7))
    });
    assert_matches!(
        net.inject(0, old).as_slice(),
        [Output::MessageDropped(DropReason::OldProcess)]
    );
}

#[test]
fn a_process_whose_clock_went_back_still_replaces_the_old_one() {
    let mut net = Net::settled(LOSS);
    net.restart_at(7, 1);
    net.run_until("the new one is known", |net| {
        net.ids()
            .all(|id| net.incarnation(id, 7) == net.own_incarnation(7))
    });
}

#[test]
fn a_replayed_datagram_is_dropped() {
    let mut net = Net::settled(LOSS);
    let message = net.last_sent(3);
    let fresh = net.ids().find(|id| *id != 3).unwrap();
    net.inject(fresh, message.clone());
    assert_matches!(
        net.inject(fresh, message).as_slice(),
        [Output::MessageDropped(DropReason::Replay)]
    );
}

#[test]
fn a_half_open_link_shows_and_the_node_behind_it_stays_alive() {
    let mut net = Net::settled(NetSettings {
        nodes: 6,
        loss_milli: 0,
        ..LOSS
    });
    // What 1 says to 2 is lost; what 2 says to 1 comes.
    net.cut(|from, to| from == 1 && to == 2);
    net.run_until("1 notices", |net| {
        net.reach(1, 2) == LinkState::ReceiveOnly && net.reach(2, 1) == LinkState::Down
    });
    assert_eq!(net.standing(1, 2), MemberStatus::Alive);
    assert_eq!(net.reach(0, 2), LinkState::Working);
    net.cut(|_, _| false);
    net.run_until("it heals", |net| {
        net.reach(1, 2) == LinkState::Working && net.reach(2, 1) == LinkState::Working
    });
}

#[test]
fn a_zone_that_was_cut_off_and_replaced_comes_back() {
    let mut net = Net::settled(LOSS);
    net.cut(|from, to| (from % 3 == 0) != (to % 3 == 0));
    net.run_until("each side has lost the other", |net| {
        net.standing(1, 0) == MemberStatus::Gone && net.standing(0, 1) == MemberStatus::Gone
    });
    for id in (0..24).step_by(3) {
        net.restart(id);
    }
    net.publish(1, Revision(4));
    net.run_for(Millis(10_000));
    assert!((0..24).step_by(3).all(|id| net.revision(id) < Revision(4)));
    net.cut(|_, _| false);
    net.run_until("all are one again", |net| {
        net.ids()
            .all(|id| net.count(id, MemberStatus::Alive) == 24 && net.revision(id) == Revision(4))
    });
}

#[test]
fn a_node_that_leaves_is_not_suspected_first() {
    let mut net = Net::settled(LOSS);
    net.leave(7);
    net.run_until("all know", |net| {
        net.ids()
            .all(|id| net.standing(id, 7) == MemberStatus::Leaving)
    });
    net.stop(7);
    net.run_until("it is gone", |net| {
        net.ids()
            .filter(|id| *id != 7)
            .all(|id| net.standing(id, 7) == MemberStatus::Gone)
    });
    for id in net.ids().filter(|id| *id != 7) {
        assert!(
            !net.changes(id)
                .contains(&(node_name(7), MemberState::Suspected))
        );
    }
}

#[test]
fn a_listed_node_that_nobody_hears_shows_as_unheard() {
    let mut net = Net::settled(LOSS);
    net.input(0, Input::InstanceList(vec![support::listed(99)]));
    assert_eq!(net.standing(0, 99), MemberStatus::Undiscovered);
    assert!(net.row(0, 99).must_confirm());
}

#[test]
fn rounds_are_the_same_for_the_same_seed() {
    let counts: Vec<u64> = (0..2)
        .map(|_| {
            let mut net = Net::settled(LOSS);
            net.run_for(Millis(5_000));
            net.sent()
        })
        .collect();
    assert_eq!(counts[0], counts[1]);
}
