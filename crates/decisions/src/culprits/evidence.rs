//! What is known of a crash, what it speaks against, and what follows for a request.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_protocol::Digest;
use serde::{Deserialize, Serialize};

/// The traits of a request that may crash upstreams.
#[derive(Debug, Clone, Copy)]
pub struct Traits<'a> {
    /// The digest of the request.
    pub request: Digest,
    /// The digests of the parts of its prompt that other requests share.
    pub parts: &'a [Digest],
}

impl Traits<'_> {
    pub(super) fn contain(&self, one: &Digest) -> bool {
        self.request == *one || self.parts.contains(one)
    }
}

/// The crash of an upstream, as evidence against one of the requests that it was about to answer.
///
/// Evidence is exchanged between processes, so its times are those of a wall clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashEvidence {
    /// The name of the crash; several requests may be suspected of one.
    pub crash: Arc<str>,
    /// The digest of the request.
    pub request: Digest,
    /// The digests of those parts of its prompt that may be at fault.
    pub parts: DoubtfulParts,
    /// When the request was sent to the upstream.
    pub sent_at: Millis,
    /// When the upstream crashed.
    pub crashed_at: Millis,
    /// When the evidence expires.
    pub expires_at: Millis,
    /// The names of the earlier crashes that its sender knew of when it sent the request; `None` if that is not known.
    pub follows: Option<Vec<Arc<str>>>,
    /// Whether the request was let through to find out about a culprit.
    pub is_probe: bool,
}

/// The parts of a prompt that a crash speaks against.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DoubtfulParts {
    /// Those that the process that saw the crash had never seen answered.
    pub unanswered: Vec<Digest>,
    /// Those that had been answered before.
    #[serde(default)]
    pub answered: Vec<Digest>,
}

impl CrashEvidence {
    pub(crate) fn traits(&self) -> impl Iterator<Item = &Digest> {
        let parts = self.parts.unanswered.iter().chain(&self.parts.answered);
        std::iter::once(&self.request).chain(parts)
    }

    /// Returns whether the request has all of these traits.
    pub(crate) fn speaks_against(&self, traits: &[Digest]) -> bool {
        let contains = |one: &Digest| self.traits().any(|own| own == one);
        traits.iter().all(contains)
    }
}

/// Traits that crash upstreams: a request with all of them is at fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Culprit {
    /// The traits, the most specific first: the request, then parts from the end of the prompt on. There
    /// is more than one if the same requests had each of them.
    pub traits: Vec<Digest>,
    /// When the evidence is too little again because some has expired, by the wall clock.
    pub until: Millis,
    /// Whether requests with the traits have been answered before.
    pub answered: bool,
    /// Whether crashes in a row leave no doubt, unless requests with the traits have been answered before.
    pub in_series: bool,
}

impl Culprit {
    /// Returns the most specific trait.
    #[must_use]
    pub fn most_specific(&self) -> Option<Digest> {
        self.traits.first().copied()
    }

    /// Returns whether a request may be let through to find out whether the traits are at fault.
    pub(super) fn may_be_probed(&self) -> bool {
        self.answered || !self.in_series
    }
}

/// The crashes that speak against one trait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashTally {
    /// The number of crashes.
    pub known: usize,
    /// The number of those that count.
    pub counted: usize,
}

/// Whether a request may run, as far as culprits are concerned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It has no culprit.
    Run,
    /// It may run to find out about a culprit if no other process has claimed the test of this name.
    Probe(ProbeClaim),
    /// It is held back until this time of the wall clock.
    Hold(Millis),
}

/// The right to send one request to find out about a culprit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeClaim {
    /// The name of the test, which is the same at all processes with the same evidence.
    pub name: Arc<str>,
    /// The traits that the request is to tell about.
    pub traits: Vec<Digest>,
    /// Until when the request is held back if another process has claimed the test, by the wall clock.
    pub held_until: Millis,
}
