//! A discrete-event simulation of one policy on a workload.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use sardinepin_common::Millis;
use sardinepin_decisions::direct::AttemptEnd;
use sardinepin_protocol::{GroupLoad, GroupSample};

use crate::fleet::engine::{EngineRequest, Group, PassResult, RANKS};
use crate::fleet::policies::{Choice, Gateway, Policy, group_name};
use crate::fleet::summary::{CallOutcome, Summary};
use crate::fleet::workload::{Call, Workload, WorkloadSettings};

/// The gateways of today's deployment.
const GATEWAYS: usize = 8;

/// The rank groups of today's deployment.
const GROUPS: usize = 2;

/// The time from the first attempt after which a caller gives up.
const CALL_DEADLINE: Millis = Millis(8_000);

/// The time without an event after which a caller gives up.
const EVENT_GAP_MAX: Millis = Millis(2_000);

/// A caller retries only if the wait is at most the remaining time divided by this number.
const RETRY_WAIT_DIVISOR: u64 = 3;

/// The maximum number of retries of a caller.
const RETRIES_MAX: u32 = 1;

/// The maximum number of upstreams that one attempt is sent to.
const SENDS_MAX: u32 = 2;

/// The interval at which gateways process their queues and callers check whether to give up.
const TICK: Millis = Millis(20);

/// The interval at which the loads of groups are sampled and passed on.
const SAMPLE_INTERVAL: Millis = Millis(100);

/// The network delay on the path between caller, gateway and upstream.
const NETWORK_DELAY: Millis = Millis(3);

/// The time from the start of a group's outage until it drops its requests.
const OUTAGE_HOLD: Millis = Millis(1_500);

/// A scheduled event of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives { call: usize, retries: u32 },
    PassEnds(usize),
    Tick,
    PassOnLoads,
    GroupOut(usize),
    GroupDrops(usize),
    GroupBack(usize),
}

/// An attempt of a caller at a gateway.
#[derive(Debug)]
struct Attempt {
    call: usize,
    gateway: usize,
    retries: u32,
    sends: u32,
    upstream: Option<usize>,
    /// The time of the last event, or the start of the attempt.
    last_event: Millis,
    is_open: bool,
}

/// The state of the simulation.
struct Model<'a> {
    calls: &'a [Call],
    gateways: Vec<Gateway>,
    groups: Vec<Group>,
    /// The last sample of each group's load.
    samples: Vec<Option<GroupSample>>,
    attempts: Vec<Attempt>,
    /// Attempts that have not ended.
    open_attempts: Vec<usize>,
    outcomes: Vec<CallOutcome>,
    /// Scheduled events by time, and in the order of scheduling at the same time.
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    event_count: u64,
}

/// Simulates one policy.
pub(crate) fn simulate(
    settings: &WorkloadSettings,
    workload: &Workload,
    policy: Policy,
) -> Summary {
    let groups = GROUPS * settings.size;
    let gateways = (0..GATEWAYS * settings.size).map(|index| Gateway::new(policy, index, groups));
    let outcomes = workload.0.iter().map(|call| CallOutcome {
        organisation: call.organisation,
        ..CallOutcome::default()
    });
    let mut model = Model {
        calls: &workload.0,
        gateways: gateways.collect(),
        groups: (0..groups).map(|_| Group::default()).collect(),
        samples: vec![None; groups],
        attempts: Vec::new(),
        open_attempts: Vec::new(),
        outcomes: outcomes.collect(),
        events: BinaryHeap::new(),
        event_count: 0,
    };
    for (index, call) in workload.0.iter().enumerate() {
        let arrives = Event::Arrives {
            call: index,
            retries: 0,
        };
        model.schedule(call.at, arrives);
    }
    let end = Millis(settings.seconds * 1_000);
    model.schedule(TICK, Event::Tick);
    model.schedule(SAMPLE_INTERVAL, Event::PassOnLoads);
    if settings.outage_ms > 0 {
        let outage_start = Millis(end.0 / 2);
        model.schedule(outage_start, Event::GroupOut(0));
        model.schedule(outage_start + OUTAGE_HOLD, Event::GroupDrops(0));
        model.schedule(
            outage_start + Millis(settings.outage_ms),
            Event::GroupBack(0),
        );
    }
    while let Some(Reverse((now, _, event))) = model.events.pop() {
        if now > end + CALL_DEADLINE {
            break;
        }
        model.handle(now, event);
    }
    Summary::from_outcomes(&model.outcomes)
}

impl Model<'_> {
    fn schedule(&mut self, at: Millis, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn handle(&mut self, now: Millis, event: Event) {
        match event {
            Event::Arrives { call, retries } => self.arrive(now, call, retries),
            Event::PassEnds(group) => self.end_pass(now, group),
            Event::Tick => self.tick(now),
            Event::PassOnLoads => self.pass_on_loads(now),
            Event::GroupOut(group) => self.groups[group].is_out = true,
            Event::GroupDrops(group) => {
                for attempt in self.groups[group].drop_all() {
                    self.end_attempt(now, attempt, AttemptEnd::Failed);
                }
            }
            Event::GroupBack(group) => self.groups[group].is_out = false,
        }
    }

    fn deadline(&self, call: usize) -> Millis {
        self.calls[call].at + CALL_DEADLINE
    }

    fn arrive(&mut self, now: Millis, call: usize, retries: u32) {
        let hash = self.calls[call].hash.rotate_left(17 * retries);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            call,
            gateway: hash as usize % self.gateways.len(),
            retries,
            sends: 0,
            upstream: None,
            last_event: now,
            is_open: true,
        });
        self.open_attempts.push(attempt);
        self.outcomes[call].refused = false;
        self.choose(now, attempt);
    }

    fn choose(&mut self, now: Millis, attempt: usize) {
        let Attempt { call, gateway, .. } = self.attempts[attempt];
        let deadline = self.deadline(call);
        if let Some(choice) = self.gateways[gateway].choose(now, attempt, deadline) {
            self.apply(now, attempt, choice);
        }
    }

    fn apply(&mut self, now: Millis, attempt: usize, choice: Choice) {
        match choice {
            Choice::Refuse(retry_after) => self.refuse(now, attempt, retry_after),
            Choice::Send(upstream) => self.send(now, attempt, upstream),
        }
    }

    fn apply_all(&mut self, now: Millis, choices: Vec<(usize, Choice)>) {
        for (attempt, choice) in choices {
            self.apply(now, attempt, choice);
        }
    }

    fn send(&mut self, now: Millis, attempt: usize, upstream: usize) {
        let attempt_state = &mut self.attempts[attempt];
        let gateway = attempt_state.gateway;
        if !attempt_state.is_open {
            let decisions = self.gateways[gateway].record_end(now, upstream, AttemptEnd::Abandoned);
            return self.apply_all(now, decisions);
        }
        attempt_state.sends += 1;
        attempt_state.upstream = Some(upstream);
        let sends = attempt_state.sends;
        let deadline = self.deadline(self.attempts[attempt].call);
        let call = self.calls[self.attempts[attempt].call];
        let request = EngineRequest {
            attempt,
            prompt: call.prompt,
            events: call.events,
            priority: 0,
        };
        let group = upstream / RANKS;
        if self.groups[group].accept(upstream % RANKS, request) {
            return self.start_pass(now, group);
        }
        let outcome = if self.groups[group].is_out {
            AttemptEnd::GroupBroken
        } else {
            AttemptEnd::Rejected
        };
        self.attempts[attempt].upstream = None;
        let decisions = self.gateways[gateway].record_end(now, upstream, outcome);
        if sends < SENDS_MAX {
            self.choose(now, attempt);
        } else {
            let retry_after = self.gateways[gateway].retry_delay(now, deadline);
            self.refuse(now, attempt, retry_after);
        }
        self.apply_all(now, decisions);
    }

    fn refuse(&mut self, now: Millis, attempt: usize, retry_after: Millis) {
        let Attempt { call, retries, .. } = self.attempts[attempt];
        self.close(attempt);
        self.outcomes[call].refused = true;
        let remaining = self.deadline(call).since(now);
        if retries < RETRIES_MAX && retry_after.0 * RETRY_WAIT_DIVISOR <= remaining.0 {
            let arrives = Event::Arrives {
                call,
                retries: retries + 1,
            };
            self.schedule(now + retry_after + NETWORK_DELAY, arrives);
        }
    }

    fn close(&mut self, attempt: usize) {
        self.attempts[attempt].is_open = false;
        self.open_attempts
            .retain(|open_attempt| *open_attempt != attempt);
    }

    fn start_pass(&mut self, now: Millis, group: usize) {
        if !self.groups[group].in_pass
            && let Some(time) = self.groups[group].start_pass()
        {
            self.schedule(now + time, Event::PassEnds(group));
        }
    }

    fn end_pass(&mut self, now: Millis, group: usize) {
        if self.groups[group].is_out {
            self.groups[group].in_pass = false;
            return;
        }
        for result in self.groups[group].end_pass() {
            match result {
                PassResult::Event(attempt) => self.deliver_event(now, attempt),
                PassResult::Last(attempt) => {
                    self.deliver_event(now, attempt);
                    let call = self.attempts[attempt].call;
                    self.outcomes[call].is_complete = true;
                    self.end_attempt(now, attempt, AttemptEnd::Served);
                }
            }
        }
        self.start_pass(now, group);
    }

    fn deliver_event(&mut self, now: Millis, attempt: usize) {
        let attempt_state = &mut self.attempts[attempt];
        let last_event = std::mem::replace(&mut attempt_state.last_event, now);
        let call = attempt_state.call;
        let (gateway, upstream) = (attempt_state.gateway, attempt_state.upstream);
        let outcome = &mut self.outcomes[call];
        if outcome.first_event.is_none() {
            if let Some(upstream) = upstream {
                let report = self.groups[upstream / RANKS].report(upstream % RANKS);
                self.gateways[gateway].record_load(now, upstream, report);
            }
            outcome.first_event = Some(now.since(self.calls[call].at) + NETWORK_DELAY);
        } else {
            outcome.max_pause = outcome.max_pause.max(now.since(last_event));
        }
        if let Some(upstream) = upstream {
            self.gateways[gateway].record_progress(now, upstream);
        }
    }

    /// Closes an attempt and reports its end to the gateway if it is at an upstream.
    fn end_attempt(&mut self, now: Millis, attempt: usize, outcome: AttemptEnd) {
        self.close(attempt);
        let gateway = self.attempts[attempt].gateway;
        if let Some(upstream) = self.attempts[attempt].upstream.take() {
            let decisions = self.gateways[gateway].record_end(now, upstream, outcome);
            self.apply_all(now, decisions);
        }
    }

    /// Passes the last samples of all groups on to the gateways, and takes the next ones.
    fn pass_on_loads(&mut self, now: Millis) {
        self.schedule(now + SAMPLE_INTERVAL, Event::PassOnLoads);
        let gateways = self.gateways.len();
        for group in 0..self.groups.len() {
            let state = &self.groups[group];
            let sample = state.sample(gateways);
            let last = self.samples[group].replace(sample);
            let load = GroupLoad {
                group: group_name(group),
                epoch: 1,
                open: !state.is_out,
                step: state.step,
                sample: last.map(|sample| (SAMPLE_INTERVAL, sample)),
            };
            for gateway in 0..gateways {
                let decisions = self.gateways[gateway].record_group_load(now, &load);
                self.apply_all(now, decisions);
            }
        }
    }

    fn tick(&mut self, now: Millis) {
        self.schedule(now + TICK, Event::Tick);
        for gateway in 0..self.gateways.len() {
            let decisions = self.gateways[gateway].tick(now);
            self.apply_all(now, decisions);
        }
        let abandoned: Vec<usize> = self
            .open_attempts
            .iter()
            .copied()
            .filter(|attempt| {
                let attempt_state = &self.attempts[*attempt];
                now.since(attempt_state.last_event) > EVENT_GAP_MAX
                    || now > self.deadline(attempt_state.call)
            })
            .collect();
        for attempt in abandoned {
            if let Some(upstream) = self.attempts[attempt].upstream {
                self.groups[upstream / RANKS].cancel(upstream % RANKS, attempt);
            }
            self.end_attempt(now, attempt, AttemptEnd::Abandoned);
        }
        for group in 0..self.groups.len() {
            self.start_pass(now, group);
        }
    }
}
