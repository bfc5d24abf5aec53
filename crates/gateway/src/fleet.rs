//! What a gateway believes of each upstream, and the choice among them.

mod member;

use std::sync::Arc;

use sardinepin_common::{Map, Millis};

pub use crate::fleet::member::{AttemptOutcome, LoadReport, Upstream};
use crate::group::Groups;
use crate::upstream::UpstreamSpec;

/// What a stalled group adds to the score of its upstreams, in slots filled.
const STALL_SLOTS: f64 = 4.0;

/// The identifier of an upstream within one gateway; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamId(pub u32);

/// Why the upstreams of a service can or cannot take one more request; each counts once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Room {
    /// All upstreams of the service that are listed.
    pub listed: usize,
    /// Those that are leaving.
    pub leaving: usize,
    /// Those that rest as they could not be reached.
    pub resting: usize,
    /// Those whose group takes nothing for now.
    pub shut: usize,
    /// Those that have had the request already.
    pub tried: usize,
    /// Those that could take it if they were not full.
    pub usable: usize,
}

/// What a gateway believes of the health of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Belief {
    /// It could not be reached, and rests.
    pub resting: bool,
    /// Its group takes nothing for now.
    pub shut: bool,
}

/// The upstreams of a gateway.
#[derive(Debug, Default)]
pub struct Fleet {
    upstreams: Map<UpstreamId, Upstream>,
    names: Map<Arc<str>, UpstreamId>,
    services: Map<Arc<str>, Vec<UpstreamId>>,
    groups: Groups,
    next: u32,
}

impl Fleet {
    /// Takes over a new list; an upstream that started anew is another upstream.
    pub fn replace(&mut self, specs: &[UpstreamSpec]) {
        let mut names = Map::default();
        let mut services: Map<Arc<str>, Vec<UpstreamId>> = Map::default();
        for spec in specs {
            let id = self.enter(spec);
            names.insert(Arc::clone(&spec.id), id);
            services
                .entry(Arc::clone(&spec.service))
                .or_default()
                .push(id);
        }
        self.names = names;
        self.services = services;
        let names = &self.names;
        self.upstreams
            .retain(|id, upstream| upstream.own > 0 || names.get(&upstream.spec.id) == Some(id));
    }

    /// Finds or makes the upstream of `spec`.
    fn enter(&mut self, spec: &UpstreamSpec) -> UpstreamId {
        let known = self.names.get(&spec.id).copied();
        if let Some(id) = known
            && let Some(upstream) = self.upstreams.get_mut(&id)
            && upstream.spec.started_at == spec.started_at
            && upstream.spec.address == spec.address
            && upstream.spec.service == spec.service
        {
            upstream.spec = spec.clone();
            return id;
        }
        let id = UpstreamId(self.next);
        self.next += 1;
        self.upstreams.insert(id, Upstream::new(spec.clone()));
        id
    }

    /// Returns an upstream.
    #[must_use]
    pub fn get(&self, id: UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(&id)
    }

    /// Returns the upstream with the name `id` in the list.
    #[must_use]
    pub fn find_by_name(&self, id: &str) -> Option<UpstreamId> {
        self.names.get(id).copied()
    }

    /// Returns the upstreams of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (UpstreamId, &Upstream)> {
        let ids = self.services.get(service).map_or(&[][..], Vec::as_slice);
        ids.iter()
            .filter_map(|id| Some((*id, self.upstreams.get(id)?)))
    }

    /// Returns every upstream of the list.
    pub fn listed(&self) -> impl Iterator<Item = (UpstreamId, &Upstream)> {
        self.names
            .values()
            .filter_map(|id| Some((*id, self.upstreams.get(id)?)))
    }

    /// Returns the best upstream of a service for one more request, or `None` if none has room.
    ///
    /// `backlog` is how many requests beyond its slots an upstream may hold.
    #[must_use]
    pub fn choose(
        &self,
        now: Millis,
        service: &str,
        zone: &str,
        backlog: f64,
        tried: &[UpstreamId],
    ) -> Option<UpstreamId> {
        let mut best: Option<(f64, UpstreamId)> = None;
        for (id, upstream) in self.of_service(service) {
            if !self.is_usable(now, upstream) || tried.contains(&id) {
                continue;
            }
            if upstream.occupancy(now) + 1.0 > f64::from(upstream.spec.slots) + backlog {
                continue;
            }
            let score = upstream.score(now, zone) + self.stall_score(now, upstream);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id)
    }

    fn is_usable(&self, now: Millis, upstream: &Upstream) -> bool {
        let group = upstream.spec.group.as_ref();
        upstream.usable(now) && group.is_none_or(|group| !self.groups.is_shut(now, &group.name))
    }

    fn stall_score(&self, now: Millis, upstream: &Upstream) -> f64 {
        let group = upstream.spec.group.as_ref();
        let stalled = group.is_some_and(|group| self.groups.is_stalled(now, &group.name));
        if stalled { STALL_SLOTS } else { 0.0 }
    }

    /// Counts a sign of life of an upstream, which is one of its whole group.
    pub fn progressed(&mut self, now: Millis, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.get(&id)
            && let Some(group) = &upstream.spec.group
        {
            self.groups.progressed(now, &group.name);
        }
    }

    /// Returns whether an attempt should leave its upstream: the group has stalled, and an
    /// upstream of another group has room.
    #[must_use]
    pub fn should_move(&self, now: Millis, id: UpstreamId, backlog: f64) -> bool {
        let Some(upstream) = self.upstreams.get(&id) else {
            return false;
        };
        let Some(group) = &upstream.spec.group else {
            return false;
        };
        self.groups.is_stalled(now, &group.name)
            && self.of_service(&upstream.spec.service).any(|(_, other)| {
                let apart = other.spec.group.as_ref().is_some_and(|at| {
                    at.name != group.name && !self.groups.is_stalled(now, &at.name)
                });
                let room = f64::from(other.spec.slots) + backlog - other.occupancy(now);
                apart && self.is_usable(now, other) && room >= 1.0
            })
    }

    /// Returns whether any upstream of a service takes new work.
    #[must_use]
    pub fn is_served(&self, now: Millis, service: &str, tried: &[UpstreamId]) -> bool {
        self.of_service(service)
            .any(|(id, upstream)| self.is_usable(now, upstream) && !tried.contains(&id))
    }

    /// Returns why the upstreams of a service can or cannot take one more request.
    #[must_use]
    pub fn room(&self, now: Millis, service: &str, tried: &[UpstreamId]) -> Room {
        let mut room = Room::default();
        for (id, upstream) in self.of_service(service) {
            room.listed += 1;
            let belief = self.belief(now, id);
            let count = if upstream.spec.draining {
                &mut room.leaving
            } else if belief.resting {
                &mut room.resting
            } else if belief.shut {
                &mut room.shut
            } else if tried.contains(&id) {
                &mut room.tried
            } else {
                &mut room.usable
            };
            *count += 1;
        }
        room
    }

    /// Returns what is believed of an upstream.
    #[must_use]
    pub fn belief(&self, now: Millis, id: UpstreamId) -> Belief {
        let Some(upstream) = self.upstreams.get(&id) else {
            return Belief::default();
        };
        let group = upstream.spec.group.as_ref();
        Belief {
            resting: now < upstream.rest_until,
            shut: group.is_some_and(|group| self.groups.is_shut(now, &group.name)),
        }
    }

    /// Counts an attempt as in flight.
    pub fn sent(&mut self, now: Millis, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.own += 1;
            if let Some(group) = &upstream.spec.group {
                self.groups.sent(now, &group.name);
            }
        }
    }

    /// Counts an attempt as ended.
    pub fn ended(&mut self, now: Millis, id: UpstreamId, ending: AttemptOutcome) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        upstream.own = upstream.own.saturating_sub(1);
        upstream.ended(now, ending);
        if let Some(group) = &upstream.spec.group {
            self.groups.ended(now, &group.name, ending);
        }
        let unlisted = self.names.get(&upstream.spec.id) != Some(&id);
        if unlisted && upstream.own == 0 {
            self.upstreams.remove(&id);
        }
    }

    /// Takes in what an upstream says of its load.
    pub fn reported(&mut self, now: Millis, id: UpstreamId, report: LoadReport) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            let held = f64::from(report.running + report.waiting);
            upstream.others = (held - f64::from(upstream.own)).max(0.0);
            upstream.others_at = now;
        }
    }

    /// Takes in how many attempts the other gateways have in flight.
    pub fn heard(&mut self, now: Millis, id: UpstreamId, others: u32) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.others = f64::from(others);
            upstream.others_at = now;
        }
    }

    /// Marks an upstream as taking no new work, before the list says so.
    pub fn leave(&mut self, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.spec.draining = true;
        }
    }
}
