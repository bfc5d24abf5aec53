//! What can happen next in a group.

use std::fmt;

use sardinepin_common::Millis;
use sardinepin_groups::{CoordinatorInput, GroupMessage, RankId, RankInput};

use crate::one_map::search::Bounds;
use crate::one_map::world::{COORDINATORS, RANKS, Rules, World};

/// One thing that can happen.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Action {
    Deliver(RankId, GroupMessage),
    Late(RankId, GroupMessage),
    Repeat(RankId, GroupMessage),
    ExecuteOrphan(usize),
    Step(usize),
    Crash(usize),
    CrashWith(RankId, GroupMessage),
    TakeOver(usize),
    Expire(usize),
    Look(usize),
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
            Self::ExecuteOrphan(at) => {
                write!(out, "engine {at} carries out an order of a dead agent")
            }
            Self::Late(to, message) => {
                write!(
                    out,
                    "{}, and its answer is late",
                    Self::Deliver(*to, *message)
                )
            }
            Self::Repeat(to, message) => {
                write!(
                    out,
                    "{}, and it will come again",
                    Self::Deliver(*to, *message)
                )
            }
            Self::Step(at) => write!(out, "engine {at} begins its next step"),
            Self::Crash(at) => write!(out, "agent {at} dies and is started again"),
            Self::CrashWith(to, GroupMessage::Command(command)) => write!(
                out,
                "agent {} dies with an order under way for {:?} of term {:x}, and is started again",
                to.0, command.request, command.term.0
            ),
            Self::CrashWith(to, GroupMessage::Report(_)) => write!(out, "agent {} dies", to.0),
            Self::TakeOver(at) => write!(out, "coordinator {at} takes over"),
            Self::Expire(at) => write!(out, "coordinator {at} has waited long enough"),
            Self::Look(at) => write!(out, "agent {at} looks at its gate"),
        }
    }
}

/// Returns everything that can happen in `world`.
pub(crate) fn possible(world: &World, bounds: &Bounds, rules: &Rules) -> Vec<Action> {
    let mut actions = Vec::new();
    for (at, node) in world.nodes.iter().enumerate() {
        if node.orphan.is_some() {
            actions.push(Action::ExecuteOrphan(at));
        }
        if node.gate.stale_armed().is_some() {
            actions.push(Action::Look(at));
        }
        actions.push(Action::Step(at));
        if world.crashes < bounds.crashes && node.orphan.is_none() {
            actions.push(Action::Crash(at));
        }
    }
    for at in 0..COORDINATORS {
        let coordinator = &world.coordinators[at];
        if coordinator.is_idle() && world.takeovers < bounds.takeovers {
            actions.push(Action::TakeOver(at));
        }
        if coordinator.deadline().is_some() && world.expiries < bounds.expiries {
            actions.push(Action::Expire(at));
        }
    }
    for number in &world.sent {
        let (to, message) = rules.letter(*number);
        actions.push(Action::Deliver(to, message));
        if world.repeats < bounds.repeats {
            actions.push(Action::Repeat(to, message));
        }
        let command = matches!(message, GroupMessage::Command(_));
        if command && world.late < bounds.late {
            actions.push(Action::Late(to, message));
        }
        let orphan = world.nodes[usize::from(to.0)].orphan;
        if command && world.crashes < bounds.crashes && orphan.is_none() {
            actions.push(Action::CrashWith(to, message));
        }
    }
    actions
}

/// Returns the group after `action`, or `None` if nothing changed.
pub(crate) fn after(world: &World, action: Action, rules: &Rules) -> Option<World> {
    let mut next = world.clone();
    match action {
        Action::Deliver(to, message) => {
            next.take(&(to, message), rules);
            exchange(&mut next, to, message, rules);
        }
        Action::Late(to, message) => {
            next.late += 1;
            next.take(&(to, message), rules);
            deliver(&mut next, to, message, rules);
        }
        Action::Repeat(to, message) => {
            next.repeats += 1;
            exchange(&mut next, to, message, rules);
        }
        Action::ExecuteOrphan(at) => next.execute_orphan(at, rules),
        Action::Step(at) => {
            next.step(at, rules);
        }
        Action::Crash(at) => {
            next.crashes += 1;
            next.crash(at, rules);
        }
        Action::CrashWith(to, message) => {
            let at = usize::from(to.0);
            next.take(&(to, message), rules);
            if let GroupMessage::Command(command) = message {
                next.drive(at, Millis::ZERO, RankInput::Command(command), rules);
            }
            next.crashes += 1;
            next.crash(at, rules);
        }
        Action::TakeOver(at) => {
            next.takeovers += 1;
            next.coordinate(at, Millis::ZERO, CoordinatorInput::TakeOver, rules);
        }
        Action::Expire(at) => {
            next.expiries += 1;
            expire(&mut next, at, rules);
        }
        Action::Look(at) => look(&mut next, at, rules),
    }
    next.forget(rules);
    (next != *world).then_some(next)
}

/// Lets a coordinator's present phase run out.
pub(crate) fn expire(world: &mut World, at: usize, rules: &Rules) {
    if let Some(deadline) = world.coordinators[at].deadline() {
        world.coordinate(at, deadline, CoordinatorInput::Tick, rules);
    }
}

/// Hands a message to its receiver.
///
/// The engine carries its order out at once: an order that waits is the same as a command that
/// comes later, and the agent's death with an order under way is a case of its own.
pub(crate) fn deliver(world: &mut World, to: RankId, message: GroupMessage, rules: &Rules) {
    let at = usize::from(to.0);
    match message {
        GroupMessage::Command(command) => {
            world.drive(at, Millis::ZERO, RankInput::Command(command), rules);
            world.execute(at, rules);
        }
        GroupMessage::Report(report) => {
            world.coordinate(at, Millis::ZERO, CoordinatorInput::Report(report), rules);
        }
    }
}

/// Hands a message to its receiver, and the answer, if there is one, back at once.
fn exchange(world: &mut World, to: RankId, message: GroupMessage, rules: &Rules) {
    let before = world.sent.clone();
    deliver(world, to, message, rules);
    if matches!(message, GroupMessage::Report(_)) {
        return;
    }
    let answers: Vec<u16> = world.sent.clone();
    for number in answers
        .into_iter()
        .filter(|number| !before.contains(number))
    {
        let letter = rules.letter(number);
        if matches!(letter.1, GroupMessage::Report(_)) {
            world.take(&letter, rules);
            deliver(world, letter.0, letter.1, rules);
        }
    }
}

/// Lets an agent look at its gate.
fn look(world: &mut World, at: usize, rules: &Rules) {
    world.drive(at, Millis(u64::MAX), RankInput::Tick, rules);
    world.execute(at, rules);
}

/// Delivers messages in their order until the first coordinator arms.
pub(crate) fn load(world: &mut World, rules: &Rules) {
    while world.coordinators[0].phase() != "arming" {
        let Some(number) = world.sent.first() else {
            return;
        };
        let (to, message) = rules.letter(*number);
        world.take(&(to, message), rules);
        deliver(world, to, message, rules);
    }
}

/// Lets the group run on without faults and returns whether every rank goes on stepping.
pub(crate) fn recovers(world: &World, rules: &Rules) -> bool {
    const ROUNDS: u64 = 8;
    /// Longer than every timeout and resend.
    const ROUND: Millis = Millis(1_000_000);
    let mut world = world.clone();
    let last = world.steps.len() + 2;
    world.steps.resize(last, None);
    for round in 1..=ROUNDS {
        settle(&mut world, rules);
        while (0..RANKS).any(|at| world.step(at, rules)) {}
        let done = world.nodes.iter().all(|node| node.next_step == last as u64);
        if done && !world.mixed {
            return true;
        }
        if world.coordinators.iter().all(|one| one.is_idle()) {
            // The rank that waits asks for a coordinator; here the first is the one to come.
            world.coordinate(0, Millis::ZERO, CoordinatorInput::TakeOver, rules);
        } else {
            let now = Millis(round * ROUND.0);
            for at in 0..COORDINATORS {
                world.coordinate(at, now, CoordinatorInput::Tick, rules);
            }
        }
    }
    false
}

/// Delivers every message and carries out every order until nothing more happens.
fn settle(world: &mut World, rules: &Rules) {
    loop {
        let before = world.clone();
        for at in 0..RANKS {
            world.execute_orphan(at, rules);
            look(world, at, rules);
        }
        for number in std::mem::take(&mut world.sent) {
            let (to, message) = rules.letter(number);
            deliver(world, to, message, rules);
        }
        if *world == before {
            return;
        }
    }
}
