//! Requests that were in flight when an upstream crashed, and those in quarantine.

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::Digest;

use crate::settings::QuarantineSettings;

/// The digests under suspicion and in quarantine.
#[derive(Debug)]
pub(crate) struct Suspects {
    settings: QuarantineSettings,
    /// When each suspect last was in flight at a crash.
    suspects: Map<Digest, Millis>,
    /// When each quarantine ends.
    quarantine: Map<Digest, Millis>,
}

impl Suspects {
    /// Makes an empty list.
    pub(crate) fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            suspects: Map::default(),
            quarantine: Map::default(),
        }
    }

    /// Returns whether a digest is under suspicion.
    pub(crate) fn suspected(&self, digest: &Digest) -> bool {
        self.suspects.contains_key(digest)
    }

    /// Returns the time that a digest has left in quarantine.
    pub(crate) fn quarantined(&self, now: Millis, digest: &Digest) -> Option<Millis> {
        let until = self.quarantine.get(digest)?;
        (*until > now).then(|| until.since(now))
    }

    /// Marks a digest that was in flight at a crash since `sent`.
    ///
    /// Returns the time in quarantine if this is the second crash. A crash counts as second only
    /// if the attempt was sent after the first: a loss of several upstreams at once says nothing
    /// about a request that many callers send.
    pub(crate) fn crashed(&mut self, now: Millis, sent: Millis, digest: Digest) -> Option<Millis> {
        match self.suspects.get(&digest) {
            Some(first) if sent >= *first => {
                self.suspects.remove(&digest);
                self.hold(digest, now + self.settings.duration);
                Some(self.settings.duration)
            }
            Some(_) => None,
            None => {
                bound(&mut self.suspects, self.settings.digests_max);
                self.suspects.insert(digest, now);
                None
            }
        }
    }

    /// Ends the suspicion of a digest that was answered, or that never ran.
    pub(crate) fn clear(&mut self, digest: &Digest) {
        self.suspects.remove(digest);
    }

    /// Takes in what another entry holds in quarantine.
    pub(crate) fn learn(&mut self, now: Millis, digest: Digest, left: Millis) {
        self.suspects.remove(&digest);
        self.hold(digest, now + left);
    }

    /// Ends a quarantine.
    pub(crate) fn lift(&mut self, digest: &Digest) {
        self.quarantine.remove(digest);
        self.suspects.remove(digest);
    }

    /// Forgets what is over.
    pub(crate) fn forget(&mut self, now: Millis) {
        self.quarantine.retain(|_, until| *until > now);
        let suspicion = self.settings.suspect_ttl;
        self.suspects
            .retain(|_, since| now.since(*since) < suspicion);
    }

    fn hold(&mut self, digest: Digest, until: Millis) {
        if let Some(held) = self.quarantine.get_mut(&digest) {
            *held = until.max(*held);
            return;
        }
        bound(&mut self.quarantine, self.settings.digests_max);
        self.quarantine.insert(digest, until);
    }
}

/// Makes room for one more by dropping the entry with the earliest time.
fn bound(map: &mut Map<Digest, Millis>, max: usize) {
    if map.len() < max {
        return;
    }
    let earliest = map
        .iter()
        .min_by_key(|(digest, at)| (**at, **digest))
        .map(|(digest, _)| *digest);
    if let Some(digest) = earliest {
        map.remove(&digest);
    }
}
