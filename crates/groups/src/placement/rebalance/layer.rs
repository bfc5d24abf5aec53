//! The search for the best move of an expert in one layer.

use crate::placement::rebalance::{LayerMap, RebalanceSettings};

/// The exponent of the norm that approximates the highest rank load. Unlike the maximum, the norm
/// shows progress when several ranks are equally slow.
const NORM_EXPONENT: i32 = 8;

/// The most ranks that are weighed as the next holder of an expert, those with the lowest loads first.
const TARGETS_MAX: usize = 24;

/// The placement of an expert on a further rank, and the replicas that are removed for it, or only the
/// removal of a replica.
#[derive(Debug, Clone, Copy)]
pub(super) struct Move {
    expert: usize,
    /// The rank that gains the expert; `None` if the expert is only removed.
    pub(super) to: Option<usize>,
    /// The expert that is removed from the rank `to`, if the rank is full.
    evicted: Option<usize>,
    /// The rank from which the expert is removed; `None` if it gains a replica.
    from: Option<usize>,
    /// The reduction of the layer's cost, in tokens.
    pub(super) gain: f64,
}

/// Changes of the loads of a few ranks.
#[derive(Debug, Default, Clone)]
struct LoadChanges(Vec<(usize, f64)>);

impl LoadChanges {
    fn add(&mut self, rank: usize, change: f64) {
        match self.0.iter_mut().find(|(known, _)| *known == rank) {
            Some((_, sum)) => *sum += change,
            None => self.0.push((rank, change)),
        }
    }
}

/// The map of one layer during a search.
///
/// The cost of a candidate follows from the ranks whose loads it changes, not from all of them, so that a
/// search in a large group takes little time.
#[derive(Debug)]
pub(super) struct Layer<'a> {
    demand: &'a [f64],
    /// How much longer each rank takes for a token than a healthy one.
    paces: &'a [f64],
    /// The experts that each rank holds.
    experts: Vec<Vec<usize>>,
    /// The ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    /// The load of each rank, in the tokens that a healthy rank would compute in the same time.
    loads: Vec<f64>,
    /// The mean load.
    mean: f64,
    /// The sum over the ranks of the powers in the norm.
    power_sum: f64,
    /// The number of experts that each rank has to load.
    transfers: Vec<usize>,
    /// The value of `experts` before the search.
    initial: Vec<Vec<usize>>,
    best: Option<Move>,
}

impl<'a> Layer<'a> {
    pub(super) fn new(map: &LayerMap, demand: &'a [f64], paces: &'a [f64]) -> Self {
        let mut holders = vec![Vec::new(); demand.len()];
        let mut experts = vec![Vec::new(); map.len()];
        for (rank, held) in map.iter().enumerate() {
            for expert in held {
                let expert = usize::from(*expert);
                experts[rank].push(expert);
                holders[expert].push(rank);
            }
        }
        let mean = demand.iter().sum::<f64>() / map.len().max(1) as f64;
        let mut layer = Self {
            demand,
            paces,
            holders,
            loads: vec![0.0; map.len()],
            mean,
            power_sum: 0.0,
            transfers: vec![0; map.len()],
            initial: experts.clone(),
            experts,
            best: None,
        };
        layer.update_loads();
        layer
    }

    fn update_loads(&mut self) {
        for rank in 0..self.loads.len() {
            let shares = self.experts[rank].iter();
            let load: f64 = shares.map(|expert| self.share(*expert, 0)).sum();
            self.loads[rank] = load * self.pace(rank);
        }
        self.power_sum = self.loads.iter().map(|load| self.power(*load)).sum();
    }

    fn pace(&self, rank: usize) -> f64 {
        self.paces.get(rank).copied().unwrap_or(1.0)
    }

    fn holds(&self, rank: usize, expert: usize) -> bool {
        self.experts[rank].contains(&expert)
    }

    /// Returns an expert's tokens at each of its ranks if it has `more` further replicas.
    fn share(&self, expert: usize, more: isize) -> f64 {
        let replicas = self.holders[expert].len().saturating_add_signed(more);
        self.demand[expert] / replicas.max(1) as f64
    }

    pub(super) fn max_load(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    pub(super) fn mean_load(&self) -> f64 {
        self.mean
    }

    fn power(&self, load: f64) -> f64 {
        (load / self.mean.max(f64::MIN_POSITIVE)).powi(NORM_EXPONENT)
    }

    /// Returns the norm of the loads after some of them have changed.
    fn norm_after(&self, changes: &LoadChanges) -> f64 {
        let differences = changes.0.iter().map(|(rank, change)| {
            let load = self.loads[*rank];
            self.power(load + change) - self.power(load)
        });
        let sum = self.power_sum + differences.sum::<f64>();
        self.mean * sum.max(0.0).powf(1.0 / f64::from(NORM_EXPONENT))
    }

    /// Adds the change of the loads of the ranks that hold an expert if it gets `more` further replicas.
    fn add_replica_change(&self, changes: &mut LoadChanges, expert: usize, more: isize) {
        let change = self.share(expert, more) - self.share(expert, 0);
        for rank in &self.holders[expert] {
            changes.add(*rank, change * self.pace(*rank));
        }
    }

    /// Returns the move found by the last search.
    pub(super) fn best(&self) -> Option<Move> {
        self.best
    }

    /// Searches for the move of an expert of the most loaded rank with the highest gain.
    pub(super) fn find_best_move(
        &mut self,
        settings: &RebalanceSettings,
        transfers_by_rank: &[usize],
    ) {
        let by_load = self.ranks_by_load();
        let Some(slowest) = by_load.last().copied() else {
            return;
        };
        let cost = self.norm_after(&LoadChanges::default());
        let mut best: Option<Move> = None;
        let mut consider = |found: Option<Move>| {
            if let Some(found) = found
                && best.is_none_or(|best| found.gain > best.gain)
            {
                best = Some(found);
            }
        };
        for expert in self.experts[slowest].iter().copied() {
            consider(self.evaluate_removal(cost, expert, slowest));
            let targets = by_load.iter().copied();
            let targets =
                targets.filter(|to| self.may_load(settings, transfers_by_rank, *to, expert));
            for to in targets.take(TARGETS_MAX) {
                consider(self.evaluate_move(settings, cost, expert, None, to));
                consider(self.evaluate_move(settings, cost, expert, Some(slowest), to));
            }
        }
        self.best = best;
    }

    /// Returns the ranks, those with the lowest loads first.
    fn ranks_by_load(&self) -> Vec<usize> {
        let mut ranks: Vec<usize> = (0..self.loads.len()).collect();
        ranks.sort_by(|one, other| self.loads[*one].total_cmp(&self.loads[*other]));
        ranks
    }

    /// Evaluates the removal of one of several replicas of an expert.
    fn evaluate_removal(&self, cost: f64, expert: usize, from: usize) -> Option<Move> {
        if self.holders[expert].len() < 2 {
            return None;
        }
        let mut changes = LoadChanges::default();
        self.add_removal(&mut changes, expert, from);
        Some(Move {
            expert,
            to: None,
            evicted: None,
            from: Some(from),
            gain: cost - self.norm_after(&changes),
        })
    }

    /// Adds the changes of the loads if a rank gives up one of several replicas of an expert.
    fn add_removal(&self, changes: &mut LoadChanges, expert: usize, from: usize) {
        self.add_replica_change(changes, expert, -1);
        changes.add(from, -self.share(expert, -1) * self.pace(from));
    }

    fn may_load(
        &self,
        settings: &RebalanceSettings,
        transfers_by_rank: &[usize],
        to: usize,
        expert: usize,
    ) -> bool {
        let room = self.transfers[to] < settings.layer_transfers
            && transfers_by_rank[to] < settings.rank_transfers;
        !self.holds(to, expert) && (room || self.initial[to].contains(&expert))
    }

    /// Evaluates a further replica of an expert on `to`, or its move from `from` to `to`.
    fn evaluate_move(
        &self,
        settings: &RebalanceSettings,
        cost: f64,
        expert: usize,
        from: Option<usize>,
        to: usize,
    ) -> Option<Move> {
        let mut changes = LoadChanges::default();
        if let Some(from) = from {
            let share = self.share(expert, 0);
            changes.add(from, -share * self.pace(from));
            changes.add(to, share * self.pace(to));
        } else {
            self.add_replica_change(&mut changes, expert, 1);
            changes.add(to, self.share(expert, 1) * self.pace(to));
        }
        let mut evicted = None;
        let after = if self.experts[to].len() < settings.rank_slots {
            self.norm_after(&changes)
        } else {
            let (leaving, after) = self.cheapest_eviction(&changes, to, expert)?;
            evicted = Some(leaving);
            after
        };
        Some(Move {
            expert,
            to: Some(to),
            evicted,
            from,
            gain: cost - after,
        })
    }

    /// Returns the expert of a rank that other ranks hold too and whose removal costs least, and the
    /// cost after it.
    fn cheapest_eviction(
        &self,
        changes: &LoadChanges,
        to: usize,
        incoming: usize,
    ) -> Option<(usize, f64)> {
        let held = self.experts[to].iter().copied();
        held.filter(|expert| *expert != incoming && self.holders[*expert].len() > 1)
            .map(|expert| {
                let mut after = changes.clone();
                self.add_removal(&mut after, expert, to);
                (expert, self.norm_after(&after))
            })
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    pub(super) fn apply(&mut self, chosen: Move, transfers_by_rank: &mut [usize]) {
        let Move {
            expert, to, from, ..
        } = chosen;
        if let Some(to) = to {
            self.add_replica(to, expert, transfers_by_rank);
        }
        if let Some(from) = from {
            self.remove_replica(from, expert, transfers_by_rank);
        }
        if let Some(evicted) = chosen.evicted
            && let Some(to) = to
        {
            self.remove_replica(to, evicted, transfers_by_rank);
        }
        self.update_loads();
    }

    fn add_replica(&mut self, rank: usize, expert: usize, transfers_by_rank: &mut [usize]) {
        self.experts[rank].push(expert);
        self.holders[expert].push(rank);
        if !self.initial[rank].contains(&expert) {
            self.transfers[rank] += 1;
            transfers_by_rank[rank] += 1;
        }
    }

    fn remove_replica(&mut self, rank: usize, expert: usize, transfers_by_rank: &mut [usize]) {
        self.experts[rank].retain(|held| *held != expert);
        self.holders[expert].retain(|holder| *holder != rank);
        if !self.initial[rank].contains(&expert) {
            self.transfers[rank] -= 1;
            transfers_by_rank[rank] -= 1;
        }
    }

    /// Returns the experts of each rank, in order.
    pub(super) fn map(&self) -> LayerMap {
        let sorted = |held: &Vec<usize>| {
            let mut held: Vec<u16> = held.iter().map(|expert| *expert as u16).collect();
            held.sort_unstable();
            held
        };
        self.experts.iter().map(sorted).collect()
    }
}
