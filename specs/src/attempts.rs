//! Model of one attempt between its entry and its agent: lost links, delayed frames, queries about
//! the attempt and agent restarts.

use std::hash::{Hash, Hasher};

use sardinepin_common::{AttemptId, Incarnation, Millis};
use sardinepin_decisions::{
    AttemptAdmission, AttemptEnd, AttemptEvent, AttemptSettings, AttemptState, AttemptTable,
    FollowAction, FollowEvent, FollowMachine,
};
use sardinepin_protocol::{ErrorKind, SettledState};

use crate::explorer::Model;

/// The only attempt of the model.
const ATTEMPT: AttemptId = AttemptId {
    entry: Incarnation(1),
    number: 1,
};

/// The number of the agent's first incarnation.
const FIRST_AGENT: u64 = 10;

/// The bounds of the model and the safeguards that are on.
#[derive(Debug, Clone, Copy)]
pub struct AttemptModel {
    /// How often the link may be lost. Losses through agent restarts count but are not limited.
    pub link_losses: u8,
    /// How often the agent may restart.
    pub restarts: u8,
    /// Whether the agent remembers an attempt that it reported as not run, and rejects its late run
    /// frame.
    pub tombstones: bool,
    /// Whether frames of an older link are dropped once a newer link is up.
    pub newest_link_only: bool,
    /// Whether the entry asks the agent before it reports an attempt on a lost link as not run.
    pub query_agent: bool,
}

impl Default for AttemptModel {
    fn default() -> Self {
        Self {
            link_losses: 3,
            restarts: 2,
            tombstones: true,
            newest_link_only: true,
            query_agent: true,
        }
    }
}

/// A frame from the entry to the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum RequestFrame {
    Run,
    Settle(Incarnation),
}

/// A frame from the agent to the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum ReplyFrame {
    Refused(ErrorKind),
    Head,
    End,
    Broken,
    Settled(SettledState),
}

/// The state of the entry, the agent and the links between them.
#[derive(Debug, Clone)]
pub struct State {
    /// The transition that led to this state; not part of its identity.
    pub last_transition: &'static str,
    entry: FollowMachine,
    outcome: Option<AttemptEnd>,
    link_up: bool,
    written: bool,
    /// Frames to the agent on the newest link, in order of arrival.
    requests: Vec<RequestFrame>,
    /// Frames to the agent on links that the entry has lost; they may still arrive.
    late_requests: Vec<RequestFrame>,
    replies: Vec<ReplyFrame>,
    agent: AttemptTable,
    incarnation: Incarnation,
    runs: u8,
    finished: bool,
    link_losses: u8,
    restarts: u8,
}

impl State {
    /// Returns the parts that distinguish one state from another.
    fn identity(&self) -> impl Eq + Hash + '_ {
        (
            (
                &self.entry,
                format!("{:?}", self.outcome),
                self.link_up,
                self.written,
            ),
            (&self.requests, &self.late_requests, &self.replies),
            (
                self.agent.state(ATTEMPT),
                self.incarnation,
                self.runs,
                self.finished,
            ),
            (self.link_losses, self.restarts),
        )
    }

    fn transition(&self, name: &'static str, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        next.last_transition = name;
        change(&mut next);
        next
    }

    fn drive_entry(&mut self, event: FollowEvent, model: AttemptModel) {
        match self.entry.handle(event) {
            Some(FollowAction::QueryAgent { .. }) => {
                self.requests.push(RequestFrame::Settle(self.incarnation))
            }
            Some(FollowAction::AwaitLink) if !model.query_agent => {
                let kind = ErrorKind::LinkLost;
                self.outcome = Some(AttemptEnd::NotRun {
                    kind,
                    retry_after: Millis::ZERO,
                });
            }
            Some(FollowAction::Done(end)) => self.outcome = Some(end),
            _ => {}
        }
    }

    fn lose_link(&mut self, model: AttemptModel) {
        self.link_losses += 1;
        self.link_up = false;
        self.late_requests.append(&mut self.requests);
        self.replies.clear();
        let event = if self.written {
            FollowEvent::LinkLost
        } else {
            FollowEvent::Unsent
        };
        self.drive_entry(event, model);
    }

    fn connect(&mut self, model: AttemptModel) {
        self.link_up = true;
        if model.newest_link_only {
            self.late_requests.clear();
        }
        self.drive_entry(FollowEvent::LinkUp(self.incarnation), model);
    }

    fn deliver_to_agent(&mut self, frame: RequestFrame, model: AttemptModel) {
        match frame {
            RequestFrame::Run => match self.agent.admit(ATTEMPT) {
                AttemptAdmission::Refused(kind) => self.reply(ReplyFrame::Refused(kind)),
                AttemptAdmission::Unknown => self.reply(ReplyFrame::Settled(SettledState::Unknown)),
                AttemptAdmission::New | AttemptAdmission::Duplicate => {}
            },
            RequestFrame::Settle(addressed) => {
                let unknown = self.agent.state(ATTEMPT).is_none();
                let state = self
                    .agent
                    .settle(Millis::ZERO, ATTEMPT, addressed, self.incarnation);
                if !model.tombstones && unknown {
                    self.agent = AttemptTable::new(AttemptSettings::default());
                }
                self.reply(ReplyFrame::Settled(state));
                if state == SettledState::Attached {
                    self.reply(ReplyFrame::Head);
                    if self.finished {
                        self.reply(ReplyFrame::End);
                    }
                }
            }
        }
    }

    fn reply(&mut self, frame: ReplyFrame) {
        if self.link_up {
            self.replies.push(frame);
        }
    }

    fn end_call(&mut self, event: AttemptEvent, frame: ReplyFrame) {
        self.agent.handle(Millis::ZERO, ATTEMPT, event);
        self.finished = event == AttemptEvent::Finish;
        self.reply(frame);
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

fn follow_event(frame: ReplyFrame) -> FollowEvent {
    match frame {
        ReplyFrame::Refused(kind) => FollowEvent::Refused {
            kind,
            retry_after: Millis::ZERO,
        },
        ReplyFrame::Head => FollowEvent::Head,
        ReplyFrame::End => FollowEvent::End { chunks: 0 },
        ReplyFrame::Broken => FollowEvent::Broken(ErrorKind::UpstreamBroke),
        ReplyFrame::Settled(state) => FollowEvent::Settled(state),
    }
}

impl AttemptModel {
    /// Appends the states that follow without a fault, refusal or timeout.
    fn push_fault_free(self, state: &State, next: &mut Vec<State>) {
        if state.link_up && !state.written && state.outcome.is_none() {
            next.push(state.transition("the entry writes the attempt", |s| {
                s.written = true;
                s.requests.push(RequestFrame::Run);
            }));
        }
        if state.link_up && !state.requests.is_empty() {
            next.push(state.transition("a frame reaches the agent", |s| {
                let frame = s.requests.remove(0);
                s.deliver_to_agent(frame, self);
            }));
        }
        if !state.late_requests.is_empty() {
            next.push(state.transition("a late frame reaches the agent", |s| {
                let frame = s.late_requests.remove(0);
                s.deliver_to_agent(frame, self);
            }));
        }
        if state.link_up && !state.replies.is_empty() {
            next.push(state.transition("a frame reaches the entry", |s| {
                let frame = s.replies.remove(0);
                s.drive_entry(follow_event(frame), self);
            }));
        }
        if !state.link_up {
            next.push(state.transition("the entry connects", |s| s.connect(self)));
        }
        match state.agent.state(ATTEMPT) {
            Some(AttemptState::Waiting {}) => next.push(state.transition("the call begins", |s| {
                s.runs += u8::from(s.agent.begin(ATTEMPT));
                s.reply(ReplyFrame::Head);
            })),
            Some(AttemptState::Running {}) => {
                next.push(state.transition("the call ends", |s| {
                    s.end_call(AttemptEvent::Finish, ReplyFrame::End)
                }));
            }
            _ => {}
        }
    }

    /// Appends the states that follow from a fault, a refusal or a timeout.
    fn push_faults(self, state: &State, next: &mut Vec<State>) {
        if state.link_up && state.link_losses < self.link_losses {
            next.push(state.transition("the link is lost", |s| s.lose_link(self)));
        }
        if state.restarts < self.restarts {
            next.push(state.transition("the agent restarts", |s| {
                s.restarts += 1;
                s.incarnation = Incarnation(s.incarnation.0 + 1);
                s.agent = AttemptTable::new(AttemptSettings::default());
                if s.link_up {
                    s.lose_link(self);
                }
                s.late_requests.clear();
                s.finished = false;
            }));
        }
        if state.agent.state(ATTEMPT) == Some(&AttemptState::Waiting {}) {
            next.push(state.transition("the agent refuses the attempt", |s| {
                s.end_call(
                    AttemptEvent::Refuse(ErrorKind::Busy),
                    ReplyFrame::Refused(ErrorKind::Busy),
                );
            }));
        }
        if state.agent.state(ATTEMPT) == Some(&AttemptState::Running {}) {
            next.push(state.transition("the upstream breaks off", |s| {
                s.end_call(
                    AttemptEvent::Break(ErrorKind::UpstreamBroke),
                    ReplyFrame::Broken,
                );
            }));
        }
        if state.outcome.is_none() {
            next.push(state.transition("the settle timeout expires", |s| {
                if s.written && !s.link_up {
                    s.drive_entry(FollowEvent::SettleTimeout, self);
                }
            }));
            next.push(state.transition("the deadline passes", |s| {
                s.drive_entry(FollowEvent::Deadline, self)
            }));
        }
    }
}

impl Model for AttemptModel {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            last_transition: "start",
            entry: FollowMachine::new(Incarnation(FIRST_AGENT)),
            outcome: None,
            link_up: true,
            written: false,
            requests: Vec::new(),
            late_requests: Vec::new(),
            replies: Vec::new(),
            agent: AttemptTable::new(AttemptSettings::default()),
            incarnation: Incarnation(FIRST_AGENT),
            runs: 0,
            finished: false,
            link_losses: 0,
            restarts: 0,
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
        if state.runs > 1 {
            return Some("an attempt ran twice");
        }
        let not_run = matches!(state.outcome, Some(AttemptEnd::NotRun { .. }));
        (not_run && state.runs > 0).then_some("an attempt that was reported as not run has run")
    }

    /// The goal is that the entry has determined the outcome of the attempt.
    fn is_goal(&self, state: &State) -> bool {
        state.outcome.is_some()
    }
}
