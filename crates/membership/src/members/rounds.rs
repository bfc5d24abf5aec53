//! What a round does: judge old pings, send new ones.

use std::net::SocketAddr;

use rand::Rng as _;
use rand::seq::IteratorRandom as _;
use sardinepin_common::{Millis, Revision};

use super::{Membership, Output};
use crate::message::{MemberState, MessageKind};
use crate::probes::{Probe, Stage};

/// A node that did nothing for so many rounds was frozen, and judges nobody by that time.
const FREEZE_ROUNDS: u64 = 4;

/// How many times a node that begins to leave says so, beyond the peers of a round.
const FAREWELLS: usize = 4;

impl Membership {
    pub(super) fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.round += 1;
        if self.was_frozen(now) {
            self.forgive(now);
        }
        self.ticked = Some(now);
        self.judge_probes(now, out);
        self.judge_suspects(now, out);
        self.table.forget(now - self.settings.gone_retention);
        self.ping_peers(now, self.settings.fanout, out);
        self.try_strangers(out);
    }

    fn was_frozen(&self, now: Millis) -> bool {
        let limit =
            Millis(self.settings.round_interval.0 * FREEZE_ROUNDS).max(self.settings.ping_timeout);
        self.ticked.is_some_and(|last| now.since(last) > limit)
    }

    /// Answers may have come and gone while this node was frozen.
    fn forgive(&mut self, now: Millis) {
        self.probes.clear();
        for record in self.table.others.values_mut() {
            if record.update.state == MemberState::Suspected {
                record.since = now;
            }
        }
    }

    fn judge_probes(&mut self, now: Millis, out: &mut Vec<Output>) {
        for probe in self.probes.expired(now - self.settings.ping_timeout) {
            let Some(record) = self.table.others.get_mut(&probe.name) else {
                continue;
            };
            record.note_miss(probe.sent);
            // Whatever came from it since shows that it is there, though the link is not whole.
            let heard = record.heard.is_some_and(|heard| heard > probe.sent);
            match probe.stage {
                _ if heard => {}
                Stage::Relayed(time) if time >= self.settings.relay_attempts => {
                    self.lose(now, &probe.name, out);
                }
                Stage::Relayed(time) => self.ask_others(now, &probe.name, time + 1, out),
                Stage::Direct => self.ask_others(now, &probe.name, 1, out),
            }
        }
    }

    /// Asks a node again, and others to reach it.
    fn ask_others(&mut self, now: Millis, name: &str, time: u8, out: &mut Vec<Output>) {
        self.ping(now, name, Stage::Relayed(time), out);
        let relays: Vec<String> = self
            .table
            .others
            .values()
            .filter(|record| {
                record.update.state == MemberState::Alive && record.update.name != name
            })
            .map(|record| record.update.name.clone())
            .choose_multiple(&mut self.rng, self.settings.relays);
        for relay in relays {
            let target = name.to_owned();
            self.send(&relay, MessageKind::PingRequest { target }, out);
        }
    }

    /// Takes a node for suspected that nobody reached, or for gone if it was leaving.
    fn lose(&mut self, now: Millis, name: &str, out: &mut Vec<Output>) {
        let state = match self.table.update(name).map(|update| update.state) {
            Some(MemberState::Alive) => MemberState::Suspected,
            Some(MemberState::Leaving) => MemberState::Gone,
            _ => return,
        };
        self.set_state(now, name, state, out);
    }

    fn judge_suspects(&mut self, now: Millis, out: &mut Vec<Output>) {
        let rounds = u64::from(self.settings.suspicion_mult * self.logarithm());
        let limit = Millis(self.settings.round_interval.0 * rounds);
        let lost: Vec<String> = self
            .table
            .others
            .values()
            .filter(|record| record.update.state == MemberState::Suspected)
            .filter(|record| now.since(record.since) > limit)
            .map(|record| record.update.name.clone())
            .collect();
        for name in lost {
            self.set_state(now, &name, MemberState::Gone, out);
        }
    }

    fn set_state(&mut self, now: Millis, name: &str, state: MemberState, out: &mut Vec<Output>) {
        if self.table.judge(now, name, state) {
            self.spread(name);
            out.push(Output::StateChanged {
                name: name.to_owned(),
                state,
            });
        }
    }

    /// Pings peers, most of them in the own zone.
    pub(super) fn ping_peers(&mut self, now: Millis, count: usize, out: &mut Vec<Output>) {
        self.refresh(out);
        let across = (0..count)
            .filter(|_| self.rng.random_range(0..1_000) < self.settings.cross_zone_milli)
            .count();
        let near = (count - across).min(self.table.near.len());
        let far = count - near;
        let mut names = self.chooser.choose(&self.table.far, far, &mut self.rng);
        let near = count - names.len();
        names.extend(self.chooser.choose(&self.table.near, near, &mut self.rng));
        for name in names {
            self.ping(now, &name, Stage::Direct, out);
        }
    }

    /// Pings a node; an answer that is waited for already stays the one that counts.
    pub(super) fn ping(&mut self, now: Millis, name: &str, stage: Stage, out: &mut Vec<Output>) {
        let waited = self.probes.waits_for(name);
        if let Some(counter) = self.send(name, MessageKind::Ping, out)
            && !waited
        {
            self.probes.add(Probe {
                name: name.to_owned(),
                counter,
                sent: now,
                stage,
            });
        }
    }

    /// Tries an address now and then from which nothing is heard: a seed, a listed node, one gone.
    fn try_strangers(&mut self, out: &mut Vec<Output>) {
        let alone = self.table.size() == 1;
        if !alone && !self.round.is_multiple_of(self.settings.reconnect_rounds) {
            return;
        }
        let mut strangers: Vec<(SocketAddr, Option<String>)> = self
            .table
            .others
            .values()
            .filter(|record| !record.is_present())
            .map(|record| (record.update.address, Some(record.update.name.clone())))
            .collect();
        strangers.extend(self.unheard().map(|listed| (listed.address, None)));
        strangers.extend(self.unknown_seeds().map(|seed| (seed, None)));
        strangers.sort_unstable();
        strangers.dedup_by_key(|stranger| stranger.0);
        let count = if alone { self.settings.fanout } else { 1 };
        let chosen = strangers.into_iter().choose_multiple(&mut self.rng, count);
        for (to, name) in chosen {
            let message = self.message(MessageKind::Ping, name.as_deref());
            out.push(Output::Send { to, message });
        }
    }

    fn unknown_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        self.seeds.iter().copied().filter(|seed| {
            *seed != self.table.me.address
                && !self
                    .table
                    .others
                    .values()
                    .any(|record| record.update.address == *seed)
        })
    }

    /// Asks every node that may be there and is not known to hold `below` what it holds.
    pub(super) fn poll(&mut self, now: Millis, below: Revision, out: &mut Vec<Output>) {
        let names: Vec<String> = self
            .table
            .others
            .values()
            .filter(|record| record.held.is_none_or(|(held, _)| held < below))
            .map(|record| record.update.name.clone())
            .collect();
        for name in names {
            let present = self
                .table
                .others
                .get(&name)
                .is_some_and(|record| record.is_present());
            if present {
                self.ping(now, &name, Stage::Direct, out);
            } else {
                self.send(&name, MessageKind::Ping, out);
            }
        }
        let mut addresses: Vec<SocketAddr> = self.unheard().map(|listed| listed.address).collect();
        addresses.extend(self.unknown_seeds());
        for to in addresses {
            let message = self.message(MessageKind::Ping, None);
            out.push(Output::Send { to, message });
        }
    }

    /// Says that this node is leaving.
    pub(super) fn leave(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.table.me.state == MemberState::Leaving {
            return;
        }
        self.table.change_own(MemberState::Leaving);
        self.ping_peers(now, self.settings.fanout * FAREWELLS, out);
    }
}
