//! The limits that upstreams have named: which are known, and who hands out the permits for them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sardinepin_common::{Millis, rendezvous_order};
use sardinepin_protocol::UpstreamLimit;

use super::{UpstreamId, UpstreamSet, UpstreamState};
use crate::direct::limit_state::LimitState;
use crate::heard_limit::LimitNotice;

impl UpstreamSet {
    /// Records what an agent knew of the limit of an upstream at `sampled_at`.
    pub(in crate::direct) fn record_reported_limit(
        &mut self,
        sampled_at: Millis,
        reported: &UpstreamLimit,
    ) {
        let limit = reported.limit;
        let Some(id) = self.find_by_name(&reported.upstream) else {
            return;
        };
        let upstream = self.upstreams.get(&id);
        if upstream.is_some_and(|upstream| upstream.spec.started_at == limit.started_at) {
            let heard_at = sampled_at.since(limit.age);
            self.change_limit(id, |state| state.record_report(heard_at, limit.rate));
        }
        // A process that started later may have the address already, while the store cannot be read here.
        let upstream = self.upstreams.get(&id);
        if let Some(cold) = limit.cold
            && upstream.is_some_and(|upstream| upstream.spec.started_at <= limit.started_at)
        {
            self.change_limit(id, |state| state.cold.record_report(sampled_at, cold));
        }
    }

    /// Records what an answer to a request sent at `sent_at` says about the limit of its upstream; returns whether the limit
    /// changed.
    pub fn record_limit(
        &mut self,
        now: Millis,
        id: UpstreamId,
        sent_at: Millis,
        notice: LimitNotice,
    ) -> bool {
        let upstream = self.upstreams.get_mut(&id);
        let changed = upstream.is_some_and(|upstream| upstream.record_limit(now, sent_at, notice));
        self.update_limited(id);
        changed
    }

    /// Updates whether an upstream counts as limited: it has a limit, or its end has to be told to an agent.
    pub(in crate::direct) fn update_limited(&mut self, id: UpstreamId) {
        let upstream = self.upstreams.get(&id);
        let listed = upstream.filter(|one| self.names.get(&one.spec.id) == Some(&id));
        if listed.is_some_and(|one| one.limit.concerns_agents()) {
            self.limited.insert(id);
        } else {
            self.limited.remove(&id);
        }
    }

    /// Returns whether a service has a usable upstream without a limit.
    pub(in crate::direct) fn has_unlimited(&self, now: Millis, service: &str) -> bool {
        self.in_service(service)
            .any(|(_, one)| !one.limit.is_bounded(now) && self.is_usable(now, one))
    }

    /// Returns whether any upstream has named a limit.
    pub(in crate::direct) fn has_limited(&self) -> bool {
        !self.limited.is_empty()
    }

    /// Returns whether any upstream has named a limit, or rests.
    pub(in crate::direct) fn has_turns(&self, now: Millis) -> bool {
        !self.limited.is_empty() || now < self.rests_until
    }

    /// Returns the upstreams that have named a limit, or have just lifted one.
    pub(in crate::direct) fn limited(&self) -> impl Iterator<Item = (UpstreamId, &UpstreamState)> {
        let ids = self.limited.iter();
        ids.filter_map(|id| Some((*id, self.upstreams.get(id)?)))
    }

    /// Changes what is known of the limit of an upstream.
    pub(in crate::direct) fn change_limit<T>(
        &mut self,
        id: UpstreamId,
        change: impl FnOnce(&mut LimitState) -> T,
    ) -> Option<T> {
        let result = change(&mut self.upstreams.get_mut(&id)?.limit);
        self.update_limited(id);
        Some(result)
    }

    /// Returns the upstream beside which the agent runs that hands out the permits for an upstream: itself, or for one without an
    /// agent the one that all gateways choose alike.
    pub(in crate::direct) fn permit_agent(&self, id: UpstreamId) -> Option<SocketAddr> {
        let spec = &self.upstreams.get(&id)?.spec;
        if spec.group.is_some() {
            return Some(spec.address);
        }
        let ranks = self.listed().filter(|(_, rank)| rank.spec.group.is_some());
        let ranks: BTreeMap<&str, SocketAddr> = ranks
            .map(|(_, rank)| (&*rank.spec.id, rank.spec.address))
            .collect();
        let (names, addresses): (Vec<&str>, Vec<SocketAddr>) = ranks.into_iter().unzip();
        let first = rendezvous_order(&&*spec.id, &names).first().copied()?;
        addresses.get(first).copied()
    }
}
