//! Requests suspected of crashing upstreams, and requests in quarantine.

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::Digest;

use crate::settings::QuarantineSettings;

/// The digests of suspect requests and of requests in quarantine.
#[derive(Debug)]
pub(crate) struct Suspects {
    settings: QuarantineSettings,
    /// When each digest became a suspect.
    suspected_at: Map<Digest, Millis>,
    /// When each quarantine ends.
    quarantined_until: Map<Digest, Millis>,
}

impl Suspects {
    /// Creates an empty list.
    pub(crate) fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            suspected_at: Map::default(),
            quarantined_until: Map::default(),
        }
    }

    /// Returns whether a digest is a suspect.
    pub(crate) fn is_suspect(&self, digest: &Digest) -> bool {
        self.suspected_at.contains_key(digest)
    }

    /// Returns the remaining quarantine of a digest; `None` if it is not in quarantine.
    pub(crate) fn quarantine_remaining(&self, now: Millis, digest: &Digest) -> Option<Millis> {
        let until = self.quarantined_until.get(digest)?;
        (*until > now).then(|| until.since(now))
    }

    /// Records that an attempt with this digest, sent at `sent`, was in flight at a crash.
    ///
    /// Returns the duration of the quarantine if this is the second crash. A crash counts as the second
    /// only if its attempt was not sent before the first: the loss of several upstreams at once is no
    /// evidence against a request that many callers send.
    pub(crate) fn record_crash(
        &mut self,
        now: Millis,
        sent: Millis,
        digest: Digest,
    ) -> Option<Millis> {
        match self.suspected_at.get(&digest) {
            Some(first) if sent >= *first => {
                self.suspected_at.remove(&digest);
                self.quarantine_until(digest, now + self.settings.duration);
                Some(self.settings.duration)
            }
            Some(_) => None,
            None => {
                evict_earliest(&mut self.suspected_at, self.settings.digests_max);
                self.suspected_at.insert(digest, now);
                None
            }
        }
    }

    /// Clears a suspect that got a response or that never ran.
    pub(crate) fn clear(&mut self, digest: &Digest) {
        self.suspected_at.remove(digest);
    }

    /// Adds a quarantine announced by another entry.
    pub(crate) fn add_quarantine(&mut self, now: Millis, digest: Digest, remaining: Millis) {
        self.suspected_at.remove(&digest);
        self.quarantine_until(digest, now + remaining);
    }

    /// Ends the quarantine of a digest and clears it as a suspect.
    pub(crate) fn lift(&mut self, digest: &Digest) {
        self.quarantined_until.remove(digest);
        self.suspected_at.remove(digest);
    }

    /// Removes expired suspects and quarantines.
    pub(crate) fn remove_expired(&mut self, now: Millis) {
        self.quarantined_until.retain(|_, until| *until > now);
        let suspect_ttl = self.settings.suspect_ttl;
        self.suspected_at
            .retain(|_, since| now.since(*since) < suspect_ttl);
    }

    fn quarantine_until(&mut self, digest: Digest, until: Millis) {
        if let Some(current) = self.quarantined_until.get_mut(&digest) {
            *current = until.max(*current);
            return;
        }
        evict_earliest(&mut self.quarantined_until, self.settings.digests_max);
        self.quarantined_until.insert(digest, until);
    }
}

/// Removes the entry with the earliest time if the map is full.
fn evict_earliest(map: &mut Map<Digest, Millis>, max: usize) {
    if map.len() < max {
        return;
    }
    let earliest = map
        .iter()
        .min_by_key(|(digest, time)| (**time, **digest))
        .map(|(digest, _)| *digest);
    if let Some(digest) = earliest {
        map.remove(&digest);
    }
}
