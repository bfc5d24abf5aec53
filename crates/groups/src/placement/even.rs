//! Small changes to the maps of all layers, for engines that share an expert's tokens evenly
//! among the ranks that hold it.
//!
//! The load that this answers is a popularity that shifts every few seconds: a few experts take
//! much of the tokens, the ranks that hold them slow every step, and loading takes long against
//! the time until the next shift. So the changes that gain most per load come first.

/// The exponent of the norm that stands for the slowest rank, so that a search sees progress where
/// several ranks are equally slow.
const NORM: i32 = 8;

/// Settings of the placement with even shares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EvenSettings {
    /// The experts of a layer that one rank can hold.
    pub places: usize,
    /// The most experts of one layer that one change loads at a rank.
    pub layer_loads: usize,
    /// The most experts of all layers that one change loads at a rank.
    pub rank_loads: usize,
    /// The least gain of one load, as a share of the mean time of a step's expert work.
    pub load_gain: f64,
    /// The least gain of a whole change, as a share of the step's expert work.
    pub change_gain: f64,
}

impl Default for EvenSettings {
    fn default() -> Self {
        Self {
            places: 11,
            layer_loads: 4,
            rank_loads: 2,
            load_gain: 0.004,
            change_gain: 0.02,
        }
    }
}

/// The experts of each rank in one layer.
pub type LayerMap = Vec<Vec<u16>>;

/// A change of the maps of all layers.
#[derive(Debug, Clone, PartialEq)]
pub struct EvenChange {
    /// The new map of each layer.
    pub layers: Vec<LayerMap>,
    /// The slowest rank over the mean now, over all layers.
    pub skew_now: f64,
    /// The same after the change.
    pub skew_then: f64,
    /// How many experts are loaded in all.
    pub loads: usize,
}

/// One expert put on one rank of a layer, and what leaves for it.
#[derive(Debug, Clone, Copy)]
struct Move {
    expert: usize,
    to: usize,
    /// The expert that leaves the rank for it, if the rank is full.
    evicted: Option<usize>,
    /// Whether the expert leaves the rank that it came from.
    leaves: bool,
    from: usize,
    /// The norm of the layer after the move.
    norm: f64,
}

/// One layer under search.
#[derive(Debug)]
struct Layer<'a> {
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
    fn new(map: &LayerMap, demand: &'a [f64]) -> Self {
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

    fn slowest(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    fn mean(&self) -> f64 {
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

    /// Finds the move that relieves the slowest rank most.
    fn search(&mut self, settings: &EvenSettings, rank_added: &[usize]) {
        let slowest =
            (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]));
        let Some(from) = slowest else {
            return;
        };
        let mut best: Option<Move> = None;
        for expert in (0..self.demand.len()).filter(|expert| self.held[from][*expert]) {
            for to in 0..self.loads.len() {
                if self.held[to][expert] || !self.may_load(settings, rank_added, to, expert) {
                    continue;
                }
                for leaves in [false, true] {
                    let found = self.try_move(settings, expert, from, to, leaves);
                    if let Some(found) = found
                        && best.is_none_or(|best| found.norm < best.norm)
                    {
                        best = Some(found);
                    }
                }
            }
        }
        self.best = best;
    }

    fn may_load(
        &self,
        settings: &EvenSettings,
        rank_added: &[usize],
        to: usize,
        expert: usize,
    ) -> bool {
        self.before[to][expert]
            || (self.added[to] < settings.layer_loads && rank_added[to] < settings.rank_loads)
    }

    fn try_move(
        &self,
        settings: &EvenSettings,
        expert: usize,
        from: usize,
        to: usize,
        leaves: bool,
    ) -> Option<Move> {
        let mut loads = self.loads.clone();
        if leaves {
            let share = self.share(expert, 0);
            loads[from] -= share;
            loads[to] += share;
        } else {
            self.shift(&mut loads, expert, 1);
            loads[to] += self.share(expert, 1);
        }
        let mut found = Move {
            expert,
            to,
            evicted: None,
            leaves,
            from,
            norm: 0.0,
        };
        if self.counts[to] < settings.places {
            found.norm = self.norm(&loads);
            return Some(found);
        }
        let (evicted, norm) = self.cheapest_eviction(&loads, to, expert)?;
        found.evicted = Some(evicted);
        found.norm = norm;
        Some(found)
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

    fn make(&mut self, chosen: Move, rank_added: &mut [usize]) {
        let Move {
            expert, to, from, ..
        } = chosen;
        self.put(to, expert, rank_added);
        if chosen.leaves {
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

    fn map(&self) -> LayerMap {
        let experts = |held: &Vec<bool>| {
            let held = held.iter().enumerate().filter(|(_, held)| **held);
            held.map(|(expert, _)| expert as u16).collect()
        };
        self.held.iter().map(experts).collect()
    }
}

/// Returns the slowest rank over the mean, over all layers one after the other.
#[must_use]
pub fn even_skew(layers: &[LayerMap], demand: &[Vec<f64>]) -> f64 {
    let layers: Vec<Layer<'_>> = layers
        .iter()
        .zip(demand)
        .map(|(map, demand)| Layer::new(map, demand))
        .collect();
    skew(&layers)
}

fn skew(layers: &[Layer<'_>]) -> f64 {
    let slowest: f64 = layers.iter().map(Layer::slowest).sum();
    let mean: f64 = layers.iter().map(Layer::mean).sum();
    slowest / mean.max(f64::MIN_POSITIVE)
}

/// Returns the change of the maps that is worth its loads, if there is one.
///
/// `demand` holds the tokens of each expert, layer by layer.
#[must_use]
pub fn even_change(
    settings: &EvenSettings,
    layers: &[LayerMap],
    demand: &[Vec<f64>],
) -> Option<EvenChange> {
    let ranks = layers.first()?.len();
    let mut search: Vec<Layer<'_>> = layers
        .iter()
        .zip(demand)
        .map(|(map, demand)| Layer::new(map, demand))
        .collect();
    let mut rank_added = vec![0; ranks];
    let total: f64 = search.iter().map(Layer::mean).sum();
    if total <= 0.0 {
        return None;
    }
    let skew_now = skew(&search);
    for layer in &mut search {
        layer.search(settings, &rank_added);
    }
    // Each move loads one expert; the bound keeps a search without progress from going on.
    for _ in 0..ranks * settings.rank_loads {
        let gains = search.iter().enumerate().filter_map(|(at, layer)| {
            let best = layer.best?;
            Some((layer.norm(&layer.loads) - best.norm, at, best))
        });
        let Some((gain, at, best)) = gains.max_by(|a, b| a.0.total_cmp(&b.0)) else {
            break;
        };
        if gain < settings.load_gain * total {
            break;
        }
        search[at].make(best, &mut rank_added);
        // A rank that has no load left changes what other layers may do, too.
        let full = rank_added[best.to] >= settings.rank_loads;
        for (other, layer) in search.iter_mut().enumerate() {
            if full || other == at {
                layer.search(settings, &rank_added);
            }
        }
    }
    let skew_then = skew(&search);
    if (skew_now - skew_then) < settings.change_gain * skew_now {
        return None;
    }
    Some(EvenChange {
        layers: search.iter().map(Layer::map).collect(),
        skew_now,
        skew_then,
        loads: rank_added.iter().sum(),
    })
}
