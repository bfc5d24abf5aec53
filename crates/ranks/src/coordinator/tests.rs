//! Tests of what a coordinator learns of its group's pace.

use sardinepin_common::Millis;

use super::ahead::Ahead;
use super::looks::Counted;
use crate::engine::ExpertShape;

#[test]
fn a_switch_that_came_too_late_is_put_further_ahead() {
    let mut ahead = Ahead::default();
    let first = ahead.steps();
    ahead.missed();
    ahead.missed();
    assert_eq!(ahead.steps(), first + 2);
    for _ in 0..100 {
        ahead.missed();
    }
    assert!(ahead.steps() <= 10);
}

#[test]
fn switches_that_succeed_come_nearer_again_but_never_too_near() {
    let mut ahead = Ahead::default();
    let first = ahead.steps();
    ahead.missed();
    ahead.held();
    assert_eq!(ahead.steps(), first + 1);
    for _ in 0..100 {
        ahead.held();
    }
    assert_eq!(ahead.steps(), first);
}

#[test]
fn a_look_with_counts_that_took_long_is_followed_by_a_long_pause() {
    let quick = Counted::new(Millis(1_000), Millis(5));
    assert!(!quick.is_due(Millis(1_050)));
    assert!(quick.is_due(Millis(1_100)));
    let slow = Counted::new(Millis(1_000), Millis(170));
    assert!(!slow.is_due(Millis(1_400)));
    assert!(slow.is_due(Millis(1_600)));
}

#[test]
fn a_change_loads_as_many_experts_as_its_time_allows_and_one_at_least() {
    let loads = |load_time| {
        let shape = ExpertShape {
            layers: 1,
            experts: 8,
            rank_slots: 2,
            layer_transfers: 1,
            load_time: Millis(load_time),
        };
        shape.rank_transfers()
    };
    assert_eq!(loads(400), 1);
    assert_eq!(loads(148), 1);
    assert_eq!(loads(36), 4);
    assert_eq!(loads(0), 160);
}
