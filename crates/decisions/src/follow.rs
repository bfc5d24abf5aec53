//! How an entry follows one attempt to its end, across losses of the link to the agent.

#![allow(
    missing_docs,
    reason = "the state machine macro generates items without doc comments"
)]

#[cfg(test)]
mod tests;

use std::hash::{Hash, Hasher};

use sardinepin_common::{Incarnation, Millis};
use sardinepin_protocol::{ErrorKind, SettledState};
use statig::prelude::*;

use crate::events::AttemptEnd;

/// An event of an attempt, as observed by its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowEvent {
    /// The link was lost before a byte of the attempt was written.
    Unsent,
    /// The link was lost after some or all of the attempt was written.
    LinkLost,
    /// The link was re-established; the agent has this incarnation.
    LinkUp(Incarnation),
    /// The agent refused the attempt.
    Refused {
        /// The reason.
        kind: ErrorKind,
        /// How long to wait before a retry.
        retry_after: Millis,
    },
    /// The head of the response arrived: status code and header fields.
    Head,
    /// A chunk of the response's body arrived.
    Chunk {
        /// The chunk's number, from 0.
        seq: u64,
    },
    /// The frame that ends the response arrived.
    End {
        /// The number of chunks in the complete response.
        chunks: u64,
    },
    /// The agent reports that the rest of the response will not arrive.
    Broken(ErrorKind),
    /// The agent answered a query about the attempt.
    Settled(SettledState),
    /// The settle timeout expired without an answer from the agent.
    SettleTimeout,
    /// The deadline of the request passed.
    Deadline,
}

/// The entry's next action.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowAction {
    /// Forward the head to the caller.
    ForwardHead,
    /// Forward the chunk to the caller.
    ForwardChunk,
    /// Start the settle timeout and wait until the link is re-established.
    AwaitLink,
    /// Ask the agent about the attempt, and for the rest of the response.
    QueryAgent {
        /// The number of chunks that have arrived in order.
        chunks: u64,
    },
    /// Stop the settle timeout, since the response continues.
    Resumed,
    /// The attempt ended.
    Done(AttemptEnd),
}

/// The state machine with which an entry follows one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FollowMachine {
    inner: InitializedStateMachine<Follow>,
}

impl FollowMachine {
    /// Creates the state machine of an attempt that is sent to the agent of this incarnation.
    #[must_use]
    pub fn new(agent: Incarnation) -> Self {
        let follow = Follow {
            agent,
            head_received: false,
            chunks: 0,
        };
        Self {
            inner: follow
                .uninitialized_state_machine()
                .init_with_context(&mut None),
        }
    }

    /// Applies an event and returns the action that it requires, if any.
    pub fn handle(&mut self, event: FollowEvent) -> Option<FollowAction> {
        let mut action = None;
        self.inner.handle_with_context(&event, &mut action);
        action
    }

    /// Returns the number of chunks that have arrived in order.
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
    head_received: bool,
    chunks: u64,
}

impl Follow {
    /// Accepts the head once and chunks only in order; duplicates and out-of-order chunks are dropped.
    fn accept_response(&mut self, event: &FollowEvent) -> Option<FollowAction> {
        match event {
            FollowEvent::Head if !self.head_received => {
                self.head_received = true;
                Some(FollowAction::ForwardHead)
            }
            FollowEvent::Chunk { seq } if self.head_received && *seq == self.chunks => {
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
    /// The link is up, and the response is arriving over it.
    #[state(superstate = "open")]
    fn linked(
        &mut self,
        context: &mut Option<FollowAction>,
        event: &FollowEvent,
    ) -> Outcome<FollowState> {
        *context = self.accept_response(event);
        match event {
            FollowEvent::Unsent => {
                *context = Some(not_run(ErrorKind::Unreachable, Millis::ZERO));
                Transition(FollowState::ended())
            }
            FollowEvent::LinkLost => {
                *context = Some(FollowAction::AwaitLink);
                Transition(FollowState::link_lost())
            }
            FollowEvent::Refused { kind, retry_after } => {
                *context = Some(not_run(*kind, *retry_after));
                Transition(FollowState::ended())
            }
            FollowEvent::End { chunks } if self.head_received && *chunks == self.chunks => {
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

    /// The link was lost, and it is not known whether the attempt ran.
    #[state(superstate = "open")]
    fn link_lost(
        &mut self,
        context: &mut Option<FollowAction>,
        event: &FollowEvent,
    ) -> Outcome<FollowState> {
        match event {
            FollowEvent::LinkUp(agent) if *agent == self.agent => {
                *context = Some(FollowAction::QueryAgent {
                    chunks: self.chunks,
                });
                Transition(FollowState::querying())
            }
            // A restarted agent cannot know whether its earlier process ran the attempt.
            FollowEvent::LinkUp(_) => {
                *context = Some(unknown(ErrorKind::LinkLost, true));
                Transition(FollowState::ended())
            }
            _ => Super,
        }
    }

    /// The agent was asked about the attempt over the new link.
    #[state(superstate = "open")]
    fn querying(
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
            FollowEvent::LinkLost => Transition(FollowState::link_lost()),
            _ => Super,
        }
    }

    /// Events common to all states before the end: the deadline, the settle timeout and an agent
    /// that does not know whether the attempt ran.
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

    /// The attempt has ended; all events are ignored.
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
