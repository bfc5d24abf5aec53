//! The table of all nodes that a node knows, itself included.

use std::collections::BTreeMap;

use sardinepin_common::{Millis, rendezvous_order};

use crate::member_record::MemberRecord;
use crate::message::{MemberState, MemberUpdate};
use crate::ring::{Ring, digest_of};

/// The effect of merging an update into the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MergeResult {
    /// The update was known already, or older than the current one.
    Unchanged,
    /// The update is new and must be sent on.
    Applied {
        /// The previous state, if the same incarnation was known.
        previous: Option<MemberState>,
    },
    /// The update was wrong about the local node, which has raised its own version.
    Refuted,
    /// The table has no room for another node.
    Full,
}

/// All known nodes, with the rings and the digest derived from them.
#[derive(Debug)]
pub(crate) struct Table {
    /// The local node.
    pub(crate) local: MemberUpdate,
    /// All other nodes, by name.
    pub(crate) others: BTreeMap<String, MemberRecord>,
    /// Other nodes of the local zone that are present.
    pub(crate) same_zone: Ring,
    /// Nodes of other zones that are present.
    pub(crate) other_zones: Ring,
    /// A digest of all nodes that are present, the local one included.
    pub(crate) digest: u64,
    /// Whether the rings and the digest are out of date.
    stale: bool,
    members_max: usize,
}

impl Table {
    /// Creates a table that holds only the local node.
    pub(crate) fn new(local: MemberUpdate, members_max: usize) -> Self {
        Self {
            local,
            others: BTreeMap::new(),
            same_zone: Ring::default(),
            other_zones: Ring::default(),
            digest: 0,
            stale: true,
            members_max,
        }
    }

    /// Merges an update about any node.
    pub(crate) fn merge(&mut self, now: Millis, update: &MemberUpdate) -> MergeResult {
        if update.name == self.local.name {
            return self.merge_local(update);
        }
        if let Some(record) = self.others.get_mut(&update.name) {
            if !update.supersedes(&record.update) {
                return MergeResult::Unchanged;
            }
            let same = update.incarnation == record.update.incarnation;
            let previous = same.then_some(record.update.state);
            record.replace(now, update.clone());
            self.stale = true;
            return MergeResult::Applied { previous };
        }
        if self.others.len() >= self.members_max {
            return MergeResult::Full;
        }
        self.others
            .insert(update.name.clone(), MemberRecord::new(now, update.clone()));
        self.stale = true;
        MergeResult::Applied { previous: None }
    }

    /// Merges an update about the local node; a wrong one is refuted by raising the local version
    /// above it.
    fn merge_local(&mut self, update: &MemberUpdate) -> MergeResult {
        let own = update.incarnation == self.local.incarnation;
        let known = own && update.version == self.local.version && update.state <= self.local.state;
        if known || update.version < self.local.version {
            return MergeResult::Unchanged;
        }
        self.local.version = update.version.saturating_add(1);
        MergeResult::Refuted
    }

    /// Sets another node's state if `state` is later than its current one; returns whether it was
    /// set.
    ///
    /// The version stays, since only the node itself may raise it.
    pub(crate) fn advance_state(&mut self, now: Millis, name: &str, state: MemberState) -> bool {
        let Some(record) = self.others.get_mut(name) else {
            return false;
        };
        if record.update.state >= state {
            return false;
        }
        record.update.state = state;
        record.state_since = now;
        self.stale = true;
        true
    }

    /// Sets the local node's state and raises its version.
    pub(crate) fn set_local_state(&mut self, state: MemberState) {
        self.local.state = state;
        self.local.version = self.local.version.saturating_add(1);
        self.stale = true;
    }

    /// Removes nodes that have been gone since before `limit`.
    pub(crate) fn remove_gone(&mut self, limit: Millis) {
        self.others
            .retain(|_, record| record.is_present() || record.state_since >= limit);
    }

    /// Returns the current update about a node.
    pub(crate) fn update(&self, name: &str) -> Option<&MemberUpdate> {
        if name == self.local.name {
            return Some(&self.local);
        }
        self.others.get(name).map(|record| &record.update)
    }

    /// Returns the number of nodes that are present, the local one included.
    pub(crate) fn present_count(&self) -> usize {
        1 + self.same_zone.len() + self.other_zones.len()
    }

    /// Rebuilds the rings and the digest if they are out of date; returns whether they were.
    pub(crate) fn refresh(&mut self) -> bool {
        if !std::mem::take(&mut self.stale) {
            return false;
        }
        self.same_zone = Ring::new(self.present_names(true));
        self.other_zones = Ring::new(self.present_names(false));
        self.digest = self
            .present()
            .map(fingerprint)
            .fold(fingerprint(&self.local), |digest, one| digest ^ one);
        true
    }

    fn present(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.others
            .values()
            .filter(|record| record.is_present())
            .map(|record| &record.update)
    }

    fn present_names(&self, same_zone: bool) -> impl Iterator<Item = String> {
        self.present()
            .filter(move |update| (update.zone == self.local.zone) == same_zone)
            .map(|update| update.name.clone())
    }

    /// Returns whether the local node is one of the `count` nodes of its zone that watch the
    /// platform.
    pub(crate) fn is_watcher(&self, count: usize) -> bool {
        if self.local.state != MemberState::Alive {
            return false;
        }
        let mut names: Vec<&str> = self
            .others
            .values()
            .filter(|record| record.update.state == MemberState::Alive)
            .filter(|record| record.update.zone == self.local.zone)
            .map(|record| record.update.name.as_str())
            .collect();
        names.push(&self.local.name);
        rendezvous_order(&("watch", self.local.zone.as_str()), &names)
            .into_iter()
            .take(count)
            .any(|index| names[index] == self.local.name)
    }

    /// Returns the current updates about all nodes, the local one first.
    pub(crate) fn updates(&self) -> Vec<MemberUpdate> {
        let mut updates = vec![self.local.clone()];
        updates.extend(self.others.values().map(|record| record.update.clone()));
        updates
    }
}

/// Returns a node's part of the table digest.
///
/// A suspected node counts like an alive one: tables that differ only in a suspicion need no sync,
/// because the suspicion ends by itself.
fn fingerprint(update: &MemberUpdate) -> u64 {
    let leaving = update.state == MemberState::Leaving;
    digest_of(&(update.name.as_str(), update.incarnation, leaving))
}
