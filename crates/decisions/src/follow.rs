//! How an entry follows one attempt to its end, whatever becomes of the link.

#![allow(
    missing_docs,
    reason = "the state machine macro writes items without comments"
)]

#[cfg(test)]
mod tests;

use std::hash::{Hash, Hasher};

use sardinepin_common::{Incarnation, Millis};
use sardinepin_protocol::{ErrorKind, SettledState};
use statig::prelude::*;

use crate::events::AttemptEnd;

/// What happens to an attempt, as its entry sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowEvent {
    /// The link was lost before a byte of the attempt was written.
    Unsent,
    /// The link was lost after the attempt was written, or part of it.
    LinkLost,
    /// The link is up again, to an agent of this incarnation.
    LinkUp(Incarnation),
    /// The agent refused the attempt.
    Refused {
        /// The reason.
        kind: ErrorKind,
        /// When coming back makes sense.
        retry_after: Millis,
    },
    /// The head of the answer came.
    Head,
    /// A chunk of the answer came.
    Chunk {
        /// The chunk's number, from 0.
        seq: u64,
    },
    /// The end mark came.
    End {
        /// How many chunks the answer has.
        chunks: u64,
    },
    /// The agent says that no more of the answer will come.
    Broken(ErrorKind),
    /// The agent says what became of the attempt.
    Settled(SettledState),
    /// The agent did not settle the attempt in time.
    SettleTimeout,
    /// The deadline passed.
    Deadline,
}

/// What the entry does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowAction {
    /// Pass the head on.
    ForwardHead,
    /// Pass the chunk on.
    ForwardChunk,
    /// Start the settle timeout and wait for the link.
    AwaitLink,
    /// Ask the agent what became of the attempt; this many chunks have arrived.
    QueryAgent {
        /// How many chunks have arrived in order.
        chunks: u64,
    },
    /// Stop the settle timeout: the answer goes on.
    Resumed,
    /// The attempt ended.
    Done(AttemptEnd),
}

/// One attempt as its entry follows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FollowMachine {
    inner: InitializedStateMachine<Follow>,
}

impl FollowMachine {
    /// Starts with an attempt that is handed to the link to this incarnation of an agent.
    #[must_use]
    pub fn new(agent: Incarnation) -> Self {
        let follow = Follow {
            agent,
            head: false,
            chunks: 0,
        };
        Self {
            inner: follow
                .uninitialized_state_machine()
                .init_with_context(&mut None),
        }
    }

    /// Takes in one event and returns what follows from it.
    pub fn handle(&mut self, event: FollowEvent) -> Option<FollowAction> {
        let mut action = None;
        self.inner.handle_with_context(&event, &mut action);
        action
    }

    /// Returns how many chunks have arrived in order.
    #[must_use]
    pub fn chunks(&self) -> u64 {
        self.inner.chunks
    }
}

impl Hash for FollowMachine {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.inner.state().hash(hasher);
        Follow::hash(&self.inner, hasher);
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Follow {
    agent: Incarnation,
    head: bool,
    chunks: u64,
}

impl Follow {
    /// Accepts the head once, and chunks only in order: strangers and repeats are dropped.
    fn answer(&mut self, event: &FollowEvent) -> Option<FollowAction> {
        match event {
            FollowEvent::Head if !self.head => {
                self.head = true;
                Some(FollowAction::ForwardHead)
            }
            FollowEvent::Chunk { seq } if self.head && *seq == self.chunks => {
                self.chunks += 1;
                Some(FollowAction::ForwardChunk)
            }
            _ => None,
        }
    }
}

#[state_machine(
    initial = "FollowState::linked()",
    state(name = "FollowState", derive(Debug, Clone, PartialEq, Eq, Hash))
)]
impl Follow {
    /// The link stands and the answer comes in.
    #[state(superstate = "open")]
    fn linked(
        &mut self,
        context: &mut Option<FollowAction>,
        event: &FollowEvent,
    ) -> Outcome<FollowState> {
        *context = self.answer(event);
        match event {
            FollowEvent::Unsent => {
                *context = Some(not_run(ErrorKind::Unreachable, Millis::ZERO));
                Transition(FollowState::ended())
            }
            FollowEvent::LinkLost => {
                *context = Some(FollowAction::AwaitLink);
                Transition(FollowState::lost())
            }
            FollowEvent::Refused { kind, retry_after } => {
                *context = Some(not_run(*kind, *retry_after));
                Transition(FollowState::ended())
            }
            FollowEvent::End { chunks } if self.head && *chunks == self.chunks => {
                *context = Some(FollowAction::Done(AttemptEnd::Complete));
                Transition(FollowState::ended())
            }
            FollowEvent::Broken(kind) => {
                let crashed = *kind == ErrorKind::UpstreamCrashed;
                *context = Some(unknown(*kind, crashed));
                Transition(FollowState::ended())
            }
            _ => Super,
        }
    }

    /// The link was lost; what became of the attempt is open.
    #[state(superstate = "open")]
    fn lost(
        &mut self,
        context: &mut Option<FollowAction>,
        event: &FollowEvent,
    ) -> Outcome<FollowState> {
        match event {
            FollowEvent::LinkUp(agent) if *agent == self.agent => {
                *context = Some(FollowAction::QueryAgent {
                    chunks: self.chunks,
                });
                Transition(FollowState::asked())
            }
            // Another incarnation cannot know what the one before it did.
            FollowEvent::LinkUp(_) => {
                *context = Some(unknown(ErrorKind::LinkLost, true));
                Transition(FollowState::ended())
            }
            _ => Super,
        }
    }

    /// The agent was asked over the new link.
    #[state(superstate = "open")]
    fn asked(
        &mut self,
        context: &mut Option<FollowAction>,
        event: &FollowEvent,
    ) -> Outcome<FollowState> {
        match event {
            FollowEvent::Settled(SettledState::NotRun) => {
                *context = Some(not_run(ErrorKind::Tombstoned, Millis::ZERO));
                Transition(FollowState::ended())
            }
            FollowEvent::Settled(SettledState::Attached) => {
                *context = Some(FollowAction::Resumed);
                Transition(FollowState::linked())
            }
            FollowEvent::LinkLost => Transition(FollowState::lost()),
            _ => Super,
        }
    }

    /// Whatever the link does, time passes and the agent may know nothing.
    #[superstate]
    fn open(
        &mut self,
        context: &mut Option<FollowAction>,
        event: &FollowEvent,
    ) -> Outcome<FollowState> {
        let kind = match event {
            FollowEvent::Deadline => ErrorKind::DeadlinePassed,
            FollowEvent::SettleTimeout | FollowEvent::Settled(SettledState::Unknown) => {
                ErrorKind::LinkLost
            }
            _ => return Handled,
        };
        *context = Some(unknown(kind, false));
        Transition(FollowState::ended())
    }

    /// Nothing that comes matters any more.
    #[state]
    fn ended() -> Outcome<FollowState> {
        Handled
    }
}

fn not_run(kind: ErrorKind, retry_after: Millis) -> FollowAction {
    FollowAction::Done(AttemptEnd::NotRun { kind, retry_after })
}

fn unknown(kind: ErrorKind, crashed: bool) -> FollowAction {
    FollowAction::Done(AttemptEnd::Unknown {
        kind,
        crashed,
        unresumable: false,
    })
}
