//! Selection of an upstream for a request.

use rand::Rng as _;
use sardinepin_common::{Millis, Rng};
use sardinepin_protocol::Digest;

use crate::events::UpstreamId;
use crate::fleet::Fleet;
use crate::health::HealthState;
use crate::pool::{Members, Pool, digest_hash};
use crate::settings::RoutingSettings;
use crate::upstream::{Overcommit, Upstream};

/// The penalty on the score of a stalling upstream.
const STALLING_PENALTY: f32 = 16.0;

/// The penalty on the score of an upstream reserved for a suspect, if it must be used at all.
const RESERVED_PENALTY: f32 = 64.0;

/// The load that is added to the bound of [`RoutingSettings::affinity_factor`], so that an upstream
/// may exceed a low mean for the sake of its cache.
const AFFINITY_SLACK: f32 = 0.125;

/// What a request requires of its upstream.
#[derive(Debug)]
pub(crate) struct RouteQuery<'a> {
    /// How far it may exceed the concurrency limit.
    pub(crate) overcommit: Overcommit,
    /// The upstreams that it was sent to before.
    pub(crate) tried: &'a [UpstreamId],
    /// The digest of its idempotency key, if it has one.
    pub(crate) key: Option<&'a Digest>,
    /// The digest of its prompt prefix, if it has one.
    pub(crate) prefix: Option<&'a Digest>,
}

/// Chooses upstreams from the pool of one service.
#[derive(Debug)]
pub(crate) struct Router<'a> {
    pub(crate) now: Millis,
    pub(crate) fleet: &'a Fleet,
    pub(crate) pool: &'a Pool,
    pub(crate) settings: &'a RoutingSettings,
}

/// The usable upstreams among those compared.
#[derive(Debug, Default)]
struct Candidates {
    best: Option<Scored>,
    sum: f32,
    count: u32,
}

#[derive(Debug, Clone, Copy)]
struct Scored {
    index: usize,
    score: f32,
}

impl Router<'_> {
    /// Returns the position of the upstream for a request; `None` if no upstream has capacity.
    pub(crate) fn pick(&self, query: &RouteQuery<'_>, rng: &mut Rng) -> Option<usize> {
        let untried = |index: usize| !query.tried.contains(&self.fleet.upstreams[index].id());
        let any_untried = query.tried.is_empty()
            || self
                .pool
                .members()
                .any(|index| untried(index) && self.fleet.upstreams[index].is_available());
        let tried: &[UpstreamId] = if any_untried { query.tried } else { &[] };
        if let Some(key) = query.key
            && let Some(index) = self.pick_for_key(key, tried)
        {
            return Some(index);
        }
        self.pick_in(&self.pool.same_zone, query, tried, rng)
            .or_else(|| self.pick_in(&self.pool.other_zones, query, tried, rng))
    }

    /// Returns whether an upstream can take a request.
    pub(crate) fn fits(&self, index: usize, query: &RouteQuery<'_>) -> bool {
        self.score(index, query.overcommit, query.tried).is_some()
    }

    /// Returns the least busy upstream for a suspect, an idle one if possible.
    pub(crate) fn pick_isolated(&self, tried: &[UpstreamId]) -> Option<usize> {
        let candidates = |avoid: &[UpstreamId]| {
            self.pool
                .members()
                .filter(|index| {
                    let upstream = &self.fleet.upstreams[*index];
                    upstream.is_available()
                        && upstream.reserved_for.is_none()
                        && !avoid.contains(&upstream.id())
                })
                .min_by_key(|index| {
                    let upstream = &self.fleet.upstreams[*index];
                    let foreign = upstream.foreign_attempts(self.now, self.settings.report_ttl);
                    (upstream.attempts.len(), foreign)
                })
        };
        let untried_available = self.pool.members().any(|index| {
            let upstream = &self.fleet.upstreams[index];
            upstream.is_available() && !tried.contains(&upstream.id())
        });
        candidates(if untried_available { tried } else { &[] })
    }

    /// Returns how many upstreams are available, and how many of these are reserved for suspects.
    pub(crate) fn count_available_and_reserved(&self) -> (usize, usize) {
        let mut available = 0;
        let mut reserved = 0;
        for index in self.pool.members() {
            let upstream = &self.fleet.upstreams[index];
            available += usize::from(upstream.is_available());
            reserved += usize::from(upstream.is_available() && upstream.reserved_for.is_some());
        }
        (available, reserved)
    }

    /// Returns the upstream that rendezvous hashing assigns to a key, among those with capacity.
    fn pick_for_key(&self, key: &Digest, tried: &[UpstreamId]) -> Option<usize> {
        let key = digest_hash(key);
        let mut best: Option<(u64, usize)> = None;
        for members in [&self.pool.same_zone, &self.pool.other_zones] {
            for (hash, member) in members.name_hashes.iter().zip(&members.indices) {
                let weight = mix(hash ^ key);
                if best.is_some_and(|(highest, _)| highest >= weight) {
                    continue;
                }
                let index = *member as usize;
                let upstream = &self.fleet.upstreams[index];
                if upstream.reserved_for.is_none()
                    && !tried.contains(&upstream.id())
                    && upstream.has_capacity(Overcommit::Keyed, 1.0)
                {
                    best = Some((weight, index));
                }
            }
        }
        best.map(|(_, index)| index)
    }

    fn pick_in(
        &self,
        members: &Members,
        query: &RouteQuery<'_>,
        tried: &[UpstreamId],
        rng: &mut Rng,
    ) -> Option<usize> {
        let count = members.indices.len();
        if count == 0 {
            return None;
        }
        let mut candidates = Candidates::default();
        if count > self.settings.scan_max {
            for _ in 0..self.settings.sample_size {
                let index = members.indices[rng.random_range(0..count)] as usize;
                self.consider(index, query.overcommit, tried, &mut candidates);
            }
        }
        if candidates.best.is_none() {
            let start = rng.random_range(0..count);
            let (head, tail) = members.indices.split_at(start);
            for member in tail.iter().chain(head) {
                self.consider(*member as usize, query.overcommit, tried, &mut candidates);
            }
        }
        let best = candidates.best?;
        let cached = query.prefix.and_then(|prefix| {
            self.pick_for_prefix(members, prefix, query.overcommit, tried, &candidates)
        });
        Some(cached.unwrap_or(best.index))
    }

    fn consider(
        &self,
        index: usize,
        overcommit: Overcommit,
        tried: &[UpstreamId],
        candidates: &mut Candidates,
    ) {
        let Some(score) = self.score(index, overcommit, tried) else {
            return;
        };
        candidates.sum += score;
        candidates.count += 1;
        if candidates.best.is_none_or(|best| score < best.score) {
            candidates.best = Some(Scored { index, score });
        }
    }

    /// Returns the load of an upstream with this request, scaled by its speed and group weight and with
    /// penalties; `None` if it cannot take the request.
    fn score(&self, index: usize, overcommit: Overcommit, tried: &[UpstreamId]) -> Option<f32> {
        let upstream = &self.fleet.upstreams[index];
        let weight = self.fleet.weight(upstream);
        if !upstream.has_capacity(overcommit, weight)
            || tried.contains(&upstream.id())
            || !self.is_shareable(upstream)
        {
            return None;
        }
        let max_age = self.settings.report_ttl;
        let speed = self
            .fleet
            .relative_speed(upstream.step_micros(self.now, max_age));
        let score = upstream.projected_load(self.now, max_age) / (speed * weight);
        let penalty = match upstream.health.state() {
            HealthState::Stalling => STALLING_PENALTY,
            _ if upstream.reserved_for.is_some() => RESERVED_PENALTY,
            _ => 0.0,
        };
        Some(score + penalty)
    }

    /// Returns whether an upstream is not reserved for a suspect, or is the only one available.
    fn is_shareable(&self, upstream: &Upstream) -> bool {
        upstream.reserved_for.is_none() || self.count_available_and_reserved().0 <= 1
    }

    /// Returns an upstream that has a prefix cached or, if none is known, the one that rendezvous
    /// hashing assigns to it, if its load is within the affinity bound.
    fn pick_for_prefix(
        &self,
        members: &Members,
        prefix: &Digest,
        overcommit: Overcommit,
        tried: &[UpstreamId],
        candidates: &Candidates,
    ) -> Option<usize> {
        let mean = candidates.sum / candidates.count as f32;
        let load_max = mean * self.settings.affinity_factor + AFFINITY_SLACK;
        let fits = |index: usize| {
            self.score(index, overcommit, tried)
                .filter(|score| *score <= load_max)
                .map(|score| Scored { index, score })
        };
        let holder = self
            .pool
            .affinity
            .holders(prefix)
            .iter()
            .filter_map(|id| self.fleet.index_of(id))
            .filter(|index| members.indices.contains(&(*index as u32)))
            .filter_map(fits)
            .min_by(|a, b| a.score.total_cmp(&b.score));
        holder
            .or_else(|| self.rendezvous_choice(members, prefix).and_then(fits))
            .map(|scored| scored.index)
    }

    fn rendezvous_choice(&self, members: &Members, prefix: &Digest) -> Option<usize> {
        let prefix = digest_hash(prefix);
        members
            .name_hashes
            .iter()
            .zip(&members.indices)
            .max_by_key(|(hash, _)| mix(*hash ^ prefix))
            .map(|(_, member)| *member as usize)
    }
}

/// Mixes the bits of a number (the finaliser of SplitMix64).
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
