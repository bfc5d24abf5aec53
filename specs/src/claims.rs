//! Model of one idempotency key at two agents: repeated calls, lost and delayed writes of the
//! claim, and crashes.

use std::hash::{Hash, Hasher};

use bytes::Bytes;
use sardinepin_common::{Incarnation, Millis, Revision};
use sardinepin_decisions::{
    CachedResponse, ClaimSettings, ClaimStep, ClaimTable, KeyEvent, StoredClaim,
};
use sardinepin_protocol::{ClaimKey, ClaimState, Digest};

use crate::explorer::Model;

/// The number of agents.
const AGENTS: usize = 2;

/// The bounds of the model and the safeguards that are on.
#[derive(Debug, Clone, Copy)]
pub struct ClaimModel {
    /// How often the caller may send the call, repeats included.
    pub calls: u8,
    /// How many writes of the claim may get no answer; such a write may still take effect later.
    pub lost_writes: u8,
    /// How many crashes of agents may happen in total.
    pub crashes: u8,
    /// Whether an agent claims the key before it runs the call.
    pub claim_first: bool,
    /// Whether a process that released a claim must claim the key again before it runs the call.
    pub reclaim_released: bool,
}

impl Default for ClaimModel {
    fn default() -> Self {
        Self {
            calls: 4,
            lost_writes: 3,
            crashes: 2,
            claim_first: true,
            reclaim_released: true,
        }
    }
}

/// A conditional write of the claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    claimer: Incarnation,
    nonce: u64,
    /// The revision that the stored claim must have; `None` if no claim may be stored.
    expected_revision: Option<u64>,
}

/// The object in the store that holds the claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ClaimObject {
    claimer: Incarnation,
    nonce: u64,
    revision: u64,
    answered: bool,
}

/// What an agent does next for its only attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum AgentTask {
    Idle,
    /// Writes the claim if the stored claim has this revision; `None` if no claim may be stored.
    WriteClaim(Option<u64>),
    /// Asks the process that this claim names.
    AskClaimer(ClaimObject),
    ReadClaim,
    RunCall,
}

#[derive(Debug, Clone)]
struct Agent {
    incarnation: Incarnation,
    claims: ClaimTable,
    task: AgentTask,
}

/// The state of the caller, the agents and the store.
#[derive(Debug, Clone)]
pub struct State {
    /// The transition that led to this state; not part of its identity.
    pub last_transition: &'static str,
    agents: Vec<Agent>,
    store: Option<ClaimObject>,
    revision: u64,
    /// Writes that got no answer and have not taken effect yet.
    late_writes: Vec<Write>,
    calls: u8,
    last_nonce: u64,
    last_incarnation: u64,
    runs: u8,
    answered: bool,
    lost_writes: u8,
    crashes: u8,
}

impl State {
    /// Returns the parts that distinguish one state from another.
    fn identity(&self) -> impl Eq + Hash + '_ {
        let agents: Vec<_> = self
            .agents
            .iter()
            .map(|agent| (agent.incarnation, agent.claims.machine(&key()), &agent.task))
            .collect();
        (
            (agents, &self.store, self.revision, &self.late_writes),
            (
                self.calls,
                self.last_nonce,
                self.last_incarnation,
                self.runs,
            ),
            (self.answered, self.lost_writes, self.crashes),
        )
    }

    fn transition(&self, name: &'static str, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        next.last_transition = name;
        change(&mut next);
        next
    }

    /// Applies a write if its condition holds, and returns whether it did.
    fn apply_write(&mut self, write: &Write) -> bool {
        let condition_holds =
            self.store.as_ref().map(|stored| stored.revision) == write.expected_revision;
        if condition_holds {
            self.revision += 1;
            self.store = Some(ClaimObject {
                claimer: write.claimer,
                nonce: write.nonce,
                revision: self.revision,
                answered: false,
            });
        }
        condition_holds
    }

    fn handle_event(&mut self, at: usize, event: KeyEvent) {
        self.agents[at].claims.handle(Millis::ZERO, &key(), event);
    }

    /// Performs a step that the claim table of an agent has returned.
    fn perform(&mut self, at: usize, step: ClaimStep, model: ClaimModel) {
        self.agents[at].task = match step {
            ClaimStep::Run => self.start_run(at),
            ClaimStep::Create if !model.claim_first => {
                self.agents[at].claims.handle_claim_grant(&key());
                self.start_run(at)
            }
            ClaimStep::Create => AgentTask::WriteClaim(None),
            ClaimStep::TakeOver(_) if !model.reclaim_released && self.is_claimer(at) => {
                self.agents[at].claims.handle_claim_grant(&key());
                self.start_run(at)
            }
            ClaimStep::TakeOver(revision) => AgentTask::WriteClaim(Some(revision.0)),
            ClaimStep::AskClaimer => self
                .store
                .clone()
                .map_or(AgentTask::Idle, AgentTask::AskClaimer),
            ClaimStep::ReadAgain => AgentTask::ReadClaim,
            ClaimStep::Replay(answer) => {
                self.handle_event(at, KeyEvent::Finish(answer));
                self.answered = true;
                AgentTask::Idle
            }
            ClaimStep::Refuse(_) => {
                self.handle_event(at, KeyEvent::NotClaimed);
                AgentTask::Idle
            }
            ClaimStep::Unknown(_) => {
                self.handle_event(at, KeyEvent::LoseResponse);
                AgentTask::Idle
            }
            ClaimStep::Wait => AgentTask::Idle,
        };
    }

    fn start_run(&mut self, _at: usize) -> AgentTask {
        self.runs += 1;
        AgentTask::RunCall
    }

    /// Returns whether the stored claim names this agent.
    fn is_claimer(&self, at: usize) -> bool {
        self.store
            .as_ref()
            .is_some_and(|stored| stored.claimer == self.agents[at].incarnation)
    }

    fn new_write(&mut self, at: usize, expected_revision: Option<u64>) -> Write {
        self.last_nonce += 1;
        let nonce = self.last_nonce;
        self.handle_event(at, KeyEvent::WriteClaim(nonce));
        Write {
            claimer: self.agents[at].incarnation,
            nonce,
            expected_revision,
        }
    }

    fn write_claim(&mut self, at: usize, expected_revision: Option<u64>, model: ClaimModel) {
        let write = self.new_write(at, expected_revision);
        let step = if self.apply_write(&write) {
            self.agents[at].claims.handle_claim_grant(&key())
        } else {
            self.read_claim(at)
        };
        self.perform(at, step, model);
    }

    fn read_claim(&mut self, at: usize) -> ClaimStep {
        let Some(stored) = &self.store else {
            return ClaimStep::Create;
        };
        let claim = StoredClaim {
            claimer: stored.claimer,
            nonce: stored.nonce,
            digest: digest(),
            revision: Revision(stored.revision),
            response: stored.answered.then(answer),
        };
        self.agents[at].claims.handle_stored_claim(&key(), &claim)
    }

    fn ask_claimer(&mut self, at: usize, stored: &ClaimObject, model: ClaimModel) {
        let other = 1 - at;
        let state = if self.agents[other].incarnation == stored.claimer {
            self.agents[other]
                .claims
                .answer_query(&key(), stored.claimer)
        } else {
            ClaimState::Unknown
        };
        if state == ClaimState::Running {
            return;
        }
        let step = self.agents[at]
            .claims
            .handle_claim_state(&state, Revision(stored.revision));
        let is_unknown = matches!(step, ClaimStep::Unknown(_));
        if is_unknown {
            self.handle_event(at, KeyEvent::NotClaimed);
            self.agents[at].task = AgentTask::Idle;
        } else {
            self.perform(at, step, model);
        }
    }

    fn finish_call(&mut self, at: usize) {
        self.handle_event(at, KeyEvent::Finish(answer()));
        self.agents[at].task = AgentTask::Idle;
        self.answered = true;
        if self.is_claimer(at)
            && let Some(stored) = &mut self.store
        {
            stored.answered = true;
        }
    }

    fn restart_agent(&mut self, at: usize) {
        self.crashes += 1;
        self.last_incarnation += 1;
        self.agents[at] = new_agent(self.last_incarnation);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.identity() == other.identity()
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.identity().hash(hasher);
    }
}

impl ClaimModel {
    /// Appends the states that follow without a new call or a fault.
    fn push_fault_free(self, state: &State, next: &mut Vec<State>) {
        for at in 0..AGENTS {
            match &state.agents[at].task {
                AgentTask::Idle => {}
                AgentTask::WriteClaim(expected_revision) => {
                    next.push(state.transition("a claim is written", |s| {
                        s.write_claim(at, *expected_revision, self)
                    }));
                }
                AgentTask::AskClaimer(stored) => {
                    next.push(state.transition("an agent asks the claimer", |s| {
                        s.ask_claimer(at, stored, self)
                    }));
                }
                AgentTask::ReadClaim => {
                    next.push(state.transition("an agent reads the claim again", |s| {
                        let step = s.read_claim(at);
                        s.perform(at, step, self);
                    }))
                }
                AgentTask::RunCall => {
                    next.push(state.transition("the call ends", |s| s.finish_call(at)))
                }
            }
        }
        if !state.late_writes.is_empty() {
            next.push(state.transition("a late write reaches the store", |s| {
                let write = s.late_writes.remove(0);
                s.apply_write(&write);
            }));
        }
    }

    /// Appends the states that follow from a new call or a fault.
    fn push_faults(self, state: &State, next: &mut Vec<State>) {
        for at in 0..AGENTS {
            if state.calls < self.calls && state.agents[at].task == AgentTask::Idle {
                next.push(state.transition("the caller sends the call", |s| {
                    s.calls += 1;
                    let step = s.agents[at].claims.admit(&key(), digest());
                    s.perform(at, step, self);
                }));
            }
            if let AgentTask::WriteClaim(expected_revision) = state.agents[at].task
                && state.lost_writes < self.lost_writes
            {
                next.push(
                    state.transition("a write of the claim gets no answer", |s| {
                        s.lost_writes += 1;
                        let write = s.new_write(at, expected_revision);
                        s.late_writes.push(write);
                        s.handle_event(at, KeyEvent::NotClaimed);
                        s.agents[at].task = AgentTask::Idle;
                    }),
                );
            }
            if state.agents[at].task == AgentTask::RunCall {
                next.push(state.transition("the upstream breaks off", |s| {
                    s.handle_event(at, KeyEvent::LoseResponse);
                    s.agents[at].task = AgentTask::Idle;
                }));
                next.push(state.transition("the upstream is not reached", |s| {
                    s.runs -= 1;
                    s.handle_event(at, KeyEvent::NotRun);
                    s.agents[at].task = AgentTask::Idle;
                }));
            }
            if state.crashes < self.crashes {
                next.push(
                    state.transition("an agent crashes and restarts", |s| s.restart_agent(at)),
                );
            }
        }
    }
}

impl Model for ClaimModel {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            last_transition: "start",
            agents: vec![new_agent(1), new_agent(2)],
            store: None,
            revision: 0,
            late_writes: Vec::new(),
            calls: 0,
            last_nonce: 0,
            last_incarnation: 2,
            runs: 0,
            answered: false,
            lost_writes: 0,
            crashes: 0,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        self.push_fault_free(state, &mut next);
        self.push_faults(state, &mut next);
        next
    }

    fn fault_free_successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        self.push_fault_free(state, &mut next);
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        (state.runs > 1).then_some("a keyed call ran twice")
    }

    /// The goal is that no attempt is open. Whether the call was answered depends on earlier
    /// faults.
    fn is_goal(&self, state: &State) -> bool {
        state
            .agents
            .iter()
            .all(|agent| agent.task == AgentTask::Idle)
    }
}

fn new_agent(incarnation: u64) -> Agent {
    let incarnation = Incarnation(incarnation);
    Agent {
        incarnation,
        claims: ClaimTable::new(ClaimSettings::default(), incarnation),
        task: AgentTask::Idle,
    }
}

fn key() -> ClaimKey {
    ClaimKey {
        organisation: "o".to_owned(),
        service: "s".to_owned(),
        key: "k".to_owned(),
    }
}

fn digest() -> Digest {
    Digest([0; 16])
}

fn answer() -> CachedResponse {
    CachedResponse {
        status: 200,
        headers: Vec::new(),
        body: Bytes::new(),
    }
}
