//! Requests for permits on their way between senders and agents.

use sardinepin_common::Millis;

use super::{PendingAsk, World, zone_of};
use crate::bounds::event::Event;
use crate::bounds::mutant::Mutant;
use crate::bounds::upstreams::Upstreams;

/// How long a sender waits for an agent.
const CALL_TIMEOUT: Millis = Millis(250);

impl World<'_> {
    /// Lets all senders ask for the permits that they want.
    pub(super) fn ask_for_permits(&mut self, now: Millis) {
        for index in 0..self.nodes.len() {
            self.ask_for_permits_of(now, index);
        }
    }

    /// Lets a sender ask for the permits that it wants.
    pub(super) fn ask_for_permits_of(&mut self, now: Millis, index: usize) {
        let node = &mut self.nodes[index];
        let sender = node.sender.as_mut().filter(|_| now >= node.frozen_until);
        let Some(sender) = sender else {
            return;
        };
        let incarnation = node.incarnation;
        for ask in sender.permit_asks(now) {
            let to = ask
                .agent
                .map(|address| self.upstreams.zone(Upstreams::position_of(address)));
            let arrival = to.and_then(|to| {
                let from = zone_of(index);
                self.network.arrival(now, from, to, &mut self.rng)
            });
            let number = self.event_count;
            let pending = PendingAsk {
                incarnation,
                ask,
                reply: None,
            };
            self.asks.insert(number, pending);
            let (sender, ask) = (index, number);
            match arrival {
                Some(at) if at < now + CALL_TIMEOUT => {
                    self.schedule(at, Event::PermitRequest { sender, ask });
                }
                _ => self.schedule(now + CALL_TIMEOUT, Event::PermitReply { sender, ask }),
            }
        }
    }

    /// Lets an agent answer, unless its instance stands still.
    pub(super) fn handle_permit_request(&mut self, now: Millis, sender: usize, ask: u64) {
        let Some(pending) = self.asks.get_mut(&ask) else {
            return;
        };
        let agent = pending.ask.agent.map(Upstreams::position_of);
        let agent = agent.filter(|agent| self.upstreams.reads_at(*agent, now) == now);
        let mut at = now + CALL_TIMEOUT;
        if let Some(agent) = agent {
            let mut request = pending.ask.request.clone();
            if self.settings.mutant == Mutant::OwnAllocators {
                request.upstream = format!("{}-{sender}", request.upstream).into();
            }
            let grant = self.agents.grant(now, agent, &request);
            let from = self.upstreams.zone(agent);
            let arrival = self
                .network
                .arrival(now, from, zone_of(sender), &mut self.rng);
            if let Some(arrival) = arrival.filter(|arrival| *arrival < at) {
                at = arrival;
                pending.reply = Some(grant);
            }
        }
        self.schedule(at, Event::PermitReply { sender, ask });
    }

    /// Lets a sender learn of a reply, unless it has started again since.
    pub(super) fn handle_permit_reply(&mut self, now: Millis, sender: usize, ask: u64) {
        let event = Event::PermitReply { sender, ask };
        if now < self.nodes[sender].frozen_until {
            let until = self.nodes[sender].frozen_until;
            return self.schedule(until, event);
        }
        let Some(pending) = self.asks.remove(&ask) else {
            return;
        };
        if pending.incarnation == self.nodes[sender].incarnation {
            self.with_sender(now, sender, event, |sender, actions| {
                sender.record_permits(now, &pending.ask, pending.reply, actions);
            });
        }
    }
}
