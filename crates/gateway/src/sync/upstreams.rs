//! The list of upstreams that a gateway uses, built from batches of the store.

use std::net::SocketAddr;
use std::sync::Arc;

use sardinepin_common::{Map, Millis, Set};

use crate::store::{ObjectBatch, StoredObject};
use crate::sync::cold_entry::ColdEntry;
use crate::sync::departures::Departures;
use crate::sync::doubt::Doubt;
use sardinepin_decisions::direct::UpstreamSpec;

/// One entry of the list.
#[derive(Debug)]
struct Entry {
    /// What the entry says, except how much longer the upstream is cold.
    spec: UpstreamSpec,
    cold: ColdEntry,
    revision: u64,
    /// When the entry is removed unless the store lists it again; `None` while it is listed.
    expires_at: Option<Millis>,
    /// Set while the entry may be outdated: it was read from an older copy of the store after the upstream had left,
    /// and neither has it been written since nor has the upstream said that it is there.
    doubt: Option<Doubt>,
}

impl Entry {
    /// Returns whether the entry is used once its upstream says that it is there.
    fn may_confirm(&self) -> bool {
        self.expires_at.is_none() && !self.spec.draining
    }

    fn spec_at(&self, now: Millis) -> UpstreamSpec {
        UpstreamSpec {
            cold_remaining: self.cold.remaining(now),
            ..self.spec.clone()
        }
    }
}

/// The list of upstreams that a gateway uses.
///
/// Entries may expire while the store is unavailable, so entries that are missing soon after it
/// recovers are kept for a grace period.
#[derive(Debug)]
pub struct UpstreamList {
    entries: Map<Arc<str>, Entry>,
    grace: Millis,
    /// The end of the grace period, in which missing entries are kept.
    grace_until: Millis,
    /// The processes that were removed from the list and have not been listed since.
    departures: Departures,
    /// The services that the configuration has named since this list was created; empty before it is known.
    services: Set<Arc<str>>,
    /// The entries of services that it has not named.
    unnamed: Set<Arc<str>>,
    changed: bool,
    /// The upstreams that are cold for another time than before.
    cold_changed: Set<Arc<str>>,
}

impl UpstreamList {
    /// Creates an empty list that keeps missing entries for `grace` after the store came back from an older copy.
    #[must_use]
    pub fn new(grace: Millis) -> Self {
        Self {
            entries: Map::default(),
            grace,
            grace_until: Millis::ZERO,
            departures: Departures::default(),
            services: Set::default(),
            unnamed: Set::default(),
            changed: false,
            cold_changed: Set::default(),
        }
    }

    /// Keeps upstreams until `grace_end` that are missing, as the store responds again.
    pub fn keep_missing_until(&mut self, grace_end: Millis) {
        self.grace_until = grace_end;
    }

    /// Adds services that the configuration names. From then on, entries of services that it has never named are not used.
    pub fn add_services<'a>(&mut self, names: impl IntoIterator<Item = &'a Arc<str>>) {
        let known = self.services.len();
        self.services.extend(names.into_iter().map(Arc::clone));
        self.changed |= self.services.len() != known;
    }

    /// Replaces the list by a full read.
    pub fn replace_all(&mut self, now: Millis, items: Vec<StoredObject<UpstreamSpec>>) {
        self.changed = true;
        let listed: Map<Arc<str>, ()> = items
            .iter()
            .map(|item| (Arc::clone(&item.name), ()))
            .collect();
        let missing: Vec<Arc<str>> = self
            .entries
            .keys()
            .filter(|name| !listed.contains_key(*name))
            .map(Arc::clone)
            .collect();
        for name in missing {
            self.remove(now, &name);
        }
        self.apply_changes(now, items);
    }

    /// Replaces the list by the first full read since the store came back from an older copy.
    ///
    /// Revisions start again. Entries may be missing until their upstreams write them again, and entries of upstreams that have left may
    /// be back: these get no requests unless they are written after the restore, or their upstreams say that they are there. An upstream
    /// whose entry had lapsed and was listed again before the restore has not left: it writes what the copy holds, which changes no
    /// revision.
    pub fn replace_after_restore(&mut self, now: Millis, batch: ObjectBatch<UpstreamSpec>) {
        log::info!(event = "store_restored", era = batch.era, revision = batch.revision; "the store came back from an older copy");
        self.keep_missing_until(now + self.grace);
        for entry in self.entries.values_mut() {
            entry.revision = 0;
        }
        let outdated: Vec<Arc<str>> = batch
            .items
            .iter()
            .filter(|item| self.has_departed(item))
            .map(|item| Arc::clone(&item.name))
            .collect();
        self.replace_all(now, batch.items);
        for name in outdated {
            if let Some(entry) = self.entries.get_mut(&name) {
                entry.doubt = Some(Doubt::new(now));
            }
        }
    }

    /// Returns whether an entry of an older copy is of a process that had left, as far as this gateway knows.
    fn has_departed(&self, item: &StoredObject<UpstreamSpec>) -> bool {
        let Some(spec) = &item.value else {
            return false;
        };
        match self.entries.get(&item.name) {
            Some(entry) => entry.doubt.is_some() && is_same_lifetime(&entry.spec, spec),
            None => self.departures.contains(&item.name, spec),
        }
    }

    /// Applies the changes of a watch.
    pub fn apply_changes(&mut self, now: Millis, items: Vec<StoredObject<UpstreamSpec>>) {
        for item in items {
            match item.value {
                Some(spec) => self.insert(now, item.name, item.revision, spec),
                None if item.is_unreadable => self.remove_unreadable(&item.name, item.revision),
                None => self.remove(now, &item.name),
            }
        }
    }

    fn insert(&mut self, now: Millis, name: Arc<str>, revision: u64, mut spec: UpstreamSpec) {
        let cold_remaining = spec.cold_remaining.take();
        if let Some(entry) = self.entries.get_mut(&name) {
            if revision < entry.revision {
                return;
            }
            // Another writer may leave out when the process started, which is no sign of another process.
            if spec.started_at == 0 && spec.address == entry.spec.address {
                spec.started_at = entry.spec.started_at;
            }
            // An entry that is only read again says nothing new: neither that its upstream is back, nor for how long it is cold.
            let is_rewritten = revision > entry.revision;
            if is_rewritten && entry.doubt.take().is_some() {
                self.changed = true;
            }
            entry.revision = revision;
            entry.expires_at = None;
            if !is_same_process(&entry.spec, &spec) {
                entry.cold = ColdEntry::new(now, cold_remaining);
            } else if is_rewritten && entry.cold.update(now, cold_remaining) {
                self.cold_changed.insert(Arc::clone(&name));
            }
            // An upstream that drains never goes back to work, so an entry that says so is older.
            let spec = UpstreamSpec {
                draining: spec.draining
                    || (entry.spec.draining && is_same_process(&entry.spec, &spec)),
                ..spec
            };
            if entry.spec != spec {
                log_change(&spec);
                entry.spec = spec;
                self.changed = true;
            }
            return;
        }
        log_change(&spec);
        self.changed = true;
        self.departures.remove(&name);
        let entry = Entry {
            spec,
            cold: ColdEntry::new(now, cold_remaining),
            revision,
            expires_at: None,
            doubt: None,
        };
        self.entries.insert(name, entry);
    }

    /// Removes the entry that one replaces which cannot be decoded.
    ///
    /// The upstream has not left: its entry is not kept for the grace period, and one that can be decoded counts at once.
    fn remove_unreadable(&mut self, name: &Arc<str>, revision: u64) {
        let is_older = |entry: &Entry| 0 < revision && revision < entry.revision;
        if self.entries.get(name).is_none_or(is_older) {
            return;
        }
        self.entries.remove(name);
        self.changed = true;
        metrics::counter!("sardinepin_unreadable_entries_total").increment(1);
        log::warn!(event = "upstream_unreadable", upstream = &**name, revision = revision; "the entry of an upstream cannot be decoded; it is not used");
    }

    fn remove(&mut self, now: Millis, name: &Arc<str>) {
        if now >= self.grace_until {
            if let Some(entry) = self.entries.remove(name) {
                self.departures.insert(now, name, &entry.spec);
                self.changed = true;
                log::info!(event = "upstream_gone", upstream = &**name; "upstream removed from the list");
            }
            return;
        }
        if let Some(entry) = self.entries.get_mut(name)
            && entry.expires_at.is_none()
        {
            entry.expires_at = Some(self.grace_until);
            metrics::counter!("sardinepin_upstreams_kept_total").increment(1);
            log::info!(event = "upstream_kept", upstream = &**name, for_ms = self.grace_until.since(now).0; "upstream is missing from the list; it is kept for the grace period");
        }
    }

    /// Returns when the next upstream has to be asked whether it is there.
    #[must_use]
    pub fn next_question(&self, lapse: Millis) -> Option<Millis> {
        let doubted = self.entries.values().filter(|entry| entry.may_confirm());
        let doubts = doubted.filter_map(|entry| entry.doubt);
        doubts.map(|doubt| doubt.next_question(lapse)).min()
    }

    /// Returns the upstreams that have to be asked now whether they are there, as their entries may be outdated; at most `count`.
    ///
    /// `lapse` is how long the entry of an upstream that has left stays listed, and `complete_at` is when the list was last
    /// known to be complete. An upstream that is still listed then, and says that it is there, has not left.
    pub fn take_questions(
        &mut self,
        now: Millis,
        lapse: Millis,
        complete_at: Millis,
        count: usize,
    ) -> Vec<UpstreamSpec> {
        let doubted = self.entries.values_mut();
        let doubted = doubted.filter(|entry| entry.may_confirm());
        let asked = doubted.filter_map(|entry| {
            let doubt = entry.doubt.as_mut()?;
            doubt
                .take_question(now, lapse, complete_at)
                .then(|| entry.spec.clone())
        });
        asked.take(count).collect()
    }

    /// Uses an upstream again that has said that it is there; `asked` is the entry for which it was asked.
    pub fn confirm(&mut self, asked: &UpstreamSpec) {
        let Some(entry) = self.entries.get_mut(&asked.id) else {
            return;
        };
        if entry.may_confirm()
            && is_same_process(&entry.spec, asked)
            && entry.doubt.take().is_some()
        {
            self.changed = true;
            metrics::counter!("sardinepin_upstreams_confirmed_total").increment(1);
            log::info!(event = "upstream_confirmed", upstream = &*asked.id; "an upstream whose entry may be outdated is there; it is used");
        }
    }

    /// Returns when the first upstream that is kept has to be removed.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Millis> {
        let kept = self.entries.values().filter_map(|entry| entry.expires_at);
        kept.min()
    }

    /// Returns the list if it has changed since the last call.
    pub fn take_changed(&mut self, now: Millis) -> Option<Vec<UpstreamSpec>> {
        let before = self.entries.len();
        let departures = &mut self.departures;
        self.entries.retain(|name, entry| {
            let kept = entry.expires_at.is_none_or(|at| now < at);
            if !kept {
                departures.insert(now, name, &entry.spec);
                log::info!(event = "upstream_gone", upstream = &**name; "upstream removed from the list after the grace period");
            }
            kept
        });
        departures.remove_old(now);
        self.changed |= self.entries.len() != before;
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        self.cold_changed.clear();
        self.log_unnamed();
        Some(self.specs(now))
    }

    /// Returns the upstreams that have been cold for another time than before since the last call, or since the list was taken.
    pub fn take_cold_changed(&mut self, now: Millis) -> Vec<UpstreamSpec> {
        let names = std::mem::take(&mut self.cold_changed);
        let entries = names.iter().filter_map(|name| self.entries.get(name));
        entries.map(|entry| entry.spec_at(now)).collect()
    }

    /// Returns whether an entry is of a service that the configuration has named.
    fn is_named(&self, entry: &Entry) -> bool {
        self.services.is_empty() || self.services.contains(&entry.spec.service)
    }

    /// Logs each entry once whose service the configuration has not named.
    fn log_unnamed(&mut self) {
        let entries = self.entries.iter();
        let unnamed = entries.filter(|(_, entry)| !self.is_named(entry));
        let unnamed: Set<Arc<str>> = unnamed.map(|(name, _)| Arc::clone(name)).collect();
        for name in unnamed.difference(&self.unnamed) {
            let service = self.entries.get(name).map(|entry| &*entry.spec.service);
            metrics::counter!("sardinepin_unnamed_services_total").increment(1);
            log::warn!(
                event = "service_unnamed", upstream = &**name, service = service;
                "the configuration does not name the service of an upstream; it is not used"
            );
        }
        self.unnamed = unnamed;
    }

    /// Returns the entries of the services that the configuration names. Of several with the same address, all but the newest are marked
    /// as draining.
    ///
    /// A process that restarts at the address of a crashed one is listed beside it until the old
    /// entry expires.
    fn specs(&self, now: Millis) -> Vec<UpstreamSpec> {
        let mut newest: Map<SocketAddr, u64> = Map::default();
        let used = || self.entries.values().filter(|entry| self.is_named(entry));
        // An upstream that may have left has no claim to its address.
        for entry in used().filter(|entry| entry.doubt.is_none()) {
            let revision = newest.entry(entry.spec.address).or_default();
            *revision = entry.revision.max(*revision);
        }
        let specs = used().map(|entry| {
            let mut spec = entry.spec_at(now);
            let is_newest = newest.get(&spec.address) == Some(&entry.revision);
            spec.draining |= !is_newest || entry.doubt.is_some();
            spec
        });
        specs.collect()
    }
}

/// Returns whether two entries of a name are of one lifetime of its process. An entry that does not say when the process started is no
/// sign of another one at the same address.
pub(super) fn is_same_lifetime(one: &UpstreamSpec, other: &UpstreamSpec) -> bool {
    let is_unsaid = one.started_at == 0 || other.started_at == 0;
    one.started_at == other.started_at || is_unsaid && one.address == other.address
}

fn is_same_process(one: &UpstreamSpec, other: &UpstreamSpec) -> bool {
    one.started_at == other.started_at && one.address == other.address
}

fn log_change(spec: &UpstreamSpec) {
    log::info!(
        event = "upstream", upstream = &*spec.id, service = &*spec.service, zone = &*spec.zone,
        leaving = spec.draining, born = spec.started_at;
        "upstream added or changed"
    );
}
