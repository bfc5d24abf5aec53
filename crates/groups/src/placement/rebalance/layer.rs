//! The search for the best load of one layer.

use crate::placement::rebalance::{LayerMap, RebalanceSettings};

/// The exponent of the norm that stands for the slowest rank, so that a search sees progress where
/// several ranks are equally slow.
const NORM: i32 = 8;

/// One expert put on one rank of a layer, and what leaves for it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Move {
    expert: usize,
    pub(super) to: usize,
    /// The expert that leaves the rank for it, if the rank is full.
    evicted: Option<usize>,
    /// The rank that the expert leaves, if it does not stay there too.
    from: Option<usize>,
    /// What the move saves of the layer's cost, in tokens.
    pub(super) gain: f64,
}

/// One layer under search.
#[derive(Debug)]
pub(super) struct Layer<'a> {
    demand: &'a [f64],
    held: Vec<Vec<bool>>,
    counts: Vec<usize>,
    copies: Vec<usize>,
    loads: Vec<f64>,
    added: Vec<usize>,
    before: Vec<Vec<bool>>,
    best: Option<Move>,
}

impl<'a> Layer<'a> {
    pub(super) fn new(map: &LayerMap, demand: &'a [f64]) -> Self {
        let mut held = vec![vec![false; demand.len()]; map.len()];
        let mut copies = vec![0; demand.len()];
        for (rank, experts) in map.iter().enumerate() {
            for expert in experts {
                held[rank][usize::from(*expert)] = true;
                copies[usize::from(*expert)] += 1;
            }
        }
        let mut layer = Self {
            demand,
            counts: map.iter().map(Vec::len).collect(),
            copies,
            loads: vec![0.0; map.len()],
            added: vec![0; map.len()],
            before: held.clone(),
            held,
            best: None,
        };
        layer.weigh();
        layer
    }

    fn weigh(&mut self) {
        for (rank, held) in self.held.iter().enumerate() {
            let shares = held.iter().enumerate().filter(|(_, held)| **held);
            self.loads[rank] = shares.map(|(expert, _)| self.share(expert, 0)).sum();
        }
    }

    /// Returns the share of an expert's tokens at each of its ranks with `more` further copies.
    fn share(&self, expert: usize, more: isize) -> f64 {
        let copies = self.copies[expert].saturating_add_signed(more);
        self.demand[expert] / copies.max(1) as f64
    }

    pub(super) fn slowest(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    pub(super) fn mean(&self) -> f64 {
        self.demand.iter().sum::<f64>() / self.loads.len().max(1) as f64
    }

    fn norm(&self, loads: &[f64]) -> f64 {
        let mean = self.mean().max(f64::MIN_POSITIVE);
        let sum: f64 = loads.iter().map(|load| (load / mean).powi(NORM)).sum();
        mean * sum.powf(1.0 / f64::from(NORM))
    }

    /// Adds to `loads` what a change of an expert's copies does to the ranks that hold it.
    fn shift(&self, loads: &mut [f64], expert: usize, more: isize) {
        let change = self.share(expert, more) - self.share(expert, 0);
        for (rank, held) in self.held.iter().enumerate() {
            if held[expert] {
                loads[rank] += change;
            }
        }
    }

    /// Returns the best move that the last search found.
    pub(super) fn best(&self) -> Option<Move> {
        self.best
    }

    /// Finds the move that relieves the slowest rank most.
    pub(super) fn search(&mut self, settings: &RebalanceSettings, rank_added: &[usize]) {
        let slowest =
            (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]));
        let Some(slowest) = slowest else {
            return;
        };
        let cost = self.norm(&self.loads);
        let mut best: Option<Move> = None;
        let mut consider = |found: Option<Move>| {
            if let Some(found) = found
                && best.is_none_or(|best| found.gain > best.gain)
            {
                best = Some(found);
            }
        };
        for expert in (0..self.demand.len()).filter(|expert| self.held[slowest][*expert]) {
            for to in 0..self.loads.len() {
                if self.may_load(settings, rank_added, to, expert) {
                    consider(self.try_move(settings, cost, expert, None, to));
                    consider(self.try_move(settings, cost, expert, Some(slowest), to));
                }
            }
        }
        self.best = best;
    }

    fn may_load(
        &self,
        settings: &RebalanceSettings,
        rank_added: &[usize],
        to: usize,
        expert: usize,
    ) -> bool {
        let room =
            self.added[to] < settings.layer_transfers && rank_added[to] < settings.rank_transfers;
        !self.held[to][expert] && (self.before[to][expert] || room)
    }

    /// Weighs one more copy of an expert, or its move away from the rank `from`.
    fn try_move(
        &self,
        settings: &RebalanceSettings,
        cost: f64,
        expert: usize,
        from: Option<usize>,
        to: usize,
    ) -> Option<Move> {
        let mut loads = self.loads.clone();
        if let Some(from) = from {
            let share = self.share(expert, 0);
            loads[from] -= share;
            loads[to] += share;
        } else {
            self.shift(&mut loads, expert, 1);
            loads[to] += self.share(expert, 1);
        }
        let mut evicted = None;
        let after = if self.counts[to] < settings.rank_slots {
            self.norm(&loads)
        } else {
            let (leaving, after) = self.cheapest_eviction(&loads, to, expert)?;
            evicted = Some(leaving);
            after
        };
        Some(Move {
            expert,
            to,
            evicted,
            from,
            gain: cost - after,
        })
    }

    /// Finds the expert of a rank that is held elsewhere too and whose leaving costs least.
    fn cheapest_eviction(&self, loads: &[f64], to: usize, incoming: usize) -> Option<(usize, f64)> {
        (0..self.demand.len())
            .filter(|expert| {
                self.held[to][*expert] && *expert != incoming && self.copies[*expert] > 1
            })
            .map(|expert| {
                let mut after = loads.to_vec();
                self.shift(&mut after, expert, -1);
                after[to] -= self.share(expert, -1);
                (expert, self.norm(&after))
            })
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    pub(super) fn make(&mut self, chosen: Move, rank_added: &mut [usize]) {
        let Move {
            expert, to, from, ..
        } = chosen;
        self.put(to, expert, rank_added);
        if let Some(from) = from {
            self.drop(from, expert, rank_added);
        }
        if let Some(evicted) = chosen.evicted {
            self.drop(to, evicted, rank_added);
        }
        self.weigh();
    }

    fn put(&mut self, rank: usize, expert: usize, rank_added: &mut [usize]) {
        self.held[rank][expert] = true;
        self.counts[rank] += 1;
        self.copies[expert] += 1;
        if !self.before[rank][expert] {
            self.added[rank] += 1;
            rank_added[rank] += 1;
        }
    }

    fn drop(&mut self, rank: usize, expert: usize, rank_added: &mut [usize]) {
        self.held[rank][expert] = false;
        self.counts[rank] -= 1;
        self.copies[expert] -= 1;
        if !self.before[rank][expert] {
            self.added[rank] -= 1;
            rank_added[rank] -= 1;
        }
    }

    pub(super) fn map(&self) -> LayerMap {
        let experts = |held: &Vec<bool>| {
            let held = held.iter().enumerate().filter(|(_, held)| **held);
            held.map(|(expert, _)| expert as u16).collect()
        };
        self.held.iter().map(experts).collect()
    }
}
