//! A whole placement from scratch: for a new group, and as a baseline.

use crate::placement::map::ExpertMap;

/// Places every expert anew: spare slots go to the heaviest shares, and shares to the ranks with
/// the least load, heaviest first.
///
/// Returns `None` if the slots cannot hold every expert once.
#[must_use]
pub fn place_experts(loads: &[f64], ranks: usize, per_rank: usize) -> Option<ExpertMap> {
    let replicas = replicas(loads, ranks, ranks * per_rank)?;
    let mut order: Vec<usize> = (0..loads.len()).collect();
    let share = |expert: usize| loads[expert] / replicas[expert] as f64;
    order.sort_by(|a, b| share(*b).total_cmp(&share(*a)).then(a.cmp(b)));
    let mut plan = Plan {
        held: vec![Vec::new(); ranks],
        totals: vec![0.0; ranks],
        per_rank,
    };
    for expert in order {
        for _ in 0..replicas[expert] {
            plan.put(expert as u16, share(expert))?;
        }
    }
    ExpertMap::new(plan.held.concat(), per_rank)
}

/// Returns how many replicas each expert gets.
fn replicas(loads: &[f64], ranks: usize, slots: usize) -> Option<Vec<usize>> {
    let mut replicas = vec![1; loads.len()];
    let spare = slots.checked_sub(loads.len())?;
    for _ in 0..spare {
        let share = |expert: &usize| loads[*expert] / replicas[*expert] as f64;
        let heaviest = (0..loads.len())
            .filter(|expert| replicas[*expert] < ranks)
            .max_by(|a, b| share(a).total_cmp(&share(b)))?;
        replicas[heaviest] += 1;
    }
    Some(replicas)
}

struct Plan {
    held: Vec<Vec<u16>>,
    totals: Vec<f64>,
    per_rank: usize,
}

impl Plan {
    /// Puts a replica on the least loaded rank that has room and does not hold the expert.
    fn put(&mut self, expert: u16, share: f64) -> Option<()> {
        let fits = |rank: &usize| {
            self.held[*rank].len() < self.per_rank && !self.held[*rank].contains(&expert)
        };
        let rank = (0..self.held.len())
            .filter(fits)
            .min_by(|a, b| self.totals[*a].total_cmp(&self.totals[*b]));
        match rank {
            Some(rank) => self.take(rank, expert, share),
            None => self.make_room(expert, share)?,
        }
        Some(())
    }

    fn take(&mut self, rank: usize, expert: u16, share: f64) {
        self.held[rank].push(expert);
        self.totals[rank] += share;
    }

    /// Shifts another rank's expert to the last free slot, whose rank holds `expert` already.
    fn make_room(&mut self, expert: u16, share: f64) -> Option<()> {
        let free = (0..self.held.len()).find(|rank| self.held[*rank].len() < self.per_rank)?;
        let (rank, slot) = (0..self.held.len())
            .filter(|rank| !self.held[*rank].contains(&expert))
            .find_map(|rank| {
                let slot = self.held[rank]
                    .iter()
                    .position(|other| !self.held[free].contains(other))?;
                Some((rank, slot))
            })?;
        let other = std::mem::replace(&mut self.held[rank][slot], expert);
        self.take(free, other, share);
        Some(())
    }
}
