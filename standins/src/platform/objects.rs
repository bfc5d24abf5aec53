//! Objects with revisions, and the history of all writes, from which stale reads are served.

use std::collections::BTreeMap;

use sardinepin_common::Revision;
use sardinepin_store::{Listing, Object, Precondition};

/// The largest value that is accepted, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// A conditional write.
#[derive(Debug)]
pub(super) struct Write {
    pub(super) key: String,
    pub(super) precondition: Precondition,
    pub(super) write_id: String,
    pub(super) value: Option<String>,
}

/// The result of a conditional write.
#[derive(Debug)]
pub(super) enum WriteResult {
    /// The write was applied; holds the new object.
    Done(Object),
    /// The precondition did not hold; holds the current object.
    Conflict(Object),
    /// A revision was expected, but the key does not exist.
    Missing,
    /// The value exceeds the size limit.
    TooLarge,
}

/// The objects, with their history.
#[derive(Debug, Default)]
pub(super) struct Objects {
    /// All writes in order; that of revision `r` has the index `r - 1`.
    history: Vec<Object>,
    /// The index in `history` of the last write of each key, including deletions.
    latest: BTreeMap<String, usize>,
}

impl Objects {
    /// Returns the revision of the last write.
    pub(super) fn revision(&self) -> Revision {
        Revision(self.history.len() as u64)
    }

    /// Applies a write if its precondition holds.
    pub(super) fn write(&mut self, write: Write) -> WriteResult {
        if write
            .value
            .as_ref()
            .is_some_and(|value| value.len() > MAX_VALUE_BYTES)
        {
            return WriteResult::TooLarge;
        }
        let current = self.get(&write.key, self.revision());
        match (write.precondition, current) {
            (Precondition::Absent, Some(found)) => return WriteResult::Conflict(found),
            (Precondition::Revision(_), None) => return WriteResult::Missing,
            (Precondition::Revision(expected), Some(found)) if found.revision != expected => {
                return WriteResult::Conflict(found);
            }
            _ => {}
        }
        let object = Object {
            key: write.key.clone(),
            revision: Revision(self.revision().0 + 1),
            write_id: write.write_id,
            value: write.value,
        };
        self.latest.insert(write.key, self.history.len());
        self.history.push(object.clone());
        WriteResult::Done(object)
    }

    /// Returns the object at `key` as of revision `at`; a deleted object counts as absent.
    pub(super) fn get(&self, key: &str, at: Revision) -> Option<Object> {
        self.as_of(key, at)
            .filter(|object| object.value.is_some())
            .cloned()
    }

    /// Returns the objects whose key starts with `prefix` as of revision `at`.
    pub(super) fn list(&self, prefix: &str, at: Revision) -> Listing {
        let mut listing = self.changes(prefix, Revision(0), at);
        listing.objects.retain(|object| object.value.is_some());
        listing
    }

    /// Returns, for each key that starts with `prefix`, its last write up to revision `at` if that
    /// is after `after`.
    pub(super) fn changes(&self, prefix: &str, after: Revision, at: Revision) -> Listing {
        let objects = self
            .latest
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter_map(|(key, _)| self.as_of(key, at))
            .filter(|object| object.revision > after)
            .cloned()
            .collect();
        Listing {
            revision: at,
            objects,
        }
    }

    /// Returns the last write of `key` up to revision `at`.
    fn as_of(&self, key: &str, at: Revision) -> Option<&Object> {
        let last = self.history.get(*self.latest.get(key)?)?;
        if last.revision <= at {
            return Some(last);
        }
        let visible = usize::try_from(at.0).ok()?;
        self.history
            .get(..visible)?
            .iter()
            .rev()
            .find(|object| object.key == key)
    }
}
