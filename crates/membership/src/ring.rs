//! A hash ring of node names.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

/// Returns a hash of `value` that is the same on every machine.
pub(crate) fn digest_of<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Node names ordered by their hashes; the ring's circumference is 2^64.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    /// Positions and names, sorted by position.
    entries: Vec<(u64, String)>,
}

impl Ring {
    /// Builds a ring of the given names.
    pub(crate) fn new(names: impl Iterator<Item = String>) -> Self {
        let mut entries: Vec<(u64, String)> =
            names.map(|name| (digest_of(name.as_str()), name)).collect();
        entries.sort_unstable();
        Self { entries }
    }

    /// Returns the number of names.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the ring has no names.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the name at an index in ring order; the index wraps around. Panics on an empty ring.
    pub(crate) fn name_at(&self, index: usize) -> &str {
        &self.entries[index % self.entries.len()].1
    }

    /// Returns the index of the first name at or after `position`, wrapping around.
    pub(crate) fn successor(&self, position: u64) -> usize {
        let index = self.entries.partition_point(|(other, _)| *other < position);
        if index == self.entries.len() {
            0
        } else {
            index
        }
    }
}
