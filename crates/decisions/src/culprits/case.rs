//! The evidence against one trait.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use sardinepin_common::Millis;
use sardinepin_protocol::Digest;

use super::CrashEvidence;

/// The evidence against one trait.
#[derive(Debug)]
pub(super) struct Case<'a> {
    accused: Digest,
    /// Whether a request with the trait has been answered before, here or where a crash was seen.
    answered: bool,
    /// All crashes that speak against the trait, each with the request that had it.
    crashes: BTreeSet<(&'a str, Digest)>,
    /// The longest series of crashes of which each hit a request sent after the one before.
    series: Vec<&'a CrashEvidence>,
}

impl<'a> Case<'a> {
    pub(super) fn new(accused: Digest, answered: bool, evidence: Vec<&'a CrashEvidence>) -> Self {
        let was_answered = |one: &&CrashEvidence| one.parts.answered.contains(&accused);
        Self {
            accused,
            answered: answered || evidence.iter().any(was_answered),
            crashes: evidence
                .iter()
                .map(|one| (&*one.crash, one.request))
                .collect(),
            series: longest_series(evidence),
        }
    }

    pub(super) fn is_answered(&self) -> bool {
        self.answered
    }

    pub(super) fn accused(&self) -> Digest {
        self.accused
    }

    /// Returns whether the trait is the digest of a whole request.
    pub(super) fn is_request(&self) -> bool {
        let first = self.series.first();
        first.is_some_and(|evidence| evidence.request == self.accused)
    }

    /// Returns how specific a trait of the same requests is; the lowest position is that of a request, the
    /// highest that of the first part of a prompt.
    pub(super) fn position(&self, one: &Digest) -> (usize, Digest) {
        let from_end = self.series.first().map_or(0, |evidence| {
            let traits: Vec<&Digest> = evidence.traits().collect();
            let at = traits.iter().position(|own| *own == one);
            match at {
                Some(0) => 0,
                Some(at) => traits.len() - at,
                None => traits.len(),
            }
        });
        (from_end, *one)
    }

    /// Returns the number of crashes that count.
    pub(super) fn strength(&self) -> usize {
        self.series.len()
    }

    /// Returns the key by which cases are compared. A trait that has never been answered comes before
    /// all others; of equal series, the one that hit more requests.
    pub(super) fn rank(&self) -> impl Ord + use<> {
        let requests: BTreeSet<Digest> = self.crashes.iter().map(|(_, request)| *request).collect();
        let never_answered = !self.answered;
        (
            never_answered,
            self.strength(),
            requests.len(),
            Reverse(self.accused),
        )
    }

    /// Returns whether the same requests had this trait and that of `other`, so that nothing tells them
    /// apart.
    pub(super) fn is_like(&self, other: &Self) -> bool {
        self.answered == other.answered && self.crashes == other.crashes
    }

    /// Returns when fewer than `crashes_min` crashes of the series are left.
    pub(super) fn expiry(&self, crashes_min: usize) -> Millis {
        let mut expiries: Vec<Millis> = self.series.iter().map(|one| one.expires_at).collect();
        expiries.sort_unstable_by_key(|expiry| Reverse(*expiry));
        let last = expiries.get(crashes_min.saturating_sub(1));
        last.copied().unwrap_or_default()
    }
}

/// How far apart two readings of the same moment may lie: each is told by two clocks that count whole milliseconds.
const CLOCK_ROUNDING: Millis = Millis(1);

/// Returns the longest series of crashes of which each hit a request sent after the one before.
///
/// The loss of several upstreams at once is no evidence against what many callers send at that moment.
fn longest_series(mut evidence: Vec<&CrashEvidence>) -> Vec<&CrashEvidence> {
    evidence.sort_unstable_by_key(|one| (one.crashed_at, Reverse(one.sent_at)));
    let mut series: Vec<&CrashEvidence> = Vec::new();
    for one in evidence {
        let follows = |last: &&CrashEvidence| {
            one.sent_at + CLOCK_ROUNDING >= last.crashed_at && one.crash != last.crash
        };
        if series.last().is_none_or(follows) {
            series.push(one);
        }
    }
    series
}
