//! One policy on one set of calls, event by event.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use sardinepin_common::Millis;
use sardinepin_gateway::AttemptEnd;

use crate::fleet::callers::{Call, Calls, CallsSettings};
use crate::fleet::engine::{Done, Group, RANKS, Run};
use crate::fleet::figures::{Fate, Figures};
use crate::fleet::policies::{Choice, Gateway, Policy};

/// The gateways and groups of today's deployment.
const GATEWAYS: usize = 8;
const GROUPS: usize = 2;

/// How long a caller waits in all.
const PATIENCE: Millis = Millis(8_000);

/// The gap after which a caller leaves.
const GAP_MAX: Millis = Millis(2_000);

/// The part of the time left that a caller waits before it comes back, and how often it does.
const WAIT_PART: u64 = 3;
const RETURNS: u32 = 1;

/// The upstreams that one attempt may be sent to.
const SENT_MAX: u32 = 2;

/// The time between two looks at what waits.
const TICK: Millis = Millis(20);

/// How long a call is under way between caller, gateway and upstream.
const WAY: Millis = Millis(3);

/// How long a group that is out keeps what it holds before it drops it.
const STALL: Millis = Millis(1_500);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives { call: usize, returns: u32 },
    PassEnds(usize),
    Tick,
    GroupOut(usize),
    GroupDrops(usize),
    GroupBack(usize),
}

/// One attempt of a caller at one gateway.
#[derive(Debug)]
struct Attempt {
    call: usize,
    gateway: usize,
    returns: u32,
    sent: u32,
    upstream: Option<usize>,
    /// The last sign of life, for the caller.
    heard: Millis,
    open: bool,
}

struct Model<'a> {
    calls: &'a [Call],
    gateways: Vec<Gateway>,
    groups: Vec<Group>,
    attempts: Vec<Attempt>,
    /// Attempts that have not ended.
    open: Vec<usize>,
    fates: Vec<Fate>,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    count: u64,
}

/// Runs one policy.
pub(crate) fn run_course(settings: &CallsSettings, calls: &Calls, policy: Policy) -> Figures {
    let groups = GROUPS * settings.size;
    let gateways = (0..GATEWAYS * settings.size).map(|at| Gateway::new(policy, at, groups));
    let fates = calls.0.iter().map(|call| Fate {
        organisation: call.organisation,
        ..Fate::default()
    });
    let mut model = Model {
        calls: &calls.0,
        gateways: gateways.collect(),
        groups: (0..groups).map(|_| Group::default()).collect(),
        attempts: Vec::new(),
        open: Vec::new(),
        fates: fates.collect(),
        events: BinaryHeap::new(),
        count: 0,
    };
    for (at, call) in calls.0.iter().enumerate() {
        let arrives = Event::Arrives {
            call: at,
            returns: 0,
        };
        model.plan(call.at, arrives);
    }
    let end = Millis(settings.seconds * 1_000);
    model.plan(TICK, Event::Tick);
    if settings.outage_ms > 0 {
        let out = Millis(end.0 / 2);
        model.plan(out, Event::GroupOut(0));
        model.plan(out + STALL, Event::GroupDrops(0));
        model.plan(out + Millis(settings.outage_ms), Event::GroupBack(0));
    }
    while let Some(Reverse((now, _, event))) = model.events.pop() {
        if now > end + PATIENCE {
            break;
        }
        model.handle(now, event);
    }
    Figures::of(&model.fates)
}

impl Model<'_> {
    fn plan(&mut self, at: Millis, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn handle(&mut self, now: Millis, event: Event) {
        match event {
            Event::Arrives { call, returns } => self.arrive(now, call, returns),
            Event::PassEnds(group) => self.end_pass(now, group),
            Event::Tick => self.tick(now),
            Event::GroupOut(group) => self.groups[group].is_out = true,
            Event::GroupDrops(group) => {
                for attempt in self.groups[group].clear() {
                    self.end(now, attempt, AttemptEnd::Failed);
                }
            }
            Event::GroupBack(group) => self.groups[group].is_out = false,
        }
    }

    fn deadline(&self, call: usize) -> Millis {
        self.calls[call].at + PATIENCE
    }

    fn arrive(&mut self, now: Millis, call: usize, returns: u32) {
        let hash = self.calls[call].hash.rotate_left(17 * returns);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            call,
            gateway: hash as usize % self.gateways.len(),
            returns,
            sent: 0,
            upstream: None,
            heard: now,
            open: true,
        });
        self.open.push(attempt);
        self.fates[call].refused = false;
        self.choose(now, attempt);
    }

    fn choose(&mut self, now: Millis, attempt: usize) {
        let Attempt { call, gateway, .. } = self.attempts[attempt];
        let end = self.deadline(call);
        if let Some(choice) = self.gateways[gateway].choose(now, attempt, end) {
            self.take(now, attempt, choice);
        }
    }

    fn take(&mut self, now: Millis, attempt: usize, choice: Choice) {
        match choice {
            Choice::Refuse(after) => self.refuse(now, attempt, after),
            Choice::Send(upstream) => self.send(now, attempt, upstream),
        }
    }

    fn take_all(&mut self, now: Millis, choices: Vec<(usize, Choice)>) {
        for (attempt, choice) in choices {
            self.take(now, attempt, choice);
        }
    }

    fn send(&mut self, now: Millis, attempt: usize, upstream: usize) {
        let one = &mut self.attempts[attempt];
        let gateway = one.gateway;
        if !one.open {
            let more = self.gateways[gateway].ended(now, upstream, AttemptEnd::Abandoned);
            return self.take_all(now, more);
        }
        one.sent += 1;
        one.upstream = Some(upstream);
        let sent = one.sent;
        let call = self.calls[one.call];
        let run = Run {
            attempt,
            prompt: call.prompt,
            events: call.events,
        };
        let group = upstream / RANKS;
        if self.groups[group].take(upstream % RANKS, run) {
            return self.begin(now, group);
        }
        let ending = if self.groups[group].is_out {
            AttemptEnd::GroupBroken
        } else {
            AttemptEnd::Rejected
        };
        self.attempts[attempt].upstream = None;
        let more = self.gateways[gateway].ended(now, upstream, ending);
        if sent < SENT_MAX {
            self.choose(now, attempt);
        } else {
            let after = self.gateways[gateway].come_back();
            self.refuse(now, attempt, after);
        }
        self.take_all(now, more);
    }

    fn refuse(&mut self, now: Millis, attempt: usize, after: Millis) {
        let Attempt { call, returns, .. } = self.attempts[attempt];
        self.close(attempt);
        self.fates[call].refused = true;
        let left = self.deadline(call).since(now);
        if returns < RETURNS && after.0 * WAIT_PART <= left.0 {
            let arrives = Event::Arrives {
                call,
                returns: returns + 1,
            };
            self.plan(now + after + WAY, arrives);
        }
    }

    fn close(&mut self, attempt: usize) {
        self.attempts[attempt].open = false;
        self.open.retain(|one| *one != attempt);
    }

    fn begin(&mut self, now: Millis, group: usize) {
        if !self.groups[group].passing
            && let Some(time) = self.groups[group].begin()
        {
            self.plan(now + time, Event::PassEnds(group));
        }
    }

    fn end_pass(&mut self, now: Millis, group: usize) {
        if self.groups[group].is_out {
            self.groups[group].passing = false;
            return;
        }
        for done in self.groups[group].end() {
            match done {
                Done::Event(attempt) => self.event(now, attempt),
                Done::Last(attempt) => {
                    self.event(now, attempt);
                    let call = self.attempts[attempt].call;
                    self.fates[call].whole = true;
                    self.end(now, attempt, AttemptEnd::Served);
                }
            }
        }
        self.begin(now, group);
    }

    fn event(&mut self, now: Millis, attempt: usize) {
        let one = &mut self.attempts[attempt];
        let heard = std::mem::replace(&mut one.heard, now);
        let call = one.call;
        let (gateway, upstream) = (one.gateway, one.upstream);
        let fate = &mut self.fates[call];
        if fate.first.is_none() {
            if let Some(upstream) = upstream {
                let report = self.groups[upstream / RANKS].report(upstream % RANKS);
                self.gateways[gateway].reported(now, upstream, report);
            }
            fate.first = Some(now.since(self.calls[call].at) + WAY);
        } else {
            fate.pause = fate.pause.max(now.since(heard));
        }
        if let Some(upstream) = upstream {
            self.gateways[gateway].progressed(now, upstream);
        }
    }

    /// Ends an attempt that is at an upstream.
    fn end(&mut self, now: Millis, attempt: usize, ending: AttemptEnd) {
        self.close(attempt);
        let gateway = self.attempts[attempt].gateway;
        if let Some(upstream) = self.attempts[attempt].upstream.take() {
            let more = self.gateways[gateway].ended(now, upstream, ending);
            self.take_all(now, more);
        }
    }

    fn tick(&mut self, now: Millis) {
        self.plan(now + TICK, Event::Tick);
        for gateway in 0..self.gateways.len() {
            let more = self.gateways[gateway].tick(now);
            self.take_all(now, more);
        }
        let leaving: Vec<usize> = self
            .open
            .iter()
            .copied()
            .filter(|attempt| {
                let one = &self.attempts[*attempt];
                now.since(one.heard) > GAP_MAX || now > self.deadline(one.call)
            })
            .collect();
        for attempt in leaving {
            if let Some(upstream) = self.attempts[attempt].upstream {
                self.groups[upstream / RANKS].cancel(upstream % RANKS, attempt);
            }
            self.end(now, attempt, AttemptEnd::Abandoned);
        }
        for group in 0..self.groups.len() {
            self.begin(now, group);
        }
    }
}
