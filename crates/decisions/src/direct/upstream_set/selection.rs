//! The selection of an upstream for a request, and of another one for an attempt whose group has stalled.

use rand::Rng as _;
use rand::seq::IteratorRandom as _;
use sardinepin_common::{Millis, Rng};

use super::{Needs, UpstreamId, UpstreamSet};
use crate::direct::zones::AllowedRegions;

impl UpstreamSet {
    /// Returns an upstream that can take a request now, or `None` if none has capacity.
    ///
    /// Chooses the upstream with the lowest score among some random ranks of all groups that work,
    /// or else among all of them, or among the upstreams without a group. `backlog` is how many
    /// requests beyond its slots an upstream may hold.
    #[must_use]
    pub fn choose(
        &self,
        now: Millis,
        rng: &mut Rng,
        zone: &str,
        backlog: f64,
        needs: &Needs<'_>,
    ) -> Option<UpstreamId> {
        let service = self.services.get(needs.service)?;
        let candidate = |id: &UpstreamId| self.candidate(now, *id, zone, backlog, needs);
        let open: Vec<&[UpstreamId]> = service
            .groups
            .iter()
            .filter(|(name, _)| {
                !self.groups.is_closed(now, name) && self.groups.has_place(now, name)
            })
            .map(|(_, members)| members.as_slice())
            .collect();
        let ranks: usize = open.iter().map(|members| members.len()).sum();
        if ranks > 0 {
            // A permit is valid for a moment only.
            let permitted = self.permitted(now, needs.service).filter_map(candidate);
            let some = (0..self.rank_choices).filter_map(|_| {
                let id = member_at(&open, rng.random_range(0..ranks))?;
                candidate(id)
            });
            let some = some.chain(permitted);
            let best = lowest(some);
            if best.is_some() {
                return best;
            }
            let all = open.iter().copied().flatten().filter_map(candidate);
            // Gateways that share places and took the least loaded of all ranks would all take the same one until its next report.
            let best = match self.groups.shares_places() {
                true => all.choose(rng).map(|(_, id)| id),
                false => lowest(all),
            };
            if let Some(id) = best {
                return Some(id);
            }
        }
        let plain = service.plain.iter();
        lowest(plain.filter_map(candidate))
    }

    /// Returns the upstreams of a service that have named limits and for which there are permits, unless their group is closed.
    fn permitted(&self, now: Millis, service: &str) -> impl Iterator<Item = &UpstreamId> {
        self.limited.iter().filter(move |id| {
            let upstream = self.upstreams.get(id);
            upstream.is_some_and(|upstream| {
                *upstream.spec.service == *service
                    && upstream.limit.count_permits(now) > 0
                    && self.is_usable(now, upstream)
            })
        })
    }

    /// Returns an upstream with its score if it can take a request now.
    fn candidate(
        &self,
        now: Millis,
        id: UpstreamId,
        zone: &str,
        backlog: f64,
        needs: &Needs<'_>,
    ) -> Option<(f64, UpstreamId)> {
        let upstream = self.upstreams.get(&id)?;
        let spec = &upstream.spec;
        let max = self.zones.open_slots(now, id, &spec.zone, spec.slots) + backlog;
        let takes = upstream.is_usable(now)
            && self.is_zone_open(upstream, needs.regions)
            && !upstream.is_ejected(now)
            && !needs.tried.contains(&id)
            && upstream.is_open(now)
            && upstream.estimated_load(now) + 1.0 <= max;
        takes.then(|| (upstream.score(now, zone), id))
    }

    /// Returns whether an attempt should move to another upstream: its group has stalled, and an
    /// upstream of another group has capacity.
    #[must_use]
    pub fn should_move(
        &self,
        now: Millis,
        id: UpstreamId,
        backlog: f64,
        regions: &AllowedRegions,
    ) -> bool {
        let Some(upstream) = self.upstreams.get(&id) else {
            return false;
        };
        let Some(group) = &upstream.spec.group else {
            return false;
        };
        self.groups.is_stalled(now, &group.name)
            && self.in_service(&upstream.spec.service).any(|(_, other)| {
                let working_elsewhere = other.spec.group.as_ref().is_some_and(|other_group| {
                    other_group.name != group.name
                        && !self.groups.is_stalled(now, &other_group.name)
                });
                let free_slots = f64::from(other.spec.slots) + backlog - other.estimated_load(now);
                let is_open = other.is_open(now);
                let is_open = is_open && self.is_zone_open(other, regions);
                working_elsewhere && self.is_usable(now, other) && is_open && free_slots >= 1.0
            })
    }
}

/// Returns the member at a position, counted over all groups.
fn member_at<'a>(groups: &[&'a [UpstreamId]], mut position: usize) -> Option<&'a UpstreamId> {
    for members in groups {
        if let Some(id) = members.get(position) {
            return Some(id);
        }
        position -= members.len();
    }
    None
}

fn lowest(candidates: impl Iterator<Item = (f64, UpstreamId)>) -> Option<UpstreamId> {
    let best = candidates.min_by(|one, other| one.0.total_cmp(&other.0));
    best.map(|(_, id)| id)
}
