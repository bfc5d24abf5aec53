//! The nodes that one node knows, itself included.

use std::collections::BTreeMap;

use sardinepin_common::{Millis, rendezvous_order};

use crate::message::{MemberState, MemberUpdate};
use crate::record::Record;
use crate::ring::{Ring, digest_of};

/// What merging a statement did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Merged {
    /// It was known, or older than what is known.
    Nothing,
    /// It is new, and to be sent on.
    Newer {
        /// The state before, if the same process was known.
        before: Option<MemberState>,
    },
    /// It says something wrong of this node, which has raised its own version.
    Refuted,
    /// There is no room for another node.
    Full,
}

/// The nodes by name, and what follows from them.
#[derive(Debug)]
pub(crate) struct Table {
    /// This node.
    pub(crate) me: MemberUpdate,
    /// The others.
    pub(crate) others: BTreeMap<String, Record>,
    /// Those of the own zone that are present.
    pub(crate) near: Ring,
    /// Those of other zones that are present.
    pub(crate) far: Ring,
    /// A digest of all that are present.
    pub(crate) seen: u64,
    /// Whether the rings and the digest are out of date.
    stale: bool,
    members_max: usize,
}

impl Table {
    /// Begins a table that holds only this node.
    pub(crate) fn new(me: MemberUpdate, members_max: usize) -> Self {
        Self {
            me,
            others: BTreeMap::new(),
            near: Ring::default(),
            far: Ring::default(),
            seen: 0,
            stale: true,
            members_max,
        }
    }

    /// Takes a statement about any node.
    pub(crate) fn merge(&mut self, now: Millis, update: &MemberUpdate) -> Merged {
        if update.name == self.me.name {
            return self.merge_own(update);
        }
        if let Some(record) = self.others.get_mut(&update.name) {
            if !update.supersedes(&record.update) {
                return Merged::Nothing;
            }
            let same = update.incarnation == record.update.incarnation;
            let before = same.then_some(record.update.state);
            record.replace(now, update.clone());
            self.stale = true;
            return Merged::Newer { before };
        }
        if self.others.len() >= self.members_max {
            return Merged::Full;
        }
        self.others
            .insert(update.name.clone(), Record::new(now, update.clone()));
        self.stale = true;
        Merged::Newer { before: None }
    }

    /// Takes a statement about this node: what is wrong is answered with a higher version.
    fn merge_own(&mut self, update: &MemberUpdate) -> Merged {
        let own = update.incarnation == self.me.incarnation;
        let known = own && update.version == self.me.version && update.state <= self.me.state;
        if known || update.version < self.me.version {
            return Merged::Nothing;
        }
        self.me.version = update.version.saturating_add(1);
        Merged::Refuted
    }

    /// Sets another node's state by this node's own judgement.
    pub(crate) fn judge(&mut self, now: Millis, name: &str, state: MemberState) -> bool {
        let Some(record) = self.others.get_mut(name) else {
            return false;
        };
        if record.update.state >= state {
            return false;
        }
        record.update.state = state;
        record.since = now;
        self.stale = true;
        true
    }

    /// Changes this node's own state.
    pub(crate) fn change_own(&mut self, state: MemberState) {
        self.me.state = state;
        self.me.version = self.me.version.saturating_add(1);
        self.stale = true;
    }

    /// Forgets nodes that went before `limit`.
    pub(crate) fn forget(&mut self, limit: Millis) {
        self.others
            .retain(|_, record| record.is_present() || record.since >= limit);
    }

    /// Returns the statement about a node.
    pub(crate) fn update(&self, name: &str) -> Option<&MemberUpdate> {
        if name == self.me.name {
            return Some(&self.me);
        }
        self.others.get(name).map(|record| &record.update)
    }

    /// Returns the number of nodes that are present, this one included.
    pub(crate) fn size(&self) -> usize {
        1 + self.near.len() + self.far.len()
    }

    /// Brings the rings and the digest up to date; returns whether anything had changed.
    pub(crate) fn refresh(&mut self) -> bool {
        if !std::mem::take(&mut self.stale) {
            return false;
        }
        self.near = Ring::new(self.names(true));
        self.far = Ring::new(self.names(false));
        self.seen = self
            .present()
            .map(fingerprint)
            .fold(fingerprint(&self.me), |all, one| all ^ one);
        true
    }

    fn present(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.others
            .values()
            .filter(|record| record.is_present())
            .map(|record| &record.update)
    }

    fn names(&self, near: bool) -> impl Iterator<Item = String> {
        self.present()
            .filter(move |update| (update.zone == self.me.zone) == near)
            .map(|update| update.name.clone())
    }

    /// Returns whether this node is among the `count` of its zone that are to watch the platform.
    pub(crate) fn is_watcher(&self, count: usize) -> bool {
        if self.me.state != MemberState::Alive {
            return false;
        }
        let mut names: Vec<&str> = self
            .others
            .values()
            .filter(|record| record.update.state == MemberState::Alive)
            .filter(|record| record.update.zone == self.me.zone)
            .map(|record| record.update.name.as_str())
            .collect();
        names.push(&self.me.name);
        rendezvous_order(&("watch", self.me.zone.as_str()), &names)
            .into_iter()
            .take(count)
            .any(|at| names[at] == self.me.name)
    }

    /// Returns every statement, this node's own first.
    pub(crate) fn updates(&self) -> Vec<MemberUpdate> {
        let mut all = vec![self.me.clone()];
        all.extend(self.others.values().map(|record| record.update.clone()));
        all
    }
}

/// A suspicion is no difference between tables: it settles by itself.
fn fingerprint(update: &MemberUpdate) -> u64 {
    let leaving = update.state == MemberState::Leaving;
    digest_of(&(update.name.as_str(), update.incarnation, leaving))
}
