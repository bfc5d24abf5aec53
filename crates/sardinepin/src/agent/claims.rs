//! Claims a key in the platform's store before its call runs.

mod record;
pub(crate) mod sweep;

use std::net::SocketAddr;

use sardinepin_common::{Incarnation, Millis, Revision};
use sardinepin_decisions::{AttemptEvent, CachedAnswer, ClaimStep, KeyEvent};
use sardinepin_protocol::{Attempt, ClaimKey, ClaimState, ErrorKind, ToAgent, ToEntry};
use sardinepin_store::{ConditionalWrite, Object, Precondition, StoreError, write_and_confirm};
use tokio::time::timeout;

use crate::agent::answer::AnswerEnd;
use crate::agent::claims::record::{ClaimRecord, claim_name};
use crate::agent::state::Agent;
use crate::link;

/// The wait before a running call, or a waiting attempt, is looked at again.
const ASK_PAUSE: Millis = Millis(50);

/// How long another agent may take to answer a question about a claim.
const ASK_MAX: Millis = Millis(1_000);

/// The right to run a keyed call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Permit {
    /// The revision of the claim that names this process.
    revision: Revision,
    /// Whether the attempt was already marked as begun.
    pub(crate) begun: bool,
}

/// Claims one key for one attempt.
struct Claimer<'a> {
    agent: &'a Agent,
    attempt: &'a Attempt,
    key: &'a ClaimKey,
    /// Whether this attempt is the one that claims the key here.
    claiming: bool,
    begun: bool,
    deadline: Millis,
    /// The claim that was found last.
    found: Option<(ClaimRecord, Revision)>,
    revision: Revision,
}

/// Obtains the right to run a keyed call; `None` if the attempt has ended without a run of its own.
pub(crate) async fn obtain(agent: &Agent, attempt: &Attempt, key: &ClaimKey) -> Option<Permit> {
    let mut claimer = Claimer {
        agent,
        attempt,
        key,
        claiming: false,
        deadline: agent.clock.now() + Millis(u64::from(attempt.budget_ms)),
        begun: false,
        found: None,
        revision: Revision::default(),
    };
    claimer.run().await
}

/// Takes in how a claimed call ended: a whole answer is kept here and, if small, behind the claim.
pub(crate) async fn finished(
    agent: &Agent,
    attempt: &Attempt,
    key: &ClaimKey,
    permit: Permit,
    answer: Option<CachedAnswer>,
) {
    let Some(answer) = answer else {
        return agent
            .keys
            .handle(agent.clock.now(), key, KeyEvent::LoseAnswer);
    };
    let event = KeyEvent::Finish(answer.clone());
    agent.keys.handle(agent.clock.now(), key, event);
    let Some(store) = &agent.keys.store else {
        return;
    };
    let record = ClaimRecord::new(agent, attempt, rand::random()).with_answer(&answer);
    let value = record.to_json();
    let change = ConditionalWrite {
        key: &claim_name(key),
        precondition: Precondition::Revision(permit.revision),
        write_id: &write_id(),
        value: Some(&value),
    };
    if let Err(error) = write_and_confirm(store.as_ref(), change).await {
        log::warn!(event = "answer_not_kept", error:% = error; "an answer was not written behind its claim");
    }
}

/// Takes in that a claimed call did not reach the upstream.
pub(crate) fn not_run(agent: &Agent, key: &ClaimKey) {
    agent.keys.handle(agent.clock.now(), key, KeyEvent::NotRun);
}

impl Claimer<'_> {
    async fn run(&mut self) -> Option<Permit> {
        let mut step = self.open();
        while self.agent.clock.now() < self.deadline {
            step = match step {
                ClaimStep::Run => return self.permit(),
                ClaimStep::Create => self.write(Precondition::Absent).await,
                ClaimStep::TakeOver(revision) => self.write(Precondition::Revision(revision)).await,
                ClaimStep::AskClaimer => self.ask_until_settled().await,
                ClaimStep::ReadAgain => self.look().await,
                ClaimStep::Wait => self.wait().await,
                ClaimStep::Replay(answer) => return self.replay(answer),
                ClaimStep::Refuse(kind) => return self.refuse(kind),
                ClaimStep::Unknown(kind) => return self.unknown(kind),
            };
        }
        self.unknown(ErrorKind::DeadlinePassed)
    }

    fn open(&mut self) -> ClaimStep {
        let step = self
            .agent
            .keys
            .claims()
            .admit(self.key, self.attempt.digest);
        self.claiming = step == ClaimStep::Create;
        step
    }

    async fn write(&mut self, expect: Precondition) -> ClaimStep {
        let Some(store) = &self.agent.keys.store else {
            return ClaimStep::Refuse(ErrorKind::PlatformOut);
        };
        let nonce = rand::random();
        self.event(KeyEvent::WriteClaim(nonce));
        let value = ClaimRecord::new(self.agent, self.attempt, nonce).to_json();
        let change = ConditionalWrite {
            key: &claim_name(self.key),
            precondition: expect,
            write_id: &write_id(),
            value: Some(&value),
        };
        match write_and_confirm(store.as_ref(), change).await {
            Ok(revision) => {
                self.revision = revision;
                self.agent.keys.claims().claim_granted(self.key)
            }
            Err(StoreError::Conflict(Some(object))) => self.found(&object),
            Err(StoreError::Conflict(None)) => ClaimStep::Create,
            Err(error) => {
                log::warn!(event = "claim_failed", error:% = error; "a key could not be claimed");
                ClaimStep::Refuse(ErrorKind::PlatformOut)
            }
        }
    }

    fn found(&mut self, object: &Object) -> ClaimStep {
        let Some((record, claim)) = ClaimRecord::read(object) else {
            log::error!(event = "claim_unreadable", key = object.key.as_str(); "a claim cannot be read");
            return ClaimStep::Unknown(ErrorKind::Internal);
        };
        self.revision = object.revision;
        self.found = Some((record, object.revision));
        self.agent.keys.claims().claim_found(self.key, &claim)
    }

    /// Asks the claiming process again and again, for as long as it says that the call runs.
    async fn ask_until_settled(&mut self) -> ClaimStep {
        // From here on the call may have run, under its first attempt.
        if !self.begin() {
            return ClaimStep::Refuse(ErrorKind::Tombstoned);
        }
        let Some((record, revision)) = &self.found else {
            return ClaimStep::Unknown(ErrorKind::Internal);
        };
        loop {
            let Some(state) = ask(self.agent, self.key, record.address, record.claimer).await
            else {
                return self.look_again().await;
            };
            let step = self.agent.keys.claims().claimer_answered(&state, *revision);
            if step != ClaimStep::AskClaimer {
                return step;
            }
            if self.agent.clock.now() >= self.deadline {
                return ClaimStep::Unknown(ErrorKind::DeadlinePassed);
            }
            tokio::time::sleep(ASK_PAUSE.duration()).await;
        }
    }

    /// Reads a claim that is changing hands once more.
    async fn look(&mut self) -> ClaimStep {
        tokio::time::sleep(ASK_PAUSE.duration()).await;
        let Some(store) = &self.agent.keys.store else {
            return ClaimStep::Refuse(ErrorKind::PlatformOut);
        };
        match store.get(&claim_name(self.key)).await {
            Ok(Some(object)) => self.found(&object),
            Ok(None) => ClaimStep::Create,
            Err(_) => ClaimStep::Refuse(ErrorKind::PlatformOut),
        }
    }

    /// Reads the claim once more: its claimer is gone, but may have left the answer behind it.
    async fn look_again(&self) -> ClaimStep {
        let gone = ClaimStep::Unknown(ErrorKind::ClaimerGone);
        let Some(store) = &self.agent.keys.store else {
            return gone;
        };
        let Ok(Some(object)) = store.get(&claim_name(self.key)).await else {
            return gone;
        };
        match ClaimRecord::read(&object).and_then(|(_, claim)| claim.answer) {
            Some(answer) => ClaimStep::Replay(answer),
            None => gone,
        }
    }

    async fn wait(&mut self) -> ClaimStep {
        // Another attempt of the key may be running the call at this moment.
        if !self.begin() {
            return ClaimStep::Refuse(ErrorKind::Tombstoned);
        }
        loop {
            let step = self.open();
            if step != ClaimStep::Wait {
                return step;
            }
            if self.agent.clock.now() >= self.deadline {
                return ClaimStep::Unknown(ErrorKind::DeadlinePassed);
            }
            self.agent.keys.changed(ASK_PAUSE).await;
        }
    }

    fn begin(&mut self) -> bool {
        self.begun = self.begun || self.agent.begin(self.attempt.id);
        self.begun
    }

    fn permit(&self) -> Option<Permit> {
        Some(Permit {
            revision: self.revision,
            begun: self.begun,
        })
    }

    fn replay(&mut self, answer: CachedAnswer) -> Option<Permit> {
        if self.begin() {
            self.agent.replay(self.attempt.id, &answer);
        }
        self.event(KeyEvent::Finish(answer));
        None
    }

    fn refuse(&mut self, kind: ErrorKind) -> Option<Permit> {
        self.event(KeyEvent::NotClaimed);
        let id = self.attempt.id;
        if self.begun {
            self.agent
                .end(id, AttemptEvent::Unreached, AnswerEnd::Refused(kind));
        } else {
            self.agent.refuse(id, kind);
        }
        None
    }

    fn unknown(&mut self, kind: ErrorKind) -> Option<Permit> {
        // What could not be learnt now may be learnt later: the key stays open to be asked about.
        let event = if kind == ErrorKind::AnswerGone {
            KeyEvent::LoseAnswer
        } else {
            KeyEvent::NotClaimed
        };
        self.event(event);
        if self.begin() {
            let id = self.attempt.id;
            self.agent
                .end(id, AttemptEvent::Break(kind), AnswerEnd::Broken(kind));
        }
        None
    }

    /// Tells the key what happened, if this attempt is the one that claims it.
    fn event(&self, event: KeyEvent) {
        if self.claiming {
            self.agent
                .keys
                .handle(self.agent.clock.now(), self.key, event);
        }
    }
}

/// Asks the process that made a claim; `None` if it cannot be reached or is gone.
async fn ask(
    agent: &Agent,
    key: &ClaimKey,
    address: SocketAddr,
    claimer: Incarnation,
) -> Option<ClaimState> {
    let exchange = async {
        let mut link = link::connect(address, &agent.identity).await.ok()?;
        if link.peer.incarnation != claimer {
            return None;
        }
        let question = ToAgent::AskClaim {
            ask: 0,
            key: key.clone(),
            claimer,
        };
        link::send(&mut link.writer, &question).await.ok()?;
        loop {
            match link::receive(&mut link.reader).await.ok()?? {
                ToEntry::Claim { state, .. } => return Some(state),
                _ => continue,
            }
        }
    };
    timeout(ASK_MAX.duration(), exchange).await.ok()?
}

/// Draws the identifier of a write.
fn write_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}
