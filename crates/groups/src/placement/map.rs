//! The expert map of one layer.

use serde::{Deserialize, Serialize};

/// Which expert each slot of each rank holds, for one layer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertMap {
    slots: Vec<u16>,
    per_rank: usize,
}

impl ExpertMap {
    /// Makes a map from the experts of each slot, rank by rank, `per_rank` slots each.
    ///
    /// Returns `None` if the slots do not fill whole ranks, or a rank holds an expert twice.
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

    /// Returns how many ranks the map has.
    #[must_use]
    pub fn rank_count(&self) -> usize {
        self.slots.len() / self.per_rank
    }

    /// Returns the experts of one rank; `rank` is below [`ExpertMap::rank_count`].
    #[must_use]
    pub fn rank(&self, rank: usize) -> &[u16] {
        &self.slots[rank * self.per_rank..(rank + 1) * self.per_rank]
    }

    /// Returns how many experts have to be loaded to get from `before` to this map.
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
