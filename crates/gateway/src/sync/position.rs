//! The position from which the next watch of the store continues.

use sardinepin_common::Millis;

use crate::store::ObjectBatch;

/// What to do with a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BatchUse {
    /// It holds all objects.
    Replace,
    /// It holds all objects, and is the first full read since the store came back from an older
    /// copy: objects may be missing or outdated until they are written again.
    ReplaceAfterRestore,
    /// It holds the changes since the last batch.
    Apply,
    /// It cannot be combined with the earlier batches; read all objects again.
    Discard,
}

/// The era and the revision of the last batch.
///
/// A store that comes back from an older copy assigns revisions again, so that a watch from a
/// revision of an earlier era may miss changes without an error.
#[derive(Debug, Default)]
pub(super) struct Position {
    era: Option<u64>,
    /// `None` if the next call has to read all objects.
    revision: Option<u64>,
    /// Whether the era has risen since the last full read.
    restored: bool,
    /// When the last batch was received that cannot lack changes.
    complete_at: Option<Millis>,
    /// Whether the last batch held no objects, although the store's revision had risen.
    moved_on: bool,
}

impl Position {
    /// Returns the revision from which to watch; `None` if all objects have to be read.
    pub(super) fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Returns when the last batch was received that cannot lack changes; `None` before the first one.
    pub(super) fn complete_at(&self) -> Option<Millis> {
        self.complete_at
    }

    /// Returns whether the last batch may lack changes: it held none, although the store has moved on.
    pub(super) fn may_lack_changes(&self) -> bool {
        self.moved_on
    }

    /// Requires a full read.
    pub(super) fn reset(&mut self) {
        self.revision = None;
    }

    /// Records a batch that was received at `now`, and returns what to do with it.
    pub(super) fn advance<T>(&mut self, now: Millis, batch: &ObjectBatch<T>) -> BatchUse {
        let known = self.era.unwrap_or(batch.era);
        if batch.era < known {
            // A late response from before the store came back.
            self.reset();
            return BatchUse::Discard;
        }
        self.era = Some(batch.era);
        if batch.era > known {
            self.restored = true;
            if self.revision.take().is_some() {
                return BatchUse::Discard;
            }
        }
        let full_read = self.revision.is_none();
        // A watch may return nothing although there were changes, while the store drops its
        // history. The revision therefore only advances with a batch that holds objects, so that
        // such changes are returned later or are read again.
        self.moved_on =
            !full_read && batch.items.is_empty() && self.revision != Some(batch.revision);
        if full_read || !batch.items.is_empty() {
            self.revision = Some(batch.revision);
        }
        if !self.moved_on {
            self.complete_at = Some(now);
        }
        match (full_read, std::mem::take(&mut self.restored)) {
            (true, true) => BatchUse::ReplaceAfterRestore,
            (true, false) => BatchUse::Replace,
            (false, _) => BatchUse::Apply,
        }
    }
}
