//! Finds out which traits of requests crash upstreams.
//!
//! A trait of a request is its digest, or that of a part of its prompt that other requests share. A
//! crash is evidence against the traits of all requests that the upstream was about to answer; at most
//! one of these requests is at fault. A trait is a culprit once enough crashes have followed each other
//! and no request with it has been answered since the first of them.
//!
//! What has been answered before can hardly be at fault, and neither can a request be told from one that many callers send if no copy
//! of it was sent after the crash before. It is held back all the same while nothing is answered, but one request at a time is let
//! through to find out.

mod case;
mod evidence;
mod probes;

use std::collections::BTreeSet;
use std::sync::Arc;

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::Digest;

use case::Case;
pub use evidence::{
    Admission, CrashEvidence, CrashTally, Culprit, DoubtfulParts, ProbeClaim, Traits,
};
use probes::{TriedProbes, due_probe};

/// Settings of a [`CulpritFinder`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CulpritSettings {
    /// The number of crashes that make the digest of a request a culprit. One or two upstreams may have
    /// been about to crash anyway.
    pub request_crashes: usize,
    /// The number of crashes that make a part of a prompt a culprit.
    pub part_crashes: usize,
    /// The number of crashes that make the digest of a request a culprit though they do not follow each other, as long as they did
    /// not happen at the same moment.
    pub scattered_crashes: usize,
    /// The same for a part of a prompt that has never been answered. It is more, as requests with a popular part are at every upstream.
    pub scattered_part_crashes: usize,
    /// The wait after the last crash before a request is let through whose culprit may not be at fault.
    pub probe_delay: Millis,
    /// The maximum number of pieces of evidence.
    pub evidence_max: usize,
    /// The maximum number of parts of which the last answer is remembered.
    pub parts_max: usize,
}

impl Default for CulpritSettings {
    fn default() -> Self {
        Self {
            request_crashes: 3,
            part_crashes: 3,
            scattered_crashes: 3,
            scattered_part_crashes: 5,
            probe_delay: Millis(1_000),
            evidence_max: 1_024,
            parts_max: 4_096,
        }
    }
}

/// Crashes within this time of each other may have one cause, such as the loss of a rack. It is longer than what lies between the ends of
/// connections to upstreams of one rack, and shorter than most answers.
pub(crate) const MOMENT: Millis = Millis(5);

/// The most crashes that evidence names as known before.
const FOLLOWS_MAX: usize = 16;

/// Collects evidence and answers, and derives the culprits.
#[derive(Debug)]
pub struct CulpritFinder {
    settings: CulpritSettings,
    /// The evidence by name, with the time at which it became known here.
    evidence: Map<Arc<str>, (Millis, CrashEvidence)>,
    /// When a request with each part was last answered, and when a crash first spoke against the part
    /// after that.
    answers: Map<Digest, Answered>,
    /// The culprits; `None` if they have to be derived again.
    culprits: Option<Vec<Culprit>>,
    tried: TriedProbes,
}

#[derive(Debug, Clone, Copy)]
struct Answered {
    at: Millis,
    doubted_at: Option<Millis>,
}

impl CulpritFinder {
    /// Creates a finder without evidence.
    #[must_use]
    pub fn new(settings: CulpritSettings) -> Self {
        Self {
            settings,
            evidence: Map::default(),
            answers: Map::default(),
            culprits: None,
            tried: TriedProbes::default(),
        }
    }

    /// Returns whether there is no evidence.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty()
    }

    /// Returns how many crashes speak against a trait, and how many of them count.
    #[must_use]
    pub fn tally(&self, one: &Digest) -> CrashTally {
        let evidence = self.evidence.values().map(|(_, evidence)| evidence);
        let against = evidence.filter(|evidence| evidence.speaks_against(&[*one]));
        let against: Vec<&CrashEvidence> = against.collect();
        let known: BTreeSet<&str> = against.iter().map(|one| &*one.crash).collect();
        let known = known.len();
        let case = Case::new(*one, false, against);
        CrashTally {
            known,
            counted: case.strength().max(case.scattered()),
        }
    }

    /// Returns whether there is evidence against the request with this digest.
    #[must_use]
    pub fn is_suspect(&self, request: &Digest) -> bool {
        let mut evidence = self.evidence.values();
        evidence.any(|(_, evidence)| evidence.request == *request)
    }

    /// Returns the culprits.
    pub fn culprits(&mut self) -> &[Culprit] {
        if self.culprits.is_none() {
            self.culprits = Some(self.find_culprits());
        }
        self.culprits.as_deref().unwrap_or_default()
    }

    /// Returns until when a request with these traits is to be held back, by the wall clock; `None` if
    /// it is not. A probe is held back only for culprits that are at fault beyond doubt.
    pub fn held_until(&mut self, traits: Traits<'_>, is_probe: bool) -> Option<Millis> {
        let at_fault = |culprit: &&Culprit| culprit.traits.iter().all(|one| traits.contain(one));
        let culprits = self.culprits().iter().filter(at_fault);
        let culprits = culprits.filter(|culprit| !(is_probe && culprit.may_be_probed()));
        culprits.map(|culprit| culprit.until).max()
    }

    /// Decides at `now`, by the monotonic clock, whether a new request with these traits may run.
    pub fn admit(&mut self, now: Millis, traits: Traits<'_>) -> Admission {
        let Some(until) = self.held_until(traits, false) else {
            return Admission::Run;
        };
        if self.held_until(traits, true).is_some() {
            return Admission::Hold(until);
        }
        if let Some((name, traits)) = self.due_probe(now, traits)
            && self.tried.insert(now, &name)
        {
            return Admission::Probe(ProbeClaim {
                name,
                traits,
                held_until: until,
            });
        }
        Admission::Hold(until)
    }

    /// Records at `now`, by the monotonic clock, that nobody told whether the claim of a test was granted.
    pub fn record_unclaimed(&mut self, now: Millis, name: &str) {
        let retry_at = now + self.settings.probe_delay;
        self.tried.record_failure(name, retry_at);
    }

    /// Returns the name of the test that is due for a request, and the traits that it tells about.
    fn due_probe(&mut self, now: Millis, traits: Traits<'_>) -> Option<(Arc<str>, Vec<Digest>)> {
        let delay = self.settings.probe_delay;
        let at_fault = |culprit: &&Culprit| culprit.traits.iter().all(|one| traits.contain(one));
        let culprit = self.culprits().iter().find(at_fault).cloned()?;
        let name = due_probe(now, delay, &culprit, self.evidence.values())?;
        Some((name, culprit.traits))
    }

    /// Returns the newest crashes that speak against one of the traits and come before a crash at `crashed_at`: they were known when its
    /// request was sent, and lie a moment apart. Both times are those of the monotonic clock.
    pub(crate) fn crashes_before(
        &self,
        sent_at: Millis,
        crashed_at: Millis,
        traits: Traits<'_>,
    ) -> Vec<Arc<str>> {
        let latest = sent_at.min(crashed_at.since(MOMENT));
        let evidence = self.evidence.values();
        let before = evidence.filter(|(known_at, one)| {
            *known_at <= latest && one.traits().any(|own| traits.contain(own))
        });
        let mut newest: BTreeSet<(Millis, &Arc<str>)> = BTreeSet::new();
        for (known_at, one) in before {
            newest.insert((*known_at, &one.crash));
            if newest.len() > FOLLOWS_MAX {
                newest.pop_first();
            }
        }
        newest
            .into_iter()
            .map(|(_, crash)| Arc::clone(crash))
            .collect()
    }

    /// Records at `now`, by a monotonic clock, that a request with these parts has been answered.
    pub fn record_answer(&mut self, now: Millis, parts: &[Digest]) {
        for one in parts {
            if !self.answers.contains_key(one) {
                self.make_room_for_answer();
            }
            let answered = Answered {
                at: now,
                doubted_at: None,
            };
            self.answers.insert(*one, answered);
        }
        let accused = |culprit: &Culprit| culprit.traits.iter().any(|one| parts.contains(one));
        self.culprits
            .take_if(|culprits| culprits.iter().any(accused));
    }

    /// Returns those parts of a request's prompt that a crash speaks against.
    ///
    /// Left out are parts that have been answered before: they were there by chance, unless the
    /// request was sent after an earlier crash had cast doubt on them. `now` and `sent_at` are times of
    /// the monotonic clock.
    pub fn doubtful_parts(
        &mut self,
        now: Millis,
        sent_at: Millis,
        parts: &[Digest],
    ) -> DoubtfulParts {
        let mut doubtful = DoubtfulParts::default();
        for one in parts {
            let Some(answered) = self.answers.get_mut(one) else {
                doubtful.unanswered.push(*one);
                continue;
            };
            match answered.doubted_at {
                None => answered.doubted_at = Some(now),
                Some(doubted_at) if sent_at >= doubted_at => doubtful.answered.push(*one),
                Some(_) => {}
            }
        }
        doubtful
    }

    /// Adds evidence under a name, known since `now` by the monotonic clock; returns whether it is new.
    pub fn add(&mut self, now: Millis, name: Arc<str>, evidence: CrashEvidence) -> bool {
        if self.evidence.contains_key(&name) {
            return false;
        }
        if self.evidence.len() >= self.settings.evidence_max {
            self.remove_first_to_expire();
        }
        self.evidence.insert(name, (now, evidence));
        self.culprits = None;
        true
    }

    /// Removes the evidence under a name; returns whether there was any.
    pub fn remove(&mut self, name: &str) -> bool {
        let removed = self.evidence.remove(name).is_some();
        if removed {
            self.culprits = None;
        }
        removed
    }

    /// Removes the evidence that `matches`; returns its names.
    pub fn remove_where(&mut self, matches: impl Fn(&CrashEvidence) -> bool) -> Vec<Arc<str>> {
        let mut names = Vec::new();
        self.evidence.retain(|name, (_, evidence)| {
            let removed = matches(evidence);
            if removed {
                names.push(Arc::clone(name));
            }
            !removed
        });
        if !names.is_empty() {
            self.culprits = None;
        }
        names
    }

    fn remove_first_to_expire(&mut self) {
        let evidence = self.evidence.iter();
        let first = evidence.min_by_key(|(name, (_, evidence))| (evidence.expires_at, *name));
        if let Some(name) = first.map(|(name, _)| Arc::clone(name)) {
            self.evidence.remove(&name);
        }
    }

    fn make_room_for_answer(&mut self) {
        if self.answers.len() < self.settings.parts_max {
            return;
        }
        let answers = self.answers.iter();
        let oldest = answers.min_by_key(|(one, answered)| (answered.at, **one));
        if let Some(one) = oldest.map(|(one, _)| *one) {
            self.answers.remove(&one);
        }
    }

    /// Derives the culprits: the trait with the strongest evidence explains the crashes that speak
    /// against it, and the next one has to stand on those that are left.
    fn find_culprits(&self) -> Vec<Culprit> {
        let mut explained: BTreeSet<Arc<str>> = BTreeSet::new();
        let mut culprits = Vec::new();
        loop {
            let strongest = self.strongest_culprits(&explained);
            if strongest.is_empty() {
                return culprits;
            }
            for culprit in &strongest {
                let evidence = self.evidence.values();
                let against = evidence.filter(|(_, one)| one.speaks_against(&culprit.traits));
                explained.extend(against.map(|(_, one)| Arc::clone(&one.crash)));
            }
            culprits.extend(strongest);
        }
    }

    /// Returns the culprit with the strongest evidence. A request comes with those that were hit by all of its crashes too, as nothing
    /// tells which of them is at fault.
    fn strongest_culprits(&self, explained: &BTreeSet<Arc<str>>) -> Vec<Culprit> {
        let cases = self.cases(explained);
        let enough = |case: &&Case<'_>| self.is_in_series(case) || self.is_scattered(case);
        let strongest = cases.values().filter(enough).max_by_key(|case| case.rank());
        let Some(strongest) = strongest else {
            return Vec::new();
        };
        let is_rival = |case: &&Case<'_>| strongest.is_rivalled_by(case);
        let rivals: Vec<&Case<'_>> = cases.values().filter(enough).filter(is_rival).collect();
        let in_series = self.is_in_series(strongest) && rivals.is_empty();
        let culprit = |case: &&Case<'_>| {
            let same = cases.values().filter(|one| one.is_like(case));
            // Rivals are told apart by their requests, so that each stands for itself.
            let same = same.filter(|one| !one.is_request() || one.accused() == case.accused());
            let mut traits: Vec<Digest> = same.map(|one| one.accused()).collect();
            traits.sort_unstable_by_key(|one| case.position(one));
            let crashes_min = match in_series {
                true => self.crashes_min(case),
                false => self.scattered_min(case),
            };
            Culprit {
                traits,
                until: case.expiry(crashes_min),
                answered: case.is_answered(),
                in_series,
            }
        };
        let all = std::iter::once(&strongest).chain(&rivals);
        all.map(culprit).collect()
    }

    fn is_in_series(&self, case: &Case<'_>) -> bool {
        case.strength() >= self.crashes_min(case)
    }

    /// Returns whether a trait has crashed enough upstreams, though the crashes do not follow each other.
    fn is_scattered(&self, case: &Case<'_>) -> bool {
        let may_be_at_fault = case.is_request() || !case.is_answered();
        may_be_at_fault && case.scattered() >= self.scattered_min(case)
    }

    fn scattered_min(&self, case: &Case<'_>) -> usize {
        match case.is_request() {
            true => self.settings.scattered_crashes,
            false => self.settings.scattered_part_crashes,
        }
    }

    fn crashes_min(&self, case: &Case<'_>) -> usize {
        match case.is_request() {
            true => self.settings.request_crashes,
            false => self.settings.part_crashes,
        }
    }

    /// Returns the cases against all traits: the evidence that is not explained yet and that no later
    /// answer refutes.
    fn cases(&self, explained: &BTreeSet<Arc<str>>) -> Map<Digest, Case<'_>> {
        let mut by_trait: Map<Digest, Vec<&CrashEvidence>> = Map::default();
        for (learned_at, evidence) in self.evidence.values() {
            if explained.contains(&evidence.crash) {
                continue;
            }
            for one in evidence.traits() {
                let answered = self.answers.get(one);
                if answered.is_none_or(|answered| answered.at < *learned_at) {
                    by_trait.entry(*one).or_default().push(evidence);
                }
            }
        }
        let case = |(one, evidence)| {
            (
                one,
                Case::new(one, self.answers.contains_key(&one), evidence),
            )
        };
        by_trait.into_iter().map(case).collect()
    }
}
