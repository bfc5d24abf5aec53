//! Disturbances of senders and of the network, and senders that start.

use rand::Rng as _;
use sardinepin_common::Millis;

use super::{World, zone_of};
use crate::bounds::cold_check::ColdPlan;
use crate::bounds::disturbance::{Disturbance, Kind};
use crate::bounds::event::Event;
use crate::bounds::mutant::Mutant;
use crate::bounds::network::ZONES;
use crate::bounds::record::Excuse;
use crate::bounds::sender::{Sender, SenderSettings};

/// How long a process takes from its start until it is ready, in milliseconds.
const START_MS: std::ops::Range<u64> = 300..1_300;

/// The longest time that a killed process is down.
const DOWN_TIME_MAX: Millis = Millis(1_000);

impl World<'_> {
    /// Begins a disturbance.
    pub(super) fn begin(&mut self, now: Millis, disturbance: Disturbance) {
        let Disturbance {
            kind,
            until,
            offset,
            ..
        } = disturbance;
        let total = self.nodes.len();
        match kind {
            Kind::Restart { share } => {
                for index in disturbance.targets(share, total) {
                    self.kill(now, index, until);
                }
            }
            Kind::FreezeSenders { share } => {
                for index in disturbance.targets(share, total) {
                    self.nodes[index].frozen_until = until;
                    self.excuse(index, now, until);
                }
            }
            Kind::CutZone => {
                self.network.cut(offset % ZONES, until);
                for index in 0..total {
                    self.excuse(index, now, until);
                }
            }
            Kind::RestartAgents { share } => {
                for agent in disturbance.targets(share, self.upstreams.len()) {
                    self.agents.restart(agent);
                }
            }
            Kind::SilentStore => self.store_silent_until = until,
            kind => self.callers.disturb(kind, until, offset),
        }
    }

    /// Kills a sender, which starts again.
    fn kill(&mut self, now: Millis, index: usize, until: Millis) {
        let node = &mut self.nodes[index];
        node.sender = None;
        node.incarnation += 1;
        let down_until = until.min(now + DOWN_TIME_MAX);
        let start = down_until + Millis(self.rng.random_range(START_MS));
        self.excuse(index, now, start);
        self.schedule(start, Event::Start(index));
    }

    fn excuse(&mut self, sender: usize, from: Millis, until: Millis) {
        self.record.excuses.push(Excuse {
            sender,
            from,
            until,
        });
    }

    /// Starts a sender; it is ready once it has read the store.
    pub(super) fn start(&mut self, now: Millis, index: usize) {
        if self.nodes[index].sender.is_some() {
            return;
        }
        if now < self.store_silent_until {
            let until = self.store_silent_until;
            return self.schedule(until, Event::Start(index));
        }
        let settings = SenderSettings {
            identity: index as u64,
            zone: zone_of(index),
            seed: self.rng.random(),
            attempts_max: self.day.attempts_max,
            mutant: self.settings.mutant,
            cold: self.day.cold.as_ref().map(ColdPlan::service),
        };
        self.nodes[index].sender = Some(Sender::start(now, settings, &self.specs_at(now)));
        if self.settings.mutant != Mutant::EvacuationUnreadAtStart {
            self.read_evacuations(now, index);
        }
        if self.nodes[index].incarnation == 0 {
            for group in 0..self.day.groups {
                let at = now + Millis(self.rng.random_range(1..100));
                let event = Event::Query {
                    sender: index,
                    group,
                };
                self.schedule(at, event);
            }
        }
    }
}
