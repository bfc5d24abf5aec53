//! Requests that were in flight when an upstream crashed, and those in quarantine.

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::Digest;

use crate::settings::QuarantineSettings;

/// The digests under suspicion and in quarantine.
#[derive(Debug)]
pub(crate) struct Suspects {
    settings: QuarantineSettings,
    /// When each suspect last was in flight at a crash.
    suspected_at: Map<Digest, Millis>,
    /// When each quarantine ends.
    quarantined_until: Map<Digest, Millis>,
}

impl Suspects {
    /// Makes an empty list.
    pub(crate) fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            suspected_at: Map::default(),
            quarantined_until: Map::default(),
        }
    }

    /// Returns whether a digest is under suspicion.
    pub(crate) fn is_suspect(&self, digest: &Digest) -> bool {
        self.suspected_at.contains_key(digest)
    }

    /// Returns the time that a digest has left in quarantine.
    pub(crate) fn quarantine_remaining(&self, now: Millis, digest: &Digest) -> Option<Millis> {
        let until = self.quarantined_until.get(digest)?;
        (*until > now).then(|| until.since(now))
    }

    /// Marks a digest that was in flight at a crash since `sent`.
    ///
    /// Returns the time in quarantine if this is the second crash. A crash counts as second only
    /// if the attempt was sent after the first: a loss of several upstreams at once says nothing
    /// about a request that many callers send.
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

    /// Ends the suspicion of a digest that was answered, or that never ran.
    pub(crate) fn clear(&mut self, digest: &Digest) {
        self.suspected_at.remove(digest);
    }

    /// Takes in what another entry holds in quarantine.
    pub(crate) fn add_quarantine(&mut self, now: Millis, digest: Digest, remaining: Millis) {
        self.suspected_at.remove(&digest);
        self.quarantine_until(digest, now + remaining);
    }

    /// Ends a quarantine.
    pub(crate) fn lift(&mut self, digest: &Digest) {
        self.quarantined_until.remove(digest);
        self.suspected_at.remove(digest);
    }

    /// Forgets what is over.
    pub(crate) fn remove_expired(&mut self, now: Millis) {
        self.quarantined_until.retain(|_, until| *until > now);
        let suspicion = self.settings.suspect_ttl;
        self.suspected_at
            .retain(|_, since| now.since(*since) < suspicion);
    }

    fn quarantine_until(&mut self, digest: Digest, until: Millis) {
        if let Some(held) = self.quarantined_until.get_mut(&digest) {
            *held = until.max(*held);
            return;
        }
        evict_earliest(&mut self.quarantined_until, self.settings.digests_max);
        self.quarantined_until.insert(digest, until);
    }
}

/// Makes room for one more by dropping the entry with the earliest time.
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
