//! The coordinator's side of a map switch: it prepares, arms and decides, or finishes what
//! another one began.

use std::hash::{Hash, Hasher};

use sardinepin_common::{Incarnation, MapVersion, Millis, Term};
use statig::Outcome;
use statig::blocking::{IntoStateMachine, IntoStateMachineExt, State, StateMachine};

use crate::switch::gate::MapId;
use crate::switch::messages::{Command, RankId, Report, Request, term_counter, term_for};
use crate::switch::settings::{Ending, SwitchSettings};
use crate::switch::since::Since;
use crate::switch::views::{Verdict, Views};

/// What happens to a coordinator machine.
#[derive(Debug, Clone, Copy)]
pub enum CoordinatorInput {
    /// Switch to a map with this digest, unless another switch has to be finished first.
    Propose {
        /// The digest of the map's content.
        digest: u64,
    },
    /// Finish what another coordinator may have left.
    TakeOver,
    /// A rank has answered.
    Report(Report),
    /// Time has passed.
    Tick,
}

/// What a coordinator machine wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CoordinatorOutput {
    /// A command to a rank.
    Command {
        /// Where it goes.
        to: RankId,
        /// The command.
        command: Command,
    },
    /// The map got its version and is about to be loaded; ranks need its content now.
    VersionAssigned(MapId),
    /// The work ended.
    Ended(Ending),
}

/// The coordinator machine; it sleeps in every agent and keeps nothing between two tasks.
#[derive(Clone, PartialEq, Eq)]
pub struct Coordinator {
    machine: StateMachine<Core>,
}

impl Coordinator {
    /// Makes a coordinator at its own rank.
    #[must_use]
    pub fn new(settings: SwitchSettings, home: RankId, agent: Incarnation) -> Self {
        let core = Core {
            settings,
            home,
            agent,
            term: Term(0),
            views: Views::new(settings.ranks),
            proposal: None,
            asked: Since::default(),
            begun: Since::default(),
        };
        Self {
            machine: core.state_machine(),
        }
    }

    /// Handles one input and adds what has to be done to `out`.
    pub fn handle(
        &mut self,
        now: Millis,
        input: CoordinatorInput,
        out: &mut Vec<CoordinatorOutput>,
    ) {
        let mut context = Context { now, out };
        self.machine.handle_with_context(&input, &mut context);
    }

    /// Returns whether nothing is under way.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        matches!(self.machine.state(), Phase::Idle)
    }

    /// Returns the term of the present or last task.
    #[must_use]
    pub fn term(&self) -> Term {
        self.machine.inner().term
    }

    /// Returns the state's name, for operators.
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

    /// Returns when the present phase is given up, if it ever is.
    #[must_use]
    pub fn deadline(&self) -> Option<Millis> {
        let core = self.machine.inner();
        core.timeout(self.machine.state())
            .map(|timeout| core.begun.0 + timeout)
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
            .field("home", &core.home)
            .field("term", &core.term)
            .finish()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Core {
    settings: SwitchSettings,
    home: RankId,
    agent: Incarnation,
    term: Term,
    views: Views,
    proposal: Option<u64>,
    asked: Since,
    begun: Since,
}

struct Context<'a> {
    now: Millis,
    out: &'a mut Vec<CoordinatorOutput>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// Nothing is under way.
    Idle,
    /// Every rank is read at this term.
    Reading,
    /// Ranks load what the next map needs.
    Staging(MapId),
    /// Ranks promise to stop before a step.
    Arming { map: MapId, step: u64 },
    /// A rank that has not armed is to be closed, so that the version can be aborted.
    Closing(MapVersion),
    /// The decision is taken and told.
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
            (phase, CoordinatorInput::Report(report)) => core.reported(phase, report, context),
            (phase, CoordinatorInput::Tick) => core.tick(phase, context),
            _ => Outcome::Handled,
        }
    }
}

impl Core {
    /// Takes a term above all that are known and reads every rank.
    fn read_all(&mut self, context: &mut Context<'_>) -> Outcome<Phase> {
        self.term = term_for(term_counter(self.term) + 1, self.agent);
        self.views = Views::new(self.settings.ranks);
        self.enter(Phase::Reading, context)
    }

    fn enter(&mut self, phase: Phase, context: &mut Context<'_>) -> Outcome<Phase> {
        self.begun = Since(context.now);
        self.ask(phase, context);
        Outcome::Transition(phase)
    }

    fn end(&mut self, ending: Ending, context: &mut Context<'_>) -> Outcome<Phase> {
        self.proposal = None;
        self.views = Views::new(self.settings.ranks);
        context.out.push(CoordinatorOutput::Ended(ending));
        Outcome::Transition(Phase::Idle)
    }

    /// Asks every rank that the phase still lacks.
    fn ask(&mut self, phase: Phase, context: &mut Context<'_>) {
        self.asked = Since(context.now);
        for to in self.lacking(phase) {
            self.ask_one(phase, to, context);
        }
    }

    fn ask_one(&self, phase: Phase, to: RankId, context: &mut Context<'_>) {
        let agent = self.views.get(to).and_then(|view| view.agent);
        // A rank that has never answered is read first: a command names its agent's life.
        let request = match agent {
            Some(_) => request_for(phase),
            None => Some(Request::Read),
        };
        let Some(request) = request else {
            return;
        };
        let command = Command {
            coordinator: self.home,
            term: self.term,
            agent: agent.filter(|_| request != Request::Read),
            request,
        };
        context.out.push(CoordinatorOutput::Command { to, command });
    }

    /// Returns the ranks that the phase waits for and may ask now.
    fn lacking(&self, phase: Phase) -> Vec<RankId> {
        match phase {
            Phase::Idle => Vec::new(),
            Phase::Reading => self.views.lacking(|_| true),
            Phase::Staging(map) => self.views.unloaded(map),
            Phase::Arming { map, .. } => self.to_arm(map.version),
            Phase::Closing(version) => self.views.lacking(|view| view.gate.has_armed(version)),
            Phase::Finishing { version, commit } => self.untold(version, commit),
        }
    }

    /// Returns the ranks to arm next: the coordinator's own comes last.
    ///
    /// As long as it has not armed it can be closed, so a rank that falls silent now cannot keep
    /// the others waiting.
    fn to_arm(&self, version: MapVersion) -> Vec<RankId> {
        let mut lacking = self.views.lacking(|view| view.gate.has_armed(version));
        if lacking.len() > 1 {
            lacking.retain(|rank| *rank != self.home);
        }
        lacking
    }

    fn untold(&self, version: MapVersion, commit: bool) -> Vec<RankId> {
        if commit {
            self.views.lacking(|view| view.gate.has_committed(version))
        } else {
            self.views.lacking(|view| view.gate.has_closed(version))
        }
    }

    fn reported(
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
            return self.end(Ending::Outranked, context);
        }
        let known = self.views.get(report.rank).and_then(|view| view.agent);
        let reborn = known.is_some_and(|agent| agent != report.agent);
        let before = self.lacking(phase);
        self.views.update(report);
        let outcome = self.advance(phase, reborn || report.refusal.is_some(), context);
        if matches!(outcome, Outcome::Handled) {
            let met = known == Some(report.agent);
            self.ask_newly(phase, &before, report.rank, met, context);
        }
        outcome
    }

    /// Asks the ranks that a report made ready to be asked; the rest waits for its resend.
    fn ask_newly(
        &self,
        phase: Phase,
        before: &[RankId],
        reporter: RankId,
        met: bool,
        context: &mut Context<'_>,
    ) {
        for rank in self.lacking(phase) {
            if !before.contains(&rank) || rank == reporter && !met {
                self.ask_one(phase, rank, context);
            }
        }
    }

    /// Goes on to the next phase if what is known allows it.
    fn advance(&mut self, phase: Phase, failed: bool, context: &mut Context<'_>) -> Outcome<Phase> {
        match phase {
            Phase::Idle => Outcome::Handled,
            Phase::Reading => self.read(context),
            Phase::Staging(_) if failed => self.abandon(phase, context),
            Phase::Staging(map) => self.staged(map, context),
            Phase::Arming { map, .. } => match self.views.verdict(map.version) {
                Verdict::Open if failed => self.settle(map.version, true, context),
                _ => self.settle(map.version, false, context),
            },
            Phase::Closing(version) => self.settle(version, false, context),
            Phase::Finishing { version, commit } => self.finished(version, commit, context),
        }
    }

    fn read(&mut self, context: &mut Context<'_>) -> Outcome<Phase> {
        if let Some(version) = self.views.unsettled() {
            let unarmed = self.views.answered(|view| !view.gate.has_armed(version));
            return self.settle(version, !unarmed.is_empty(), context);
        }
        if !self.lacking(Phase::Reading).is_empty() {
            return Outcome::Handled;
        }
        match self.proposal {
            Some(digest) => {
                let version = self.views.next_version();
                let map = MapId { version, digest };
                context.out.push(CoordinatorOutput::VersionAssigned(map));
                self.enter(Phase::Staging(map), context)
            }
            None => self.end(Ending::Settled, context),
        }
    }

    fn staged(&mut self, map: MapId, context: &mut Context<'_>) -> Outcome<Phase> {
        if !self.lacking(Phase::Staging(map)).is_empty() {
            return Outcome::Handled;
        }
        let step = self.views.latest_step() + self.settings.margin_steps;
        self.enter(Phase::Arming { map, step }, context)
    }

    /// Decides on a version as soon as that is safe; `close` asks for an abort where it is open.
    fn settle(
        &mut self,
        version: MapVersion,
        close: bool,
        context: &mut Context<'_>,
    ) -> Outcome<Phase> {
        let commit = match self.views.verdict(version) {
            Verdict::Commit => true,
            Verdict::Abort => false,
            Verdict::Open if close && self.settings.safeguards.fence => {
                return self.enter(Phase::Closing(version), context);
            }
            Verdict::Open if close => false,
            Verdict::Open => return Outcome::Handled,
        };
        let phase = Phase::Finishing { version, commit };
        if self.untold(version, commit).is_empty() {
            return self.finished(version, commit, context);
        }
        self.enter(phase, context)
    }

    fn finished(
        &mut self,
        version: MapVersion,
        commit: bool,
        context: &mut Context<'_>,
    ) -> Outcome<Phase> {
        if !self.untold(version, commit).is_empty() {
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
        self.end(ending, context)
    }

    fn abandon(&mut self, phase: Phase, context: &mut Context<'_>) -> Outcome<Phase> {
        let silent = self.lacking(phase);
        self.end(Ending::Abandoned { silent }, context)
    }

    fn tick(&mut self, phase: Phase, context: &mut Context<'_>) -> Outcome<Phase> {
        let spent = context.now.since(self.begun.0);
        if self.timeout(&phase).is_some_and(|timeout| spent >= timeout) {
            return self.expired(phase, context);
        }
        let pause = match phase {
            Phase::Staging(_) => self.settings.stage_interval,
            _ => self.settings.resend_interval,
        };
        if context.now.since(self.asked.0) >= pause {
            self.ask(phase, context);
        }
        Outcome::Handled
    }

    fn timeout(&self, phase: &Phase) -> Option<Millis> {
        match phase {
            Phase::Reading => Some(self.settings.read_timeout),
            Phase::Staging(_) => Some(self.settings.stage_timeout),
            Phase::Arming { .. } => Some(self.settings.arm_timeout),
            Phase::Finishing { commit: false, .. } => Some(self.settings.finish_timeout),
            // These ranks wait until it is done, so it is never given up.
            Phase::Idle | Phase::Closing(_) | Phase::Finishing { commit: true, .. } => None,
        }
    }

    fn expired(&mut self, phase: Phase, context: &mut Context<'_>) -> Outcome<Phase> {
        match phase {
            Phase::Reading if self.views.unsettled().is_some() => {
                // A promise is known, so this goes on until the version is decided.
                self.enter(phase, context)
            }
            Phase::Arming { map, .. } => self.settle(map.version, true, context),
            Phase::Finishing { version, .. } => {
                let silent = self.lacking(phase);
                self.end(Ending::Aborted { version, silent }, context)
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
