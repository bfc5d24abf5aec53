//! The prefix cache and its events.

use std::collections::VecDeque;

use sardinepin_common::Millis;
use sardinepin_protocol::Digest;
use serde::{Deserialize, Serialize};

/// How many events are kept.
const EVENTS_KEPT: usize = 10_000;

/// What happened to a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// It was taken into the cache.
    Stored,
    /// It was dropped.
    Evicted,
}

/// An event of the cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's number, from 1.
    pub seq: u64,
    /// When it happened, in milliseconds on the engine's own clock.
    pub at: Millis,
    /// What happened.
    pub kind: CacheEventKind,
    /// The digest of the prefix.
    pub prefix: String,
}

/// A part of the events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events that are shown, oldest first, with gaps in their numbers.
    pub events: Vec<CacheEvent>,
}

/// Prefixes, least recently used first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    entries: usize,
    prefixes: VecDeque<Digest>,
    events: VecDeque<CacheEvent>,
    seq: u64,
}

impl PrefixCache {
    /// Makes an empty cache for this many prefixes.
    pub(super) fn new(entries: usize) -> Self {
        Self {
            entries,
            prefixes: VecDeque::new(),
            events: VecDeque::new(),
            seq: 0,
        }
    }

    /// Uses a prefix and returns whether it was in the cache.
    pub(super) fn touch(&mut self, now: Millis, prefix: Digest) -> bool {
        let found = self.prefixes.iter().position(|held| *held == prefix);
        if let Some(at) = found {
            self.prefixes.remove(at);
        } else {
            self.record(now, CacheEventKind::Stored, prefix);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > self.entries
            && let Some(oldest) = self.prefixes.pop_front()
        {
            self.record(now, CacheEventKind::Evicted, oldest);
        }
        found.is_some()
    }

    /// Returns the events after `after` that happened by `until`, without every `gap`-th.
    pub(super) fn events(&self, after: u64, until: Millis, gap: u64) -> CacheEvents {
        let is_shown = |event: &&CacheEvent| {
            let lost = gap > 0 && event.seq.is_multiple_of(gap);
            event.seq > after && event.at <= until && !lost
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
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}
