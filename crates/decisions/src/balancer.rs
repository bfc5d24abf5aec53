//! The balancer: one request in, one order out.

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::{ErrorKind, UpstreamState};

use crate::events::{Arrival, Effect, End, Event, Ticket, UpstreamId, UpstreamInfo};

/// Settings of a balancer.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The availability zone of the entry.
    pub zone: String,
    /// The seed of the random source.
    pub seed: u64,
    /// The time between two ticks, in milliseconds.
    pub tick_ms: u64,
    /// The most attempts for one request.
    pub attempts_max: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone: String::new(),
            seed: 0,
            tick_ms: 20,
            attempts_max: 3,
        }
    }
}

/// Decides, request by request, who is served where and who is given up.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    upstreams: Vec<Slot>,
    requests: Map<Ticket, Request>,
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
}

impl Balancer {
    /// Makes a balancer without upstreams.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            upstreams: Vec::new(),
            requests: Map::default(),
        }
    }

    /// Takes in one event and appends what follows from it to `effects`.
    pub fn handle(&mut self, now: Millis, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Arrived(arrival) => {
                let ticket = arrival.ticket;
                self.requests.insert(
                    ticket,
                    Request {
                        arrival,
                        attempts: 0,
                    },
                );
                self.send(now, ticket, ErrorKind::NoUpstream, effects);
            }
            Event::HungUp(ticket) => {
                self.requests.remove(&ticket);
            }
            Event::Ended {
                ticket,
                upstream,
                end,
            } => self.ended(now, ticket, upstream, end, effects),
            Event::Link { upstream, up } => self.on_slot(upstream, |slot| {
                slot.linked = up;
                slot.leaving &= !up;
            }),
            Event::Leaving(upstream) => self.on_slot(upstream, |slot| slot.leaving = true),
            Event::Upstreams(infos) => self.replace(infos),
            Event::Began { .. }
            | Event::Load { .. }
            | Event::Cached { .. }
            | Event::Quarantined(_)
            | Event::Lifted(_)
            | Event::Tick => {}
        }
    }

    fn ended(
        &mut self,
        now: Millis,
        ticket: Ticket,
        upstream: UpstreamId,
        end: End,
        effects: &mut Vec<Effect>,
    ) {
        self.on_slot(upstream, |slot| {
            slot.in_flight = slot.in_flight.saturating_sub(1)
        });
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        match end {
            End::Whole => {
                self.requests.remove(&ticket);
            }
            End::NotRun { kind, .. } => self.send(now, ticket, kind, effects),
            End::Unknown { kind, spoiled, .. } if request.arrival.idempotent && !spoiled => {
                self.send(now, ticket, kind, effects);
            }
            End::Unknown { kind, .. } => self.give_up(ticket, kind, effects),
        }
    }

    fn send(&mut self, now: Millis, ticket: Ticket, kind: ErrorKind, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        if request.arrival.deadline <= now {
            return self.give_up(ticket, ErrorKind::TooLate, effects);
        }
        if request.attempts >= self.settings.attempts_max {
            return self.give_up(ticket, kind, effects);
        }
        let service = &request.arrival.service;
        let best = self
            .upstreams
            .iter_mut()
            .filter(|slot| slot.takes_work() && slot.info.service == *service)
            .min_by_key(|slot| slot.in_flight);
        let Some(slot) = best else {
            return self.give_up(ticket, kind, effects);
        };
        request.attempts += 1;
        slot.in_flight += 1;
        effects.push(Effect::Send {
            ticket,
            upstream: slot.info.id,
        });
    }

    fn give_up(&mut self, ticket: Ticket, kind: ErrorKind, effects: &mut Vec<Effect>) {
        self.requests.remove(&ticket);
        effects.push(Effect::GiveUp {
            ticket,
            kind,
            retry_after: Millis(1_000),
        });
    }

    fn replace(&mut self, infos: Vec<UpstreamInfo>) {
        let mut old = std::mem::take(&mut self.upstreams);
        for info in infos {
            let held = old.iter().position(|slot| slot.info.id == info.id);
            let slot = match held {
                Some(at) => Slot {
                    info,
                    ..old.swap_remove(at)
                },
                None => Slot {
                    info,
                    linked: false,
                    leaving: false,
                    in_flight: 0,
                },
            };
            self.upstreams.push(slot);
        }
    }

    fn on_slot(&mut self, id: UpstreamId, change: impl FnOnce(&mut Slot)) {
        if let Some(slot) = self.upstreams.iter_mut().find(|slot| slot.info.id == id) {
            change(slot);
        }
    }
}

impl Slot {
    fn takes_work(&self) -> bool {
        self.linked && !self.leaving && self.info.state == UpstreamState::Active
    }
}
