//! How the tokens of a step are split among the replicas of their experts.
//!
//! Every rank knows the step's dispatch (how many tokens each expert gets) before tokens are
//! sent, so each works out the same least-loaded split. An even split would leave the sampling
//! noise of a step and the drift since the last switch on the slowest rank.

use crate::placement::map::ExpertMap;

/// How often each replicated expert is spread anew for a whole split.
const SWEEPS: usize = 8;

/// Returns the load of each rank after the least-loaded split of `loads` (one per expert).
///
/// Experts without replicas stay where they are. The others are filled in turn where their ranks
/// are lowest; repeated, this comes near the split whose slowest rank is fastest.
#[must_use]
pub fn split_loads(map: &ExpertMap, loads: &[f64]) -> Vec<f64> {
    Split::new(map, loads).totals
}

/// A split that follows small changes of the map.
#[derive(Debug, Clone)]
pub(crate) struct Split<'a> {
    loads: &'a [f64],
    per_rank: usize,
    /// The expert of each slot.
    slots: Vec<u16>,
    /// The slots of each expert.
    held: Vec<Vec<usize>>,
    /// The load of each slot.
    shares: Vec<f64>,
    /// The load of each rank.
    totals: Vec<f64>,
    /// The experts, heaviest first.
    order: Vec<usize>,
    lowest: Vec<(f64, usize)>,
}

impl<'a> Split<'a> {
    /// Splits `loads` over a map whose experts all have a load.
    pub(crate) fn new(map: &ExpertMap, loads: &'a [f64]) -> Self {
        let slots: Vec<u16> = map.ranks().flatten().copied().collect();
        let mut held = vec![Vec::new(); loads.len()];
        for (slot, expert) in slots.iter().enumerate() {
            held[usize::from(*expert)].push(slot);
        }
        let mut order: Vec<usize> = (0..loads.len()).collect();
        order.sort_by(|a, b| loads[*b].total_cmp(&loads[*a]).then(a.cmp(b)));
        let mut split = Self {
            loads,
            per_rank: map.per_rank(),
            shares: vec![0.0; slots.len()],
            totals: vec![0.0; map.rank_count()],
            slots,
            held,
            order,
            lowest: Vec::new(),
        };
        // Experts without replicas leave no choice, so the others are poured over them.
        (0..loads.len())
            .filter(|expert| split.held[*expert].len() == 1)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|expert| split.pour(expert));
        split.sweep(SWEEPS);
        split
    }

    /// Spreads each replicated expert anew, `times` times.
    pub(crate) fn sweep(&mut self, times: usize) {
        for _ in 0..times {
            for at in 0..self.order.len() {
                let expert = self.order[at];
                if self.held[expert].len() > 1 {
                    self.pour(expert);
                }
            }
        }
    }

    /// Puts an expert in a slot and returns the one that was there.
    pub(crate) fn set(&mut self, slot: usize, expert: u16) -> u16 {
        let before = std::mem::replace(&mut self.slots[slot], expert);
        self.totals[slot / self.per_rank] -= self.shares[slot];
        self.shares[slot] = 0.0;
        self.held[usize::from(before)].retain(|other| *other != slot);
        self.held[usize::from(expert)].push(slot);
        self.pour(usize::from(before));
        self.pour(usize::from(expert));
        before
    }

    /// Takes the loads of another split of the same map, without its search for them.
    pub(crate) fn copy_loads(&mut self, other: &Self) {
        self.shares.copy_from_slice(&other.shares);
        self.totals.copy_from_slice(&other.totals);
    }

    /// Returns the load of each rank.
    pub(crate) fn totals(&self) -> &[f64] {
        &self.totals
    }

    /// Returns the experts of a rank.
    pub(crate) fn rank(&self, rank: usize) -> &[u16] {
        &self.slots[rank * self.per_rank..(rank + 1) * self.per_rank]
    }

    /// Returns the slots whose experts are held elsewhere too, those with the least load first.
    pub(crate) fn spare_slots(&self) -> Vec<usize> {
        let mut spare: Vec<usize> = (0..self.slots.len())
            .filter(|slot| self.held[usize::from(self.slots[*slot])].len() > 1)
            .collect();
        spare.sort_by(|a, b| self.shares[*a].total_cmp(&self.shares[*b]).then(a.cmp(b)));
        spare
    }

    /// Returns the map.
    pub(crate) fn map(&self) -> Option<ExpertMap> {
        ExpertMap::new(self.slots.clone(), self.per_rank)
    }

    /// Pours an expert's load over its ranks, the lowest first.
    fn pour(&mut self, expert: usize) {
        let load = self.loads[expert];
        let held = &self.held[expert];
        self.lowest.clear();
        for slot in held {
            let total = &mut self.totals[slot / self.per_rank];
            *total -= self.shares[*slot];
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
            self.shares[*slot] = share;
            self.totals[slot / self.per_rank] += share;
        }
    }
}
