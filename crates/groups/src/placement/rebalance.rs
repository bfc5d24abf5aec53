//! Small changes to the maps of all layers, for engines that share an expert's tokens evenly
//! among the ranks that hold it.
//!
//! The load that this answers is a popularity that shifts every few seconds: a few experts take
//! much of the tokens, the ranks that hold them slow every step, and loading takes long against
//! the time until the next shift. So the changes that gain most per load come first, a few at a time,
//! and what gains less than the steps slowed by its loads is left.

mod layer;

use crate::placement::rebalance::layer::Layer;

/// Settings of the placement with even shares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RebalanceSettings {
    /// The experts of a layer that one rank can hold.
    pub rank_slots: usize,
    /// The most experts of one layer that one change loads at a rank.
    pub layer_transfers: usize,
    /// The most experts of all layers that one change loads at a rank.
    pub rank_transfers: usize,
    /// The least gain of one load, as a share of the mean time of a step's expert work.
    pub transfer_gain: f64,
    /// The least gain of a whole change, as a share of the step's expert work.
    pub change_gain: f64,
}

impl Default for RebalanceSettings {
    fn default() -> Self {
        Self {
            rank_slots: 11,
            layer_transfers: 4,
            rank_transfers: 1,
            transfer_gain: 0.004,
            change_gain: 0.06,
        }
    }
}

/// The experts of each rank in one layer.
pub type LayerMap = Vec<Vec<u16>>;

/// A change of the maps of all layers.
#[derive(Debug, Clone, PartialEq)]
pub struct Rebalance {
    /// The new map of each layer.
    pub layers: Vec<LayerMap>,
    /// The slowest rank over the mean now, over all layers.
    pub skew_before: f64,
    /// The same after the change.
    pub skew_after: f64,
    /// How many experts are loaded in all.
    pub transfers: usize,
    /// How many the rank with most to load loads.
    pub rank_transfers: usize,
}

/// Returns the slowest rank over the mean, over all layers one after the other.
#[must_use]
pub fn map_skew(layers: &[LayerMap], demand: &[Vec<f64>]) -> f64 {
    skew(&layers_of(layers, demand))
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
pub fn plan_rebalance(
    settings: &RebalanceSettings,
    layers: &[LayerMap],
    demand: &[Vec<f64>],
) -> Option<Rebalance> {
    let ranks = layers.first()?.len();
    let mut search = layers_of(layers, demand);
    let mut rank_added = vec![0; ranks];
    let total: f64 = search.iter().map(Layer::mean).sum();
    if total <= 0.0 {
        return None;
    }
    let skew_before = skew(&search);
    for layer in &mut search {
        layer.search(settings, &rank_added);
    }
    let mut gained = 0.0;
    // Each move loads one expert; the bound keeps a search without progress from going on.
    for _ in 0..ranks * settings.rank_transfers {
        let best = search
            .iter()
            .enumerate()
            .filter_map(|(at, layer)| Some((at, layer.best()?)));
        let Some((at, best)) = best.max_by(|a, b| a.1.gain.total_cmp(&b.1.gain)) else {
            break;
        };
        if best.gain < settings.transfer_gain * total {
            break;
        }
        gained += best.gain;
        search[at].make(best, &mut rank_added);
        // A rank that has no load left changes what other layers may do, too.
        let full = rank_added[best.to] >= settings.rank_transfers;
        for (other, layer) in search.iter_mut().enumerate() {
            if full || other == at {
                layer.search(settings, &rank_added);
            }
        }
    }
    if gained < settings.change_gain * skew_before * total {
        return None;
    }
    Some(Rebalance {
        skew_after: skew(&search),
        layers: search.iter().map(Layer::map).collect(),
        skew_before,
        transfers: rank_added.iter().sum(),
        rank_transfers: rank_added.iter().copied().max().unwrap_or_default(),
    })
}

fn layers_of<'a>(layers: &[LayerMap], demand: &'a [Vec<f64>]) -> Vec<Layer<'a>> {
    layers
        .iter()
        .zip(demand)
        .map(|(map, demand)| Layer::new(map, demand))
        .collect()
}
