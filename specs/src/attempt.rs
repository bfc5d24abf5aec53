//! One attempt between its entry and its agent: late frames, cut links, settling and restarts.

use std::hash::{Hash, Hasher};

use sardinepin_common::{AttemptId, Incarnation, Millis};
use sardinepin_decisions::{
    AttemptAdmission, AttemptEnd, AttemptEvent, AttemptSettings, AttemptState, AttemptTable,
    FollowAction, FollowEvent, FollowMachine,
};
use sardinepin_protocol::{ErrorKind, SettledState};

use crate::explore::Model;

/// The attempt.
const ID: AttemptId = AttemptId {
    entry: Incarnation(1),
    number: 1,
};

/// The number of the first incarnation of the agent.
const FIRST_AGENT: u64 = 10;

/// The case to be explored.
#[derive(Debug, Clone, Copy)]
pub struct AttemptCase {
    /// How often the link may be cut.
    pub cuts: u8,
    /// How often the agent may be restarted.
    pub restarts: u8,
    /// Whether an attempt that is settled as not run is remembered as withdrawn.
    pub tombstones: bool,
    /// Whether frames of an older link are dropped once a newer one is open.
    pub newest_link_only: bool,
    /// Whether the entry asks before it calls a lost attempt not run.
    pub asks: bool,
}

impl Default for AttemptCase {
    fn default() -> Self {
        Self {
            cuts: 3,
            restarts: 2,
            tombstones: true,
            newest_link_only: true,
            asks: true,
        }
    }
}

/// A frame on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Frame {
    Run,
    Settle(Incarnation),
}

/// A frame on its way back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Back {
    Refused(ErrorKind),
    Head,
    End,
    Broken,
    Settled(SettledState),
}

/// One state of entry, agent and the links between them.
#[derive(Debug, Clone)]
pub struct AttemptWorld {
    /// What led here.
    pub last: &'static str,
    entry: FollowMachine,
    said: Option<AttemptEnd>,
    linked: bool,
    written: bool,
    /// Frames to the agent that are still on the newest link, first to come first.
    out: Vec<Frame>,
    /// Frames on links that the entry has lost; they may still come.
    late: Vec<Frame>,
    back: Vec<Back>,
    agent: AttemptTable,
    own: Incarnation,
    ran: u8,
    ended: bool,
    cuts: u8,
    restarts: u8,
}

impl AttemptWorld {
    fn view(&self) -> impl Eq + Hash + '_ {
        (
            (
                &self.entry,
                format!("{:?}", self.said),
                self.linked,
                self.written,
            ),
            (&self.out, &self.late, &self.back),
            (self.agent.state(ID), self.own, self.ran, self.ended),
            (self.cuts, self.restarts),
        )
    }

    fn step(&self, last: &'static str, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        next.last = last;
        change(&mut next);
        next
    }

    fn tell(&mut self, event: FollowEvent, case: AttemptCase) {
        match self.entry.handle(event) {
            Some(FollowAction::QueryAgent { .. }) => self.out.push(Frame::Settle(self.own)),
            Some(FollowAction::AwaitLink) if !case.asks => {
                let kind = ErrorKind::LinkLost;
                self.said = Some(AttemptEnd::NotRun {
                    kind,
                    retry_after: Millis::ZERO,
                });
            }
            Some(FollowAction::Done(end)) => self.said = Some(end),
            _ => {}
        }
    }

    fn cut(&mut self, case: AttemptCase) {
        self.cuts += 1;
        self.linked = false;
        self.late.append(&mut self.out);
        self.back.clear();
        let event = if self.written {
            FollowEvent::LinkLost
        } else {
            FollowEvent::Unsent
        };
        self.tell(event, case);
    }

    fn connect(&mut self, case: AttemptCase) {
        self.linked = true;
        if case.newest_link_only {
            self.late.clear();
        }
        self.tell(FollowEvent::LinkUp(self.own), case);
    }

    fn arrive(&mut self, frame: Frame, case: AttemptCase) {
        match frame {
            Frame::Run => match self.agent.admit(ID) {
                AttemptAdmission::Refused(kind) => self.answer(Back::Refused(kind)),
                AttemptAdmission::Unknown => self.answer(Back::Settled(SettledState::Unknown)),
                AttemptAdmission::New | AttemptAdmission::Duplicate => {}
            },
            Frame::Settle(addressed) => {
                let unknown = self.agent.state(ID).is_none();
                let state = self.agent.settle(Millis::ZERO, ID, addressed, self.own);
                if !case.tombstones && unknown {
                    self.agent = AttemptTable::new(AttemptSettings::default());
                }
                self.answer(Back::Settled(state));
                if state == SettledState::Attached {
                    self.answer(Back::Head);
                    if self.ended {
                        self.answer(Back::End);
                    }
                }
            }
        }
    }

    fn answer(&mut self, frame: Back) {
        if self.linked {
            self.back.push(frame);
        }
    }

    fn end(&mut self, event: AttemptEvent, frame: Back) {
        self.agent.handle(Millis::ZERO, ID, event);
        self.ended = event == AttemptEvent::Finish;
        self.answer(frame);
    }
}

impl PartialEq for AttemptWorld {
    fn eq(&self, other: &Self) -> bool {
        self.view() == other.view()
    }
}

impl Eq for AttemptWorld {}

impl Hash for AttemptWorld {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.view().hash(hasher);
    }
}

fn event_of(frame: Back) -> FollowEvent {
    match frame {
        Back::Refused(kind) => FollowEvent::Refused {
            kind,
            retry_after: Millis::ZERO,
        },
        Back::Head => FollowEvent::Head,
        Back::End => FollowEvent::End { chunks: 0 },
        Back::Broken => FollowEvent::Broken(ErrorKind::UpstreamBroke),
        Back::Settled(state) => FollowEvent::Settled(state),
    }
}

impl AttemptCase {
    fn work(self, world: &AttemptWorld, next: &mut Vec<AttemptWorld>) {
        if world.linked && !world.written && world.said.is_none() {
            next.push(world.step("the entry writes the attempt", |w| {
                w.written = true;
                w.out.push(Frame::Run);
            }));
        }
        if world.linked && !world.out.is_empty() {
            next.push(world.step("a frame reaches the agent", |w| {
                let frame = w.out.remove(0);
                w.arrive(frame, self);
            }));
        }
        if !world.late.is_empty() {
            next.push(world.step("a late frame reaches the agent", |w| {
                let frame = w.late.remove(0);
                w.arrive(frame, self);
            }));
        }
        if world.linked && !world.back.is_empty() {
            next.push(world.step("a frame reaches the entry", |w| {
                let frame = w.back.remove(0);
                w.tell(event_of(frame), self);
            }));
        }
        if !world.linked {
            next.push(world.step("the entry connects", |w| w.connect(self)));
        }
        match world.agent.state(ID) {
            Some(AttemptState::Waiting {}) => next.push(world.step("the call begins", |w| {
                w.ran += u8::from(w.agent.begin(ID));
                w.answer(Back::Head);
            })),
            Some(AttemptState::Running {}) => {
                next.push(world.step("the call ends", |w| w.end(AttemptEvent::Finish, Back::End)));
            }
            _ => {}
        }
    }

    fn trouble(self, world: &AttemptWorld, next: &mut Vec<AttemptWorld>) {
        if world.linked && world.cuts < self.cuts {
            next.push(world.step("the link is cut", |w| w.cut(self)));
        }
        if world.restarts < self.restarts {
            next.push(world.step("the agent is restarted", |w| {
                w.restarts += 1;
                w.own = Incarnation(w.own.0 + 1);
                w.agent = AttemptTable::new(AttemptSettings::default());
                if w.linked {
                    w.cut(self);
                }
                w.late.clear();
                w.ended = false;
            }));
        }
        if world.agent.state(ID) == Some(&AttemptState::Waiting {}) {
            next.push(world.step("the agent refuses the attempt", |w| {
                w.end(
                    AttemptEvent::Refuse(ErrorKind::Busy),
                    Back::Refused(ErrorKind::Busy),
                );
            }));
        }
        if world.agent.state(ID) == Some(&AttemptState::Running {}) {
            next.push(world.step("the upstream breaks off", |w| {
                w.end(AttemptEvent::Break(ErrorKind::UpstreamBroke), Back::Broken);
            }));
        }
        if world.said.is_none() {
            next.push(world.step("the settle timeout passes", |w| {
                if w.written && !w.linked {
                    w.tell(FollowEvent::SettleTimeout, self);
                }
            }));
            next.push(world.step("the deadline passes", |w| {
                w.tell(FollowEvent::Deadline, self)
            }));
        }
    }
}

impl Model for AttemptCase {
    type State = AttemptWorld;

    fn start(&self) -> AttemptWorld {
        AttemptWorld {
            last: "start",
            entry: FollowMachine::new(Incarnation(FIRST_AGENT)),
            said: None,
            linked: true,
            written: false,
            out: Vec::new(),
            late: Vec::new(),
            back: Vec::new(),
            agent: AttemptTable::new(AttemptSettings::default()),
            own: Incarnation(FIRST_AGENT),
            ran: 0,
            ended: false,
            cuts: 0,
            restarts: 0,
        }
    }

    fn successors(&self, world: &AttemptWorld) -> Vec<AttemptWorld> {
        let mut next = Vec::new();
        self.work(world, &mut next);
        self.trouble(world, &mut next);
        next
    }

    fn calm_successors(&self, world: &AttemptWorld) -> Vec<AttemptWorld> {
        let mut next = Vec::new();
        self.work(world, &mut next);
        next
    }

    fn fault(&self, world: &AttemptWorld) -> Option<&'static str> {
        if world.ran > 1 {
            return Some("an attempt ran twice");
        }
        let not_run = matches!(world.said, Some(AttemptEnd::NotRun { .. }));
        (not_run && world.ran > 0).then_some("an attempt that was called not run has run")
    }

    fn is_settled(&self, world: &AttemptWorld) -> bool {
        world.said.is_some()
    }
}
