//! The state machine of a rank in a map switch: checks commands and sends orders to the engine.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

use sardinepin_common::{Incarnation, Millis, Term};
use statig::Outcome;
use statig::blocking::{IntoStateMachine, IntoStateMachineExt, State, StateMachine};

use crate::switch::gate::{Gate, Order, OrderReply, Rejection};
use crate::switch::ignored_time::IgnoredTime;
use crate::switch::messages::{Command, RankId, Refusal, Report, Request};
use crate::switch::settings::SwitchSettings;

/// The most commands that wait for the engine. Further ones are dropped; their coordinator sends
/// them again.
const QUEUE_MAX: usize = 64;

/// An input of the rank state machine.
#[derive(Debug, Clone, Copy)]
pub enum RankInput {
    /// A command has arrived.
    Command(Command),
    /// The engine has replied to the last order.
    Reply(OrderReply),
    /// The engine has not replied to the last order, so it is unknown whether it was carried out.
    ReplyLost,
    /// Time has passed.
    Tick,
}

/// An action that the rank state machine requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RankOutput {
    /// Send an order to the engine; the next one follows only after the reply or its loss.
    Order {
        /// The fencing term.
        term: Term,
        /// The order.
        order: Order,
    },
    /// Send a report to a coordinator.
    Report {
        /// The rank of the coordinator.
        to: RankId,
        /// The report.
        report: Report,
    },
    /// Start another coordinator: the engine is armed but not committed, and no command has arrived
    /// for [`SwitchSettings::takeover_timeout`].
    TakeOver,
}

/// The state machine of a rank. It runs in the agent, and its state is lost when the agent stops.
#[derive(Clone, PartialEq, Eq)]
pub struct Rank {
    machine: StateMachine<Core>,
}

impl Rank {
    /// Returns the state machine of an agent that has just started.
    ///
    /// The first input, normally a [`RankInput::Tick`], makes it read the gate from the engine.
    #[must_use]
    pub fn new(settings: SwitchSettings, rank: RankId, agent: Incarnation) -> Self {
        let core = Core {
            settings,
            rank,
            agent,
            gate: Gate::default(),
            next_step: 0,
            queue: VecDeque::new(),
            commanded_at: IgnoredTime::default(),
            polled_at: IgnoredTime::default(),
        };
        Self {
            machine: core.state_machine(),
        }
    }

    /// Handles one input and appends the requested actions to `out`.
    pub fn handle(&mut self, now: Millis, input: RankInput, out: &mut Vec<RankOutput>) {
        let mut context = Context { now, out };
        self.machine.handle_with_context(&input, &mut context);
    }

    /// Returns the gate as last reported by the engine.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.machine.inner().gate
    }

    /// Returns the incarnation of the agent.
    #[must_use]
    pub fn agent(&self) -> Incarnation {
        self.machine.inner().agent
    }

    /// Returns whether an order has been sent and awaits its reply.
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
    commanded_at: IgnoredTime,
    polled_at: IgnoredTime,
}

struct Context<'a> {
    now: Millis,
    out: &'a mut Vec<RankOutput>,
}

/// The origin of the order that awaits a reply: the rank itself, or a coordinator's command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Job {
    Internal,
    Command(Command),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// The gate has not been read from the engine yet.
    Unread,
    /// No order awaits a reply.
    Idle,
    /// An order awaits a reply.
    Ordered(Job),
}

impl IntoStateMachine for Core {
    type Event<'evt> = RankInput;
    type Context<'ctx> = Context<'ctx>;
    type State = Phase;
    type Superstate<'sub> = ();

    fn initial() -> Phase {
        Phase::Unread
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
            core.enqueue(*command, context.now);
        }
        match (self.clone(), event) {
            (Self::Unread, _) => core.poll_engine(context),
            (Self::Idle, RankInput::Command(_)) => core.run_next(context),
            (Self::Idle, RankInput::Tick) => core.tick(context),
            (Self::Ordered(job), RankInput::Reply(reply)) => {
                core.handle_reply(job, *reply, context)
            }
            // It is unknown whether the order was carried out, so the gate is read first.
            (Self::Ordered(_), RankInput::ReplyLost) => core.poll_engine(context),
            _ => Outcome::Handled,
        }
    }
}

impl Core {
    fn enqueue(&mut self, command: Command, now: Millis) {
        self.commanded_at = IgnoredTime(now);
        if self.queue.len() < QUEUE_MAX && !self.queue.contains(&command) {
            self.queue.push_back(command);
        }
    }

    fn poll_engine(&mut self, context: &mut Context<'_>) -> Outcome<Phase> {
        self.polled_at = IgnoredTime(context.now);
        self.send_order(Job::Internal, self.gate.fence, Order::Look, context)
    }

    fn send_order(
        &self,
        job: Job,
        term: Term,
        order: Order,
        context: &mut Context<'_>,
    ) -> Outcome<Phase> {
        context.out.push(RankOutput::Order { term, order });
        Outcome::Transition(Phase::Ordered(job))
    }

    /// Records the engine's reply, reports it and handles the next command.
    fn handle_reply(
        &mut self,
        job: Job,
        reply: OrderReply,
        context: &mut Context<'_>,
    ) -> Outcome<Phase> {
        self.gate = reply.gate;
        self.next_step = reply.next_step;
        if let Job::Command(command) = job {
            self.send_report(command, reply.rejection.map(Refusal::Rejected), context);
        }
        self.run_next(context)
    }

    /// Sends the order for the next acceptable command; refused commands are reported at once.
    fn run_next(&mut self, context: &mut Context<'_>) -> Outcome<Phase> {
        if let Some(version) = self.gate.stale_armed() {
            return self.send_order(
                Job::Internal,
                self.gate.fence,
                Order::Abort(version),
                context,
            );
        }
        while let Some(command) = self.queue.pop_front() {
            match self.refusal_for(&command) {
                Some(refusal) => self.send_report(command, Some(refusal), context),
                None => {
                    let order = order_for(command.request);
                    return self.send_order(Job::Command(command), command.term, order, context);
                }
            }
        }
        Outcome::Transition(Phase::Idle)
    }

    /// Returns why a command must be refused without an order to the engine, if it must.
    fn refusal_for(&self, command: &Command) -> Option<Refusal> {
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

    fn send_report(&self, command: Command, refusal: Option<Refusal>, context: &mut Context<'_>) {
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
        let waiting = self.gate.armed.is_some_and(|armed| !armed.committed);
        if waiting && context.now.since(self.commanded_at.0) >= self.settings.takeover_timeout {
            self.commanded_at = IgnoredTime(context.now);
            context.out.push(RankOutput::TakeOver);
        }
        if context.now.since(self.polled_at.0) >= self.settings.poll_interval {
            return self.poll_engine(context);
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
