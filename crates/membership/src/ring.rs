//! Nodes on a ring, in the order of the hashes of their names.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

/// Returns a digest of `value` that is the same on every machine.
pub(crate) fn digest_of<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Names in the order of their positions; the ring's circumference is 2^64.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    places: Vec<(u64, String)>,
}

impl Ring {
    /// Puts names on a ring.
    pub(crate) fn new(names: impl Iterator<Item = String>) -> Self {
        let mut places: Vec<(u64, String)> =
            names.map(|name| (digest_of(name.as_str()), name)).collect();
        places.sort_unstable();
        Self { places }
    }

    /// Returns the number of names.
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether there are no names.
    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the name at an index, in the order of the ring, round and round.
    pub(crate) fn at(&self, index: usize) -> &str {
        &self.places[index % self.places.len()].1
    }

    /// Returns the index of the first name at or after `position`.
    pub(crate) fn manager(&self, position: u64) -> usize {
        let at = self.places.partition_point(|(place, _)| *place < position);
        if at == self.places.len() { 0 } else { at }
    }
}
