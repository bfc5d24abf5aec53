//! The prefix cache, with least-recently-used eviction, and its events.

use std::collections::VecDeque;

use sardinepin_common::Millis;
use sardinepin_protocol::Digest;
use serde::{Deserialize, Serialize};

/// The number of events that are kept; older ones are discarded.
const MAX_EVENTS: usize = 10_000;

/// The kind of a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// A change of the cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number, from 1.
    pub seq: u64,
    /// The time of the event, in milliseconds since the start of the engine's clock.
    pub at: Millis,
    /// Whether the prefix was stored or evicted.
    pub kind: CacheEventKind,
    /// The digest of the prefix.
    pub prefix: String,
}

/// The answer to a read of the cache events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events, oldest first; sequence numbers are missing where the fault `cache_gap` drops
    /// events.
    pub events: Vec<CacheEvent>,
}

/// The cached prefixes, least recently used first, and the recent events.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    prefixes: VecDeque<Digest>,
    events: VecDeque<CacheEvent>,
    seq: u64,
}

impl PrefixCache {
    /// Returns an empty cache for `capacity` prefixes.
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            prefixes: VecDeque::new(),
            events: VecDeque::new(),
            seq: 0,
        }
    }

    /// Marks a prefix as used, stores it if it is new, and returns whether it was cached.
    pub(super) fn touch(&mut self, now: Millis, prefix: Digest) -> bool {
        let found = self.prefixes.iter().position(|cached| *cached == prefix);
        if let Some(index) = found {
            self.prefixes.remove(index);
        } else {
            self.record(now, CacheEventKind::Stored, prefix);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > self.capacity
            && let Some(oldest) = self.prefixes.pop_front()
        {
            self.record(now, CacheEventKind::Evicted, oldest);
        }
        found.is_some()
    }

    /// Returns the events with a number above `after` that happened no later than `until`, without
    /// those whose number is a multiple of `gap`; 0 drops none.
    pub(super) fn events(&self, after: u64, until: Millis, gap: u64) -> CacheEvents {
        let is_shown = |event: &&CacheEvent| {
            let is_dropped = gap > 0 && event.seq.is_multiple_of(gap);
            event.seq > after && event.at <= until && !is_dropped
        };
        CacheEvents {
            events: self.events.iter().filter(is_shown).cloned().collect(),
        }
    }

    fn record(&mut self, at: Millis, kind: CacheEventKind, prefix: Digest) {
        self.seq += 1;
        self.events.push_back(CacheEvent {
            seq: self.seq,
            at,
            kind,
            prefix: prefix.to_string(),
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
