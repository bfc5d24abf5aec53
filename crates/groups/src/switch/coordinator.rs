//! The state machine of the coordinator in a map switch: prepares, arms and decides a switch, or
//! completes one that another coordinator began.

use std::hash::{Hash, Hasher};

use sardinepin_common::{Incarnation, MapVersion, Millis, Term};
use statig::Outcome;
use statig::blocking::{IntoStateMachine, IntoStateMachineExt, State, StateMachine};

use crate::switch::gate::MapId;
use crate::switch::ignored_time::IgnoredTime;
use crate::switch::messages::{Command, RankId, Report, Request, term_counter, term_for};
use crate::switch::settings::{Ending, SwitchSettings};
use crate::switch::views::{Decision, Views};

/// An input of the coordinator state machine.
#[derive(Debug, Clone, Copy)]
pub enum CoordinatorInput {
    /// Switch to a map with this digest, unless an unfinished switch must be completed first.
    Propose {
        /// The digest of the map's content.
        digest: u64,
    },
    /// Complete a switch that another coordinator may have left unfinished.
    TakeOver,
    /// A report of a rank has arrived.
    Report(Report),
    /// Time has passed.
    Tick,
}

/// An action that the coordinator state machine requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CoordinatorOutput {
    /// Send a command to a rank.
    Command {
        /// The rank that receives the command.
        to: RankId,
        /// The command.
        command: Command,
    },
    /// The proposed map has received its version. Ranks are about to load it and need its content.
    VersionAssigned(MapId),
    /// The task has ended.
    Ended(Ending),
}

/// The state machine of a coordinator.
///
/// Every agent has one. It is idle between tasks and keeps only its term from one task to the next.
#[derive(Clone, PartialEq, Eq)]
pub struct Coordinator {
    machine: StateMachine<Core>,
}

impl Coordinator {
    /// Returns an idle coordinator that runs at `own_rank`.
    #[must_use]
    pub fn new(settings: SwitchSettings, own_rank: RankId, agent: Incarnation) -> Self {
        let core = Core {
            settings,
            own_rank,
            agent,
            term: Term(0),
            views: Views::new(settings.ranks),
            proposal: None,
            asked_at: IgnoredTime::default(),
            phase_began: IgnoredTime::default(),
        };
        Self {
            machine: core.state_machine(),
        }
    }

    /// Handles one input and appends the requested actions to `out`.
    pub fn handle(
        &mut self,
        now: Millis,
        input: CoordinatorInput,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let mut context = Context { now, out };
        self.machine.handle_with_context(&input, &mut context);
    }

    /// Returns whether no task is in progress.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        matches!(self.machine.state(), Phase::Idle)
    }

    /// Returns the term of the current or last task.
    #[must_use]
    pub fn term(&self) -> Term {
        self.machine.inner().term
    }

    /// Returns the name of the current phase, for operators.
    #[must_use]
    pub fn phase(&self) -> &'static str {
        match self.machine.state() {
            Phase::Idle => "idle",
            Phase::Reading => "reading",
            Phase::Staging(_) => "staging",
            Phase::Arming { .. } => "arming",
            Phase::Closing(_) => "closing",
            Phase::Finishing { .. } => "finishing",
        }
    }

    /// Returns when the current phase times out; `None` if it has no timeout.
    #[must_use]
    pub fn deadline(&self) -> Option<Millis> {
        let core = self.machine.inner();
        core.timeout(self.machine.state())
            .map(|timeout| core.phase_began.0 + timeout)
    }
}

impl Hash for Coordinator {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.machine.state().hash(hasher);
        self.machine.inner().hash(hasher);
    }
}

impl std::fmt::Debug for Coordinator {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let core = self.machine.inner();
        out.debug_struct("Coordinator")
            .field("phase", self.machine.state())
            .field("home", &core.own_rank)
            .field("term", &core.term)
            .finish()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Core {
    settings: SwitchSettings,
    own_rank: RankId,
    agent: Incarnation,
    term: Term,
    views: Views,
    proposal: Option<u64>,
    asked_at: IgnoredTime,
    phase_began: IgnoredTime,
}

struct Context<'a> {
    now: Millis,
    out: &'a mut Vec<CoordinatorOutput>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// No task is in progress.
    Idle,
    /// Every rank is asked for its gate at the coordinator's term.
    Reading,
    /// Ranks load the weights of the next map.
    Staging(MapId),
    /// Ranks are armed for a step.
    Arming { map: MapId, step: u64 },
    /// A rank that has not armed the version is closed, so that the version can be aborted.
    Closing(MapVersion),
    /// The version is decided, and the decision is sent to the ranks.
    Finishing { version: MapVersion, commit: bool },
}

impl IntoStateMachine for Core {
    type Event<'evt> = CoordinatorInput;
    type Context<'ctx> = Context<'ctx>;
    type State = Phase;
    type Superstate<'sub> = ();

    fn initial() -> Phase {
        Phase::Idle
    }
}

impl State<Core> for Phase {
    fn call_handler(
        &mut self,
        core: &mut Core,
        event: &CoordinatorInput,
        context: &mut Context<'_>,
    ) -> Outcome<Self> {
        match (*self, event) {
            (Self::Idle, CoordinatorInput::Propose { digest }) => {
                core.proposal = Some(*digest);
                core.read_all(context)
            }
            (Self::Idle, CoordinatorInput::TakeOver) => {
                core.proposal = None;
                core.read_all(context)
            }
            (Self::Idle, _) => Outcome::Handled,
            (phase, CoordinatorInput::Report(report)) => core.handle_report(phase, report, context),
            (phase, CoordinatorInput::Tick) => core.tick(phase, context),
            _ => Outcome::Handled,
        }
    }
}

impl Core {
    /// Starts a task at a new term by reading every rank.
    fn read_all(&mut self, context: &mut Context<'_>) -> Outcome<Phase> {
        self.term = term_for(term_counter(self.term) + 1, self.agent);
        self.views = Views::new(self.settings.ranks);
        self.enter(Phase::Reading, context)
    }

    fn enter(&mut self, phase: Phase, context: &mut Context<'_>) -> Outcome<Phase> {
        self.phase_began = IgnoredTime(context.now);
        self.send_requests(phase, context);
        Outcome::Transition(phase)
    }

    fn finish(&mut self, ending: Ending, context: &mut Context<'_>) -> Outcome<Phase> {
        self.proposal = None;
        self.views = Views::new(self.settings.ranks);
        context.out.push(CoordinatorOutput::Ended(ending));
        Outcome::Transition(Phase::Idle)
    }

    /// Sends the request of the phase to every outstanding rank.
    fn send_requests(&mut self, phase: Phase, context: &mut Context<'_>) {
        self.asked_at = IgnoredTime(context.now);
        for to in self.outstanding(phase) {
            self.send_request(phase, to, context);
        }
    }

    fn send_request(&self, phase: Phase, to: RankId, context: &mut Context<'_>) {
        let agent = self.views.get(to).and_then(|view| view.agent);
        // A rank that has not reported is read first, because a command needs the incarnation of
        // its agent.
        let request = match agent {
            Some(_) => request_for(phase),
            None => Some(Request::Read),
        };
        let Some(request) = request else {
            return;
        };
        let command = Command {
            coordinator: self.own_rank,
            term: self.term,
            agent: agent.filter(|_| request != Request::Read),
            request,
        };
        context.out.push(CoordinatorOutput::Command { to, command });
    }

    /// Returns the ranks whose report the phase needs and to which a request may be sent now.
    fn outstanding(&self, phase: Phase) -> Vec<RankId> {
        match phase {
            Phase::Idle => Vec::new(),
            Phase::Reading => self.views.ranks_without(|_| true),
            Phase::Staging(map) => self.views.ranks_to_load(map),
            Phase::Arming { map, .. } => self.ranks_to_arm(map.version),
            Phase::Closing(version) => self
                .views
                .ranks_without(|view| view.gate.has_armed(version)),
            Phase::Finishing { version, commit } => self.unconfirmed(version, commit),
        }
    }

    /// Returns the ranks to arm next; the coordinator's own rank is armed last.
    ///
    /// Until its own rank is armed, the coordinator can close it and abort. A rank that stops
    /// reporting in this phase therefore cannot block the others.
    fn ranks_to_arm(&self, version: MapVersion) -> Vec<RankId> {
        let mut unarmed = self
            .views
            .ranks_without(|view| view.gate.has_armed(version));
        if unarmed.len() > 1 {
            unarmed.retain(|rank| *rank != self.own_rank);
        }
        unarmed
    }

    fn unconfirmed(&self, version: MapVersion, commit: bool) -> Vec<RankId> {
        if commit {
            self.views
                .ranks_without(|view| view.gate.has_committed(version))
        } else {
            self.views
                .ranks_without(|view| view.gate.has_closed(version))
        }
    }

    fn handle_report(
        &mut self,
        phase: Phase,
        report: &Report,
        context: &mut Context<'_>,
    ) -> Outcome<Phase> {
        if report.term != self.term {
            return Outcome::Handled;
        }
        if self.settings.safeguards.fence && report.gate.fence > self.term {
            self.term = term_for(term_counter(report.gate.fence), self.agent);
            return self.finish(Ending::Outranked, context);
        }
        let known = self.views.get(report.rank).and_then(|view| view.agent);
        let restarted = known.is_some_and(|agent| agent != report.agent);
        let before = self.outstanding(phase);
        self.views.update(report);
        let outcome = self.advance(phase, restarted || report.refusal.is_some(), context);
        if matches!(outcome, Outcome::Handled) {
            let same_agent = known == Some(report.agent);
            self.send_new_requests(phase, &before, report.rank, same_agent, context);
        }
        outcome
    }

    /// Sends requests to the ranks that became outstanding through a report.
    ///
    /// Requests to the other ranks are repeated after the resend interval.
    fn send_new_requests(
        &self,
        phase: Phase,
        before: &[RankId],
        reporter: RankId,
        same_agent: bool,
        context: &mut Context<'_>,
    ) {
        for rank in self.outstanding(phase) {
            if !before.contains(&rank) || rank == reporter && !same_agent {
                self.send_request(phase, rank, context);
            }
        }
    }

    /// Moves to the next phase if the known facts allow it.
    fn advance(&mut self, phase: Phase, failed: bool, context: &mut Context<'_>) -> Outcome<Phase> {
        match phase {
            Phase::Idle => Outcome::Handled,
            Phase::Reading => self.finish_reading(context),
            Phase::Staging(_) if failed => self.abandon(phase, context),
            Phase::Staging(map) => self.finish_staging(map, context),
            Phase::Arming { map, .. } => match self.views.decision(map.version) {
                Decision::Undecided if failed => self.decide(map.version, true, context),
                _ => self.decide(map.version, false, context),
            },
            Phase::Closing(version) => self.decide(version, false, context),
            Phase::Finishing { version, commit } => self.finish_decision(version, commit, context),
        }
    }

    fn finish_reading(&mut self, context: &mut Context<'_>) -> Outcome<Phase> {
        if let Some(version) = self.views.unsettled_version() {
            let unarmed = self.views.ranks_with(|view| !view.gate.has_armed(version));
            return self.decide(version, !unarmed.is_empty(), context);
        }
        if !self.outstanding(Phase::Reading).is_empty() {
            return Outcome::Handled;
        }
        match self.proposal {
            Some(digest) => {
                let version = self.views.next_version();
                let map = MapId { version, digest };
                context.out.push(CoordinatorOutput::VersionAssigned(map));
                self.enter(Phase::Staging(map), context)
            }
            None => self.finish(Ending::Settled, context),
        }
    }

    fn finish_staging(&mut self, map: MapId, context: &mut Context<'_>) -> Outcome<Phase> {
        if !self.outstanding(Phase::Staging(map)).is_empty() {
            return Outcome::Handled;
        }
        let step = self.views.latest_step() + self.settings.margin_steps;
        self.enter(Phase::Arming { map, step }, context)
    }

    /// Decides on a version once that is safe; `close` requests an abort if it is undecided.
    fn decide(
        &mut self,
        version: MapVersion,
        close: bool,
        context: &mut Context<'_>,
    ) -> Outcome<Phase> {
        let commit = match self.views.decision(version) {
            Decision::Commit => true,
            Decision::Abort => false,
            Decision::Undecided if close && self.settings.safeguards.fence => {
                return self.enter(Phase::Closing(version), context);
            }
            Decision::Undecided if close => false,
            Decision::Undecided => return Outcome::Handled,
        };
        let phase = Phase::Finishing { version, commit };
        if self.unconfirmed(version, commit).is_empty() {
            return self.finish_decision(version, commit, context);
        }
        self.enter(phase, context)
    }

    fn finish_decision(
        &mut self,
        version: MapVersion,
        commit: bool,
        context: &mut Context<'_>,
    ) -> Outcome<Phase> {
        if !self.unconfirmed(version, commit).is_empty() {
            return Outcome::Handled;
        }
        let ending = if commit {
            Ending::Committed(version)
        } else {
            Ending::Aborted {
                version,
                silent: Vec::new(),
            }
        };
        self.finish(ending, context)
    }

    fn abandon(&mut self, phase: Phase, context: &mut Context<'_>) -> Outcome<Phase> {
        let silent = self.outstanding(phase);
        self.finish(Ending::Abandoned { silent }, context)
    }

    fn tick(&mut self, phase: Phase, context: &mut Context<'_>) -> Outcome<Phase> {
        let spent = context.now.since(self.phase_began.0);
        if self.timeout(&phase).is_some_and(|timeout| spent >= timeout) {
            return self.handle_timeout(phase, context);
        }
        let pause = match phase {
            Phase::Staging(_) => self.settings.stage_interval,
            _ => self.settings.resend_interval,
        };
        if context.now.since(self.asked_at.0) >= pause {
            self.send_requests(phase, context);
        }
        Outcome::Handled
    }

    fn timeout(&self, phase: &Phase) -> Option<Millis> {
        match phase {
            Phase::Reading => Some(self.settings.read_timeout),
            Phase::Staging(_) => Some(self.settings.stage_timeout),
            Phase::Arming { .. } => Some(self.settings.arm_timeout),
            Phase::Finishing { commit: false, .. } => Some(self.settings.finish_timeout),
            // Armed ranks wait until these phases are complete, so they have no timeout.
            Phase::Idle | Phase::Closing(_) | Phase::Finishing { commit: true, .. } => None,
        }
    }

    fn handle_timeout(&mut self, phase: Phase, context: &mut Context<'_>) -> Outcome<Phase> {
        match phase {
            Phase::Reading if self.views.unsettled_version().is_some() => {
                // A rank may be armed, so reading continues until the version is decided.
                self.enter(phase, context)
            }
            Phase::Arming { map, .. } => self.decide(map.version, true, context),
            Phase::Finishing { version, .. } => {
                let silent = self.outstanding(phase);
                self.finish(Ending::Aborted { version, silent }, context)
            }
            _ => self.abandon(phase, context),
        }
    }
}

fn request_for(phase: Phase) -> Option<Request> {
    match phase {
        Phase::Idle => None,
        Phase::Reading => Some(Request::Read),
        Phase::Staging(map) => Some(Request::Prepare(map)),
        Phase::Arming { map, step } => Some(Request::Arm { map, step }),
        Phase::Closing(version) => Some(Request::Close(version)),
        Phase::Finishing {
            version,
            commit: true,
        } => Some(Request::Commit(version)),
        Phase::Finishing { version, .. } => Some(Request::Abort(version)),
    }
}
