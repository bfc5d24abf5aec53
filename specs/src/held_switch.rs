//! Model of a map switch on a held step. It runs the product's own function for the next action of
//! a coordinator.
//!
//! There are two ranks and up to two concurrent coordinators, whose terms the engines may or may not
//! compare. Orders may get no reply and be carried out at any later time, a coordinator reads one rank
//! after the other and may stop for any time between two of its transitions, and steps may begin
//! between its reads. An instance may freeze: its coordinator stands still and its engine is out of reach, but goes on with the
//! steps of the group. The first coordinator runs beside the last rank, the second one beside the rank that holds steps.

mod coordinator;
mod engine;
mod mutants;

use crate::explorer::Model;
use crate::held_switch::coordinator::{Coordinator, Phase, rank_of};
use crate::held_switch::engine::{Engines, Order};

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
}
