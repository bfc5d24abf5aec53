//! Which upstreams hold the cache of a prompt prefix, as far as is known.

use sardinepin_common::Map;
use sardinepin_protocol::Digest;

use crate::events::UpstreamId;

/// The most upstreams remembered for one prefix.
const HOLDERS_MAX: usize = 4;

/// A bounded memory of prefixes, from cache events and from what was sent where.
///
/// It has two generations: when the young one is full, it becomes the old one and what was the
/// old one is forgotten.
#[derive(Debug, Default)]
pub(crate) struct Affinity {
    current: Map<Digest, Holders>,
    previous: Map<Digest, Holders>,
}

/// Upstreams that hold a prefix, the latest first.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Holders {
    list: [Option<UpstreamId>; HOLDERS_MAX],
}

impl Affinity {
    /// Returns the upstreams that hold a prefix.
    pub(crate) fn holders(&self, prefix: &Digest) -> Holders {
        self.current
            .get(prefix)
            .or_else(|| self.previous.get(prefix))
            .copied()
            .unwrap_or_default()
    }

    /// Notes that an upstream holds a prefix.
    pub(crate) fn add_holder(&mut self, prefix: Digest, upstream: UpstreamId, max: usize) {
        let mut holders = self.holders(&prefix);
        holders.add(upstream);
        if self.current.len() >= max / 2 && !self.current.contains_key(&prefix) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(prefix, holders);
    }

    /// Notes that an upstream holds a prefix no longer.
    pub(crate) fn remove_holder(&mut self, prefix: &Digest, upstream: UpstreamId) {
        for map in [&mut self.current, &mut self.previous] {
            if let Some(holders) = map.get_mut(prefix) {
                holders.remove(upstream);
            }
        }
    }
}

impl Holders {
    /// Returns the upstreams, the latest first.
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
