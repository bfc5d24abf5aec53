//! Model of a map switch on a held step. It runs the product's own function for the next action of
//! a coordinator.
//!
//! There are two ranks and up to two concurrent coordinators. Orders may get no reply and be
//! carried out at any later time, a coordinator reads one rank after the other, and steps may begin
//! between its reads.

mod engine;

use sardinepin_groups::{NextAction, RankReport, next_action};

use crate::explorer::Model;
use crate::held_switch::engine::{Engines, Order, OrderKind, OrderReply};

/// The number of ranks in the group.
const RANKS: usize = 2;

/// The distance, in steps, from the last step that has begun to the step that a coordinator holds.
const HOLD_AHEAD_STEPS: u64 = 2;

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
    /// Whether engines reject orders with a lower term than the highest seen.
    pub fencing: bool,
    /// Whether orders to arm or disarm carry the sequence number from the rank's report.
    pub sequence_numbers: bool,
    /// Whether a coordinator waits while a version is armed for a step that has not begun.
    pub armed_wait: bool,
    /// Whether a step is released on the new map only after every rank has confirmed that it is
    /// armed.
    pub confirm_armed: bool,
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
    /// Ordering the ranks from `to` on to arm; `all_done` is whether all earlier ranks have
    /// confirmed.
    Arming {
        version: u64,
        step: u64,
        to: usize,
        all_done: bool,
    },
    /// Ordering the ranks from `to` on to disarm the version that each has armed, or else
    /// `version`.
    Aborting { version: u64, step: u64, to: usize },
    /// Ordering the first rank to release a step.
    Releasing { step: u64 },
    /// The coordinator gives no more orders.
    Stopped,
}

/// The state of one coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Coordinator {
    term: u64,
    phase: Phase,
    reports: [RankReport; RANKS],
    /// How many more versions the coordinator may have loaded.
    versions_left: u64,
    /// The step for which every rank was disarmed at the current term.
    disarmed_step: Option<u64>,
    /// How often the coordinator may still take a higher term.
    raises_left: usize,
}

impl Coordinator {
    /// Takes a higher term and returns the phase `next`, or stops if no higher term is allowed.
    fn raise_term(&mut self, next: Phase) -> Phase {
        if self.raises_left == 0 {
            return Phase::Stopped;
        }
        self.raises_left -= 1;
        self.term += RANKS as u64;
        self.disarmed_step = None;
        next
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
            reports: [RankReport::default(); RANKS],
            versions_left: self.0.versions,
            disarmed_step: None,
            raises_left: self.0.term_raises,
        });
        State {
            engines: Engines::default(),
            coordinators: coordinators.collect(),
            late_orders: Vec::new(),
            lost_replies: 0,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = self.fault_free_successors(state);
        for at in 0..state.coordinators.len() {
            next.extend(self.lose_reply(state, at, true));
            next.extend(self.lose_reply(state, at, false));
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
        for at in 0..state.coordinators.len() {
            next.push(self.step_coordinator(state, at));
        }
        for at in 0..state.late_orders.len() {
            let mut arrived = state.clone();
            let (rank, order) = arrived.late_orders.remove(at);
            arrived.engines.execute(rank, order, self.0.fencing);
            next.push(arrived);
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
    /// Lets a coordinator read a report, or give an order that is carried out and answered at once.
    fn step_coordinator(&self, state: &State, at: usize) -> State {
        let mut next = state.clone();
        let reply = match self.next_order(&state.coordinators[at]) {
            Some((rank, order)) => Some(next.engines.execute(rank, order, self.0.fencing)),
            None => None,
        };
        let report = next.engines.report(match state.coordinators[at].phase {
            Phase::Reading { rank } => rank.min(RANKS - 1),
            _ => 0,
        });
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
            self.advance(&mut next.coordinators[at], None, report);
        }
        Some(next)
    }

    /// Returns the next order of a coordinator and the rank that receives it; `None` if the phase
    /// has no order.
    fn next_order(&self, coordinator: &Coordinator) -> Option<(usize, Order)> {
        let order = |kind, sequence| Order {
            term: coordinator.term,
            sequence,
            kind,
        };
        Some(match coordinator.phase {
            Phase::Reading { .. } | Phase::Stopped => return None,
            // The rank that holds the step comes last, which may happen because the product orders
            // all ranks at once.
            Phase::Preparing { version, to } => {
                (RANKS - 1 - to, order(OrderKind::Prepare(version), None))
            }
            Phase::Holding { step, .. } => (0, order(OrderKind::Hold(step), None)),
            Phase::Arming {
                version, step, to, ..
            } => {
                let sequence = self
                    .0
                    .sequence_numbers
                    .then_some(coordinator.reports[to].sequence);
                (to, order(OrderKind::Arm(version, step), sequence))
            }
            Phase::Aborting { version, to, .. } => {
                let report = &coordinator.reports[to];
                let version = report.armed.map_or(version, |armed| armed.version);
                let sequence = self.0.sequence_numbers.then_some(report.sequence);
                (to, order(OrderKind::Disarm(version), sequence))
            }
            Phase::Releasing { step } => (0, order(OrderKind::Release(step), None)),
        })
    }

    /// Moves a coordinator to its next phase, given the reply to its order or the report that it
    /// read.
    fn advance(
        &self,
        coordinator: &mut Coordinator,
        reply: Option<OrderReply>,
        report: RankReport,
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
            (Phase::Preparing { version, to }, _) if to + 1 < RANKS => Phase::Preparing {
                version,
                to: to + 1,
            },
            (Phase::Holding { version, step }, Some(OrderReply::Done)) => Phase::Arming {
                version,
                step,
                to: 0,
                all_done: true,
            },
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
                if to + 1 < RANKS {
                    Phase::Arming {
                        version,
                        step,
                        to: to + 1,
                        all_done,
                    }
                } else if all_done || !self.0.confirm_armed {
                    Phase::Releasing { step }
                } else {
                    READ_AGAIN
                }
            }
            (Phase::Aborting { version, step, to }, Some(OrderReply::Done)) => {
                if to + 1 < RANKS {
                    Phase::Aborting {
                        version,
                        step,
                        to: to + 1,
                    }
                } else {
                    coordinator.disarmed_step = Some(step);
                    READ_AGAIN
                }
            }
            _ => READ_AGAIN,
        };
    }

    /// Returns the phase that follows once all ranks have been read.
    fn next_phase(&self, coordinator: &mut Coordinator) -> Phase {
        let reports = coordinator.reports;
        let action = match next_action(&reports) {
            NextAction::Loading if !self.0.armed_wait => next_action_without_wait(&reports),
            action => action,
        };
        match action {
            NextAction::Unclear | NextAction::Loading => Phase::Reading { rank: 0 },
            NextAction::Idle if coordinator.versions_left > 0 => {
                coordinator.versions_left -= 1;
                let newest = reports.iter().map(|report| {
                    let armed = report.armed.map_or(0, |armed| armed.version);
                    report.active.max(armed).max(report.prepared.unwrap_or(0))
                });
                // The remainder of the version modulo 8 is derived from the term, so that two
                // coordinators never use the same version.
                let version =
                    (newest.max().unwrap_or(0) / 8 + 1) * 8 + coordinator.term % RANKS as u64;
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
            NextAction::Abort { versions, step, .. } => {
                let armed = reports.iter().any(|report| report.armed.is_some());
                if coordinator.disarmed_step == Some(step) && !armed {
                    return Phase::Releasing { step };
                }
                let version = versions.first().copied();
                let next = match version {
                    Some(version) => Phase::Aborting {
                        version,
                        step,
                        to: 0,
                    },
                    None => Phase::Releasing { step },
                };
                coordinator.raise_term(next)
            }
        }
    }
}

/// Replaces the wait for an armed version: if the same version is armed everywhere, the next action
/// is to hold a step for it again.
fn next_action_without_wait(reports: &[RankReport]) -> NextAction {
    let armed = reports[0].armed.map(|armed| armed.version);
    let same = reports
        .iter()
        .all(|report| report.armed.map(|armed| armed.version) == armed);
    match armed {
        Some(version) if same => NextAction::Hold { version },
        _ => NextAction::Loading,
    }
}
