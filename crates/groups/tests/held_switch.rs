//! Tests of the next action in a switch on a held step.

use sardinepin_groups::{
    ArmedVersion, NextAction, RankReport, is_snapshot, next_action, planner_of, replacement_above,
    version_above,
};

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
fn a_step_is_held_once_every_rank_has_loaded_a_version() {
    let loaded = group(|one| one.prepared = Some(2));
    assert_eq!(next_action(&loaded), NextAction::Hold { version: 2 });
}

#[test]
fn no_step_is_held_while_some_ranks_have_not_loaded_the_version() {
    let some = group(|one| one.prepared = (one.rank > 0).then_some(2));
    assert_eq!(next_action(&some), NextAction::Idle);
}

/// Guards against a step on two maps, as seen in a benchmark. A poll between the release and the
/// start of a step found all ranks armed and none holding. The coordinator held the next step and
/// armed the ranks again, and the step in between began with some ranks on each map.
#[test]
fn no_action_follows_while_an_armed_step_has_not_begun() {
    let released = group(|one| {
        one.prepared = Some(2);
        one.armed = armed(2, 101);
    });
    assert_eq!(next_action(&released), NextAction::Loading);
}

#[test]
fn no_action_follows_while_ranks_begin_an_armed_step() {
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
fn arming_continues_after_a_coordinator_failed_halfway() {
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

/// Guards against a step on two maps, as found by the model check. A coordinator disarmed rank after
/// rank for a step that another coordinator had released, and the step began in between.
#[test]
fn a_held_step_waits_for_an_earlier_armed_step() {
    let earlier = group(|one| {
        one.prepared = Some(2);
        one.held = (one.rank == 0).then_some(103);
        one.armed = armed(2, 102);
    });
    assert_eq!(next_action(&earlier), NextAction::Loading);
}

/// Guards against a step on two maps, as found by the model check. A rank that was armed for a later step was disarmed first, and the
/// order arrived after another coordinator had armed every rank again and released the step.
#[test]
fn a_rank_that_is_not_armed_is_replaced_before_one_that_is_armed_for_a_later_step() {
    for armed_rank in 0..RANKS {
        let other = group(|one| {
            one.prepared = Some(2);
            one.held = (one.rank == 0).then_some(103);
            one.armed = armed(2, 104).filter(|_| one.rank == armed_rank);
        });
        let expected = NextAction::Replace {
            first: usize::from(armed_rank == 0),
            step: 103,
        };
        assert_eq!(next_action(&other), expected);
    }
}

/// Guards against the same: a delayed hold of a step before the one that a switch was released for is no reason to disarm a rank.
#[test]
fn a_step_held_before_the_one_that_all_ranks_are_armed_for_is_released() {
    let later = group(|one| {
        one.prepared = Some(2);
        one.held = (one.rank == 0).then_some(103);
        one.armed = armed(2, 104);
    });
    let expected = NextAction::Release {
        step: 103,
        holder: 0,
    };
    assert_eq!(next_action(&later), expected);
}

#[test]
fn ranks_that_are_all_armed_for_different_steps_are_neither_disarmed_nor_released() {
    let different = group(|one| {
        one.prepared = Some(2);
        one.held = (one.rank == 0).then_some(103);
        one.armed = armed(2, 103 + one.rank as u64 % 2);
    });
    assert_eq!(next_action(&different), NextAction::Loading);
}

/// The rank that is disarmed here is armed for a version that another rank has replaced.
#[test]
fn a_rank_that_is_armed_for_an_older_version_is_replaced_first() {
    let older = group(|one| {
        one.prepared = Some(if one.rank == 2 { 2 } else { 3 });
        one.held = (one.rank == 0).then_some(103);
        one.armed = armed(2, 103).filter(|_| one.rank == 2);
    });
    let expected = NextAction::Replace {
        first: 2,
        step: 103,
    };
    assert_eq!(next_action(&older), expected);
}

/// The rank that lacks the newest version goes first: until it is changed, another coordinator might
/// still complete that version.
#[test]
fn a_held_step_with_two_versions_is_continued_with_a_newer_one() {
    let mixed = group(|one| {
        one.prepared = Some(3 - one.rank as u64 % 2);
        one.held = (one.rank == 1).then_some(103);
    });
    let expected = NextAction::Replace {
        first: 1,
        step: 103,
    };
    assert_eq!(next_action(&mixed), expected);
    let missing = group(|one| {
        one.prepared = (one.rank != 2).then_some(3);
        one.armed = if one.rank == 0 { armed(3, 103) } else { None };
        one.held = (one.rank == 0).then_some(103);
    });
    let expected = NextAction::Replace {
        first: 2,
        step: 103,
    };
    assert_eq!(next_action(&missing), expected);
}

#[test]
fn a_delayed_hold_without_a_switch_is_released() {
    let late = group(|one| one.held = (one.rank == 0).then_some(105));
    let expected = NextAction::Release {
        step: 105,
        holder: 0,
    };
    assert_eq!(next_action(&late), expected);
}

#[test]
fn of_two_held_steps_the_earlier_one_is_handled_first() {
    let two = group(|one| {
        one.held = match one.rank {
            0 => Some(106),
            2 => Some(105),
            _ => None,
        };
    });
    let expected = NextAction::Release {
        step: 105,
        holder: 2,
    };
    assert_eq!(next_action(&two), expected);
}

#[test]
fn reports_show_one_moment_if_two_polls_in_a_row_are_the_same() {
    let poll = group(|one| one.prepared = Some(2));
    let later = group(|one| {
        one.prepared = Some(2);
        one.step = 101;
    });
    assert!(is_snapshot(&poll, &later));
    let changed = group(|one| {
        one.prepared = Some(2);
        one.sequence = u64::from(one.rank == 3);
    });
    assert!(!is_snapshot(&poll, &changed));
}

/// Returns the reports of a group in which a step is held for a version that rank 1 planned, and rank 1 does not report.
fn without_planner(change: impl Fn(&mut RankReport)) -> Vec<RankReport> {
    let mut reports = group(|one| {
        one.prepared = Some(version_above(1, 1));
        one.held = (one.rank == 0).then_some(103);
        change(one);
    });
    reports.retain(|one| one.rank != 1);
    reports
}

#[test]
fn a_step_is_released_without_the_rank_that_planned_the_switch_unless_all_others_are_armed() {
    let version = version_above(1, 1);
    assert_eq!(planner_of(version), Some(1));
    let expected = NextAction::Bypass {
        first: 0,
        step: 103,
        holder: 0,
    };
    assert_eq!(next_action(&without_planner(|_| {})), expected);
    let some_armed = without_planner(|one| {
        one.armed = armed(version, 103).filter(|_| one.rank == 2);
    });
    assert_eq!(next_action(&some_armed), expected);
    let all_armed = without_planner(|one| one.armed = armed(version, 103));
    assert_eq!(next_action(&all_armed), NextAction::Unclear);
}

#[test]
fn no_step_is_released_without_a_rank_that_may_be_armed() {
    let other_planner = without_planner(|one| one.prepared = Some(version_above(1, 2)));
    let replacement = without_planner(|one| one.prepared = Some(replacement_above(1, 1)));
    let not_loaded = without_planner(|one| one.prepared = one.prepared.filter(|_| one.rank > 0));
    let armed_earlier = without_planner(|one| one.armed = armed(version_above(1, 1), 102));
    let not_held = without_planner(|one| one.held = None);
    for reports in [
        other_planner,
        replacement,
        not_loaded,
        armed_earlier,
        not_held,
    ] {
        assert_eq!(next_action(&reports), NextAction::Unclear);
    }
}
