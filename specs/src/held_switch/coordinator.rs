//! The coordinators of the model: their phases, their orders and how replies and reports move them on.

use sardinepin_groups::{
    NextAction, RankReport, is_snapshot, next_action, planner_of, replacement_above, version_above,
};

use crate::held_switch::engine::{Order, OrderKind, OrderReply};
use crate::held_switch::mutants::{replace_armed_first, without_earlier_step};
use crate::held_switch::{COORDINATORS_MAX, HOLD_AHEAD_STEPS, HeldSwitchModel, RANKS};

/// The phase of a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// Reading the reports of the ranks; `rank` is read next.
    Reading { rank: usize },
    /// Ordering the ranks to load a version; `to` is how many have been ordered.
    Preparing { version: u64, to: usize },
    /// Ordering the first rank to hold a step.
    Holding { version: u64, step: u64 },
    /// Ordering the ranks from position `to` on to arm; `all_done` is whether all earlier ranks have
    /// confirmed.
    Arming {
        version: u64,
        step: u64,
        to: usize,
        all_done: bool,
    },
    /// Disarming the rank `first` and having it load `version`, then the others; `to` is how many
    /// ranks have been changed, `disarmed` whether the current one has been disarmed. If a rank is bypassed, `release` is the step
    /// that is released once the others have been changed.
    Replacing {
        version: u64,
        first: usize,
        to: usize,
        disarmed: bool,
        release: Option<u64>,
    },
    /// Ordering a rank to release a step.
    Releasing {
        step: u64,
        holder: usize,
        sequence: u64,
    },
    /// The coordinator gives no more orders.
    Stopped,
}

/// The state of one coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Coordinator {
    pub(super) term: u64,
    pub(super) phase: Phase,
    pub(super) reports: [Option<RankReport>; RANKS],
    /// The reports of the poll before.
    pub(super) last_reports: Option<[Option<RankReport>; RANKS]>,
    /// The last version that the coordinator has used, which a rank may have loaded without reporting it.
    pub(super) last_version: u64,
    /// How many more versions the coordinator may have loaded.
    pub(super) versions_left: u64,
    /// How often the coordinator may still take a higher term.
    pub(super) raises_left: usize,
    /// How many more switches the coordinator may replace.
    pub(super) replacements_left: usize,
}

impl Coordinator {
    /// Takes a higher term and returns the phase `next`, or stops if no higher term is allowed.
    fn raise_term(&mut self, next: Phase) -> Phase {
        if self.raises_left == 0 {
            return Phase::Stopped;
        }
        self.raises_left -= 1;
        self.term += COORDINATORS_MAX;
        next
    }

    /// Returns a version above all known ones, planned by the rank beside this coordinator.
    fn next_version(&mut self, reports: &[RankReport], above: fn(u64, usize) -> u64) -> u64 {
        let newest = reports.iter().map(|report| {
            let armed = report.armed.map_or(0, |armed| armed.version);
            report.active.max(armed).max(report.prepared.unwrap_or(0))
        });
        let newest = newest.max().unwrap_or(0).max(self.last_version);
        let coordinator = (self.term - 1) % COORDINATORS_MAX;
        self.last_version = above(newest, rank_of(coordinator as usize));
        self.last_version
    }
}

impl HeldSwitchModel {
    /// Returns the next order of a coordinator and the rank that receives it; `None` if the phase
    /// has no order.
    pub(super) fn next_order(&self, coordinator: &Coordinator) -> Option<(usize, Order)> {
        let order = |rank: usize, kind, sequence: u64| {
            let sequence = self.0.sequence_numbers.then_some(sequence);
            let term = coordinator.term;
            let order = Order {
                term,
                sequence,
                kind,
            };
            (rank, order)
        };
        let report = |rank: usize| coordinator.reports[rank].unwrap_or_default();
        let seen = |rank: usize| report(rank).sequence;
        Some(match coordinator.phase {
            Phase::Reading { .. } | Phase::Stopped => return None,
            // Of the others, the rank that holds the step comes last, which may happen because the product orders them at once.
            Phase::Preparing { version, to } => {
                let rank = loading_order(version)[to];
                order(rank, OrderKind::Prepare(version), seen(rank))
            }
            Phase::Holding { step, .. } => order(0, OrderKind::Hold(step), seen(0)),
            Phase::Arming {
                version, step, to, ..
            } => {
                let rank = self.arming_order(version)[to];
                order(rank, OrderKind::Arm(version, step), seen(rank))
            }
            Phase::Replacing {
                version,
                first,
                to,
                disarmed,
                ..
            } => {
                let rank = replacing_order(coordinator, first)[to];
                let report = report(rank);
                match report.armed {
                    Some(armed) if !disarmed => {
                        order(rank, OrderKind::Disarm(armed.version), report.sequence)
                    }
                    _ if self.0.takes_back => return None,
                    _ => order(rank, OrderKind::Prepare(version), report.sequence),
                }
            }
            Phase::Releasing {
                step,
                holder,
                sequence,
            } => {
                let (rank, mut release) = order(holder, OrderKind::Release(step), sequence);
                if !self.0.sequenced_release {
                    release.sequence = None;
                }
                (rank, release)
            }
        })
    }

    /// Moves a coordinator to its next phase, given the reply to its order or the report that it
    /// read.
    pub(super) fn advance(
        &self,
        coordinator: &mut Coordinator,
        reply: Option<OrderReply>,
        report: Option<RankReport>,
    ) {
        const READ_AGAIN: Phase = Phase::Reading { rank: 0 };
        coordinator.phase = match (coordinator.phase, reply) {
            (Phase::Reading { rank }, _) => {
                coordinator.reports[rank] = report;
                if rank + 1 < RANKS {
                    Phase::Reading { rank: rank + 1 }
                } else {
                    self.next_phase(coordinator)
                }
            }
            // A coordinator that finds a higher term at an engine starts again with a higher term.
            (_, Some(OrderReply::Superseded)) => coordinator.raise_term(READ_AGAIN),
            (Phase::Stopped, _) => Phase::Stopped,
            (Phase::Preparing { to: 0, .. }, reply) if reply != Some(OrderReply::Done) => {
                READ_AGAIN
            }
            (Phase::Preparing { version, to }, _) if to + 1 < RANKS => Phase::Preparing {
                version,
                to: to + 1,
            },
            (Phase::Holding { version, step }, Some(OrderReply::Done))
                if !self.0.polls_after_hold =>
            {
                Phase::Arming {
                    version,
                    step,
                    to: 0,
                    all_done: true,
                }
            }
            (
                Phase::Arming {
                    version,
                    step,
                    to,
                    all_done,
                },
                reply,
            ) => {
                let all_done = all_done && reply == Some(OrderReply::Done);
                let planner_is_next = self.0.planner_last && to + 2 == RANKS;
                if planner_is_next && !all_done {
                    READ_AGAIN
                } else if to + 1 < RANKS {
                    Phase::Arming {
                        version,
                        step,
                        to: to + 1,
                        all_done,
                    }
                } else if all_done || !self.0.confirm_armed {
                    releasing(coordinator, step, 0)
                } else {
                    READ_AGAIN
                }
            }
            (
                Phase::Replacing {
                    version,
                    first,
                    to,
                    disarmed,
                    release,
                },
                reply,
            ) => {
                let order = replacing_order(coordinator, first);
                let rank = order[to];
                let report = coordinator.reports[rank].unwrap_or_default();
                let was_armed = report.armed.is_some();
                let gave_order = reply.is_some();
                if was_armed && !disarmed && reply == Some(OrderReply::Done) {
                    Phase::Replacing {
                        version,
                        first,
                        to,
                        disarmed: true,
                        release,
                    }
                } else if to + 1 < order.len()
                    && (reply == Some(OrderReply::Done) || (self.0.takes_back && !gave_order))
                {
                    Phase::Replacing {
                        version,
                        first,
                        to: to + 1,
                        disarmed: false,
                        release,
                    }
                } else if let Some(step) = release
                    && reply == Some(OrderReply::Done)
                {
                    // Loading has raised the sequence number of the holder.
                    releasing(coordinator, step, 1)
                } else {
                    READ_AGAIN
                }
            }
            _ => READ_AGAIN,
        };
        if coordinator.phase == READ_AGAIN {
            // States that differ only in outdated reports are the same.
            coordinator.reports = [None; RANKS];
        }
    }

    /// Returns the phase that follows once all ranks have been read.
    fn next_phase(&self, coordinator: &mut Coordinator) -> Phase {
        let all = coordinator.reports;
        let reports: Vec<RankReport> = all.into_iter().flatten().collect();
        let last_reports = coordinator.last_reports.take();
        let action = match self.0.armed_wait {
            true => next_action(&reports),
            false => {
                let reports = reports.iter().copied().map(without_earlier_step);
                next_action(&reports.collect::<Vec<_>>())
            }
        };
        let action = match self.0.disarms_replaced {
            true => action,
            false => replace_armed_first(action, &reports),
        };
        let shows_one_moment = last_reports.is_some_and(|last| {
            let last: Vec<RankReport> = last.into_iter().flatten().collect();
            last.len() == reports.len() && is_snapshot(&last, &reports)
        });
        if action.needs_snapshot() && !shows_one_moment {
            coordinator.last_reports = Some(all);
            return Phase::Reading { rank: 0 };
        }
        match action {
            NextAction::Unclear | NextAction::Loading => Phase::Reading { rank: 0 },
            NextAction::Idle if coordinator.versions_left > 0 => {
                coordinator.versions_left -= 1;
                let version = coordinator.next_version(&reports, version_above);
                Phase::Preparing { version, to: 0 }
            }
            NextAction::Idle => Phase::Reading { rank: 0 },
            NextAction::Hold { version } => {
                let last = reports.iter().map(|report| report.step).max();
                Phase::Holding {
                    version,
                    step: last.unwrap_or(0) + HOLD_AHEAD_STEPS,
                }
            }
            NextAction::Arm { version, step, .. } => Phase::Arming {
                version,
                step,
                to: 0,
                all_done: true,
            },
            NextAction::Replace { .. } if coordinator.replacements_left == 0 => Phase::Stopped,
            NextAction::Replace { first, .. } => {
                coordinator.replacements_left -= 1;
                Phase::Replacing {
                    version: coordinator.next_version(&reports, replacement_above),
                    first,
                    to: 0,
                    disarmed: false,
                    release: None,
                }
            }
            NextAction::Bypass { .. } if coordinator.replacements_left == 0 => Phase::Stopped,
            NextAction::Bypass { first, step, .. } => {
                coordinator.replacements_left -= 1;
                Phase::Replacing {
                    version: coordinator.next_version(&reports, replacement_above),
                    first,
                    to: 0,
                    disarmed: false,
                    release: Some(step),
                }
            }
            NextAction::Release { step, holder } => Phase::Releasing {
                step,
                holder,
                sequence: all[holder].unwrap_or_default().sequence,
            },
        }
    }

    /// Returns the order in which ranks are armed for a version: the rank that planned it last.
    fn arming_order(&self, version: u64) -> [usize; RANKS] {
        let mut order = std::array::from_fn(|at| at);
        if self.0.planner_last {
            order.sort_by_key(|rank| Some(*rank) == planner_of(version));
        }
        order
    }
}

/// Returns the order in which ranks load a planned version: the rank that planned it first.
fn loading_order(version: u64) -> [usize; RANKS] {
    let mut order = std::array::from_fn(|at| RANKS - 1 - at);
    order.sort_by_key(|rank| Some(*rank) != planner_of(version));
    order
}

/// Returns the rank beside which a coordinator runs.
pub(super) fn rank_of(coordinator: usize) -> usize {
    RANKS - 1 - coordinator
}

/// Returns the ranks that report, `first` before all others.
fn replacing_order(coordinator: &Coordinator, first: usize) -> Vec<usize> {
    let reporting = (0..RANKS).filter(|rank| coordinator.reports[*rank].is_some());
    let mut order: Vec<usize> = reporting.collect();
    order.sort_by_key(|rank| *rank != first);
    order
}

/// Returns the phase in which a held step is released, after `loads` further versions have begun to load at its holder.
fn releasing(coordinator: &Coordinator, step: u64, loads: u64) -> Phase {
    let holding = holding_rank(&coordinator.reports, step);
    Phase::Releasing {
        step,
        holder: holding.rank,
        sequence: holding.sequence + loads,
    }
}

/// Returns the report of the rank that holds a step. The first rank holds it if the report is older
/// than its hold.
fn holding_rank(reports: &[Option<RankReport>; RANKS], step: u64) -> RankReport {
    let mut known = reports.iter().flatten();
    let holding = known.find(|report| report.held == Some(step));
    holding.copied().or(reports[0]).unwrap_or_default()
}
