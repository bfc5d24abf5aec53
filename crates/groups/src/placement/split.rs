//! Splits the tokens of a step among the replicas of each expert.
//!
//! Every rank knows the dispatch of the step (the number of tokens for each expert) before tokens
//! are sent, so all ranks compute the same least-loaded split. With an even split, the slowest rank
//! would carry the sampling noise of the step and the popularity drift since the last switch.

use crate::placement::map::ExpertMap;

/// How many sweeps over the replicated experts compute a split.
const SWEEPS: usize = 8;

/// Returns the load of each rank after the least-loaded split of `loads` (one per expert).
///
/// The load of an expert that only one rank holds stays there. The load of each other expert is
/// distributed in turn to the least loaded of its ranks. Repeated sweeps approach the split with the
/// lowest maximum rank load.
#[must_use]
pub fn split_loads(map: &ExpertMap, loads: &[f64]) -> Vec<f64> {
    Split::new(map, loads).rank_loads
}

/// A split that is updated incrementally as slots of the map change.
#[derive(Debug, Clone)]
pub(crate) struct Split<'a> {
    loads: &'a [f64],
    per_rank: usize,
    /// The expert of each slot.
    slots: Vec<u16>,
    /// The slots of each expert.
    expert_slots: Vec<Vec<usize>>,
    /// The load of each slot.
    slot_loads: Vec<f64>,
    /// The load of each rank.
    rank_loads: Vec<f64>,
    /// The experts in descending order of load.
    by_load: Vec<usize>,
    /// The slots of the expert being distributed, each with the load of its rank without that expert.
    lowest: Vec<(f64, usize)>,
}

impl<'a> Split<'a> {
    /// Returns the split of `loads` over a map; `loads` must cover every expert of the map.
    pub(crate) fn new(map: &ExpertMap, loads: &'a [f64]) -> Self {
        let slots: Vec<u16> = map.ranks().flatten().copied().collect();
        let mut expert_slots = vec![Vec::new(); loads.len()];
        for (slot, expert) in slots.iter().enumerate() {
            expert_slots[usize::from(*expert)].push(slot);
        }
        let mut by_load: Vec<usize> = (0..loads.len()).collect();
        by_load.sort_by(|a, b| loads[*b].total_cmp(&loads[*a]).then(a.cmp(b)));
        let mut split = Self {
            loads,
            per_rank: map.per_rank(),
            slot_loads: vec![0.0; slots.len()],
            rank_loads: vec![0.0; map.rank_count()],
            slots,
            expert_slots,
            by_load,
            lowest: Vec::new(),
        };
        // Experts that only one rank holds come first, as the others are distributed around them.
        (0..loads.len())
            .filter(|expert| split.expert_slots[*expert].len() == 1)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|expert| split.distribute(expert));
        split.sweep(SWEEPS);
        split
    }

    /// Distributes each replicated expert again, `times` times.
    pub(crate) fn sweep(&mut self, times: usize) {
        for _ in 0..times {
            for at in 0..self.by_load.len() {
                let expert = self.by_load[at];
                if self.expert_slots[expert].len() > 1 {
                    self.distribute(expert);
                }
            }
        }
    }

    /// Replaces the expert in a slot and returns the previous one.
    pub(crate) fn replace(&mut self, slot: usize, expert: u16) -> u16 {
        let before = std::mem::replace(&mut self.slots[slot], expert);
        self.rank_loads[slot / self.per_rank] -= self.slot_loads[slot];
        self.slot_loads[slot] = 0.0;
        self.expert_slots[usize::from(before)].retain(|other| *other != slot);
        self.expert_slots[usize::from(expert)].push(slot);
        self.distribute(usize::from(before));
        self.distribute(usize::from(expert));
        before
    }

    /// Copies the loads of another split of the same map, which avoids computing them again.
    pub(crate) fn copy_loads(&mut self, other: &Self) {
        self.slot_loads.copy_from_slice(&other.slot_loads);
        self.rank_loads.copy_from_slice(&other.rank_loads);
    }

    /// Returns the load of each rank.
    pub(crate) fn rank_loads(&self) -> &[f64] {
        &self.rank_loads
    }

    /// Returns the experts of a rank.
    pub(crate) fn rank(&self, rank: usize) -> &[u16] {
        &self.slots[rank * self.per_rank..(rank + 1) * self.per_rank]
    }

    /// Returns the slots whose experts other slots hold too, in ascending order of load.
    pub(crate) fn replicated_slots(&self) -> Vec<usize> {
        let mut replicated: Vec<usize> = (0..self.slots.len())
            .filter(|slot| self.expert_slots[usize::from(self.slots[*slot])].len() > 1)
            .collect();
        replicated.sort_by(|a, b| {
            self.slot_loads[*a]
                .total_cmp(&self.slot_loads[*b])
                .then(a.cmp(b))
        });
        replicated
    }

    /// Returns the map.
    pub(crate) fn map(&self) -> Option<ExpertMap> {
        ExpertMap::new(self.slots.clone(), self.per_rank)
    }

    /// Distributes an expert's load over its ranks so that the least loaded ones reach an equal load.
    fn distribute(&mut self, expert: usize) {
        let load = self.loads[expert];
        let expert_slots = &self.expert_slots[expert];
        self.lowest.clear();
        for slot in expert_slots {
            let total = &mut self.rank_loads[slot / self.per_rank];
            *total -= self.slot_loads[*slot];
            self.lowest.push((*total, *slot));
        }
        self.lowest.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let mut sum = 0.0;
        let mut level = 0.0;
        for (count, (total, _)) in self.lowest.iter().enumerate() {
            sum += total;
            level = (load + sum) / (count + 1) as f64;
            if self
                .lowest
                .get(count + 1)
                .is_none_or(|next| next.0 >= level)
            {
                break;
            }
        }
        for (total, slot) in &self.lowest {
            let share = (level - total).max(0.0);
            self.slot_loads[*slot] = share;
            self.rank_loads[slot / self.per_rank] += share;
        }
    }
}
