//! Which upstream takes a request.

use rand::Rng as _;
use sardinepin_common::{Millis, Rng};
use sardinepin_protocol::Digest;

use crate::events::UpstreamId;
use crate::fleet::Fleet;
use crate::health::Standing;
use crate::pool::{Members, Pool, digest_hash};
use crate::settings::RoutingSettings;
use crate::slot::{Room, Slot};

/// What is added to the score of an upstream that shows no progress.
const SUSPECTED_PENALTY: f32 = 16.0;

/// What is added to the score of an upstream that runs a suspect, where it must be used at all.
const HELD_PENALTY: f32 = 64.0;

/// The load that the mean may always be exceeded by for the sake of a cache.
const AFFINITY_SLACK: f32 = 0.125;

/// What a request asks of its upstream.
#[derive(Debug)]
pub(crate) struct Wish<'a> {
    /// How far over the limit it may go.
    pub(crate) room: Room,
    /// The upstreams that it was sent to before.
    pub(crate) tried: &'a [UpstreamId],
    /// The digest of its idempotency key.
    pub(crate) key: Option<&'a Digest>,
    /// The digest of its prompt's prefix.
    pub(crate) prefix: Option<&'a Digest>,
}

/// Chooses upstreams.
#[derive(Debug)]
pub(crate) struct Router<'a> {
    pub(crate) now: Millis,
    pub(crate) fleet: &'a Fleet,
    pub(crate) pool: &'a Pool,
    pub(crate) settings: &'a RoutingSettings,
}

/// The upstreams found fit in a look over some of them.
#[derive(Debug, Default)]
struct Found {
    best: Option<Scored>,
    sum: f32,
    count: u32,
}

#[derive(Debug, Clone, Copy)]
struct Scored {
    at: usize,
    score: f32,
}

impl Router<'_> {
    /// Returns the position of the upstream for a request, `None` if none has room now.
    pub(crate) fn pick(&self, wish: &Wish<'_>, rng: &mut Rng) -> Option<usize> {
        let fresh = |at: usize| !wish.tried.contains(&self.fleet.slots[at].id());
        let others = wish.tried.is_empty()
            || self
                .pool
                .members()
                .any(|at| fresh(at) && self.fleet.slots[at].fit());
        let tried: &[UpstreamId] = if others { wish.tried } else { &[] };
        if let Some(key) = wish.key
            && let Some(at) = self.keyed(key, tried)
        {
            return Some(at);
        }
        self.pick_in(&self.pool.near, wish, tried, rng)
            .or_else(|| self.pick_in(&self.pool.far, wish, tried, rng))
    }

    /// Returns whether an upstream can take a request.
    pub(crate) fn fits(&self, at: usize, wish: &Wish<'_>) -> bool {
        self.score(at, wish.room, wish.tried).is_some()
    }

    /// Returns the idle or, failing that, least busy upstream for a suspect.
    pub(crate) fn pick_apart(&self, tried: &[UpstreamId]) -> Option<usize> {
        let candidates = |avoid: &[UpstreamId]| {
            self.pool
                .members()
                .filter(|at| {
                    let slot = &self.fleet.slots[*at];
                    slot.fit() && slot.held.is_none() && !avoid.contains(&slot.id())
                })
                .min_by_key(|at| {
                    let slot = &self.fleet.slots[*at];
                    let others = slot.others(self.now, self.settings.report_ttl);
                    (slot.attempts.len(), others)
                })
        };
        let fresh_lives = self.pool.members().any(|at| {
            let slot = &self.fleet.slots[at];
            slot.fit() && !tried.contains(&slot.id())
        });
        candidates(if fresh_lives { tried } else { &[] })
    }

    /// Returns how many upstreams are fit, and how many of them are held for suspects.
    pub(crate) fn fit_and_held(&self) -> (usize, usize) {
        let mut fit = 0;
        let mut held = 0;
        for at in self.pool.members() {
            let slot = &self.fleet.slots[at];
            fit += usize::from(slot.fit());
            held += usize::from(slot.fit() && slot.held.is_some());
        }
        (fit, held)
    }

    /// Returns the upstream that rendezvous hashing gives to a key, among those that live.
    fn keyed(&self, key: &Digest, tried: &[UpstreamId]) -> Option<usize> {
        let key = digest_hash(key);
        let mut best: Option<(u64, usize)> = None;
        for members in [&self.pool.near, &self.pool.far] {
            for (hash, place) in members.hashes.iter().zip(&members.places) {
                let weight = mix(hash ^ key);
                if best.is_some_and(|(held, _)| held >= weight) {
                    continue;
                }
                let at = *place as usize;
                let slot = &self.fleet.slots[at];
                if slot.held.is_none() && !tried.contains(&slot.id()) && slot.room(Room::Keyed, 1.0)
                {
                    best = Some((weight, at));
                }
            }
        }
        best.map(|(_, at)| at)
    }

    fn pick_in(
        &self,
        members: &Members,
        wish: &Wish<'_>,
        tried: &[UpstreamId],
        rng: &mut Rng,
    ) -> Option<usize> {
        let count = members.places.len();
        if count == 0 {
            return None;
        }
        let mut found = Found::default();
        if count > self.settings.scan_max {
            for _ in 0..self.settings.sample_size {
                let at = members.places[rng.random_range(0..count)] as usize;
                self.look(at, wish.room, tried, &mut found);
            }
        }
        if found.best.is_none() {
            let start = rng.random_range(0..count);
            let (head, tail) = members.places.split_at(start);
            for place in tail.iter().chain(head) {
                self.look(*place as usize, wish.room, tried, &mut found);
            }
        }
        let best = found.best?;
        let cached = wish
            .prefix
            .and_then(|prefix| self.cached(members, prefix, wish.room, tried, &found));
        Some(cached.unwrap_or(best.at))
    }

    fn look(&self, at: usize, room: Room, tried: &[UpstreamId], found: &mut Found) {
        let Some(score) = self.score(at, room, tried) else {
            return;
        };
        found.sum += score;
        found.count += 1;
        if found.best.is_none_or(|best| score < best.score) {
            found.best = Some(Scored { at, score });
        }
    }

    /// Returns how loaded an upstream would be, `None` if it cannot take the request.
    fn score(&self, at: usize, room: Room, tried: &[UpstreamId]) -> Option<f32> {
        let slot = &self.fleet.slots[at];
        let weight = self.fleet.weight(slot);
        if !slot.room(room, weight) || tried.contains(&slot.id()) || !self.free(slot) {
            return None;
        }
        let bound = self.settings.report_ttl;
        let pace = self.fleet.pace(slot.step_micros(self.now, bound));
        let score = slot.load_with_one(self.now, bound) / (pace * weight);
        let penalty = match slot.health.standing() {
            Standing::Suspected => SUSPECTED_PENALTY,
            _ if slot.held.is_some() => HELD_PENALTY,
            _ => 0.0,
        };
        Some(score + penalty)
    }

    /// Returns whether an upstream runs no suspect, or is the only one left.
    fn free(&self, slot: &Slot) -> bool {
        slot.held.is_none() || self.fit_and_held().0 <= 1
    }

    /// Returns an upstream that holds a prefix or, if none is known, the one that rendezvous
    /// hashing gives to it, as long as its load is within the bound.
    fn cached(
        &self,
        members: &Members,
        prefix: &Digest,
        room: Room,
        tried: &[UpstreamId],
        found: &Found,
    ) -> Option<usize> {
        let mean = found.sum / found.count as f32;
        let most = mean * self.settings.affinity_factor + AFFINITY_SLACK;
        let fits = |at: usize| {
            self.score(at, room, tried)
                .filter(|score| *score <= most)
                .map(|score| Scored { at, score })
        };
        let holder = self
            .pool
            .affinity
            .holders(prefix)
            .iter()
            .filter_map(|id| self.fleet.place(id))
            .filter(|at| members.places.contains(&(*at as u32)))
            .filter_map(fits)
            .min_by(|a, b| a.score.total_cmp(&b.score));
        holder
            .or_else(|| self.preferred(members, prefix).and_then(fits))
            .map(|scored| scored.at)
    }

    fn preferred(&self, members: &Members, prefix: &Digest) -> Option<usize> {
        let prefix = digest_hash(prefix);
        members
            .hashes
            .iter()
            .zip(&members.places)
            .max_by_key(|(hash, _)| mix(*hash ^ prefix))
            .map(|(_, place)| *place as usize)
    }
}

/// Spreads the bits of a number over all of it (the finaliser of SplitMix64).
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
