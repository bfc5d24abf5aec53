//! One idempotency key at two agents: repeats, lost and late writes of the claim, crashes.

use std::hash::{Hash, Hasher};

use bytes::Bytes;
use sardinepin_common::{Incarnation, Millis, Revision};
use sardinepin_decisions::{
    CachedResponse, ClaimSettings, ClaimStep, ClaimTable, KeyEvent, StoredClaim,
};
use sardinepin_protocol::{ClaimKey, ClaimState, Digest};

use crate::explore::Model;

/// How many agents there are.
const AGENTS: usize = 2;

/// The case to be explored.
#[derive(Debug, Clone, Copy)]
pub struct ClaimCase {
    /// How often the caller may send the call.
    pub requests: u8,
    /// How many writes may be lost.
    pub losses: u8,
    /// How often an agent may crash.
    pub crashes: u8,
    /// Whether the key is claimed before its call runs.
    pub claims_first: bool,
    /// Whether a process that released a key claims it anew.
    pub keeps_release: bool,
}

impl Default for ClaimCase {
    fn default() -> Self {
        Self {
            requests: 4,
            losses: 3,
            crashes: 2,
            claims_first: true,
            keeps_release: true,
        }
    }
}

/// A conditional write.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    claimer: Incarnation,
    nonce: u64,
    /// The revision that must stand; `None` if no claim may stand.
    expect: Option<u64>,
}

/// The claim in the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Stored {
    claimer: Incarnation,
    nonce: u64,
    revision: u64,
    answered: bool,
}

/// What an agent does with its one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Doing {
    Nothing,
    Write(Option<u64>),
    Ask(Stored),
    Look,
    Running,
}

#[derive(Debug, Clone)]
struct Agent {
    own: Incarnation,
    claims: ClaimTable,
    doing: Doing,
}

/// One state of caller, agents and store.
#[derive(Debug, Clone)]
pub struct ClaimWorld {
    /// What led here.
    pub last: &'static str,
    agents: Vec<Agent>,
    store: Option<Stored>,
    revision: u64,
    /// Writes whose answers were lost and that have not taken effect yet.
    late: Vec<Write>,
    sent: u8,
    nonces: u64,
    lives: u64,
    ran: u8,
    answered: bool,
    losses: u8,
    crashes: u8,
}

impl ClaimWorld {
    fn view(&self) -> impl Eq + Hash + '_ {
        let agents: Vec<_> = self
            .agents
            .iter()
            .map(|agent| (agent.own, agent.claims.machine(&key()), &agent.doing))
            .collect();
        (
            (agents, &self.store, self.revision, &self.late),
            (self.sent, self.nonces, self.lives, self.ran),
            (self.answered, self.losses, self.crashes),
        )
    }

    fn step(&self, last: &'static str, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        next.last = last;
        change(&mut next);
        next
    }

    /// Returns whether the write took effect.
    fn apply(&mut self, write: &Write) -> bool {
        let holds = self.store.as_ref().map(|stored| stored.revision) == write.expect;
        if holds {
            self.revision += 1;
            self.store = Some(Stored {
                claimer: write.claimer,
                nonce: write.nonce,
                revision: self.revision,
                answered: false,
            });
        }
        holds
    }

    fn event(&mut self, at: usize, event: KeyEvent) {
        self.agents[at].claims.handle(Millis::ZERO, &key(), event);
    }

    /// Does what follows from a step at an agent.
    fn follow(&mut self, at: usize, step: ClaimStep, case: ClaimCase) {
        self.agents[at].doing = match step {
            ClaimStep::Run => self.run(at),
            ClaimStep::Create if !case.claims_first => {
                self.agents[at].claims.handle_claim_grant(&key());
                self.run(at)
            }
            ClaimStep::Create => Doing::Write(None),
            ClaimStep::TakeOver(_) if !case.keeps_release && self.names(at) => {
                self.agents[at].claims.handle_claim_grant(&key());
                self.run(at)
            }
            ClaimStep::TakeOver(revision) => Doing::Write(Some(revision.0)),
            ClaimStep::AskClaimer => self.store.clone().map_or(Doing::Nothing, Doing::Ask),
            ClaimStep::ReadAgain => Doing::Look,
            ClaimStep::Replay(answer) => {
                self.event(at, KeyEvent::Finish(answer));
                self.answered = true;
                Doing::Nothing
            }
            ClaimStep::Refuse(_) => {
                self.event(at, KeyEvent::NotClaimed);
                Doing::Nothing
            }
            ClaimStep::Unknown(_) => {
                self.event(at, KeyEvent::LoseResponse);
                Doing::Nothing
            }
            ClaimStep::Wait => Doing::Nothing,
        };
    }

    fn run(&mut self, _at: usize) -> Doing {
        self.ran += 1;
        Doing::Running
    }

    /// Returns whether the claim names this agent.
    fn names(&self, at: usize) -> bool {
        self.store
            .as_ref()
            .is_some_and(|stored| stored.claimer == self.agents[at].own)
    }

    fn new_write(&mut self, at: usize, expect: Option<u64>) -> Write {
        self.nonces += 1;
        let nonce = self.nonces;
        self.event(at, KeyEvent::WriteClaim(nonce));
        Write {
            claimer: self.agents[at].own,
            nonce,
            expect,
        }
    }

    fn write(&mut self, at: usize, expect: Option<u64>, case: ClaimCase) {
        let write = self.new_write(at, expect);
        let step = if self.apply(&write) {
            self.agents[at].claims.handle_claim_grant(&key())
        } else {
            self.found(at)
        };
        self.follow(at, step, case);
    }

    fn found(&mut self, at: usize) -> ClaimStep {
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

    fn ask(&mut self, at: usize, stored: &Stored, case: ClaimCase) {
        let other = 1 - at;
        let state = if self.agents[other].own == stored.claimer {
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
        let gone = matches!(step, ClaimStep::Unknown(_));
        if gone {
            self.event(at, KeyEvent::NotClaimed);
            self.agents[at].doing = Doing::Nothing;
        } else {
            self.follow(at, step, case);
        }
    }

    fn finish(&mut self, at: usize) {
        self.event(at, KeyEvent::Finish(answer()));
        self.agents[at].doing = Doing::Nothing;
        self.answered = true;
        if self.names(at)
            && let Some(stored) = &mut self.store
        {
            stored.answered = true;
        }
    }

    fn crash(&mut self, at: usize) {
        self.crashes += 1;
        self.lives += 1;
        self.agents[at] = new_agent(self.lives);
    }
}

impl PartialEq for ClaimWorld {
    fn eq(&self, other: &Self) -> bool {
        self.view() == other.view()
    }
}

impl Eq for ClaimWorld {}

impl Hash for ClaimWorld {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.view().hash(hasher);
    }
}

impl ClaimCase {
    fn work(self, world: &ClaimWorld, next: &mut Vec<ClaimWorld>) {
        for at in 0..AGENTS {
            match &world.agents[at].doing {
                Doing::Nothing => {}
                Doing::Write(expect) => {
                    next.push(world.step("a claim is written", |w| w.write(at, *expect, self)));
                }
                Doing::Ask(stored) => {
                    next.push(world.step("an agent asks the claimer", |w| w.ask(at, stored, self)));
                }
                Doing::Look => next.push(world.step("an agent reads the claim again", |w| {
                    let step = w.found(at);
                    w.follow(at, step, self);
                })),
                Doing::Running => next.push(world.step("the call ends", |w| w.finish(at))),
            }
        }
        if !world.late.is_empty() {
            next.push(world.step("a late write comes to the store", |w| {
                let write = w.late.remove(0);
                w.apply(&write);
            }));
        }
    }

    fn trouble(self, world: &ClaimWorld, next: &mut Vec<ClaimWorld>) {
        for at in 0..AGENTS {
            if world.sent < self.requests && world.agents[at].doing == Doing::Nothing {
                next.push(world.step("the caller sends the call", |w| {
                    w.sent += 1;
                    let step = w.agents[at].claims.admit(&key(), digest());
                    w.follow(at, step, self);
                }));
            }
            if let Doing::Write(expect) = world.agents[at].doing
                && world.losses < self.losses
            {
                next.push(world.step("a claim's write is lost", |w| {
                    w.losses += 1;
                    let write = w.new_write(at, expect);
                    w.late.push(write);
                    w.event(at, KeyEvent::NotClaimed);
                    w.agents[at].doing = Doing::Nothing;
                }));
            }
            if world.agents[at].doing == Doing::Running {
                next.push(world.step("the upstream breaks off", |w| {
                    w.event(at, KeyEvent::LoseResponse);
                    w.agents[at].doing = Doing::Nothing;
                }));
                next.push(world.step("the upstream is not reached", |w| {
                    w.ran -= 1;
                    w.event(at, KeyEvent::NotRun);
                    w.agents[at].doing = Doing::Nothing;
                }));
            }
            if world.crashes < self.crashes {
                next.push(world.step("an agent crashes", |w| w.crash(at)));
            }
        }
    }
}

impl Model for ClaimCase {
    type State = ClaimWorld;

    fn start(&self) -> ClaimWorld {
        ClaimWorld {
            last: "start",
            agents: vec![new_agent(1), new_agent(2)],
            store: None,
            revision: 0,
            late: Vec::new(),
            sent: 0,
            nonces: 0,
            lives: 2,
            ran: 0,
            answered: false,
            losses: 0,
            crashes: 0,
        }
    }

    fn successors(&self, world: &ClaimWorld) -> Vec<ClaimWorld> {
        let mut next = Vec::new();
        self.work(world, &mut next);
        self.trouble(world, &mut next);
        next
    }

    fn calm_successors(&self, world: &ClaimWorld) -> Vec<ClaimWorld> {
        let mut next = Vec::new();
        self.work(world, &mut next);
        next
    }

    fn fault(&self, world: &ClaimWorld) -> Option<&'static str> {
        (world.ran > 1).then_some("a keyed call ran twice")
    }

    /// Every attempt comes to its end; whether with an answer depends on the faults before.
    fn is_settled(&self, world: &ClaimWorld) -> bool {
        world
            .agents
            .iter()
            .all(|agent| agent.doing == Doing::Nothing)
    }
}

fn new_agent(life: u64) -> Agent {
    let own = Incarnation(life);
    Agent {
        own,
        claims: ClaimTable::new(ClaimSettings::default(), own),
        doing: Doing::Nothing,
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
