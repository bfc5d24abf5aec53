//! The expert map of one layer.

use serde::{Deserialize, Serialize};

/// The experts in the slots of each rank, for one layer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertMap {
    slots: Vec<u16>,
    per_rank: usize,
}

impl ExpertMap {
    /// Returns the map with these experts in its slots, rank by rank, `per_rank` slots each.
    ///
    /// Returns `None` if the number of slots is not a multiple of `per_rank`, `per_rank` is 0, or a
    /// rank holds an expert twice.
    #[must_use]
    pub fn new(slots: Vec<u16>, per_rank: usize) -> Option<Self> {
        if per_rank == 0 || !slots.len().is_multiple_of(per_rank) {
            return None;
        }
        let map = Self { slots, per_rank };
        let twice = map.ranks().any(|experts| {
            let mut sorted = experts.to_vec();
            sorted.sort_unstable();
            sorted.windows(2).any(|pair| pair[0] == pair[1])
        });
        (!twice).then_some(map)
    }

    /// Returns the experts of each rank.
    pub fn ranks(&self) -> impl Iterator<Item = &[u16]> {
        self.slots.chunks(self.per_rank)
    }

    /// Returns the number of ranks.
    #[must_use]
    pub fn rank_count(&self) -> usize {
        self.slots.len() / self.per_rank
    }

    /// Returns the experts of one rank; `rank` must be below [`ExpertMap::rank_count`].
    #[must_use]
    pub fn rank(&self, rank: usize) -> &[u16] {
        &self.slots[rank * self.per_rank..(rank + 1) * self.per_rank]
    }

    /// Returns how many experts the ranks load in a change from `before` to this map.
    #[must_use]
    pub fn transfers_from(&self, before: &Self) -> usize {
        self.ranks()
            .zip(before.ranks())
            .map(|(now, old)| now.iter().filter(|expert| !old.contains(expert)).count())
            .sum()
    }

    pub(crate) fn per_rank(&self) -> usize {
        self.per_rank
    }
}
