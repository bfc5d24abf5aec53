//! Places all experts of a layer from scratch, for a new group and as a baseline.

use crate::placement::map::ExpertMap;

/// Places every expert without regard to an earlier map.
///
/// Each spare slot goes to a replica of the expert with the highest load per replica. Replicas are
/// then placed in descending order of their load, each on the least loaded rank.
///
/// Returns `None` if the slots cannot hold every expert once.
#[must_use]
pub fn place_experts(loads: &[f64], ranks: usize, per_rank: usize) -> Option<ExpertMap> {
    let replicas = replicas(loads, ranks, ranks * per_rank)?;
    let mut order: Vec<usize> = (0..loads.len()).collect();
    let share = |expert: usize| loads[expert] / replicas[expert] as f64;
    order.sort_by(|a, b| share(*b).total_cmp(&share(*a)).then(a.cmp(b)));
    let mut placement = Placement {
        ranks: vec![Vec::new(); ranks],
        loads: vec![0.0; ranks],
        per_rank,
    };
    for expert in order {
        for _ in 0..replicas[expert] {
            placement.place_replica(expert as u16, share(expert))?;
        }
    }
    ExpertMap::new(placement.ranks.concat(), per_rank)
}

/// Returns the number of replicas of each expert, or `None` if there are too few or too many slots.
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

struct Placement {
    ranks: Vec<Vec<u16>>,
    loads: Vec<f64>,
    per_rank: usize,
}

impl Placement {
    /// Places a replica on the least loaded rank that has a free slot and does not hold the expert.
    fn place_replica(&mut self, expert: u16, share: f64) -> Option<()> {
        let fits = |rank: &usize| {
            self.ranks[*rank].len() < self.per_rank && !self.ranks[*rank].contains(&expert)
        };
        let rank = (0..self.ranks.len())
            .filter(fits)
            .min_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]));
        match rank {
            Some(rank) => self.add_replica(rank, expert, share),
            None => self.swap_in_replica(expert, share)?,
        }
        Some(())
    }

    fn add_replica(&mut self, rank: usize, expert: u16, share: f64) {
        self.ranks[rank].push(expert);
        self.loads[rank] += share;
    }

    /// Places a replica when every rank with a free slot already holds `expert`: another rank's
    /// expert moves to a free slot, and the replica takes its place.
    fn swap_in_replica(&mut self, expert: u16, share: f64) -> Option<()> {
        let free = (0..self.ranks.len()).find(|rank| self.ranks[*rank].len() < self.per_rank)?;
        let (rank, slot) = (0..self.ranks.len())
            .filter(|rank| !self.ranks[*rank].contains(&expert))
            .find_map(|rank| {
                let slot = self.ranks[rank]
                    .iter()
                    .position(|other| !self.ranks[free].contains(other))?;
                Some((rank, slot))
            })?;
        let other = std::mem::replace(&mut self.ranks[rank][slot], expert);
        self.add_replica(free, other, share);
        Some(())
    }
}
