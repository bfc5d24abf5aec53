//! The event loop of a simulated day.

mod disturb;
mod evacuations;
mod permits;

use std::collections::BTreeMap;

use rand::Rng as _;
use sardinepin_common::{Map, Millis, Rng, seeded_rng};
use sardinepin_decisions::LimitNotice;
use sardinepin_decisions::direct::{PermitAsk, PermitReply, UpstreamSpec};

use crate::bounds::agents::Agents;
use crate::bounds::callers::{Callers, DEADLINE};
use crate::bounds::day::{Day, DaySettings, LEAD_TIME};
use crate::bounds::event::{Attempt, Event};
use crate::bounds::mutant::Mutant;
use crate::bounds::network::{Network, ZONES};
use crate::bounds::notice::Notice;
use crate::bounds::record::{Arrival, Record, RequestId, Told, Withdrawn};
use crate::bounds::sender::{Action, Outcome, Sender};
use crate::bounds::upstreams::{RunEnd, ServiceIndex, Upstreams};

/// The interval at which senders look after their queues.
const TICK: Millis = Millis(20);

/// The interval at which senders look for stalled attempts.
const STALL_CHECK_INTERVAL: Millis = Millis(150);

/// The interval between two queries of a sender about one group.
const QUERY_INTERVAL: Millis = Millis(100);

/// What each group adds to that interval.
const INTERVAL_PER_GROUP: Millis = Millis(17);

/// The age of a sample, in milliseconds.
const SAMPLE_AGE_MS: std::ops::Range<u64> = 0..160;

/// How long a sender waits for a connection.
const CONNECT_TIMEOUT: Millis = Millis(200);

/// The time until a connection is refused where nothing listens.
const REFUSED_TIME: Millis = Millis(2);

/// How long bytes may stay unacknowledged until their connection is lost.
const USER_TIMEOUT: Millis = Millis(1_500);

/// The share of attempts on a connection that is already open.
const POOLED_SHARE: f64 = 0.6;

/// The time from the arrival of a request until the first part of its answer.
const FIRST_EVENT: Millis = Millis(120);

/// A process that sends requests, or the place of one that is down.
#[derive(Debug)]
struct Node {
    sender: Option<Sender>,
    incarnation: u32,
    frozen_until: Millis,
}

/// A request for permits on its way.
#[derive(Debug)]
struct PendingAsk {
    /// The incarnation of the sender.
    incarnation: u32,
    ask: PermitAsk,
    reply: PermitReply,
}

/// A simulated day in progress.
pub(super) struct World<'a> {
    settings: &'a DaySettings,
    day: &'a Day,
    rng: Rng,
    nodes: Vec<Node>,
    callers: Callers,
    upstreams: Upstreams,
    specs: Vec<UpstreamSpec>,
    agents: Agents,
    network: Network,
    /// The scheduled events by time, and in the order of scheduling at the same time.
    events: BTreeMap<(Millis, u64), Event>,
    event_count: u64,
    store_silent_until: Millis,
    /// The requests for permits on their way.
    asks: Map<u64, PendingAsk>,
    record: Record,
    actions: Vec<Action>,
}

impl<'a> World<'a> {
    /// Creates the day before its first event.
    pub(super) fn new(settings: &'a DaySettings, day: &'a Day) -> Self {
        let upstreams = Upstreams::new(day);
        let mut world = Self {
            settings,
            day,
            rng: seeded_rng(settings.seed ^ 0x5eed),
            nodes: Vec::new(),
            callers: Callers::new(day.rates.clone()),
            specs: upstreams.specs(),
            agents: Agents::new(upstreams.len()),
            network: Network::default(),
            upstreams,
            events: BTreeMap::new(),
            event_count: 0,
            store_silent_until: Millis::ZERO,
            asks: Map::default(),
            record: Record::default(),
            actions: Vec::new(),
        };
        for index in 0..settings.senders {
            world.nodes.push(Node {
                sender: None,
                incarnation: 0,
                frozen_until: Millis::ZERO,
            });
            world.schedule(Millis::ZERO, Event::Start(index));
        }
        for (index, disturbance) in day.disturbances.iter().enumerate() {
            world.schedule(disturbance.from, Event::Begin(index));
        }
        for service in 0..day.rates.len() {
            let call = Event::Call {
                service,
                is_first: true,
            };
            world.schedule(LEAD_TIME, call);
        }
        if let Some(cold) = &day.cold {
            for index in 0..settings.senders {
                if let Some(delay) = cold.list_delay(&mut world.rng) {
                    world.schedule(cold.from + delay, Event::ReadList(index));
                }
            }
        }
        for plan in &day.evacuations {
            world.schedule(plan.from, Event::ChangeEvacuations);
            world.schedule(plan.until, Event::ChangeEvacuations);
        }
        world.schedule(TICK, Event::Tick);
        world.schedule(STALL_CHECK_INTERVAL, Event::StallCheck);
        world
    }

    /// Returns what the list of upstreams says.
    fn specs_at(&self, now: Millis) -> Vec<UpstreamSpec> {
        let mut specs = self.specs.clone();
        if let Some(cold) = &self.day.cold {
            cold.update(now, &mut specs);
        }
        specs
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    /// Simulates the day and returns its record.
    pub(super) fn run(mut self) -> Record {
        let end = LEAD_TIME + self.settings.length + DEADLINE;
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > end {
                break;
            }
            self.handle(now, event);
        }
        self.record.permit_requests = self.agents.permit_requests;
        self.record
    }

    fn handle(&mut self, now: Millis, event: Event) {
        match event {
            Event::Call { service, is_first } => self.handle_call(now, service, is_first),
            Event::Request {
                sender,
                request,
                service,
            } => {
                self.with_sender(now, sender, event, |sender, actions| {
                    sender.handle_request(now, request, service, now + DEADLINE, actions);
                });
                self.ask_for_permits_of(now, sender);
            }
            Event::Dispatch(attempt) => self.dispatch(now, attempt),
            Event::Arrive(attempt) => {
                let read_at = self.upstreams.reads_at(attempt.upstream, now);
                self.schedule(read_at, Event::Read(attempt));
            }
            Event::Read(attempt) => self.handle_read(now, attempt),
            Event::Progress(attempt, notice) => {
                self.record_told(now, &attempt, notice);
                self.with_current(now, attempt, event, |sender, _| {
                    sender.record_progress(now, attempt.attempt, notice);
                });
            }
            Event::End(attempt, end) => self.handle_end(now, attempt, end),
            Event::Outcome(attempt, outcome, notice) => {
                self.record_told(now, &attempt, notice);
                self.with_current(now, attempt, event, |sender, actions| {
                    sender.handle_end(now, attempt.attempt, outcome, notice, actions);
                });
            }
            Event::Query { sender, group } => self.handle_query(now, sender, group),
            Event::PermitRequest { sender, ask } => self.handle_permit_request(now, sender, ask),
            Event::PermitReply { sender, ask } => self.handle_permit_reply(now, sender, ask),
            Event::Tick => {
                self.for_each_sender(now, |sender, actions| sender.tick(now, actions));
                self.ask_for_permits(now);
                self.schedule(now + TICK, Event::Tick);
            }
            Event::StallCheck => {
                self.for_each_sender(now, |sender, actions| sender.move_stalled(now, actions));
                self.schedule(now + STALL_CHECK_INTERVAL, Event::StallCheck);
            }
            Event::Begin(index) => self.begin(now, self.day.disturbances[index]),
            Event::ChangeEvacuations => self.change_evacuations(now),
            Event::ReadEvacuations(index) => self.read_evacuations(now, index),
            Event::Start(index) => self.start(now, index),
            Event::ReadList(index) => {
                let specs = self.specs_at(now);
                self.with_sender(now, index, event, |sender, actions| {
                    sender.read_list(now, &specs, actions);
                });
            }
        }
    }

    /// Lets a sender act; an event of a sender that stands still waits until it wakes.
    fn with_sender(
        &mut self,
        now: Millis,
        index: usize,
        event: Event,
        act: impl FnOnce(&mut Sender, &mut Vec<Action>),
    ) {
        let node = &mut self.nodes[index];
        if now < node.frozen_until {
            let until = node.frozen_until;
            return self.schedule(until, event);
        }
        let Some(sender) = &mut node.sender else {
            return;
        };
        let mut actions = std::mem::take(&mut self.actions);
        act(sender, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now, index, action);
        }
        self.actions = actions;
    }

    /// Lets the sender of an attempt act, unless it has started again since.
    fn with_current(
        &mut self,
        now: Millis,
        attempt: Attempt,
        event: Event,
        act: impl FnOnce(&mut Sender, &mut Vec<Action>),
    ) {
        if self.is_current(&attempt) {
            self.with_sender(now, attempt.sender, event, act);
        }
    }

    fn for_each_sender(&mut self, now: Millis, mut act: impl FnMut(&mut Sender, &mut Vec<Action>)) {
        for index in 0..self.nodes.len() {
            if now >= self.nodes[index].frozen_until {
                self.with_sender(now, index, Event::Tick, &mut act);
            }
        }
    }

    fn is_current(&self, attempt: &Attempt) -> bool {
        self.nodes[attempt.sender].incarnation == attempt.incarnation
    }

    /// Records what a sender has been told of a limit, of leaving and of a rest.
    fn record_told(&mut self, now: Millis, attempt: &Attempt, notice: Notice) {
        let (sender, upstream) = (attempt.sender, attempt.upstream);
        let is_awake = now >= self.nodes[sender].frozen_until;
        if !is_awake || !self.is_current(attempt) {
            return;
        }
        if matches!(notice.limit, LimitNotice::Named(_)) {
            self.record.told.push(Told {
                at: now,
                sender,
                upstream,
            });
        }
        let node = &self.nodes[sender];
        if !node
            .sender
            .as_ref()
            .is_some_and(|one| one.reads(attempt.attempt))
        {
            return;
        }
        let withdrawn = Withdrawn {
            at: now,
            sender,
            upstream,
            rest: notice.rest,
        };
        if notice.rest.is_some() {
            self.record.withdrawn.push(withdrawn);
        }
        if notice.leaving {
            self.record.withdrawn.push(Withdrawn {
                rest: None,
                ..withdrawn
            });
        }
    }

    fn carry_out(&mut self, now: Millis, index: usize, action: Action) {
        match action {
            Action::Send {
                request,
                attempt,
                upstream,
            } => {
                let attempt = Attempt {
                    sender: index,
                    incarnation: self.nodes[index].incarnation,
                    attempt,
                    request,
                    upstream,
                };
                match self.day.hold_max {
                    Millis::ZERO => self.send(now, attempt),
                    most => {
                        let hold = Millis(self.rng.random_range(0..=most.0));
                        self.schedule(now + hold, Event::Dispatch(attempt));
                    }
                }
            }
            Action::Refuse {
                request,
                retry_after,
            } => {
                if let Some((service, wait)) = self.callers.comes_again(now, request, retry_after) {
                    let call = Event::Call {
                        service,
                        is_first: false,
                    };
                    self.schedule(now + wait, call);
                }
            }
            Action::Answer => {}
        }
    }

    /// Sends what its sender has held, unless the upstream has withdrawn or the request has moved elsewhere meanwhile.
    fn dispatch(&mut self, now: Millis, attempt: Attempt) {
        let node = &self.nodes[attempt.sender];
        if now < node.frozen_until {
            let until = node.frozen_until;
            return self.schedule(until, Event::Dispatch(attempt));
        }
        let sender = node.sender.as_ref();
        let Some(sender) =
            sender.filter(|one| self.is_current(&attempt) && one.reads(attempt.attempt))
        else {
            return;
        };
        match sender.may_send(now, attempt.attempt) {
            true => self.send(now, attempt),
            false => self.lose(now, attempt, Outcome::Withdrawn),
        }
    }

    fn send(&mut self, now: Millis, attempt: Attempt) {
        let from = zone_of(attempt.sender);
        let to = self.upstreams.zone(attempt.upstream);
        let cold = self.day.cold.as_ref();
        if cold.is_some_and(|cold| cold.is_down(now, attempt.upstream)) {
            return self.lose(now + REFUSED_TIME, attempt, Outcome::NotSent);
        }
        let pooled = self.rng.random_bool(POOLED_SHARE);
        if !pooled && !self.network.connects(now, from, to) {
            return self.lose(now + CONNECT_TIMEOUT, attempt, Outcome::NotSent);
        }
        match self.network.arrival(now, from, to, &mut self.rng) {
            Some(at) => self.schedule(at, Event::Arrive(attempt)),
            None => self.lose(now + USER_TIMEOUT, attempt, Outcome::Run(RunEnd::Broken)),
        }
    }

    /// Lets a sender learn at `at` that no answer comes.
    fn lose(&mut self, at: Millis, attempt: Attempt, outcome: Outcome) {
        self.schedule(at, Event::Outcome(attempt, outcome, Notice::NONE));
    }

    fn handle_call(&mut self, now: Millis, service: ServiceIndex, is_first: bool) {
        if now >= LEAD_TIME + self.settings.length {
            return;
        }
        let request = self.record.requests.len() as RequestId;
        self.record.requests.push(now);
        self.record.services.push(service);
        if is_first {
            let gap = self.callers.gap(now, service, &mut self.rng);
            self.schedule(now + gap, Event::Call { service, is_first });
            self.callers.expect_return(now, request, service);
        }
        let is_up = |index: usize| self.nodes[index].sender.is_some();
        let total = self.nodes.len();
        let sender = self.callers.pick_sender(now, total, is_up, &mut self.rng);
        let at = now + Millis(self.rng.random_range(1..4));
        let event = Event::Request {
            sender,
            request,
            service,
        };
        self.schedule(at, event);
    }

    fn handle_read(&mut self, now: Millis, attempt: Attempt) {
        self.record.arrivals.push(Arrival {
            at: now,
            request: attempt.request,
            sender: attempt.sender,
            upstream: attempt.upstream,
        });
        let (end, at) = self.upstreams.begin(now, attempt.upstream, &mut self.rng);
        let first = now + FIRST_EVENT;
        if at > first && matches!(end, RunEnd::Served | RunEnd::Broken) {
            let notice = self.upstreams.notice(first, attempt.upstream, false);
            self.schedule(first, Event::Progress(attempt, notice));
        }
        self.schedule(at, Event::End(attempt, end));
    }

    fn handle_end(&mut self, now: Millis, attempt: Attempt, end: RunEnd) {
        self.upstreams.end(attempt.upstream);
        let from = self.upstreams.zone(attempt.upstream);
        let to = zone_of(attempt.sender);
        let is_rejected = end == RunEnd::Rejected;
        let notice = self.upstreams.notice(now, attempt.upstream, is_rejected);
        match self.network.arrival(now, from, to, &mut self.rng) {
            Some(at) => self.schedule(at, Event::Outcome(attempt, Outcome::Run(end), notice)),
            None => self.lose(now + USER_TIMEOUT, attempt, Outcome::Run(RunEnd::Broken)),
        }
    }

    fn handle_query(&mut self, now: Millis, index: usize, group: usize) {
        let groups = self.day.groups as u64;
        let interval = QUERY_INTERVAL.max(Millis(INTERVAL_PER_GROUP.0 * groups));
        let event = Event::Query {
            sender: index,
            group,
        };
        self.schedule(now + interval, event);
        let node = &self.nodes[index];
        if now < node.frozen_until || node.sender.is_none() {
            return;
        }
        let (network, upstreams) = (&self.network, &self.upstreams);
        let zone = zone_of(index);
        let agent = Agents::reachable(now, group, index, zone, network, upstreams);
        let Some(agent) = agent else {
            return;
        };
        let counted = self
            .agents
            .count_readers(now, agent, index, network, upstreams);
        let gateways = match self.settings.mutant {
            Mutant::ShareNotDivided => 1,
            _ => counted,
        };
        let age = Millis(self.rng.random_range(SAMPLE_AGE_MS));
        let limits = self.agents.limits(now, upstreams.members(group));
        let Some(load) = self.upstreams.report(now, agent, gateways, age, limits) else {
            return;
        };
        self.with_sender(now, index, Event::Tick, |sender, actions| {
            sender.record_report(now, &load, actions);
        });
    }
}

/// Returns the availability zone of a sender.
fn zone_of(sender: usize) -> usize {
    sender % ZONES
}
