//! Requests suspected of crashing upstreams, and requests and parts of prompts in quarantine.

use std::sync::Arc;

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::Digest;

use crate::culprits::{CrashEvidence, Culprit, CulpritFinder, CulpritSettings, Traits};
use crate::settings::QuarantineSettings;

/// The number of crashes after which a request is quarantined. Suspects run alone, so that the second
/// crash leaves no doubt.
const REQUEST_CRASHES: usize = 2;

/// An attempt that was in flight at a crash.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CrashedAttempt {
    /// The digest of the request.
    pub(crate) request: Digest,
    /// When it was sent.
    pub(crate) sent: Millis,
    /// The digests of the shared parts of its prompt, in order.
    pub(crate) parts: Vec<Digest>,
}

/// The digests of suspect requests, and of requests and parts of prompts in quarantine.
#[derive(Debug)]
pub(crate) struct Suspects {
    settings: QuarantineSettings,
    finder: CulpritFinder,
    /// The number of crashes so far, which gives each a name.
    crashes: u64,
    /// When each request became a suspect.
    suspected_at: Map<Digest, Millis>,
    /// When each quarantine ends.
    quarantined_until: Map<Digest, Millis>,
}

impl Suspects {
    /// Creates an empty list.
    pub(crate) fn new(settings: QuarantineSettings) -> Self {
        let finder = CulpritFinder::new(CulpritSettings {
            request_crashes: REQUEST_CRASHES,
            evidence_max: settings.digests_max,
            ..CulpritSettings::default()
        });
        Self {
            settings,
            finder,
            crashes: 0,
            suspected_at: Map::default(),
            quarantined_until: Map::default(),
        }
    }

    /// Returns whether a request is a suspect.
    pub(crate) fn is_suspect(&self, request: &Digest) -> bool {
        self.suspected_at.contains_key(request)
    }

    /// Returns the remaining quarantine of a request with these traits; `None` if it is not in
    /// quarantine.
    pub(crate) fn quarantine_remaining(&self, now: Millis, traits: Traits<'_>) -> Option<Millis> {
        if self.quarantined_until.is_empty() {
            return None;
        }
        let digests = std::iter::once(&traits.request).chain(traits.parts);
        let ends = digests.filter_map(|one| self.quarantined_until.get(one));
        let until = *ends.max()?;
        (until > now).then(|| until.since(now))
    }

    /// Records the attempts that were in flight at a crash; returns what has to be put in quarantine, and
    /// for how long.
    pub(crate) fn record_crash(
        &mut self,
        now: Millis,
        attempts: Vec<CrashedAttempt>,
    ) -> Vec<(Digest, Millis)> {
        self.crashes += 1;
        let crash: Arc<str> = Arc::from(self.crashes.to_string());
        for attempt in attempts {
            self.suspect(now, attempt.request);
            let evidence = CrashEvidence {
                crash: Arc::clone(&crash),
                request: attempt.request,
                parts: self
                    .finder
                    .doubtful_parts(now, attempt.sent, &attempt.parts),
                sent_at: attempt.sent,
                crashed_at: now,
                expires_at: now + self.settings.suspect_ttl,
                // One process has one clock, which orders its crashes.
                follows: None,
                is_probe: false,
            };
            let name = Arc::from(format!("{crash}-{}", attempt.request));
            self.finder.add(now, name, evidence);
        }
        let (settings, quarantined) = (&self.settings, &self.quarantined_until);
        let sentence = |culprit: &Culprit| {
            let digest = culprit.most_specific()?;
            let is_held = quarantined.get(&digest).is_some_and(|until| *until > now);
            // What has been answered before can hardly be at fault, and is tried again soon.
            let duration = match culprit.answered || !culprit.in_series {
                true => settings.retest_interval,
                false => settings.duration,
            };
            (!is_held).then_some((digest, duration))
        };
        let found: Vec<(Digest, Millis)> =
            self.finder.culprits().iter().filter_map(sentence).collect();
        for (digest, duration) in &found {
            self.quarantine_until(*digest, now + *duration);
            self.suspected_at.remove(digest);
        }
        found
    }

    fn suspect(&mut self, now: Millis, request: Digest) {
        if !self.suspected_at.contains_key(&request) {
            evict_earliest(&mut self.suspected_at, self.settings.digests_max);
            self.suspected_at.insert(request, now);
        }
    }

    /// Clears a suspect that got a response or that never ran.
    pub(crate) fn clear(&mut self, request: &Digest) {
        if self.suspected_at.remove(request).is_some() {
            self.finder
                .remove_where(|evidence| evidence.request == *request);
        }
    }

    /// Records that a request with these shared parts of its prompt got a response.
    pub(crate) fn record_answer(&mut self, now: Millis, parts: &[Digest]) {
        self.finder.record_answer(now, parts);
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
        self.finder
            .remove_where(|evidence| evidence.traits().any(|one| one == digest));
    }

    /// Removes expired suspects and quarantines.
    pub(crate) fn remove_expired(&mut self, now: Millis) {
        self.quarantined_until.retain(|_, until| *until > now);
        let suspect_ttl = self.settings.suspect_ttl;
        self.suspected_at
            .retain(|_, since| now.since(*since) < suspect_ttl);
        self.finder
            .remove_where(|evidence| evidence.expires_at <= now);
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
