//! Model of a map switch on a held step. It runs the product's own function for the next action of
//! a coordinator.
//!
//! There are two ranks and up to two concurrent coordinators, whose terms the engines may or may not
//! compare. Orders may get no reply and be carried out at any later time, a coordinator reads one rank
//! after the other and may stop for any time between two of its transitions, and steps may begin
//! between its reads. An instance may freeze: its coordinator stands still and its engine is out of reach, but goes on with the
//! steps of the group. The first coordinator runs beside the last rank, the second one beside the rank that holds steps.

mod engine;

use sardinepin_groups::{
    NextAction, RankReport, is_snapshot, next_action, planner_of, replacement_above, version_above,
};

use crate::explorer::Model;
use crate::held_switch::engine::{Engines, Order, OrderKind, OrderReply};

/// The number of ranks in the group.
const RANKS: usize = 2;

/// The distance, in steps, from the last step that has begun to the step that a coordinator holds.
const HOLD_AHEAD_STEPS: u64 = 2;

/// The most coordinators of a model.
const COORDINATORS_MAX: u64 = 2;

/// The bounds of the model and the safeguards that are on.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// How many steps may begin.
    pub steps: u64,
    /// How many orders may get no reply and be carried out later.
    pub late_orders: usize,
    /// The number of coordinators, at most two.
    pub coordinators: usize,
    /// How many versions each coordinator may have loaded.
    pub versions: u64,
    /// How often each coordinator may take a higher term.
    pub term_raises: usize,
    /// How many switches each coordinator may replace before it stops.
    pub replacements: usize,
    /// Whether engines reject orders with a lower term than the highest seen.
    pub fencing: bool,
    /// Whether orders carry the sequence number from the rank's report.
    pub sequence_numbers: bool,
    /// Whether the order to release a step carries it too.
    pub sequenced_release: bool,
    /// Whether the ranks are read again after a step was held and before they are armed for it.
    pub polls_after_hold: bool,
    /// Whether a replaced switch is taken back by disarming the ranks, instead of loading a newer
    /// version.
    pub takes_back: bool,
    /// Whether a coordinator waits while a version is armed for an earlier step than the held one.
    pub armed_wait: bool,
    /// Whether a step is released on the new map only after every rank has confirmed that it is
    /// armed.
    pub confirm_armed: bool,
    /// How many times an instance may freeze.
    pub freezes: usize,
    /// Whether the rank that planned a version is armed for it only after all others have confirmed.
    pub planner_last: bool,
    /// Whether a rank is disarmed only for a version that another rank has replaced by a newer one.
    pub disarms_replaced: bool,
}

/// The phase of a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
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
struct Coordinator {
    term: u64,
    phase: Phase,
    reports: [Option<RankReport>; RANKS],
    /// The reports of the poll before.
    last_reports: Option<[Option<RankReport>; RANKS]>,
    /// The last version that the coordinator has used, which a rank may have loaded without reporting it.
    last_version: u64,
    /// How many more versions the coordinator may have loaded.
    versions_left: u64,
    /// How often the coordinator may still take a higher term.
    raises_left: usize,
    /// How many more switches the coordinator may replace.
    replacements_left: usize,
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

/// The state of the engines, the coordinators and the delayed orders.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    engines: Engines,
    coordinators: Vec<Coordinator>,
    /// Orders that got no reply and are not carried out yet, with the rank that receives each.
    late_orders: Vec<(usize, Order)>,
    /// How many orders have got no reply so far.
    lost_replies: usize,
    /// The rank whose instance stands still.
    frozen: Option<usize>,
    /// How many times an instance may still freeze.
    freezes_left: usize,
}

/// The model of one group.
#[derive(Debug, Clone, Copy)]
pub struct HeldSwitchModel(pub Bounds);

impl Model for HeldSwitchModel {
    type State = State;

    fn initial_state(&self) -> State {
        let coordinators = (0..self.0.coordinators as u64).map(|at| Coordinator {
            term: at + 1,
            phase: Phase::Reading { rank: 0 },
            reports: [None; RANKS],
            last_reports: None,
            last_version: 0,
            versions_left: self.0.versions,
            raises_left: self.0.term_raises,
            replacements_left: self.0.replacements,
        });
        State {
            engines: Engines::default(),
            coordinators: coordinators.collect(),
            late_orders: Vec::new(),
            lost_replies: 0,
            frozen: None,
            freezes_left: self.0.freezes,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = self.fault_free_successors(state);
        for at in self.awake(state) {
            next.extend(self.lose_reply(state, at, true));
            next.extend(self.lose_reply(state, at, false));
        }
        if state.frozen.is_none() && state.freezes_left > 0 {
            for rank in 0..RANKS {
                let mut frozen = state.clone();
                frozen.frozen = Some(rank);
                frozen.freezes_left -= 1;
                next.push(frozen);
            }
        }
        next
    }

    fn fault_free_successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        if state.engines.step < self.0.steps && state.engines.can_begin_step() {
            let mut after_step = state.clone();
            after_step.engines.begin_step();
            next.push(after_step);
        }
        for at in self.awake(state) {
            next.push(self.step_coordinator(state, at));
        }
        for (at, (rank, _)) in state.late_orders.iter().enumerate() {
            if state.frozen == Some(*rank) {
                continue;
            }
            let mut arrived = state.clone();
            let (rank, order) = arrived.late_orders.remove(at);
            arrived.engines.execute(rank, order, self.0.fencing);
            next.push(arrived);
        }
        if state.frozen.is_some() {
            let mut awake = state.clone();
            awake.frozen = None;
            next.push(awake);
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        state
            .engines
            .has_mixed_maps()
            .then_some("a step on two maps")
    }

    /// The goal is that no step is held and no order is outstanding, unless all steps have begun or
    /// all coordinators have stopped.
    fn is_goal(&self, state: &State) -> bool {
        let stopped = |coordinator: &Coordinator| coordinator.phase == Phase::Stopped;
        let released = state.engines.held.is_none() && state.late_orders.is_empty();
        // No step begins after the last step of the model, so a step may stay held.
        let all_begun = state.engines.step == self.0.steps;
        released || all_begun || state.coordinators.iter().all(stopped)
    }
}

impl HeldSwitchModel {
    /// Returns the coordinators whose instance does not stand still.
    fn awake(&self, state: &State) -> impl Iterator<Item = usize> {
        let frozen = state.frozen;
        (0..state.coordinators.len()).filter(move |at| Some(rank_of(*at)) != frozen)
    }

    /// Lets a coordinator read a report, or give an order that is carried out and answered at once. A rank on a frozen instance neither
    /// reports nor replies.
    fn step_coordinator(&self, state: &State, at: usize) -> State {
        let mut next = state.clone();
        let reply = match self.next_order(&state.coordinators[at]) {
            Some((rank, order)) if state.frozen != Some(rank) => {
                Some(next.engines.execute(rank, order, self.0.fencing))
            }
            _ => None,
        };
        let rank = match state.coordinators[at].phase {
            Phase::Reading { rank } => rank.min(RANKS - 1),
            _ => 0,
        };
        let report = (state.frozen != Some(rank)).then(|| next.engines.report(rank));
        self.advance(&mut next.coordinators[at], reply, report);
        next
    }

    /// Lets the next order of a coordinator get no reply. The coordinator then gives the order
    /// again if `retry` is true, and otherwise goes on without a reply.
    fn lose_reply(&self, state: &State, at: usize, retry: bool) -> Option<State> {
        if state.lost_replies >= self.0.late_orders {
            return None;
        }
        let order = self.next_order(&state.coordinators[at])?;
        let mut next = state.clone();
        next.lost_replies += 1;
        next.late_orders.push(order);
        next.late_orders.sort_unstable();
        if !retry {
            let report = state.engines.report(0);
            self.advance(&mut next.coordinators[at], None, Some(report));
        }
        Some(next)
    }

    /// Returns the next order of a coordinator and the rank that receives it; `None` if the phase
    /// has no order.
    fn next_order(&self, coordinator: &Coordinator) -> Option<(usize, Order)> {
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
    fn advance(
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
fn rank_of(coordinator: usize) -> usize {
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

/// Returns an action that changes the first rank which is armed for another step than the held one before those that are not armed, if
/// all have loaded the same version. It disarms that rank while the version can still be armed everywhere.
fn replace_armed_first(action: NextAction, reports: &[RankReport]) -> NextAction {
    let (NextAction::Replace { step, .. } | NextAction::Release { step, .. }) = action else {
        return action;
    };
    let same_version = reports
        .windows(2)
        .all(|pair| pair[0].prepared == pair[1].prepared);
    let armed_otherwise =
        |report: &&RankReport| report.armed.is_some_and(|armed| armed.step != step);
    match reports.iter().find(armed_otherwise) {
        Some(first) if same_version => NextAction::Replace {
            first: first.rank,
            step,
        },
        _ => action,
    }
}

/// Returns a report without a version that is armed for an earlier step than the one that could be held
/// next.
fn without_earlier_step(report: RankReport) -> RankReport {
    let next = report.step + HOLD_AHEAD_STEPS;
    RankReport {
        armed: report.armed.filter(|armed| armed.step >= next),
        ..report
    }
}
