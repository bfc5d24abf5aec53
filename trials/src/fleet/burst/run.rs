//! The events of a run: calls that are placed, passes of the group, and what gateways hear of it.

use std::cmp::Reverse;
use std::sync::Arc;

use rand::Rng as _;
use sardinepin_common::Millis;
use sardinepin_decisions::MemberState;
use sardinepin_decisions::direct::{
    AllowedRegions, AttemptEnd, Decision, PlacementRequest, QueueDecision, RequestNumber,
    UpstreamId,
};
use sardinepin_protocol::GroupLoad;

use super::{
    Attempt, BURST_END, BURST_START, BurstPolicy, CALL_TIMEOUT, Event, GATEWAYS, Model, OBJECTIVES,
    POLL_INTERVAL, SHAPE, TICK,
};
use crate::fleet::engine::{EngineRequest, PassResult};

/// How often a caller retries who does so at once.
const EAGER_RETRIES: u32 = 3;

/// How long such a caller waits.
const EAGER_DELAY: Millis = Millis(50);

/// The most upstreams that one attempt is sent to.
const SENDS_MAX: u32 = 2;

/// The time that a query takes.
const QUERY_TIME: Millis = Millis(5);

/// The load over its target from which credits are needed.
const CREDITS_FROM: f64 = 0.9;

/// The most agents that a gateway asks for a credit for one request.
const CREDIT_ASKS_MAX: u32 = 3;

impl Model {
    pub(super) fn schedule(&mut self, at: Millis, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    pub(super) fn handle(&mut self, now: Millis, event: Event) {
        match event {
            Event::Arrives { call, retries } => self.arrive(now, call, retries),
            Event::PassEnds => self.end_pass(now),
            Event::Tick => self.tick(now),
            Event::Poll => self.poll(now),
            Event::Query(gateway) => self.query(now, gateway),
        }
    }

    fn arrive(&mut self, now: Millis, call: usize, retries: u32) {
        self.arrivals += 1;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            call,
            // A retry reaches another gateway.
            gateway: (self.calls[call].gateway + 7 * retries as usize) % GATEWAYS,
            started_at: now,
            retries,
            sends: 0,
            asks: 0,
            upstream: None,
            has_event: false,
            is_open: true,
        });
        self.open.push(attempt);
        self.place(now, attempt, Vec::new());
    }

    fn deadline(&self, call: usize) -> Millis {
        self.calls[call].at + CALL_TIMEOUT
    }

    fn place(&mut self, now: Millis, attempt: usize, tried: Vec<UpstreamId>) {
        let Attempt {
            call,
            gateway,
            retries,
            ..
        } = self.attempts[attempt];
        if !self.policy.is_product() {
            let chosen = self.choose_simply(gateway);
            return self.send(now, attempt, chosen);
        }
        let state = self.calls[call];
        let request = PlacementRequest {
            number: RequestNumber(attempt as u64),
            service: Arc::from("llm"),
            priority: state.priority as u8,
            latency_objective: OBJECTIVES[state.priority],
            deadline: self.deadline(call),
            continues: !tried.is_empty(),
            tried,
            returning: retries > 0,
            is_retry: false,
            regions: AllowedRegions::default(),
            organisation: Some(Arc::from(format!("o{}", state.organisation))),
        };
        if let Some(decision) = self.balancers[gateway].place(now, request) {
            self.apply(now, attempt, decision);
        }
    }

    fn choose_simply(&mut self, gateway: usize) -> usize {
        let loads = &self.in_flight[gateway];
        self.turns[gateway] += 1;
        let turn = self.turns[gateway] % SHAPE.ranks;
        match self.policy {
            BurstPolicy::LeastInFlight => {
                let order = (0..SHAPE.ranks).map(|index| (turn + index) % SHAPE.ranks);
                order.min_by_key(|index| loads[*index]).unwrap_or_default()
            }
            BurstPolicy::TwoChoices => {
                let first = self.rng.random_range(0..SHAPE.ranks);
                let second = self.rng.random_range(0..SHAPE.ranks);
                match loads[first] <= loads[second] {
                    true => first,
                    false => second,
                }
            }
            _ => turn,
        }
    }

    fn apply(&mut self, now: Millis, attempt: usize, decision: Decision) {
        match decision {
            Decision::Send(id) => {
                let gateway = self.attempts[attempt].gateway;
                let index = self.ids[gateway].iter().position(|known| *known == id);
                self.send(now, attempt, index.unwrap_or_default());
            }
            Decision::Refuse { retry_after, .. } => {
                self.refused += 1;
                self.turn_away(now, attempt, retry_after);
            }
        }
    }

    fn apply_all(&mut self, now: Millis, decisions: Vec<QueueDecision>) {
        for queued in decisions {
            self.apply(now, queued.number.0 as usize, queued.decision);
        }
    }

    fn send(&mut self, now: Millis, attempt: usize, upstream: usize) {
        let Attempt { gateway, call, .. } = self.attempts[attempt];
        self.in_flight[gateway][upstream] += 1;
        if !self.attempts[attempt].is_open {
            return self.record_end(now, gateway, upstream, AttemptEnd::Abandoned);
        }
        let report = self.group.report(upstream);
        let load = (report.running + report.waiting) as usize;
        if self.policy == BurstPolicy::Credits && self.fill() >= CREDITS_FROM {
            self.asks += 1;
            self.attempts[attempt].asks += 1;
            if load > SHAPE.slots {
                self.record_end(now, gateway, upstream, AttemptEnd::Rejected);
                if self.attempts[attempt].asks < CREDIT_ASKS_MAX {
                    return self.place(now, attempt, vec![self.ids[gateway][upstream]]);
                }
                self.refused += 1;
                let deadline = self.deadline(call);
                let delay = self.balancers[gateway].retry_delay(now, deadline);
                return self.turn_away(now, attempt, delay);
            }
        }
        self.attempts[attempt].sends += 1;
        let request = EngineRequest {
            attempt,
            prompt: self.calls[call].prompt,
            events: self.calls[call].events,
            // The code before did not pass the priority on.
            priority: match self.policy {
                BurstPolicy::AdmissionLevel => self.calls[call].priority as u8,
                _ => 0,
            },
        };
        if self.group.accept(upstream, request) {
            self.attempts[attempt].upstream = Some(upstream);
            return self.start_pass(now);
        }
        self.rejected += 1;
        self.record_end(now, gateway, upstream, AttemptEnd::Rejected);
        if self.policy.is_product() && self.attempts[attempt].sends < SENDS_MAX {
            return self.place(now, attempt, vec![self.ids[gateway][upstream]]);
        }
        let deadline = self.deadline(call);
        let delay = self.balancers[gateway].retry_delay(now, deadline);
        self.turn_away(now, attempt, delay);
    }

    /// Answers a caller that its request did not run.
    fn turn_away(&mut self, now: Millis, attempt: usize, retry_after: Millis) {
        let Attempt { call, retries, .. } = self.attempts[attempt];
        self.close(attempt);
        let left = self.deadline(call).since(now);
        let (most, delay) = match self.calls[call].eager {
            true => (EAGER_RETRIES, EAGER_DELAY),
            false if retry_after.0 * 3 <= left.0 => (1, retry_after),
            false => (0, retry_after),
        };
        if retries < most {
            let retries = retries + 1;
            self.schedule(now + delay, Event::Arrives { call, retries });
        }
    }

    fn close(&mut self, attempt: usize) {
        self.attempts[attempt].is_open = false;
        self.open.retain(|open| *open != attempt);
    }

    fn record_end(&mut self, now: Millis, gateway: usize, upstream: usize, end: AttemptEnd) {
        self.in_flight[gateway][upstream] -= 1;
        if self.policy.is_product() {
            let id = self.ids[gateway][upstream];
            let decisions = self.balancers[gateway].record_end(now, id, end);
            self.apply_all(now, decisions);
        }
    }

    fn start_pass(&mut self, now: Millis) {
        if !self.group.in_pass
            && let Some(time) = self.group.start_pass()
        {
            self.schedule(now + time, Event::PassEnds);
        }
    }

    fn end_pass(&mut self, now: Millis) {
        for result in self.group.end_pass() {
            let (PassResult::Event(attempt) | PassResult::Last(attempt)) = result;
            let Attempt {
                call,
                gateway,
                upstream,
                ..
            } = self.attempts[attempt];
            self.attempts[attempt].has_event = true;
            let elapsed = now.since(self.calls[call].at);
            self.ends[call].first_event.get_or_insert(elapsed);
            let Some(upstream) = upstream else { continue };
            let id = self.ids[gateway][upstream];
            self.balancers[gateway].record_progress(now, id);
            if matches!(result, PassResult::Last(_)) {
                self.ends[call].complete = true;
                self.completed += usize::from((BURST_START..BURST_END).contains(&now));
                self.close(attempt);
                self.record_end(now, gateway, upstream, AttemptEnd::Served);
            }
        }
        self.start_pass(now);
    }

    fn fill(&self) -> f64 {
        let loads = (0..SHAPE.ranks).map(|rank| self.group.report(rank));
        let load: u32 = loads.map(|report| report.running + report.waiting).sum();
        f64::from(load) / (SHAPE.ranks * SHAPE.slots) as f64
    }

    /// The coordinator's poll: agents get the last sample, and the next one is taken.
    fn poll(&mut self, now: Millis) {
        self.schedule(now + POLL_INTERVAL, Event::Poll);
        self.samples[0] = self.samples[1].take();
        let demand = &self.totals;
        let members = (0..SHAPE.ranks).map(|rank| {
            let report = self.group.report(rank);
            Some(MemberState {
                load: report.running + report.waiting,
                slots: SHAPE.slots as u32,
                // The agent of the first rank stands for those of all.
                demand: (rank == 0).then_some(demand),
            })
        });
        let members: Vec<_> = members.collect();
        let gateways = GATEWAYS as u32;
        let level = self.admission.observe(now, 1, gateways, &members).cloned();
        let mut sample = self.group.sample(GATEWAYS);
        sample.term = 1;
        sample.level = level;
        self.samples[1] = Some((now, sample));
        if (BURST_END.0 - 5_000..BURST_END.0).contains(&now.0) {
            let fill = self.fill();
            self.fill = (self.fill.0.min(fill), self.fill.1.max(fill));
        }
    }

    fn query(&mut self, now: Millis, gateway: usize) {
        self.schedule(now + POLL_INTERVAL + QUERY_TIME, Event::Query(gateway));
        if !self.policy.is_product() {
            return;
        }
        let name: Arc<str> = Arc::from("g0");
        let demand = self.balancers[gateway].take_demand(&name);
        self.totals.add(&demand);
        let load = GroupLoad {
            group: name,
            epoch: 1,
            open: true,
            step: self.group.step,
            sample: self.samples[0]
                .clone()
                .map(|(at, sample)| (now.since(at), sample)),
        };
        let decisions = self.balancers[gateway].record_group_load(now, &load);
        self.apply_all(now, decisions);
    }

    fn tick(&mut self, now: Millis) {
        self.schedule(now + TICK, Event::Tick);
        if self.policy.is_product() {
            for gateway in 0..GATEWAYS {
                let decisions = self.balancers[gateway].process_queues(now);
                self.apply_all(now, decisions);
            }
        }
        let gives_up = |attempt: &usize| {
            let state = &self.attempts[*attempt];
            let objective = OBJECTIVES[self.calls[state.call].priority];
            let patience = Millis((4 * objective.0).max(2_000));
            !state.has_event && now.since(state.started_at) > patience
        };
        let gone: Vec<usize> = self.open.iter().copied().filter(gives_up).collect();
        for attempt in gone {
            let Attempt {
                gateway, upstream, ..
            } = self.attempts[attempt];
            self.abandoned += 1;
            self.close(attempt);
            if let Some(upstream) = upstream {
                self.group.cancel(upstream, attempt);
                self.record_end(now, gateway, upstream, AttemptEnd::Abandoned);
            } else {
                let service = Arc::from("llm");
                let number = RequestNumber(attempt as u64);
                self.balancers[gateway].withdraw(now, &service, number);
            }
        }
        self.start_pass(now);
    }
}
