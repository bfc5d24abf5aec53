//! The rank's side of a map switch: it checks commands and drives its engine.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

use sardinepin_common::{Incarnation, Millis, Term};
use statig::Outcome;
use statig::blocking::{IntoStateMachine, IntoStateMachineExt, State, StateMachine};

use crate::switch::gate::{Gate, Order, OrderReply, Rejection};
use crate::switch::messages::{Command, RankId, Refusal, Report, Request};
use crate::switch::settings::SwitchSettings;
use crate::switch::since::Since;

/// How many commands wait for the engine; a coordinator sends them again if they do not fit.
const QUEUE_MAX: usize = 64;

/// What happens to a rank machine.
#[derive(Debug, Clone, Copy)]
pub enum RankInput {
    /// A command has arrived.
    Command(Command),
    /// The engine has answered the last order.
    Reply(OrderReply),
    /// The engine has not answered the last order, which may or may not be carried out.
    ReplyLost,
    /// Time has passed.
    Tick,
}

/// What a rank machine wants done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RankOutput {
    /// An order to the engine; the next one follows only after its reply or its loss.
    Order {
        /// The fencing number.
        term: Term,
        /// The order.
        order: Order,
    },
    /// A report to the coordinator at a rank.
    Report {
        /// Where it goes.
        to: RankId,
        /// The report.
        report: Report,
    },
    /// The engine waits, or soon will, and no coordinator has been heard for a while.
    TakeOver,
}

/// The rank machine; it lives in the agent and forgets everything with it.
#[derive(Clone, PartialEq, Eq)]
pub struct Rank {
    machine: StateMachine<Core>,
}

impl Rank {
    /// Makes the machine of a fresh agent; the first [`RankInput::Tick`] reads the gate back.
    #[must_use]
    pub fn new(settings: SwitchSettings, rank: RankId, agent: Incarnation) -> Self {
        let core = Core {
            settings,
            rank,
            agent,
            gate: Gate::default(),
            next_step: 0,
            queue: VecDeque::new(),
            heard: Since::default(),
            looked: Since::default(),
        };
        Self {
            machine: core.state_machine(),
        }
    }

    /// Handles one input and adds what has to be done to `out`.
    pub fn handle(&mut self, now: Millis, input: RankInput, out: &mut Vec<RankOutput>) {
        let mut context = Context { now, out };
        self.machine.handle_with_context(&input, &mut context);
    }

    /// Returns the gate as the engine last gave it.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.machine.inner().gate
    }

    /// Returns the life of the agent.
    #[must_use]
    pub fn agent(&self) -> Incarnation {
        self.machine.inner().agent
    }

    /// Returns whether an order is under way.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        matches!(self.machine.state(), Phase::Ordered(_))
    }
}

impl Hash for Rank {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.machine.state().hash(hasher);
        self.machine.inner().hash(hasher);
    }
}

impl std::fmt::Debug for Rank {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let core = self.machine.inner();
        out.debug_struct("Rank")
            .field("phase", self.machine.state())
            .field("agent", &core.agent)
            .field("gate", &core.gate)
            .field("queue", &core.queue)
            .finish()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Core {
    settings: SwitchSettings,
    rank: RankId,
    agent: Incarnation,
    gate: Gate,
    next_step: u64,
    queue: VecDeque<Command>,
    heard: Since,
    looked: Since,
}

struct Context<'a> {
    now: Millis,
    out: &'a mut Vec<RankOutput>,
}

/// An order under way and the command that it answers; looks answer none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Job {
    Own,
    For(Command),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// The gate has not been read back yet.
    Fresh,
    /// No order is under way.
    Free,
    /// An order is under way.
    Ordered(Job),
}

impl IntoStateMachine for Core {
    type Event<'evt> = RankInput;
    type Context<'ctx> = Context<'ctx>;
    type State = Phase;
    type Superstate<'sub> = ();

    fn initial() -> Phase {
        Phase::Fresh
    }
}

impl State<Core> for Phase {
    fn call_handler(
        &mut self,
        core: &mut Core,
        event: &RankInput,
        context: &mut Context<'_>,
    ) -> Outcome<Self> {
        if let RankInput::Command(command) = event {
            core.take(*command, context.now);
        }
        match (self.clone(), event) {
            (Self::Fresh, _) => core.look(context),
            (Self::Free, RankInput::Command(_)) => core.next(context),
            (Self::Free, RankInput::Tick) => core.tick(context),
            (Self::Ordered(job), RankInput::Reply(reply)) => core.replied(job, *reply, context),
            // Nothing is known of the order, so the gate is read before anything else.
            (Self::Ordered(_), RankInput::ReplyLost) => core.look(context),
            _ => Outcome::Handled,
        }
    }
}

impl Core {
    fn take(&mut self, command: Command, now: Millis) {
        self.heard = Since(now);
        if self.queue.len() < QUEUE_MAX && !self.queue.contains(&command) {
            self.queue.push_back(command);
        }
    }

    fn look(&mut self, context: &mut Context<'_>) -> Outcome<Phase> {
        self.looked = Since(context.now);
        self.order(Job::Own, self.gate.fence, Order::Look, context)
    }

    fn order(
        &self,
        job: Job,
        term: Term,
        order: Order,
        context: &mut Context<'_>,
    ) -> Outcome<Phase> {
        context.out.push(RankOutput::Order { term, order });
        Outcome::Transition(Phase::Ordered(job))
    }

    /// Takes the engine's answer in, reports it and goes on with the next command.
    fn replied(
        &mut self,
        job: Job,
        reply: OrderReply,
        context: &mut Context<'_>,
    ) -> Outcome<Phase> {
        self.gate = reply.gate;
        self.next_step = reply.next_step;
        if let Job::For(command) = job {
            self.report(command, reply.rejection.map(Refusal::Rejected), context);
        }
        self.next(context)
    }

    /// Turns the next command into an order; refused ones are reported at once.
    fn next(&mut self, context: &mut Context<'_>) -> Outcome<Phase> {
        if let Some(version) = self.gate.stale_armed() {
            return self.order(Job::Own, self.gate.fence, Order::Abort(version), context);
        }
        while let Some(command) = self.queue.pop_front() {
            match self.check(&command) {
                Some(refusal) => self.report(command, Some(refusal), context),
                None => {
                    let order = order_for(command.request);
                    return self.order(Job::For(command), command.term, order, context);
                }
            }
        }
        Outcome::Transition(Phase::Free)
    }

    /// Returns why a command is refused without asking the engine.
    fn check(&self, command: &Command) -> Option<Refusal> {
        if command.agent.is_some_and(|agent| agent != self.agent) {
            return Some(Refusal::OtherLife);
        }
        if command.agent.is_none() && command.request != Request::Read {
            return Some(Refusal::OtherLife);
        }
        if command.term < self.gate.fence && self.settings.safeguards.fence {
            return Some(Refusal::Rejected(Rejection::Fenced));
        }
        match command.request {
            Request::Arm { map, .. } if self.gate.effective().has_closed(map.version) => {
                Some(Refusal::Rejected(Rejection::Closed))
            }
            _ => None,
        }
    }

    fn report(&self, command: Command, refusal: Option<Refusal>, context: &mut Context<'_>) {
        let report = Report {
            rank: self.rank,
            agent: self.agent,
            term: command.term,
            refusal,
            gate: self.gate.effective(),
            next_step: self.next_step,
        };
        context.out.push(RankOutput::Report {
            to: command.coordinator,
            report,
        });
    }

    fn tick(&mut self, context: &mut Context<'_>) -> Outcome<Phase> {
        let waits = self.gate.armed.is_some_and(|armed| !armed.committed);
        if waits && context.now.since(self.heard.0) >= self.settings.takeover_timeout {
            self.heard = Since(context.now);
            context.out.push(RankOutput::TakeOver);
        }
        if context.now.since(self.looked.0) >= self.settings.poll_interval {
            return self.look(context);
        }
        Outcome::Handled
    }
}

fn order_for(request: Request) -> Order {
    match request {
        Request::Read => Order::Fence,
        Request::Prepare(map) => Order::Stage(map),
        Request::Arm { map, step } => Order::Arm { map, step },
        Request::Close(version) => Order::Close(version),
        Request::Commit(version) => Order::Commit(version),
        Request::Abort(version) => Order::Abort(version),
    }
}
