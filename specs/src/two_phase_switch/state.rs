//! The state of the model: a group of three ranks with two coordinators, their engines and the
//! network between them.

use std::cell::RefCell;
use std::rc::Rc;

use sardinepin_common::{Incarnation, Map, MapVersion, Millis, Term};
use sardinepin_groups::{
    Command, Coordinator, CoordinatorInput, CoordinatorOutput, Fencing, Gate, GroupMessage, Order,
    OrderReply, Rank, RankId, RankInput, RankOutput, Report, Safeguards, SwitchSettings,
};

/// The number of ranks in the group.
pub(crate) const RANKS: usize = 3;

/// The number of coordinators; they run at the first ranks.
pub(crate) const COORDINATORS: usize = 2;

/// The distance between the first incarnations of two ranks, so that incarnations stay unique.
const INCARNATION_STRIDE: u64 = 16;

/// One rank: the state machine of its agent, and its engine with the gate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Node {
    pub(crate) rank: Rank,
    pub(crate) restarts: u64,
    pub(crate) gate: Gate,
    pub(crate) next_step: u64,
    /// The order whose reply the agent awaits; the engine replies within the same action.
    pub(crate) pending_order: Option<(Term, Order)>,
    /// An order of an agent that has crashed; the engine may still carry it out.
    pub(crate) orphaned_order: Option<(Term, Order)>,
}

/// The state of the group and its network.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub(crate) nodes: [Rc<Node>; RANKS],
    pub(crate) coordinators: [Rc<Coordinator>; COORDINATORS],
    /// The messages in flight. Each may arrive at any time or never, and some arrive more than
    /// once.
    ///
    /// [`Context`] assigns the numbers, which are in ascending order here.
    pub(crate) in_flight: Vec<u16>,
    /// The version of the map that each step runs on; `None` before the step begins.
    pub(crate) step_maps: Vec<Option<MapVersion>>,
    /// Whether a step has begun on different maps at different ranks.
    pub(crate) mixed_maps: bool,
    pub(crate) late_reports: u8,
    pub(crate) duplicates: u8,
    pub(crate) crashes: u8,
    pub(crate) takeovers: u8,
    pub(crate) timeouts: u8,
}

/// The settings and the message numbers of a search.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) settings: SwitchSettings,
    pub(crate) fencing: Fencing,
    /// All messages of the search, indexed by their numbers. States contain only the numbers, which
    /// keeps them small.
    messages: RefCell<Vec<Envelope>>,
    numbers: RefCell<Map<Envelope, u16>>,
}

/// A message and the rank that receives it.
pub(crate) type Envelope = (RankId, GroupMessage);

impl Context {
    pub(crate) fn new(fencing: Fencing, safeguards: Safeguards) -> Self {
        let settings = SwitchSettings {
            ranks: RANKS as u16,
            // Without a margin, any rank may begin the step of the switch before it is armed, which
            // is the worst case.
            margin_steps: 0,
            safeguards,
            ..SwitchSettings::default()
        };
        // Rejection of lower terms by the engines is part of the same safeguard.
        let fencing = if safeguards.fence {
            fencing
        } else {
            Fencing::Ignored
        };
        Self {
            settings,
            fencing,
            messages: RefCell::default(),
            numbers: RefCell::default(),
        }
    }

    /// Returns the message with this number.
    pub(crate) fn message(&self, number: u16) -> Envelope {
        self.messages.borrow()[usize::from(number)]
    }

    /// Returns the number of a message, and assigns one to a new message.
    fn number(&self, envelope: Envelope) -> u16 {
        *self
            .numbers
            .borrow_mut()
            .entry(envelope)
            .or_insert_with(|| {
                let mut messages = self.messages.borrow_mut();
                messages.push(envelope);
                (messages.len() - 1) as u16
            })
    }
}

impl State {
    /// Returns a group on map version 0 whose first coordinator has just received a proposal.
    pub(crate) fn new(context: &Context, steps: usize) -> Self {
        let nodes = std::array::from_fn(|at| Rc::new(node(context, at)));
        let coordinators = std::array::from_fn(|at| Rc::new(coordinator(context, at, 0)));
        let mut state = Self {
            nodes,
            coordinators,
            in_flight: Vec::new(),
            step_maps: vec![None; steps],
            mixed_maps: false,
            late_reports: 0,
            duplicates: 0,
            crashes: 0,
            takeovers: 0,
            timeouts: 0,
        };
        state.drive_coordinator(
            0,
            Millis::ZERO,
            CoordinatorInput::Propose { digest: 7 },
            context,
        );
        state
    }

    /// Passes an input to a coordinator and sends its commands.
    pub(crate) fn drive_coordinator(
        &mut self,
        at: usize,
        now: Millis,
        input: CoordinatorInput,
        context: &Context,
    ) {
        let mut out = Vec::new();
        Rc::make_mut(&mut self.coordinators[at]).handle(now, input, &mut out);
        for output in out {
            if let CoordinatorOutput::Command { to, command } = output {
                self.send((to, GroupMessage::Command(command)), context);
            }
        }
        self.drop_obsolete_messages(context);
    }

    /// Passes an input to a rank, sends its reports and records its order for the engine.
    pub(crate) fn drive_rank(
        &mut self,
        at: usize,
        now: Millis,
        input: RankInput,
        context: &Context,
    ) {
        let mut out = Vec::new();
        let node = self.node_mut(at);
        node.rank.handle(now, input, &mut out);
        for output in out {
            match output {
                RankOutput::Order { term, order } => {
                    self.node_mut(at).pending_order = Some((term, order))
                }
                RankOutput::Report { to, report } => {
                    self.send((to, GroupMessage::Report(report)), context);
                }
                RankOutput::TakeOver => {}
            }
        }
    }

    /// Lets the engine carry out the agent's orders and the agent handle the replies, until no
    /// order is pending.
    pub(crate) fn execute_orders(&mut self, at: usize, context: &Context) {
        while let Some((term, order)) = self.nodes[at].pending_order {
            let node = self.node_mut(at);
            node.pending_order = None;
            let rejection = node.execute(term, order, context);
            // The reported step only determines the step of the switch. An old one is the worst
            // case.
            let reply = OrderReply {
                rejection,
                gate: node.gate,
                next_step: 0,
            };
            self.drive_rank(at, Millis::ZERO, RankInput::Reply(reply), context);
        }
    }

    /// Lets the engine carry out an order of an agent that has crashed.
    pub(crate) fn execute_orphaned_order(&mut self, at: usize, context: &Context) {
        let node = self.node_mut(at);
        if let Some((term, order)) = node.orphaned_order.take() {
            node.execute(term, order, context);
        }
    }

    /// Begins the next step of a rank if no other rank is behind it and its gate permits the step.
    ///
    /// Returns whether the step has begun.
    pub(crate) fn begin_step(&mut self, at: usize, context: &Context) -> bool {
        let step = self.nodes[at].next_step;
        let lowest = self.nodes.iter().map(|node| node.next_step).min();
        let Some(map) = self.nodes[at]
            .gate
            .map_for(step, context.settings.safeguards)
        else {
            return false;
        };
        if lowest != Some(step) || step as usize >= self.step_maps.len() {
            return false;
        }
        let node = self.node_mut(at);
        node.gate.begin_step(step);
        node.next_step += 1;
        let begun_on = &mut self.step_maps[step as usize];
        self.mixed_maps |= begun_on.is_some_and(|other| other != map);
        *begun_on = Some(map);
        true
    }

    /// Crashes and restarts an agent, and with it the coordinator that it runs.
    pub(crate) fn restart_agent(&mut self, at: usize, context: &Context) {
        let node = self.node_mut(at);
        node.restarts += 1;
        node.orphaned_order = node
            .pending_order
            .take()
            .filter(|(_, order)| changes_gate(*order));
        node.rank = Rank::new(
            context.settings,
            RankId(at as u16),
            incarnation(at, node.restarts),
        );
        let restarts = node.restarts;
        if at < COORDINATORS {
            self.coordinators[at] = Rc::new(coordinator(context, at, restarts));
        }
        self.drive_rank(at, Millis::ZERO, RankInput::Tick, context);
        self.execute_orders(at, context);
        self.drop_obsolete_messages(context);
    }

    /// Drops messages that can have no effect, now or later.
    pub(crate) fn drop_obsolete_messages(&mut self, context: &Context) {
        let mut in_flight = std::mem::take(&mut self.in_flight);
        in_flight.retain(|number| match context.message(*number) {
            (to, GroupMessage::Report(report)) => {
                let receiver = self.coordinators.get(usize::from(to.0));
                receiver.is_some_and(|receiver| !is_obsolete_report(receiver, report))
            }
            (to, GroupMessage::Command(command)) => {
                !self.is_obsolete_command(to, &command, context)
            }
        });
        self.in_flight = in_flight;
    }

    /// Returns whether a command will always be refused and its coordinator will ignore the
    /// refusal.
    fn is_obsolete_command(&self, to: RankId, command: &Command, context: &Context) -> bool {
        let sender = &self.coordinators[usize::from(command.coordinator.0)];
        if !sender.is_idle() && sender.term() == command.term {
            return false;
        }
        let node = &self.nodes[usize::from(to.0)];
        let fenced = command.term < node.rank.gate().fence && context.settings.safeguards.fence;
        let other_incarnation = command
            .agent
            .is_some_and(|agent| agent != node.rank.agent());
        fenced || other_incarnation
    }

    /// Removes a message from the network.
    pub(crate) fn remove_message(&mut self, envelope: &Envelope, context: &Context) {
        let number = context.number(*envelope);
        self.in_flight.retain(|other| *other != number);
    }

    fn send(&mut self, envelope: Envelope, context: &Context) {
        let number = context.number(envelope);
        if let Err(at) = self.in_flight.binary_search(&number) {
            self.in_flight.insert(at, number);
        }
    }

    fn node_mut(&mut self, at: usize) -> &mut Node {
        Rc::make_mut(&mut self.nodes[at])
    }
}

impl Node {
    fn execute(
        &mut self,
        term: Term,
        order: Order,
        context: &Context,
    ) -> Option<sardinepin_groups::Rejection> {
        let rejection = self
            .gate
            .apply(term, order, self.next_step, context.fencing)
            .err();
        // The model lets loading take no time, because loading has no effect on the map of a step.
        if let Order::Stage(map) = order {
            self.gate.mark_loaded(map);
        }
        rejection
    }
}

fn node(context: &Context, at: usize) -> Node {
    let mut rank = Rank::new(context.settings, RankId(at as u16), incarnation(at, 0));
    let reply = OrderReply {
        rejection: None,
        gate: Gate::default(),
        next_step: 0,
    };
    rank.handle(Millis::ZERO, RankInput::Tick, &mut Vec::new());
    rank.handle(Millis::ZERO, RankInput::Reply(reply), &mut Vec::new());
    Node {
        rank,
        restarts: 0,
        gate: Gate::default(),
        next_step: 0,
        pending_order: None,
        orphaned_order: None,
    }
}

fn coordinator(context: &Context, at: usize, restarts: u64) -> Coordinator {
    Coordinator::new(
        context.settings,
        RankId(at as u16),
        incarnation(at, restarts),
    )
}

/// Returns whether a report can have no effect, now or later.
///
/// A coordinator only adds to its views, so a report that adds nothing now never will. A refusal
/// may still have an effect until the coordinator has given the switch up or decided it.
fn is_obsolete_report(coordinator: &Coordinator, report: Report) -> bool {
    if coordinator.is_idle() || report.term != coordinator.term() {
        return true;
    }
    let past_arming = matches!(coordinator.phase(), "closing" | "finishing");
    if report.refusal.is_some() && !past_arming {
        return false;
    }
    let mut after = coordinator.clone();
    let mut out = Vec::new();
    after.handle(Millis::ZERO, CoordinatorInput::Report(report), &mut out);
    out.is_empty() && after == *coordinator
}

fn incarnation(at: usize, restarts: u64) -> Incarnation {
    Incarnation(1 + at as u64 * INCARNATION_STRIDE + restarts)
}

fn changes_gate(order: Order) -> bool {
    !matches!(order, Order::Look)
}
