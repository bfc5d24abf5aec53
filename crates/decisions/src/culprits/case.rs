//! The evidence against one trait.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::Digest;

use super::{CrashEvidence, MOMENT};

/// The evidence against one trait.
#[derive(Debug)]
pub(super) struct Case<'a> {
    accused: Digest,
    /// Whether a request with the trait has been answered before, here or where a crash was seen.
    answered: bool,
    /// All evidence against the trait, in the order of the crashes.
    evidence: Vec<&'a CrashEvidence>,
    /// All crashes that speak against the trait, each with the request that had it.
    crashes: BTreeSet<(&'a str, Digest)>,
    /// The length of the longest series of crashes of which each hit a request sent after the one before.
    series: usize,
}

impl<'a> Case<'a> {
    pub(super) fn new(
        accused: Digest,
        answered: bool,
        mut evidence: Vec<&'a CrashEvidence>,
    ) -> Self {
        evidence.sort_unstable_by_key(|one| (one.crashed_at, Reverse(one.sent_at)));
        let was_answered = |one: &&CrashEvidence| one.parts.answered.contains(&accused);
        Self {
            accused,
            answered: answered || evidence.iter().any(was_answered),
            crashes: evidence
                .iter()
                .map(|one| (&*one.crash, one.request))
                .collect(),
            series: longest_series(&evidence),
            evidence,
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
        let first = self.evidence.first();
        first.is_some_and(|evidence| evidence.request == self.accused)
    }

    /// Returns how specific a trait of the same requests is; the lowest position is that of a request, the
    /// highest that of the first part of a prompt.
    pub(super) fn position(&self, one: &Digest) -> (usize, Digest) {
        let from_end = self.evidence.first().map_or(0, |evidence| {
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

    /// Returns the length of the longest series of crashes.
    pub(super) fn strength(&self) -> usize {
        self.series
    }

    /// Returns the number of crashes, or one if all of them happened at the same moment.
    ///
    /// Copies of a request may be under way at several processes at once, so that no copy is sent after the crash that another one
    /// causes. The loss of several upstreams at once looks the same, but for the moments of the crashes; clocks that differ set these
    /// apart, and a test has to tell then.
    pub(super) fn scattered(&self) -> usize {
        let mut pairs = self.evidence.windows(2);
        let is_one_moment = pairs.all(|pair| pair[1].crashed_at.since(pair[0].crashed_at) < MOMENT);
        let crashes = self.crash_names().len();
        if is_one_moment {
            crashes.min(1)
        } else {
            crashes
        }
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

    /// Returns whether this trait and that of `other` are different requests, of which the other one was hit by all crashes of this one.
    pub(super) fn is_rivalled_by(&self, other: &Self) -> bool {
        let both = self.is_request() && other.is_request() && self.accused != other.accused;
        both && self.crash_names().is_subset(&other.crash_names())
    }

    fn crash_names(&self) -> BTreeSet<&'a str> {
        self.crashes.iter().map(|(crash, _)| *crash).collect()
    }

    /// Returns when fewer than `crashes_min` crashes are left.
    pub(super) fn expiry(&self, crashes_min: usize) -> Millis {
        let mut by_crash: Map<&str, Millis> = Map::default();
        for one in &self.evidence {
            let expiry = by_crash.entry(&*one.crash).or_default();
            *expiry = one.expires_at.max(*expiry);
        }
        let mut expiries: Vec<Millis> = by_crash.into_values().collect();
        expiries.sort_unstable_by_key(|expiry| Reverse(*expiry));
        let last = expiries.get(crashes_min.saturating_sub(1));
        last.copied().unwrap_or_default()
    }
}

/// How far apart two readings of the same moment may lie: each is told by two clocks that count whole milliseconds.
const CLOCK_ROUNDING: Millis = Millis(1);

/// The longest series that is told from longer ones.
const SERIES_MAX: usize = 32;

/// Returns the length of the longest series of crashes of which each hit a request sent after the one before.
///
/// The loss of several upstreams at once is no evidence against what many callers send at that moment. Clocks of processes differ by
/// seconds, so that the order of crashes follows from what their senders knew, where that is recorded.
fn longest_series(evidence: &[&CrashEvidence]) -> usize {
    let mut lengths: Map<&str, usize> = Map::default();
    for one in evidence {
        if one.follows.is_none() {
            return longest_series_by_clock(evidence);
        }
        lengths.insert(&*one.crash, 1);
    }
    for _ in 1..SERIES_MAX {
        let mut changed = false;
        for one in evidence {
            let before = one.follows.iter().flatten();
            let before = before.filter_map(|crash| lengths.get(&**crash));
            let length = before
                .max()
                .map_or(1, |longest| longest + 1)
                .min(SERIES_MAX);
            let known = lengths.entry(&*one.crash).or_insert(1);
            changed |= length > *known;
            *known = length.max(*known);
        }
        if !changed {
            break;
        }
    }
    lengths.into_values().max().unwrap_or(0)
}

/// Returns the same by the times of the crashes, for evidence that does not tell what its sender knew.
fn longest_series_by_clock(evidence: &[&CrashEvidence]) -> usize {
    let mut length = 0;
    let mut last: Option<&CrashEvidence> = None;
    for one in evidence {
        let follows = |last: &CrashEvidence| {
            one.sent_at + CLOCK_ROUNDING >= last.crashed_at && one.crash != last.crash
        };
        if last.is_none_or(follows) {
            length += 1;
            last = Some(one);
        }
    }
    length
}
