//! Claims an idempotency key in the platform's store before its call runs.

mod record;
pub(crate) mod sweep;

use std::net::SocketAddr;

use sardinepin_common::{Incarnation, Millis, Revision};
use sardinepin_decisions::{AttemptEvent, CachedResponse, ClaimStep, KeyEvent};
use sardinepin_protocol::{Attempt, ClaimKey, ClaimState, ErrorKind, ToAgent, ToEntry};
use sardinepin_store::{ConditionalWrite, Object, Precondition, StoreError, write_and_confirm};
use tokio::time::timeout;

use crate::agent::claims::record::{ClaimRecord, claim_store_key};
use crate::agent::response::ResponseEnd;
use crate::agent::state::Agent;
use crate::link;

/// The wait before a claim, or the state of a key, is checked again.
const POLL_INTERVAL: Millis = Millis(50);

/// The maximum time that another agent may take to reply to a query about a claim.
const QUERY_TIMEOUT: Millis = Millis(1_000);

/// Permission to run a keyed call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunPermit {
    /// The revision of the claim that this process holds.
    revision: Revision,
    /// Whether the attempt is already marked as begun.
    pub(crate) begun: bool,
}

/// Claims a key on behalf of one attempt.
struct Claimer<'a> {
    agent: &'a Agent,
    attempt: &'a Attempt,
    key: &'a ClaimKey,
    /// Whether this attempt is the one on this agent that writes the claim.
    claiming: bool,
    /// Whether the attempt is already marked as begun.
    begun: bool,
    deadline: Millis,
    /// The last claim that was found in the store, and its revision.
    found: Option<(ClaimRecord, Revision)>,
    /// The revision of the claim in the store, as last written or read.
    revision: Revision,
}

/// Acquires permission to run a keyed call. Returns `None` if the attempt has ended without a run
/// of its own, for example with the stored response of an earlier run.
pub(crate) async fn acquire_permit(
    agent: &Agent,
    attempt: &Attempt,
    key: &ClaimKey,
) -> Option<RunPermit> {
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

/// Records how a claimed call ended.
///
/// A response that fits the cache is kept in memory and added to the claim in the store; `None`
/// means that there is no such response.
pub(crate) async fn record_result(
    agent: &Agent,
    attempt: &Attempt,
    key: &ClaimKey,
    permit: RunPermit,
    response: Option<CachedResponse>,
) {
    let Some(response) = response else {
        return agent
            .keys
            .handle(agent.clock.now(), key, KeyEvent::LoseResponse);
    };
    let event = KeyEvent::Finish(response.clone());
    agent.keys.handle(agent.clock.now(), key, event);
    let Some(store) = &agent.keys.store else {
        return;
    };
    let record = ClaimRecord::new(agent, attempt, rand::random()).with_response(&response);
    let value = record.to_json();
    let change = ConditionalWrite {
        key: &claim_store_key(key),
        precondition: Precondition::Revision(permit.revision),
        write_id: &write_id(),
        value: Some(&value),
    };
    if let Err(error) = write_and_confirm(store.as_ref(), change).await {
        log::warn!(event = "answer_not_kept", error:% = error; "cannot store the response with its claim");
    }
}

/// Records that a claimed call did not reach the upstream.
pub(crate) fn record_not_run(agent: &Agent, key: &ClaimKey) {
    agent.keys.handle(agent.clock.now(), key, KeyEvent::NotRun);
}

impl Claimer<'_> {
    async fn run(&mut self) -> Option<RunPermit> {
        let mut step = self.admit();
        while self.agent.clock.now() < self.deadline {
            step = match step {
                ClaimStep::Run => return self.permit(),
                ClaimStep::Create => self.write_claim(Precondition::Absent).await,
                ClaimStep::TakeOver(revision) => {
                    self.write_claim(Precondition::Revision(revision)).await
                }
                ClaimStep::AskClaimer => self.query_until_settled().await,
                ClaimStep::ReadAgain => self.reread_claim().await,
                ClaimStep::Wait => self.wait_for_key().await,
                ClaimStep::Replay(response) => return self.replay(response),
                ClaimStep::Refuse(kind) => return self.refuse(kind),
                ClaimStep::Unknown(kind) => return self.end_unknown(kind),
            };
        }
        self.end_unknown(ErrorKind::DeadlinePassed)
    }

    fn admit(&mut self) -> ClaimStep {
        let step = self
            .agent
            .keys
            .claims()
            .admit(self.key, self.attempt.digest);
        self.claiming = step == ClaimStep::Create;
        step
    }

    async fn write_claim(&mut self, precondition: Precondition) -> ClaimStep {
        let Some(store) = &self.agent.keys.store else {
            return ClaimStep::Refuse(ErrorKind::PlatformOut);
        };
        let nonce = rand::random();
        self.update_key(KeyEvent::WriteClaim(nonce));
        let value = ClaimRecord::new(self.agent, self.attempt, nonce).to_json();
        let change = ConditionalWrite {
            key: &claim_store_key(self.key),
            precondition,
            write_id: &write_id(),
            value: Some(&value),
        };
        match write_and_confirm(store.as_ref(), change).await {
            Ok(revision) => {
                self.revision = revision;
                self.agent.keys.claims().handle_claim_grant(self.key)
            }
            Err(StoreError::Conflict(Some(object))) => self.evaluate_claim(&object),
            Err(StoreError::Conflict(None)) => ClaimStep::Create,
            Err(error) => {
                log::warn!(event = "claim_failed", error:% = error; "cannot claim an idempotency key");
                ClaimStep::Refuse(ErrorKind::PlatformOut)
            }
        }
    }

    fn evaluate_claim(&mut self, object: &Object) -> ClaimStep {
        let Some((record, claim)) = ClaimRecord::parse(object) else {
            log::error!(event = "claim_unreadable", key = object.key.as_str(); "cannot parse a claim");
            return ClaimStep::Unknown(ErrorKind::Internal);
        };
        self.revision = object.revision;
        self.found = Some((record, object.revision));
        self.agent
            .keys
            .claims()
            .handle_stored_claim(self.key, &claim)
    }

    /// Polls the claiming process for as long as it reports that the call is running.
    async fn query_until_settled(&mut self) -> ClaimStep {
        // The first attempt may have run the call already, so this attempt no longer counts as not
        // run.
        if !self.mark_begun() {
            return ClaimStep::Refuse(ErrorKind::Tombstoned);
        }
        let Some((record, revision)) = &self.found else {
            return ClaimStep::Unknown(ErrorKind::Internal);
        };
        loop {
            let Some(state) =
                query_claimer(self.agent, self.key, record.address, record.claimer).await
            else {
                return self.find_stored_response().await;
            };
            let step = self
                .agent
                .keys
                .claims()
                .handle_claim_state(&state, *revision);
            if step != ClaimStep::AskClaimer {
                return step;
            }
            if self.agent.clock.now() >= self.deadline {
                return ClaimStep::Unknown(ErrorKind::DeadlinePassed);
            }
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
    }

    /// Reads the claim again after a pause, since it may be passing to another process.
    async fn reread_claim(&mut self) -> ClaimStep {
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
        let Some(store) = &self.agent.keys.store else {
            return ClaimStep::Refuse(ErrorKind::PlatformOut);
        };
        match store.get(&claim_store_key(self.key)).await {
            Ok(Some(object)) => self.evaluate_claim(&object),
            Ok(None) => ClaimStep::Create,
            Err(_) => ClaimStep::Refuse(ErrorKind::PlatformOut),
        }
    }

    /// Reads the claim again: its claimer is gone, but may have stored the response with the claim.
    async fn find_stored_response(&self) -> ClaimStep {
        let claimer_gone = ClaimStep::Unknown(ErrorKind::ClaimerGone);
        let Some(store) = &self.agent.keys.store else {
            return claimer_gone;
        };
        let Ok(Some(object)) = store.get(&claim_store_key(self.key)).await else {
            return claimer_gone;
        };
        match ClaimRecord::parse(&object).and_then(|(_, claim)| claim.response) {
            Some(response) => ClaimStep::Replay(response),
            None => claimer_gone,
        }
    }

    async fn wait_for_key(&mut self) -> ClaimStep {
        // Another attempt with the same key may be running the call now.
        if !self.mark_begun() {
            return ClaimStep::Refuse(ErrorKind::Tombstoned);
        }
        loop {
            let step = self.admit();
            if step != ClaimStep::Wait {
                return step;
            }
            if self.agent.clock.now() >= self.deadline {
                return ClaimStep::Unknown(ErrorKind::DeadlinePassed);
            }
            self.agent.keys.wait_for_change(POLL_INTERVAL).await;
        }
    }

    fn mark_begun(&mut self) -> bool {
        self.begun = self.begun || self.agent.begin(self.attempt.id);
        self.begun
    }

    fn permit(&self) -> Option<RunPermit> {
        Some(RunPermit {
            revision: self.revision,
            begun: self.begun,
        })
    }

    fn replay(&mut self, response: CachedResponse) -> Option<RunPermit> {
        if self.mark_begun() {
            self.agent.replay(self.attempt.id, &response);
        }
        self.update_key(KeyEvent::Finish(response));
        None
    }

    fn refuse(&mut self, kind: ErrorKind) -> Option<RunPermit> {
        self.update_key(KeyEvent::NotClaimed);
        let id = self.attempt.id;
        if self.begun {
            self.agent
                .end(id, AttemptEvent::Unreached, ResponseEnd::refused(kind));
        } else {
            self.agent.refuse(id, kind);
        }
        None
    }

    fn end_unknown(&mut self, kind: ErrorKind) -> Option<RunPermit> {
        // The outcome may become known later, so the key stays open for queries.
        let event = if kind == ErrorKind::AnswerGone {
            KeyEvent::LoseResponse
        } else {
            KeyEvent::NotClaimed
        };
        self.update_key(event);
        if self.mark_begun() {
            let id = self.attempt.id;
            self.agent
                .end(id, AttemptEvent::Break(kind), ResponseEnd::Broken(kind));
        }
        None
    }

    /// Applies an event to the key if this attempt is the one that claims it.
    fn update_key(&self, event: KeyEvent) {
        if self.claiming {
            self.agent
                .keys
                .handle(self.agent.clock.now(), self.key, event);
        }
    }
}

/// Queries the process that made a claim; returns `None` if it cannot be reached or is gone.
async fn query_claimer(
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
        let query = ToAgent::AskClaim {
            ask: 0,
            key: key.clone(),
            claimer,
        };
        link::send(&mut link.writer, &query).await.ok()?;
        loop {
            match link::receive(&mut link.reader).await.ok()?? {
                ToEntry::Claim { state, .. } => return Some(state),
                _ => continue,
            }
        }
    };
    timeout(QUERY_TIMEOUT.duration(), exchange).await.ok()?
}

/// Returns a random identifier for a write.
fn write_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}
