//! A group of three ranks with two coordinators, their network and their engines.

use std::cell::RefCell;
use std::rc::Rc;

use sardinepin_common::{Incarnation, Map, MapVersion, Millis, Term};
use sardinepin_groups::{
    Command, Coordinator, CoordinatorInput, CoordinatorOutput, Fencing, Gate, GroupMessage, Order,
    OrderReply, Rank, RankId, RankInput, RankOutput, Report, Safeguards, SwitchSettings,
};

/// How many ranks the group has.
pub(crate) const RANKS: usize = 3;

/// The homes of the coordinators.
pub(crate) const COORDINATORS: usize = 2;

/// How far apart the lives of two ranks are numbered.
const LIVES: u64 = 16;

/// One rank: the agent's machine, and the engine with its gate.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Node {
    pub(crate) rank: Rank,
    pub(crate) lives: u64,
    pub(crate) gate: Gate,
    pub(crate) next_step: u64,
    /// The order that the living agent waits for; engines answer within the same action.
    pub(crate) pending: Option<(Term, Order)>,
    /// An order of an agent that is gone; it may still be carried out.
    pub(crate) orphan: Option<(Term, Order)>,
}

/// The whole group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct World {
    pub(crate) nodes: [Rc<Node>; RANKS],
    pub(crate) coordinators: [Rc<Coordinator>; COORDINATORS],
    /// The messages under way. Each may arrive at any time or never, and some arrive again.
    ///
    /// They are numbered by [`Rules`], in ascending order here.
    pub(crate) sent: Vec<u16>,
    /// The map that each step began on.
    pub(crate) steps: Vec<Option<MapVersion>>,
    pub(crate) mixed: bool,
    pub(crate) late: u8,
    pub(crate) repeats: u8,
    pub(crate) crashes: u8,
    pub(crate) takeovers: u8,
    pub(crate) expiries: u8,
}

/// What holds for a whole search.
#[derive(Debug)]
pub(crate) struct Rules {
    pub(crate) settings: SwitchSettings,
    pub(crate) fencing: Fencing,
    /// All messages of the search, by their numbers: states that hold numbers stay small.
    letters: RefCell<Vec<Letter>>,
    numbers: RefCell<Map<Letter, u16>>,
}

/// A message and the rank that it goes to.
pub(crate) type Letter = (RankId, GroupMessage);

impl Rules {
    pub(crate) fn new(fencing: Fencing, safeguards: Safeguards) -> Self {
        let settings = SwitchSettings {
            ranks: RANKS as u16,
            // Any rank may begin the step of the switch before it is armed: the tightest case.
            margin_steps: 0,
            safeguards,
            ..SwitchSettings::default()
        };
        // Engines refuse lower terms as a part of the same protection.
        let fencing = if safeguards.fence {
            fencing
        } else {
            Fencing::Ignored
        };
        Self {
            settings,
            fencing,
            letters: RefCell::default(),
            numbers: RefCell::default(),
        }
    }

    /// Returns the message with a number.
    pub(crate) fn letter(&self, number: u16) -> Letter {
        self.letters.borrow()[usize::from(number)]
    }

    /// Returns the number of a message, a new one if need be.
    fn number(&self, letter: Letter) -> u16 {
        *self.numbers.borrow_mut().entry(letter).or_insert_with(|| {
            let mut letters = self.letters.borrow_mut();
            letters.push(letter);
            (letters.len() - 1) as u16
        })
    }
}

impl World {
    /// Makes a group on version 0 whose first coordinator has just been given a proposal.
    pub(crate) fn new(rules: &Rules, steps: usize) -> Self {
        let nodes = std::array::from_fn(|at| Rc::new(node(rules, at)));
        let coordinators = std::array::from_fn(|at| Rc::new(coordinator(rules, at, 0)));
        let mut world = Self {
            nodes,
            coordinators,
            sent: Vec::new(),
            steps: vec![None; steps],
            mixed: false,
            late: 0,
            repeats: 0,
            crashes: 0,
            takeovers: 0,
            expiries: 0,
        };
        world.coordinate(
            0,
            Millis::ZERO,
            CoordinatorInput::Propose { digest: 7 },
            rules,
        );
        world
    }

    /// Passes an input to a coordinator and sends what it says.
    pub(crate) fn coordinate(
        &mut self,
        at: usize,
        now: Millis,
        input: CoordinatorInput,
        rules: &Rules,
    ) {
        let mut out = Vec::new();
        Rc::make_mut(&mut self.coordinators[at]).handle(now, input, &mut out);
        for output in out {
            if let CoordinatorOutput::Command { to, command } = output {
                self.send((to, GroupMessage::Command(command)), rules);
            }
        }
        self.forget(rules);
    }

    /// Passes an input to a rank, sends its reports and hands its order to the engine.
    pub(crate) fn drive(&mut self, at: usize, now: Millis, input: RankInput, rules: &Rules) {
        let mut out = Vec::new();
        let node = self.node(at);
        node.rank.handle(now, input, &mut out);
        for output in out {
            match output {
                RankOutput::Order { term, order } => self.node(at).pending = Some((term, order)),
                RankOutput::Report { to, report } => {
                    self.send((to, GroupMessage::Report(report)), rules);
                }
                RankOutput::TakeOver => {}
            }
        }
    }

    /// Lets the engine carry out the agent's orders, and the agent take the answers in.
    pub(crate) fn execute(&mut self, at: usize, rules: &Rules) {
        while let Some((term, order)) = self.nodes[at].pending {
            let node = self.node(at);
            node.pending = None;
            let rejection = node.carry_out(term, order, rules);
            // Steps in reports only place the switch; the worst case is an old one.
            let reply = OrderReply {
                rejection,
                gate: node.gate,
                next_step: 0,
            };
            self.drive(at, Millis::ZERO, RankInput::Reply(reply), rules);
        }
    }

    /// Lets the engine carry out an order of an agent that is gone.
    pub(crate) fn execute_orphan(&mut self, at: usize, rules: &Rules) {
        let node = self.node(at);
        if let Some((term, order)) = node.orphan.take() {
            node.carry_out(term, order, rules);
        }
    }

    /// Begins the next step of a rank if the others have kept up and its gate lets it.
    pub(crate) fn step(&mut self, at: usize, rules: &Rules) -> bool {
        let step = self.nodes[at].next_step;
        let lowest = self.nodes.iter().map(|node| node.next_step).min();
        let Some(map) = self.nodes[at].gate.map_for(step, rules.settings.safeguards) else {
            return false;
        };
        if lowest != Some(step) || step as usize >= self.steps.len() {
            return false;
        }
        let node = self.node(at);
        node.gate.begin_step(step);
        node.next_step += 1;
        let begun = &mut self.steps[step as usize];
        self.mixed |= begun.is_some_and(|other| other != map);
        *begun = Some(map);
        true
    }

    /// Ends an agent, with the coordinator in it, and starts the next one.
    pub(crate) fn crash(&mut self, at: usize, rules: &Rules) {
        let node = self.node(at);
        node.lives += 1;
        node.orphan = node.pending.take().filter(|(_, order)| changes(*order));
        node.rank = Rank::new(rules.settings, RankId(at as u16), life(at, node.lives));
        let lives = node.lives;
        if at < COORDINATORS {
            self.coordinators[at] = Rc::new(coordinator(rules, at, lives));
        }
        self.drive(at, Millis::ZERO, RankInput::Tick, rules);
        self.execute(at, rules);
        self.forget(rules);
    }

    /// Drops messages that change nothing now nor later.
    pub(crate) fn forget(&mut self, rules: &Rules) {
        let mut sent = std::mem::take(&mut self.sent);
        sent.retain(|number| match rules.letter(*number) {
            (to, GroupMessage::Report(report)) => {
                let home = self.coordinators.get(usize::from(to.0));
                home.is_some_and(|home| !is_spent(home, report))
            }
            (to, GroupMessage::Command(command)) => !self.is_dead(to, &command, rules),
        });
        self.sent = sent;
    }

    /// Returns whether a command will be refused for ever, and nobody cares for the refusal.
    fn is_dead(&self, to: RankId, command: &Command, rules: &Rules) -> bool {
        let sender = &self.coordinators[usize::from(command.coordinator.0)];
        if !sender.is_idle() && sender.term() == command.term {
            return false;
        }
        let node = &self.nodes[usize::from(to.0)];
        let fenced = command.term < node.rank.gate().fence && rules.settings.safeguards.fence;
        let other = command
            .agent
            .is_some_and(|agent| agent != node.rank.agent());
        fenced || other
    }

    /// Takes a message out of the network.
    pub(crate) fn take(&mut self, letter: &Letter, rules: &Rules) {
        let number = rules.number(*letter);
        self.sent.retain(|other| *other != number);
    }

    fn send(&mut self, letter: Letter, rules: &Rules) {
        let number = rules.number(letter);
        if let Err(at) = self.sent.binary_search(&number) {
            self.sent.insert(at, number);
        }
    }

    fn node(&mut self, at: usize) -> &mut Node {
        Rc::make_mut(&mut self.nodes[at])
    }
}

impl Node {
    fn carry_out(
        &mut self,
        term: Term,
        order: Order,
        rules: &Rules,
    ) -> Option<sardinepin_groups::Rejection> {
        let rejection = self
            .gate
            .apply(term, order, self.next_step, rules.fencing)
            .err();
        // Loading takes no time here; it changes nothing that a step could see.
        if let Order::Stage(map) = order {
            self.gate.mark_loaded(map);
        }
        rejection
    }
}

fn node(rules: &Rules, at: usize) -> Node {
    let mut rank = Rank::new(rules.settings, RankId(at as u16), life(at, 0));
    let reply = OrderReply {
        rejection: None,
        gate: Gate::default(),
        next_step: 0,
    };
    rank.handle(Millis::ZERO, RankInput::Tick, &mut Vec::new());
    rank.handle(Millis::ZERO, RankInput::Reply(reply), &mut Vec::new());
    Node {
        rank,
        lives: 0,
        gate: Gate::default(),
        next_step: 0,
        pending: None,
        orphan: None,
    }
}

fn coordinator(rules: &Rules, at: usize, lives: u64) -> Coordinator {
    Coordinator::new(rules.settings, RankId(at as u16), life(at, lives))
}

/// Returns whether a report changes nothing now nor later.
///
/// Views only grow, so a report that adds nothing never will; a refusal may still count until
/// the coordinator has given the switch up or decided it.
fn is_spent(coordinator: &Coordinator, report: Report) -> bool {
    if coordinator.is_idle() || report.term != coordinator.term() {
        return true;
    }
    let over = matches!(coordinator.phase(), "closing" | "finishing");
    if report.refusal.is_some() && !over {
        return false;
    }
    let mut after = coordinator.clone();
    let mut out = Vec::new();
    after.handle(Millis::ZERO, CoordinatorInput::Report(report), &mut out);
    out.is_empty() && after == *coordinator
}

fn life(at: usize, lives: u64) -> Incarnation {
    Incarnation(1 + at as u64 * LIVES + lives)
}

fn changes(order: Order) -> bool {
    !matches!(order, Order::Look)
}
