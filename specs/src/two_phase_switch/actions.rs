//! The actions that are possible in a state, and their effects.

use std::fmt;

use sardinepin_common::Millis;
use sardinepin_groups::{CoordinatorInput, GroupMessage, RankId, RankInput};

use crate::two_phase_switch::search::Bounds;
use crate::two_phase_switch::state::{COORDINATORS, Context, RANKS, State};

/// An action of the group, its network or its engines.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Action {
    /// Delivers a message; the report on a command arrives at once.
    Deliver(RankId, GroupMessage),
    /// Delivers a command; the report on it stays in flight.
    DelayReport(RankId, GroupMessage),
    /// Delivers a message that stays in flight, so that it can arrive again.
    Duplicate(RankId, GroupMessage),
    ExecuteOrphanedOrder(usize),
    BeginStep(usize),
    Crash(usize),
    /// Crashes an agent after it has sent the order for a command to its engine.
    CrashDuringOrder(RankId, GroupMessage),
    TakeOver(usize),
    TimeOut(usize),
    PollEngine(usize),
}

impl fmt::Display for Action {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deliver(to, GroupMessage::Command(command)) => write!(
                out,
                "rank {} receives {:?} of term {:x}",
                to.0, command.request, command.term.0
            ),
            Self::Deliver(to, GroupMessage::Report(report)) => write!(
                out,
                "coordinator {} receives from rank {}: {:?} {:?}",
                to.0, report.rank.0, report.refusal, report.gate.armed
            ),
            Self::ExecuteOrphanedOrder(at) => {
                write!(out, "engine {at} carries out an order of a crashed agent")
            }
            Self::DelayReport(to, message) => {
                write!(
                    out,
                    "{}, and its report is delayed",
                    Self::Deliver(*to, *message)
                )
            }
            Self::Duplicate(to, message) => {
                write!(
                    out,
                    "{}, and the message stays in flight",
                    Self::Deliver(*to, *message)
                )
            }
            Self::BeginStep(at) => write!(out, "engine {at} begins its next step"),
            Self::Crash(at) => write!(out, "agent {at} crashes and restarts"),
            Self::CrashDuringOrder(to, GroupMessage::Command(command)) => write!(
                out,
                "agent {} crashes during an order for {:?} of term {:x} and restarts",
                to.0, command.request, command.term.0
            ),
            Self::CrashDuringOrder(to, GroupMessage::Report(_)) => {
                write!(out, "agent {} crashes", to.0)
            }
            Self::TakeOver(at) => write!(out, "coordinator {at} takes over"),
            Self::TimeOut(at) => write!(out, "the phase of coordinator {at} times out"),
            Self::PollEngine(at) => write!(out, "agent {at} polls its engine"),
        }
    }
}

/// Returns the actions that are possible in a state.
pub(crate) fn enabled_actions(state: &State, bounds: &Bounds, context: &Context) -> Vec<Action> {
    let mut actions = Vec::new();
    for (at, node) in state.nodes.iter().enumerate() {
        if node.orphaned_order.is_some() {
            actions.push(Action::ExecuteOrphanedOrder(at));
        }
        if node.gate.stale_armed().is_some() {
            actions.push(Action::PollEngine(at));
        }
        actions.push(Action::BeginStep(at));
        if state.crashes < bounds.crashes && node.orphaned_order.is_none() {
            actions.push(Action::Crash(at));
        }
    }
    for at in 0..COORDINATORS {
        let coordinator = &state.coordinators[at];
        if coordinator.is_idle() && state.takeovers < bounds.takeovers {
            actions.push(Action::TakeOver(at));
        }
        if coordinator.deadline().is_some() && state.timeouts < bounds.timeouts {
            actions.push(Action::TimeOut(at));
        }
    }
    for number in &state.in_flight {
        let (to, message) = context.message(*number);
        actions.push(Action::Deliver(to, message));
        if state.duplicates < bounds.duplicates {
            actions.push(Action::Duplicate(to, message));
        }
        let is_command = matches!(message, GroupMessage::Command(_));
        if is_command && state.late_reports < bounds.late_reports {
            actions.push(Action::DelayReport(to, message));
        }
        let orphaned_order = state.nodes[usize::from(to.0)].orphaned_order;
        if is_command && state.crashes < bounds.crashes && orphaned_order.is_none() {
            actions.push(Action::CrashDuringOrder(to, message));
        }
    }
    actions
}

/// Returns the state after `action`, or `None` if the action changes nothing.
pub(crate) fn apply_action(state: &State, action: Action, context: &Context) -> Option<State> {
    let mut next = state.clone();
    match action {
        Action::Deliver(to, message) => {
            next.remove_message(&(to, message), context);
            deliver_with_report(&mut next, to, message, context);
        }
        Action::DelayReport(to, message) => {
            next.late_reports += 1;
            next.remove_message(&(to, message), context);
            deliver(&mut next, to, message, context);
        }
        Action::Duplicate(to, message) => {
            next.duplicates += 1;
            deliver_with_report(&mut next, to, message, context);
        }
        Action::ExecuteOrphanedOrder(at) => next.execute_orphaned_order(at, context),
        Action::BeginStep(at) => {
            next.begin_step(at, context);
        }
        Action::Crash(at) => {
            next.crashes += 1;
            next.restart_agent(at, context);
        }
        Action::CrashDuringOrder(to, message) => {
            let at = usize::from(to.0);
            next.remove_message(&(to, message), context);
            if let GroupMessage::Command(command) = message {
                next.drive_rank(at, Millis::ZERO, RankInput::Command(command), context);
            }
            next.crashes += 1;
            next.restart_agent(at, context);
        }
        Action::TakeOver(at) => {
            next.takeovers += 1;
            next.drive_coordinator(at, Millis::ZERO, CoordinatorInput::TakeOver, context);
        }
        Action::TimeOut(at) => {
            next.timeouts += 1;
            time_out(&mut next, at, context);
        }
        Action::PollEngine(at) => poll_engine(&mut next, at, context),
    }
    next.drop_obsolete_messages(context);
    (next != *state).then_some(next)
}

/// Lets the current phase of a coordinator time out.
pub(crate) fn time_out(state: &mut State, at: usize, context: &Context) {
    if let Some(deadline) = state.coordinators[at].deadline() {
        state.drive_coordinator(at, deadline, CoordinatorInput::Tick, context);
    }
}

/// Delivers a message to its receiver.
///
/// The engine carries out the order at once. A delayed order is the same as a delayed command, and
/// a crash of the agent during an order is an action of its own.
pub(crate) fn deliver(state: &mut State, to: RankId, message: GroupMessage, context: &Context) {
    let at = usize::from(to.0);
    match message {
        GroupMessage::Command(command) => {
            state.drive_rank(at, Millis::ZERO, RankInput::Command(command), context);
            state.execute_orders(at, context);
        }
        GroupMessage::Report(report) => {
            state.drive_coordinator(at, Millis::ZERO, CoordinatorInput::Report(report), context);
        }
    }
}

/// Delivers a message to its receiver and the report on it, if there is one, to the coordinator.
fn deliver_with_report(state: &mut State, to: RankId, message: GroupMessage, context: &Context) {
    let before = state.in_flight.clone();
    deliver(state, to, message, context);
    if matches!(message, GroupMessage::Report(_)) {
        return;
    }
    let in_flight: Vec<u16> = state.in_flight.clone();
    for number in in_flight
        .into_iter()
        .filter(|number| !before.contains(number))
    {
        let envelope = context.message(number);
        if matches!(envelope.1, GroupMessage::Report(_)) {
            state.remove_message(&envelope, context);
            deliver(state, envelope.0, envelope.1, context);
        }
    }
}

/// Lets an agent poll its engine for the gate.
fn poll_engine(state: &mut State, at: usize, context: &Context) {
    state.drive_rank(at, Millis(u64::MAX), RankInput::Tick, context);
    state.execute_orders(at, context);
}

/// Delivers messages in order until the first coordinator starts to arm the ranks.
pub(crate) fn advance_to_arming(state: &mut State, context: &Context) {
    while state.coordinators[0].phase() != "arming" {
        let Some(number) = state.in_flight.first() else {
            return;
        };
        let (to, message) = context.message(*number);
        state.remove_message(&(to, message), context);
        deliver(state, to, message, context);
    }
}

/// Runs the group without further faults and returns whether every rank begins all remaining steps
/// and two more, none of them on two maps.
pub(crate) fn recovers(state: &State, context: &Context) -> bool {
    const ROUNDS: u64 = 8;
    /// Longer than every timeout and resend interval.
    const ROUND_DURATION: Millis = Millis(1_000_000);
    let mut state = state.clone();
    let steps = state.step_maps.len() + 2;
    state.step_maps.resize(steps, None);
    for round in 1..=ROUNDS {
        run_until_stable(&mut state, context);
        while (0..RANKS).any(|at| state.begin_step(at, context)) {}
        let done = state
            .nodes
            .iter()
            .all(|node| node.next_step == steps as u64);
        if done && !state.mixed_maps {
            return true;
        }
        if state
            .coordinators
            .iter()
            .all(|coordinator| coordinator.is_idle())
        {
            // A waiting rank requests a coordinator; in this model the first one takes over.
            state.drive_coordinator(0, Millis::ZERO, CoordinatorInput::TakeOver, context);
        } else {
            let now = Millis(round * ROUND_DURATION.0);
            for at in 0..COORDINATORS {
                state.drive_coordinator(at, now, CoordinatorInput::Tick, context);
            }
        }
    }
    false
}

/// Delivers every message and carries out every order until the state no longer changes.
fn run_until_stable(state: &mut State, context: &Context) {
    loop {
        let before = state.clone();
        for at in 0..RANKS {
            state.execute_orphaned_order(at, context);
            poll_engine(state, at, context);
        }
        for number in std::mem::take(&mut state.in_flight) {
            let (to, message) = context.message(number);
            deliver(state, to, message, context);
        }
        if *state == before {
            return;
        }
    }
}
