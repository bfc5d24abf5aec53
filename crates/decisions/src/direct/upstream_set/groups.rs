//! What reports and answers say about rank groups and their ranks.

use sardinepin_common::Millis;
use sardinepin_protocol::GroupLoad;

use super::{UpstreamId, UpstreamSet};
use crate::direct::place_share::GroupPlaces;
use crate::direct::upstream_set::state::is_slow;

impl UpstreamSet {
    /// Records a report of the load of a rank group.
    pub fn record_group_load(&mut self, now: Millis, load: &GroupLoad) {
        if let Some((age, sample)) = &load.sample {
            let sampled_at = now.since(*age);
            let known = sample.ranks.iter().flatten();
            let slow = known.clone().filter(|rank| is_slow(rank)).count();
            let most_are_slow = 2 * slow > known.count();
            let groups = self.services.values().map(|service| &service.groups);
            let members = groups
                .filter_map(|groups| groups.get(&load.group))
                .flatten();
            for id in members {
                let Some(upstream) = self.upstreams.get_mut(id) else {
                    continue;
                };
                let rank = upstream.spec.group.as_ref().map(|group| group.rank);
                let rank = rank.and_then(|rank| sample.ranks.get(rank)?.as_ref());
                if let Some(rank) = rank {
                    upstream.record_sample(now, sampled_at, rank, most_are_slow);
                }
            }
            self.record_places(now, sampled_at, load);
            for limit in &sample.limits {
                self.record_reported_limit(sampled_at, limit);
            }
        }
        self.groups.record_report(now, load);
    }

    /// Records how many places the ranks of a group that take requests had when its load was sampled.
    fn record_places(&mut self, now: Millis, sampled_at: Millis, load: &GroupLoad) {
        let Some((_, sample)) = &load.sample else {
            return;
        };
        let mut places = GroupPlaces {
            gateways: f64::from(sample.gateways),
            ..GroupPlaces::default()
        };
        let groups = self.services.values().map(|service| &service.groups);
        let members = groups
            .filter_map(|groups| groups.get(&load.group))
            .flatten();
        for upstream in members.filter_map(|id| self.upstreams.get(id)) {
            places.own += upstream.in_flight_at(sampled_at);
            let rank = upstream.spec.group.as_ref().map(|group| group.rank);
            let rank = rank.and_then(|rank| sample.ranks.get(rank)?.as_ref());
            if let Some(rank) = rank
                && upstream.is_usable(now)
                && !self.zones.is_evacuated(&upstream.spec.zone)
                && !upstream.is_ejected(now)
            {
                places.places += f64::from(upstream.spec.slots);
                places.load += f64::from(rank.running) + f64::from(rank.waiting);
            }
        }
        if places.places > 0.0 {
            self.groups.record_places(now, &load.group, places);
        }
    }

    /// Records that an upstream has sent data, which shows that its whole group works.
    pub fn record_progress(&mut self, now: Millis, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.get(&id)
            && let Some(group) = &upstream.spec.group
        {
            self.groups.record_progress(now, &group.name);
        }
    }

    /// Records that an upstream has begun to answer a request that was sent at `sent_at`.
    pub(in crate::direct) fn record_answer(&mut self, id: UpstreamId, sent_at: Millis) {
        if let Some(upstream) = self.upstreams.get(&id)
            && let Some(group) = &upstream.spec.group
        {
            self.groups.record_answer(&group.name, sent_at);
        }
    }

    /// Returns whether a request that an upstream has not begun to answer has been overtaken by later ones to its group.
    pub(in crate::direct) fn is_overtaken(&self, id: UpstreamId, sent_at: Millis) -> bool {
        let group = self.group_of(id);
        group.is_some_and(|group| self.groups.have_overtaken(&group, sent_at))
    }
}
