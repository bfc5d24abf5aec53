//! Gossip rounds and failure detection.

use std::net::SocketAddr;

use rand::Rng as _;
use rand::seq::IteratorRandom as _;
use sardinepin_common::{Millis, Revision};

use super::{Membership, Output};
use crate::message::{MemberState, MessageKind};
use crate::probes::{Probe, ProbeStage};

/// A node that has not run for more than this many rounds was frozen, and must not hold the missed
/// time against other nodes.
const FREEZE_ROUNDS: u64 = 4;

/// The number of peers that a leaving node announces this to at once, as a multiple of `fanout`.
const LEAVE_FANOUT_FACTOR: usize = 4;

impl Membership {
    pub(super) fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.round += 1;
        if self.was_frozen(now) {
            self.restart_timeouts(now);
        }
        self.last_tick = Some(now);
        self.check_probes(now, out);
        self.check_suspects(now, out);
        self.table.remove_gone(now - self.settings.gone_retention);
        self.ping_peers(now, self.settings.fanout, out);
        self.ping_absent(out);
    }

    fn was_frozen(&self, now: Millis) -> bool {
        let limit =
            Millis(self.settings.round_interval.0 * FREEZE_ROUNDS).max(self.settings.ping_timeout);
        self.last_tick.is_some_and(|last| now.since(last) > limit)
    }

    /// Drops pending probes and restarts suspicion timeouts, since answers may have been lost while
    /// the local node was frozen.
    fn restart_timeouts(&mut self, now: Millis) {
        self.probes.clear();
        for record in self.table.others.values_mut() {
            if record.update.state == MemberState::Suspected {
                record.state_since = now;
            }
        }
    }

    fn check_probes(&mut self, now: Millis, out: &mut Vec<Output>) {
        for probe in self.probes.take_expired(now - self.settings.ping_timeout) {
            let Some(record) = self.table.others.get_mut(&probe.name) else {
                continue;
            };
            record.record_miss(probe.sent);
            // Any datagram received since shows that the node is up, though a ping or ack was lost.
            let received_since = record
                .last_received
                .is_some_and(|received| received > probe.sent);
            match probe.stage {
                _ if received_since => {}
                ProbeStage::Relayed(attempt) if attempt >= self.settings.relay_attempts => {
                    self.mark_unreachable(now, &probe.name, out);
                }
                ProbeStage::Relayed(attempt) => {
                    self.probe_indirectly(now, &probe.name, attempt + 1, out);
                }
                ProbeStage::Direct => self.probe_indirectly(now, &probe.name, 1, out),
            }
        }
    }

    /// Pings a node again and asks relays to ping it too.
    fn probe_indirectly(&mut self, now: Millis, name: &str, attempt: u8, out: &mut Vec<Output>) {
        self.ping(now, name, ProbeStage::Relayed(attempt), out);
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

    /// Marks a node that no probe reached as suspected, or as gone if it was leaving.
    fn mark_unreachable(&mut self, now: Millis, name: &str, out: &mut Vec<Output>) {
        let state = match self.table.update(name).map(|update| update.state) {
            Some(MemberState::Alive) => MemberState::Suspected,
            Some(MemberState::Leaving) => MemberState::Gone,
            _ => return,
        };
        self.set_state(now, name, state, out);
    }

    fn check_suspects(&mut self, now: Millis, out: &mut Vec<Output>) {
        let rounds = u64::from(self.settings.suspicion_mult * self.log2_nodes());
        let limit = Millis(self.settings.round_interval.0 * rounds);
        let expired: Vec<String> = self
            .table
            .others
            .values()
            .filter(|record| record.update.state == MemberState::Suspected)
            .filter(|record| now.since(record.state_since) > limit)
            .map(|record| record.update.name.clone())
            .collect();
        for name in expired {
            self.set_state(now, &name, MemberState::Gone, out);
        }
    }

    fn set_state(&mut self, now: Millis, name: &str, state: MemberState, out: &mut Vec<Output>) {
        if self.table.advance_state(now, name, state) {
            self.gossip(name);
            out.push(Output::StateChanged {
                name: name.to_owned(),
                state,
            });
        }
    }

    /// Pings `count` peers: about `cross_zone_milli` thousandths of them in other zones, the rest
    /// in the local zone.
    pub(super) fn ping_peers(&mut self, now: Millis, count: usize, out: &mut Vec<Output>) {
        self.refresh(out);
        let cross_zone = (0..count)
            .filter(|_| self.rng.random_range(0..1_000) < self.settings.cross_zone_milli)
            .count();
        let same_zone = (count - cross_zone).min(self.table.same_zone.len());
        let cross_zone = count - same_zone;
        let mut names =
            self.peer_selector
                .select(&self.table.other_zones, cross_zone, &mut self.rng);
        let same_zone = count - names.len();
        names.extend(
            self.peer_selector
                .select(&self.table.same_zone, same_zone, &mut self.rng),
        );
        for name in names {
            self.ping(now, &name, ProbeStage::Direct, out);
        }
    }

    /// Pings a node; a probe of it that is already pending stays as it is.
    pub(super) fn ping(
        &mut self,
        now: Millis,
        name: &str,
        stage: ProbeStage,
        out: &mut Vec<Output>,
    ) {
        let pending = self.probes.is_pending(name);
        if let Some(counter) = self.send(name, MessageKind::Ping, out)
            && !pending
        {
            self.probes.add(Probe {
                name: name.to_owned(),
                counter,
                sent: now,
                stage,
            });
        }
    }

    /// Pings the address of a gone node, of a listed node that is not in the table, or of an
    /// unknown seed.
    ///
    /// One such address is pinged every `reconnect_rounds` rounds; a node that knows no other node
    /// pings up to `fanout` of them in every round.
    fn ping_absent(&mut self, out: &mut Vec<Output>) {
        let alone = self.table.present_count() == 1;
        if !alone && !self.round.is_multiple_of(self.settings.reconnect_rounds) {
            return;
        }
        let mut candidates: Vec<(SocketAddr, Option<String>)> = self
            .table
            .others
            .values()
            .filter(|record| !record.is_present())
            .map(|record| (record.update.address, Some(record.update.name.clone())))
            .collect();
        candidates.extend(self.undiscovered().map(|node| (node.address, None)));
        candidates.extend(self.unknown_seeds().map(|seed| (seed, None)));
        candidates.sort_unstable();
        candidates.dedup_by_key(|candidate| candidate.0);
        let count = if alone { self.settings.fanout } else { 1 };
        let selected = candidates.into_iter().choose_multiple(&mut self.rng, count);
        for (to, name) in selected {
            let message = self.build_message(MessageKind::Ping, name.as_deref());
            out.push(Output::Send { to, message });
        }
    }

    /// Returns the seeds that are not the address of any node in the table.
    fn unknown_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        self.seeds.iter().copied().filter(|seed| {
            *seed != self.table.local.address
                && !self
                    .table
                    .others
                    .values()
                    .any(|record| record.update.address == *seed)
        })
    }

    /// Pings every node that is not known to have `revision` in force, including gone and
    /// undiscovered nodes and unknown seeds.
    pub(super) fn poll_revision(&mut self, now: Millis, revision: Revision, out: &mut Vec<Output>) {
        let names: Vec<String> = self
            .table
            .others
            .values()
            .filter(|record| {
                record
                    .reported_revision
                    .is_none_or(|(reported, _)| reported < revision)
            })
            .map(|record| record.update.name.clone())
            .collect();
        for name in names {
            let present = self
                .table
                .others
                .get(&name)
                .is_some_and(|record| record.is_present());
            if present {
                self.ping(now, &name, ProbeStage::Direct, out);
            } else {
                self.send(&name, MessageKind::Ping, out);
            }
        }
        let mut addresses: Vec<SocketAddr> = self.undiscovered().map(|node| node.address).collect();
        addresses.extend(self.unknown_seeds());
        for to in addresses {
            let message = self.build_message(MessageKind::Ping, None);
            out.push(Output::Send { to, message });
        }
    }

    /// Sets the local state to leaving and announces it.
    pub(super) fn leave(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.table.local.state == MemberState::Leaving {
            return;
        }
        self.table.set_local_state(MemberState::Leaving);
        self.ping_peers(now, self.settings.fanout * LEAVE_FANOUT_FACTOR, out);
    }
}
