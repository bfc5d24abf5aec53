//! Two simple policies, kept to compare with: round robin and least in flight.
//!
//! They know one bounded first-in, first-out queue for each service and a fixed limit on each
//! upstream, and retry on the next upstream up to the most attempts.

use std::collections::VecDeque;
use std::sync::Arc;

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::{ErrorKind, UpstreamState};

use crate::balancer::Decide;
use crate::events::{Arrival, AttemptEnd, Effect, Event, RequestNumber, UpstreamId, UpstreamInfo};
use crate::settings::Settings;

/// When a request that is given up may come back.
const RETRY_AFTER: Millis = Millis(1_000);

/// How an upstream is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pick {
    /// Each upstream in turn.
    NextInTurn,
    /// The upstream with the fewest attempts of this entry.
    LeastInFlight,
}

/// A simple policy.
#[derive(Debug)]
pub(crate) struct Baseline {
    settings: Settings,
    pick: Pick,
    turn: usize,
    slots: Vec<Slot>,
    requests: Map<RequestNumber, Request>,
    queues: Map<Arc<str>, VecDeque<RequestNumber>>,
}

#[derive(Debug)]
struct Slot {
    info: UpstreamInfo,
    linked: bool,
    leaving: bool,
    in_flight: u32,
}

#[derive(Debug)]
struct Request {
    arrival: Arrival,
    attempts: u32,
    last: Option<UpstreamId>,
    /// Where it is in flight.
    flying: Option<UpstreamId>,
    /// Why the last attempt failed.
    cause: Option<ErrorKind>,
    /// The first reason for which it may have run.
    unknown: Option<ErrorKind>,
}

impl Baseline {
    /// Makes a policy without upstreams.
    pub(crate) fn new(settings: Settings, pick: Pick) -> Self {
        Self {
            settings,
            pick,
            turn: 0,
            slots: Vec::new(),
            requests: Map::default(),
            queues: Map::default(),
        }
    }

    fn arrived(&mut self, now: Millis, arrival: Arrival, effects: &mut Vec<Effect>) {
        let ticket = arrival.request;
        let service = Arc::clone(&arrival.service);
        let request = Request {
            arrival,
            attempts: 0,
            last: None,
            flying: None,
            cause: None,
            unknown: None,
        };
        self.requests.insert(ticket, request);
        let waiting = self.queues.get(&service).map_or(0, VecDeque::len);
        if waiting >= self.settings.queue.class_max {
            return self.give_up(ticket, ErrorKind::QueueFull, effects);
        }
        self.queues
            .entry(Arc::clone(&service))
            .or_default()
            .push_back(ticket);
        self.pump(now, &service, effects);
    }

    /// Sends what waits for a service, in order, as long as an upstream has room.
    fn pump(&mut self, now: Millis, service: &Arc<str>, effects: &mut Vec<Effect>) {
        while let Some(ticket) = self
            .queues
            .get_mut(service)
            .and_then(|queue| queue.front().copied())
        {
            let Some(request) = self.requests.get(&ticket) else {
                self.drop_front(service);
                continue;
            };
            if request.arrival.deadline <= now {
                self.drop_front(service);
                self.give_up(ticket, ErrorKind::TooLate, effects);
                continue;
            }
            if !self
                .slots
                .iter()
                .any(|slot| slot.takes_work() && slot.info.service == *service)
            {
                let kind = request.cause.unwrap_or(ErrorKind::NoUpstream);
                self.drop_front(service);
                self.give_up(ticket, kind, effects);
                continue;
            }
            let Some(at) = self.choose(service, request.last) else {
                return;
            };
            self.drop_front(service);
            self.send(ticket, at, effects);
        }
    }

    fn drop_front(&mut self, service: &Arc<str>) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.pop_front();
        }
    }

    fn choose(&self, service: &str, avoid: Option<UpstreamId>) -> Option<usize> {
        self.choose_among(service, avoid)
            .or_else(|| self.choose_among(service, None))
    }

    fn choose_among(&self, service: &str, avoid: Option<UpstreamId>) -> Option<usize> {
        let count = self.slots.len();
        let limit = self.settings.concurrency.baseline_limit;
        let fits = |at: &usize| {
            let slot = &self.slots[*at];
            slot.takes_work()
                && &*slot.info.service == service
                && slot.in_flight < limit
                && Some(slot.info.id) != avoid
        };
        match self.pick {
            Pick::NextInTurn => (0..count).map(|step| (self.turn + step) % count).find(fits),
            Pick::LeastInFlight => (0..count)
                .filter(fits)
                .min_by_key(|at| self.slots[*at].in_flight),
        }
    }

    fn send(&mut self, ticket: RequestNumber, at: usize, effects: &mut Vec<Effect>) {
        let (Some(request), Some(slot)) = (self.requests.get_mut(&ticket), self.slots.get_mut(at))
        else {
            return;
        };
        self.turn = at + 1;
        slot.in_flight += 1;
        request.attempts += 1;
        request.last = Some(slot.info.id);
        request.flying = Some(slot.info.id);
        effects.push(Effect::Send {
            request: ticket,
            upstream: slot.info.id,
            retry_cause: request.cause,
        });
    }

    fn ended(
        &mut self,
        now: Millis,
        ticket: RequestNumber,
        upstream: UpstreamId,
        end: AttemptEnd,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.flying = None;
            self.on_slot(upstream, |slot| {
                slot.in_flight = slot.in_flight.saturating_sub(1);
            });
        }
        match end {
            AttemptEnd::Complete => {
                self.requests.remove(&ticket);
            }
            AttemptEnd::NotRun { kind, .. } => self.retry(ticket, kind, true, effects),
            AttemptEnd::Unknown {
                kind,
                unresumable: spoiled,
                ..
            } => {
                if let Some(request) = self.requests.get_mut(&ticket) {
                    request.unknown.get_or_insert(kind);
                    let again = request.arrival.idempotent && !spoiled;
                    self.retry(ticket, kind, again, effects);
                }
            }
        }
        self.pump_all(now, effects);
    }

    fn hung_up(&mut self, ticket: RequestNumber) {
        let Some(request) = self.requests.remove(&ticket) else {
            return;
        };
        if let Some(upstream) = request.flying {
            self.on_slot(upstream, |slot| {
                slot.in_flight = slot.in_flight.saturating_sub(1);
            });
        }
    }

    fn retry(
        &mut self,
        ticket: RequestNumber,
        kind: ErrorKind,
        again: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.cause = Some(kind);
        if !again || request.attempts >= self.settings.attempts_max {
            return self.give_up(ticket, kind, effects);
        }
        let service = Arc::clone(&request.arrival.service);
        self.queues.entry(service).or_default().push_front(ticket);
    }

    /// Gives a request up; one that may have run is never called "not run".
    fn give_up(&mut self, ticket: RequestNumber, kind: ErrorKind, effects: &mut Vec<Effect>) {
        let unknown = self
            .requests
            .remove(&ticket)
            .and_then(|request| request.unknown);
        effects.push(Effect::GiveUp {
            request: ticket,
            kind: unknown.unwrap_or(kind),
            retry_after: RETRY_AFTER,
        });
    }

    fn pump_all(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let services: Vec<Arc<str>> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| Arc::clone(service))
            .collect();
        for service in services {
            self.pump(now, &service, effects);
        }
    }

    fn replace(&mut self, infos: Vec<UpstreamInfo>) {
        let mut old: Map<UpstreamId, Slot> = std::mem::take(&mut self.slots)
            .into_iter()
            .map(|slot| (slot.info.id, slot))
            .collect();
        for info in infos {
            let slot = match old.remove(&info.id) {
                Some(held) => Slot { info, ..held },
                None => Slot {
                    info,
                    linked: false,
                    leaving: false,
                    in_flight: 0,
                },
            };
            self.slots.push(slot);
        }
    }

    fn on_slot(&mut self, id: UpstreamId, change: impl FnOnce(&mut Slot)) {
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.info.id == id) {
            change(slot);
        }
    }
}

impl Decide for Baseline {
    fn handle(&mut self, now: Millis, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Arrived(arrival) => self.arrived(now, arrival, effects),
            Event::HungUp(ticket) => self.hung_up(ticket),
            Event::Ended {
                request: ticket,
                upstream,
                end,
            } => self.ended(now, ticket, upstream, end, effects),
            Event::Link { upstream, up } => self.on_slot(upstream, |slot| {
                slot.linked = up;
                slot.leaving &= !up;
            }),
            Event::Leaving(upstream) => self.on_slot(upstream, |slot| slot.leaving = true),
            Event::Upstreams(infos) => self.replace(infos),
            Event::Tick => self.pump_all(now, effects),
            Event::FirstByte { .. }
            | Event::Load { .. }
            | Event::PrefixCache { .. }
            | Event::Quarantined(_)
            | Event::QuarantineLifted(_)
            | Event::Services(_) => {}
        }
    }
}

impl Slot {
    fn takes_work(&self) -> bool {
        self.linked && !self.leaving && self.info.state == UpstreamState::Active
    }
}
