//! Known locations of cached prompt prefixes.

use sardinepin_common::Map;
use sardinepin_protocol::Digest;

use crate::events::UpstreamId;

/// The maximum number of upstreams remembered per prefix.
const HOLDERS_MAX: usize = 4;

/// A bounded map from prompt prefixes to upstreams, filled from cache events and sent requests.
///
/// It has two generations: a full current generation replaces the previous one, which is dropped.
#[derive(Debug, Default)]
pub(crate) struct Affinity {
    current: Map<Digest, Holders>,
    previous: Map<Digest, Holders>,
}

/// The upstreams that have a prefix cached, the most recent first.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Holders {
    list: [Option<UpstreamId>; HOLDERS_MAX],
}

impl Affinity {
    /// Returns the upstreams that are known to have a prefix cached.
    pub(crate) fn holders(&self, prefix: &Digest) -> Holders {
        self.current
            .get(prefix)
            .or_else(|| self.previous.get(prefix))
            .copied()
            .unwrap_or_default()
    }

    /// Records that an upstream has a prefix cached; `max` bounds the prefixes of both generations.
    pub(crate) fn add_holder(&mut self, prefix: Digest, upstream: UpstreamId, max: usize) {
        let mut holders = self.holders(&prefix);
        holders.add(upstream);
        if self.current.len() >= max / 2 && !self.current.contains_key(&prefix) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(prefix, holders);
    }

    /// Records that an upstream has evicted a prefix.
    pub(crate) fn remove_holder(&mut self, prefix: &Digest, upstream: UpstreamId) {
        for map in [&mut self.current, &mut self.previous] {
            if let Some(holders) = map.get_mut(prefix) {
                holders.remove(upstream);
            }
        }
    }
}

impl Holders {
    /// Returns the upstreams, the most recent first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = UpstreamId> {
        self.list.iter().flatten().copied()
    }

    fn add(&mut self, upstream: UpstreamId) {
        self.remove(upstream);
        self.list.rotate_right(1);
        self.list[0] = Some(upstream);
    }

    fn remove(&mut self, upstream: UpstreamId) {
        for place in &mut self.list {
            if *place == Some(upstream) {
                *place = None;
            }
        }
    }
}
