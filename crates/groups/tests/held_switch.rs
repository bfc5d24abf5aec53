//! The switch on a held step: what to order next, from what the ranks report.

use sardinepin_groups::{ArmedVersion, NextAction, RankReport, next_action};

const RANKS: usize = 4;

fn group(change: impl Fn(&mut RankReport)) -> Vec<RankReport> {
    (0..RANKS)
        .map(|rank| {
            let mut report = RankReport {
                rank,
                size: RANKS,
                epoch: 1,
                open: true,
                step: 100,
                active: 1,
                ..RankReport::default()
            };
            change(&mut report);
            report
        })
        .collect()
}

fn armed(version: u64, step: u64) -> Option<ArmedVersion> {
    Some(ArmedVersion { version, step })
}

#[test]
fn a_group_without_a_switch_may_plan() {
    assert_eq!(next_action(&group(|_| {})), NextAction::Idle);
}

#[test]
fn a_missing_rank_a_broken_group_or_two_epochs_are_unclear() {
    let mut missing = group(|_| {});
    missing.pop();
    assert_eq!(next_action(&missing), NextAction::Unclear);
    assert_eq!(
        next_action(&group(|one| one.open = false)),
        NextAction::Unclear
    );
    let mixed = group(|one| one.epoch = one.rank as u64 % 2);
    assert_eq!(next_action(&mixed), NextAction::Unclear);
    assert_eq!(next_action(&[]), NextAction::Unclear);
}

#[test]
fn a_version_loaded_everywhere_is_held_first() {
    let loaded = group(|one| one.prepared = Some(2));
    assert_eq!(next_action(&loaded), NextAction::Hold { version: 2 });
}

#[test]
fn a_version_loaded_at_some_ranks_only_is_not_held() {
    let some = group(|one| one.prepared = (one.rank > 0).then_some(2));
    assert_eq!(next_action(&some), NextAction::Idle);
}

/// The bench saw this one: a look between the release and the start of the step found all ranks
/// armed and none holding, so the coordinator held the next step and armed anew, and the step in
/// between began with some ranks on the new map and some on the old one.
#[test]
fn a_group_whose_armed_step_has_not_begun_is_left_alone() {
    let released = group(|one| {
        one.prepared = Some(2);
        one.armed = armed(2, 101);
    });
    assert_eq!(next_action(&released), NextAction::Loading);
}

#[test]
fn a_group_seen_while_its_armed_step_begins_is_left_alone() {
    let beginning = group(|one| {
        if one.rank < 2 {
            one.active = 2;
        } else {
            one.prepared = Some(2);
            one.armed = armed(2, 101);
        }
    });
    assert_eq!(next_action(&beginning), NextAction::Loading);
}

#[test]
fn a_held_step_is_armed_and_goes_on_where_a_coordinator_died() {
    let half = group(|one| {
        one.prepared = Some(2);
        one.held = (one.rank == 0).then_some(102);
        one.armed = if one.rank < 2 { armed(2, 102) } else { None };
    });
    let expected = NextAction::Arm {
        version: 2,
        step: 102,
        holder: 0,
    };
    assert_eq!(next_action(&half), expected);
}

/// The model check found this one: a coordinator took back what another had released, rank after
/// rank, and the step began in between.
#[test]
fn a_held_step_after_one_that_is_armed_everywhere_waits_for_that_one() {
    let earlier = group(|one| {
        one.prepared = Some(2);
        one.held = (one.rank == 0).then_some(103);
        one.armed = armed(2, 102);
    });
    assert_eq!(next_action(&earlier), NextAction::Loading);
}

#[test]
fn a_held_step_with_ranks_armed_for_a_later_one_is_aborted() {
    let other = group(|one| {
        one.prepared = Some(2);
        one.held = (one.rank == 0).then_some(103);
        one.armed = if one.rank == 3 { armed(2, 104) } else { None };
    });
    let expected = NextAction::Abort {
        versions: vec![2],
        step: 103,
        holder: 0,
    };
    assert_eq!(next_action(&other), expected);
}

#[test]
fn a_held_step_with_two_versions_is_aborted() {
    let mixed = group(|one| {
        one.prepared = Some(2 + one.rank as u64 % 2);
        one.held = (one.rank == 1).then_some(103);
    });
    let expected = NextAction::Abort {
        versions: vec![2, 3],
        step: 103,
        holder: 1,
    };
    assert_eq!(next_action(&mixed), expected);
}

#[test]
fn a_late_hold_on_a_group_without_a_switch_is_released() {
    let late = group(|one| one.held = (one.rank == 0).then_some(105));
    let expected = NextAction::Abort {
        versions: Vec::new(),
        step: 105,
        holder: 0,
    };
    assert_eq!(next_action(&late), expected);
}
