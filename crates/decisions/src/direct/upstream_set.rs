//! The state of all upstreams of a gateway, and the selection among them.

mod groups;
mod limits;
mod selection;
mod state;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::ErrorKind;

use crate::direct::cold_start::ColdServices;
use crate::direct::policy::Policy;
use crate::direct::rank_groups::RankGroups;
pub use crate::direct::upstream_set::state::{AttemptEnd, LoadReport, UpstreamState};
use crate::direct::upstream_spec::UpstreamSpec;
use crate::direct::withdrawal::WithdrawalRecords;
use crate::direct::zones::{AllowedRegions, Zones};

/// The identifier of an upstream process within one gateway; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamId(pub u32);

/// The number of upstreams of a service in each state.
///
/// `listed` counts all of them, and each one counts in exactly one of the other fields. The counts
/// show why the service can or cannot take another request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamCounts {
    /// All listed upstreams of the service.
    pub listed: usize,
    /// Upstreams that are draining.
    pub draining: usize,
    /// Upstreams in evacuated zones.
    pub evacuated: usize,
    /// Upstreams in regions that the request may not go to.
    pub outside_regions: usize,
    /// Upstreams in connection backoff, as they could not be reached.
    pub backing_off: usize,
    /// Upstreams whose group is suspended.
    pub group_suspended: usize,
    /// Upstreams that take no more requests at present, by the limits that they have named.
    pub limited: usize,
    /// Upstreams that have turned a request away and want none for some time.
    pub resting: usize,
    /// Upstreams already tried for the request.
    pub tried: usize,
    /// Upstreams that could take the request if they were not full.
    pub usable: usize,
}

/// The health of an upstream, as this gateway sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamHealth {
    /// It could not be reached and is in connection backoff.
    pub backing_off: bool,
    /// Its group is suspended.
    pub group_suspended: bool,
}

/// The upstreams of one service.
#[derive(Debug, Default)]
struct ServiceMembers {
    all: Vec<UpstreamId>,
    /// Upstreams without a group.
    plain: Vec<UpstreamId>,
    /// The members of each group, in an order that does not differ between processes.
    groups: BTreeMap<Arc<str>, Vec<UpstreamId>>,
}

/// What a request needs of the upstream that it is sent to.
#[derive(Debug, Clone, Copy)]
pub struct Needs<'a> {
    /// The service that can serve it.
    pub service: &'a str,
    /// The upstreams already tried for it.
    pub tried: &'a [UpstreamId],
    /// The regions that it may go to.
    pub regions: &'a AllowedRegions,
}

/// When the limits and rests that upstreams have named allow the next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NextTurn {
    /// Before this time certainly none.
    pub(super) not_before: Millis,
    /// When one can be expected.
    pub(super) expected: Millis,
    /// Whether a rest, not a limit, holds requests back.
    pub(super) is_resting: bool,
}

impl NextTurn {
    fn at_once(now: Millis) -> Self {
        Self {
            not_before: now,
            expected: now,
            is_resting: false,
        }
    }

    /// Returns why a request that cannot wait for this turn is refused.
    pub(super) fn refusal(self) -> ErrorKind {
        match self.is_resting {
            true => ErrorKind::UpstreamResting,
            false => ErrorKind::UpstreamLimited,
        }
    }

    /// Returns the earlier of two turns.
    fn earlier(self, other: Self) -> Self {
        Self {
            not_before: self.not_before.min(other.not_before),
            expected: self.expected.min(other.expected),
            is_resting: self.is_resting && other.is_resting,
        }
    }
}

/// A rank group and the addresses of its upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupMembers {
    /// The name of the group.
    pub name: Arc<str>,
    /// The address and the availability zone of each upstream.
    pub members: Vec<(SocketAddr, Arc<str>)>,
}

/// The upstreams of a gateway, by identifier and by service.
#[derive(Debug, Default)]
pub struct UpstreamSet {
    upstreams: Map<UpstreamId, UpstreamState>,
    names: Map<Arc<str>, UpstreamId>,
    services: Map<Arc<str>, ServiceMembers>,
    groups: RankGroups,
    /// The upstreams that have named a limit.
    limited: BTreeSet<UpstreamId>,
    /// Until when any upstream rests.
    rests_until: Millis,
    /// What upstreams have said that may be unlisted now.
    withdrawals: WithdrawalRecords,
    zones: Zones,
    /// The services that bound the requests to cold upstreams.
    cold_services: ColdServices,
    /// Whether there has been a list.
    is_listed: bool,
    rank_choices: usize,
    next_id: u32,
}

impl UpstreamSet {
    /// Returns a set without upstreams, for the gateway with this position among all, from 0 to 1.
    #[must_use]
    pub fn new(policy: Policy, position: f64) -> Self {
        Self {
            groups: RankGroups::new(policy, position),
            rank_choices: policy.rank_choices.max(1),
            ..Self::default()
        }
    }

    /// Replaces the list; an upstream whose process restarted gets a new identifier.
    pub fn replace_all(&mut self, now: Millis, specs: &[UpstreamSpec]) {
        let mut names = Map::default();
        let mut services: Map<Arc<str>, ServiceMembers> = Map::default();
        let unlisted = self.unlisted();
        for spec in specs {
            let id = self.insert_or_update(now, spec, &unlisted);
            names.insert(Arc::clone(&spec.id), id);
            let service = services.entry(Arc::clone(&spec.service)).or_default();
            service.all.push(id);
            match &spec.group {
                Some(group) => {
                    let name = Arc::clone(&group.name);
                    service.groups.entry(name).or_default().push(id);
                }
                None => service.plain.push(id),
            }
        }
        self.names = names;
        self.services = services;
        self.withdrawals.remove_old(now);
        let names = &self.names;
        self.upstreams.retain(|id, upstream| {
            upstream.in_flight > 0 || names.get(&upstream.spec.id) == Some(id)
        });
        // The limit of an earlier process with the identifier ends with it, even while requests are in flight there.
        let listed: BTreeSet<UpstreamId> = names.values().copied().collect();
        self.limited.retain(|id| listed.contains(id));
        for id in listed {
            self.update_limited(id);
        }
        self.is_listed = true;
    }

    /// Returns all rank groups.
    #[must_use]
    pub fn group_members(&self) -> Vec<GroupMembers> {
        let groups = self.services.values().flat_map(|service| &service.groups);
        let groups = groups.map(|(name, members)| GroupMembers {
            name: Arc::clone(name),
            members: members
                .iter()
                .filter_map(|id| self.upstreams.get(id))
                .filter(|upstream| !upstream.is_leaving())
                .map(|upstream| (upstream.spec.address, Arc::clone(&upstream.spec.zone)))
                .collect(),
        });
        groups.collect()
    }

    /// Sets how many random ranks are compared for one request.
    pub(super) fn set_rank_choices(&mut self, choices: usize) {
        self.rank_choices = choices.max(1);
    }

    /// Returns the rank groups of a service that are not closed, with the number of their ranks.
    pub(super) fn open_groups(&self, now: Millis, service: &str) -> Vec<(Arc<str>, usize)> {
        let groups = self.services.get(service).map(|service| &service.groups);
        let groups = groups.into_iter().flatten();
        let open = groups.filter(|(name, _)| !self.groups.is_closed(now, name));
        open.map(|(name, members)| (Arc::clone(name), members.len()))
            .collect()
    }

    /// Returns the name of the rank group of an upstream, if it is in one.
    pub(super) fn group_of(&self, id: UpstreamId) -> Option<Arc<str>> {
        let group = self.upstreams.get(&id)?.spec.group.as_ref()?;
        Some(Arc::clone(&group.name))
    }

    /// Returns the identifier of the upstream of `spec`, which is added unless it is known.
    ///
    /// A process whose entry was missing and is back keeps its identifier while requests are in flight there: what they bring back of it, such as that
    /// it is leaving, holds for the process.
    fn insert_or_update(
        &mut self,
        now: Millis,
        spec: &UpstreamSpec,
        unlisted: &[UpstreamId],
    ) -> UpstreamId {
        let listed = self.names.get(&spec.id);
        let mut known = listed.into_iter().chain(unlisted);
        let known = known.find(|id| self.is_process_of(**id, spec)).copied();
        if let Some(id) = known
            && let Some(upstream) = self.upstreams.get_mut(&id)
        {
            upstream.spec = spec.clone();
            upstream.record_cold(now, spec.cold_remaining);
            return id;
        }
        let id = UpstreamId(self.next_id);
        self.next_id += 1;
        let mut upstream = UpstreamState::new(spec.clone());
        upstream.withdrawal = self.withdrawals.of(spec);
        if let Some(terms) = self.cold_services.get(&spec.service) {
            upstream.limit.cold.set_rate(terms.rate);
            // One that does not say is cold if it appears while this gateway runs.
            let unsaid = self.is_listed.then_some(terms.duration);
            upstream.record_cold(now, spec.cold_remaining.or(unsaid));
        } else {
            upstream.record_cold(now, spec.cold_remaining);
        }
        self.upstreams.insert(id, upstream);
        id
    }

    fn is_process_of(&self, id: UpstreamId, spec: &UpstreamSpec) -> bool {
        self.upstreams.get(&id).is_some_and(|upstream| {
            upstream.spec.id == spec.id
                && upstream.spec.started_at == spec.started_at
                && upstream.spec.address == spec.address
                && upstream.spec.service == spec.service
        })
    }

    /// Returns the upstreams that are not listed any more, at which requests are still in flight.
    fn unlisted(&self) -> Vec<UpstreamId> {
        let is_unlisted = |(id, upstream): (&UpstreamId, &UpstreamState)| {
            (self.names.get(&upstream.spec.id) != Some(id)).then_some(*id)
        };
        self.upstreams.iter().filter_map(is_unlisted).collect()
    }

    /// Sets the services that bound the requests to cold upstreams.
    pub(super) fn set_cold_services(&mut self, services: ColdServices) {
        self.cold_services = services;
        let ids: Vec<UpstreamId> = self.names.values().copied().collect();
        for id in ids {
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                let terms = self.cold_services.get(&upstream.spec.service);
                upstream
                    .limit
                    .cold
                    .set_rate(terms.and_then(|terms| terms.rate));
            }
            self.update_limited(id);
        }
    }

    /// Records that the entry of an upstream names another end of its cold state.
    pub(super) fn record_cold(&mut self, now: Millis, spec: &UpstreamSpec) {
        let Some(id) = self.find_by_name(&spec.id) else {
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(&id)
            && upstream.spec.started_at == spec.started_at
        {
            upstream.record_cold(now, spec.cold_remaining);
        }
        self.update_limited(id);
    }

    /// Returns the state of an upstream.
    #[must_use]
    pub fn get(&self, id: UpstreamId) -> Option<&UpstreamState> {
        self.upstreams.get(&id)
    }

    /// Returns how many requests are counted as in flight at all upstreams.
    #[must_use]
    pub fn places_held(&self) -> u32 {
        self.upstreams
            .values()
            .map(|upstream| upstream.in_flight)
            .sum()
    }

    /// Returns whether an upstream that was chosen for a request still takes it: it is listed, not leaving, and does not rest.
    #[must_use]
    pub fn takes_requests(&self, now: Millis, id: UpstreamId) -> bool {
        self.upstreams.get(&id).is_some_and(|upstream| {
            self.names.get(&upstream.spec.id) == Some(&id)
                && !upstream.is_leaving()
                && !upstream.withdrawal.is_resting(now)
        })
    }

    /// Returns the listed upstream whose specification has the identifier `id`.
    #[must_use]
    pub fn find_by_name(&self, id: &str) -> Option<UpstreamId> {
        self.names.get(id).copied()
    }

    /// Returns the listed upstreams of a service.
    pub fn in_service(&self, service: &str) -> impl Iterator<Item = (UpstreamId, &UpstreamState)> {
        let service = self.services.get(service);
        let ids = service.map_or(&[][..], |service| service.all.as_slice());
        ids.iter()
            .filter_map(|id| Some((*id, self.upstreams.get(id)?)))
    }

    /// Returns all listed upstreams.
    pub fn listed(&self) -> impl Iterator<Item = (UpstreamId, &UpstreamState)> {
        self.names
            .values()
            .filter_map(|id| Some((*id, self.upstreams.get(id)?)))
    }

    pub(super) fn zones(&self) -> &Zones {
        &self.zones
    }

    pub(super) fn zones_mut(&mut self) -> &mut Zones {
        &mut self.zones
    }

    fn is_usable(&self, now: Millis, upstream: &UpstreamState) -> bool {
        !self.zones.is_evacuated(&upstream.spec.zone) && self.works(now, upstream)
    }

    /// Returns whether an upstream and its group work and take requests, whatever its zone.
    pub(super) fn works(&self, now: Millis, upstream: &UpstreamState) -> bool {
        let group = upstream.spec.group.as_ref();
        upstream.is_usable(now)
            && group.is_none_or(|group| !self.groups.is_closed(now, &group.name))
    }

    /// Returns whether any upstream of a service is a rank of a group.
    pub(super) fn has_groups(&self, service: &str) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| !service.groups.is_empty())
    }

    /// Returns the number of gateways, as the agents of rank groups count them; `None` if unknown.
    #[must_use]
    pub fn gateways(&self, now: Millis) -> Option<f64> {
        self.groups.gateways(now)
    }

    /// Returns when the limits and rests of the usable upstreams of a service that were not tried yet, in the regions of a request, allow it: at once
    /// if one of them has none. `None` if no upstream is usable.
    #[must_use]
    pub(super) fn next_turn(&self, now: Millis, needs: &Needs<'_>) -> Option<NextTurn> {
        let mut usable = self.in_service(needs.service).filter(|(id, upstream)| {
            self.is_usable(now, upstream)
                && self.zones.allows(&upstream.spec.zone, needs.regions)
                && !needs.tried.contains(id)
        });
        if !self.has_turns(now) {
            return usable.next().map(|_| NextTurn::at_once(now));
        }
        let turns = usable.map(|(_, upstream)| upstream.next_turn(now));
        turns.reduce(NextTurn::earlier)
    }

    /// Counts the upstreams of a service by state.
    #[must_use]
    pub fn count_by_state(&self, now: Millis, needs: &Needs<'_>) -> UpstreamCounts {
        let mut counts = UpstreamCounts::default();
        for (id, upstream) in self.in_service(needs.service) {
            counts.listed += 1;
            let health = self.health(now, id);
            let count = if upstream.is_leaving() {
                &mut counts.draining
            } else if self.zones.is_evacuated(&upstream.spec.zone) {
                &mut counts.evacuated
            } else if !self.zones.allows(&upstream.spec.zone, needs.regions) {
                &mut counts.outside_regions
            } else if health.backing_off {
                &mut counts.backing_off
            } else if health.group_suspended {
                &mut counts.group_suspended
            } else if needs.tried.contains(&id) {
                &mut counts.tried
            } else if upstream.withdrawal.is_resting(now) {
                &mut counts.resting
            } else if !upstream.is_open(now) {
                &mut counts.limited
            } else {
                &mut counts.usable
            };
            *count += 1;
        }
        counts
    }

    /// Returns the health of an upstream.
    #[must_use]
    pub fn health(&self, now: Millis, id: UpstreamId) -> UpstreamHealth {
        let Some(upstream) = self.upstreams.get(&id) else {
            return UpstreamHealth::default();
        };
        let group = upstream.spec.group.as_ref();
        UpstreamHealth {
            backing_off: now < upstream.backoff_until,
            group_suspended: group.is_some_and(|group| self.groups.is_suspended(now, &group.name)),
        }
    }

    /// Records the start of an attempt.
    pub fn record_start(&mut self, now: Millis, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.record_start(now);
            if let Some(group) = &upstream.spec.group {
                self.groups.record_start(now, &group.name);
            }
        }
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, now: Millis, id: UpstreamId, end: AttemptEnd) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        upstream.record_end(now, end);
        if end == AttemptEnd::Unreachable
            && let Some(terms) = self.cold_services.get(&upstream.spec.service)
        {
            // Another process may come back at its address before the list says so.
            upstream.limit.cold.record_assumption(now, terms.duration);
        }
        if let Some(group) = &upstream.spec.group {
            self.groups.record_end(now, &group.name, end);
        }
        let unlisted = self.names.get(&upstream.spec.id) != Some(&id);
        if unlisted && upstream.in_flight == 0 {
            self.upstreams.remove(&id);
        }
        self.update_limited(id);
    }

    /// Records the load that an upstream reports in a response.
    pub fn record_load(&mut self, now: Millis, id: UpstreamId, report: LoadReport) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.record_load(now, report);
        }
    }

    /// Records that an upstream has said that it is leaving; returns whether that is new.
    pub fn record_leaving(&mut self, now: Millis, id: UpstreamId) -> bool {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return false;
        };
        let is_new = upstream.withdrawal.record_leaving();
        self.withdrawals
            .record(now, &upstream.spec, upstream.withdrawal);
        is_new
    }

    /// Records that an upstream has turned a request away and wants none for `time`.
    pub fn record_rest(&mut self, now: Millis, id: UpstreamId, time: Millis) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.withdrawal.record_rest(now, time);
            self.rests_until = self.rests_until.max(upstream.withdrawal.rests_until());
            self.withdrawals
                .record(now, &upstream.spec, upstream.withdrawal);
        }
    }

    /// Records how many attempts the other gateways have in flight.
    pub fn record_peer_load(&mut self, now: Millis, id: UpstreamId, peer_load: u32) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.record_peer_load(now, f64::from(peer_load));
        }
    }
}
