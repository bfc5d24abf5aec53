//! Plans small changes to the maps of all layers, for engines that split an expert's tokens evenly
//! among the ranks that hold it.
//!
//! The expected workload has a popularity that shifts every few seconds. A few experts receive a
//! large part of the tokens, and the ranks that hold them slow down every step. Loading experts
//! takes long compared with the time until the next shift. Therefore a change consists of a few
//! transfers, those with the highest gain first. A transfer that gains less than it costs by slowing
//! down steps while it loads is not made.

mod layer;

use crate::placement::rebalance::layer::Layer;

/// Settings of a rebalance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RebalanceSettings {
    /// The most experts of one layer that a rank can hold.
    pub rank_slots: usize,
    /// The most experts of one layer that one change loads at a rank.
    pub layer_transfers: usize,
    /// The most experts of all layers that one change loads at a rank.
    pub rank_transfers: usize,
    /// The least gain of one transfer, relative to the mean expert work of a rank in a step and divided by
    /// the number of ranks, as these load side by side.
    pub transfer_gain: f64,
    /// The least gain of a whole change, relative to the expert work of the slowest ranks in a step.
    pub change_gain: f64,
}

impl Default for RebalanceSettings {
    fn default() -> Self {
        Self {
            rank_slots: 11,
            layer_transfers: 4,
            rank_transfers: 1,
            transfer_gain: 0.032,
            change_gain: 0.06,
        }
    }
}

/// The skew for each multiple of the usual transfers of one change.
const TRANSFER_SKEW: f64 = 4.0;

/// The largest multiple of the usual transfers of one change.
const TRANSFER_FACTOR_MAX: usize = 4;

/// The bound on the moves of a search, as a multiple of its transfers; removals transfer nothing.
const MOVES_PER_TRANSFER: usize = 4;

/// The experts of each rank in one layer.
pub type LayerMap = Vec<Vec<u16>>;

/// A change of the maps of all layers.
#[derive(Debug, Clone, PartialEq)]
pub struct Rebalance {
    /// The new map of each layer.
    pub layers: Vec<LayerMap>,
    /// The skew before the change, as returned by [`map_skew`].
    pub skew_before: f64,
    /// The skew after the change.
    pub skew_after: f64,
    /// How many experts all ranks load together.
    pub transfers: usize,
    /// How many experts the rank with the most transfers loads.
    pub rank_transfers: usize,
}

/// Returns the skew: the sum over the layers of the highest rank load, divided by the sum of the mean
/// rank loads.
#[must_use]
pub fn map_skew(layers: &[LayerMap], demand: &[Vec<f64>]) -> f64 {
    layers_skew(&layers_of(layers, demand, &[]))
}

fn layers_skew(layers: &[Layer<'_>]) -> f64 {
    let slowest: f64 = layers.iter().map(Layer::max_load).sum();
    let mean: f64 = layers.iter().map(Layer::mean_load).sum();
    slowest / mean.max(f64::MIN_POSITIVE)
}

/// Returns a change of the maps that is worth its transfers, if there is one.
///
/// `demand` is the number of tokens of each expert, layer by layer. `paces` says how much longer each
/// rank takes for a token than a healthy one; 1 for ranks that it does not cover.
#[must_use]
pub fn plan_rebalance(
    settings: &RebalanceSettings,
    layers: &[LayerMap],
    demand: &[Vec<f64>],
    paces: &[f64],
) -> Option<Rebalance> {
    let ranks = layers.first()?.len();
    let mut search = layers_of(layers, demand, paces);
    let mut transfers_by_rank = vec![0; ranks];
    let total_mean: f64 = search.iter().map(Layer::mean_load).sum();
    if total_mean <= 0.0 {
        return None;
    }
    let skew_before = layers_skew(&search);
    let settings = &RebalanceSettings {
        rank_transfers: settings.rank_transfers * transfer_factor(skew_before),
        ..*settings
    };
    for layer in &mut search {
        layer.find_best_move(settings, &transfers_by_rank);
    }
    let least_gain = settings.transfer_gain * total_mean / ranks as f64;
    let mut total_gain = 0.0;
    // A move transfers at most one expert. The bound stops a search that makes no progress.
    for _ in 0..ranks * settings.rank_transfers * MOVES_PER_TRANSFER {
        let best = search
            .iter()
            .enumerate()
            .filter_map(|(at, layer)| Some((at, layer.best()?)));
        let Some((at, best)) = best.max_by(|a, b| a.1.gain.total_cmp(&b.1.gain)) else {
            break;
        };
        if best.gain < least_gain {
            break;
        }
        total_gain += best.gain;
        search[at].apply(best, &mut transfers_by_rank);
        // A rank without transfers left also ends the moves to it in other layers.
        let full = best
            .to
            .filter(|to| transfers_by_rank[*to] >= settings.rank_transfers);
        for (other, layer) in search.iter_mut().enumerate() {
            let is_ended = full.is_some() && layer.best().is_some_and(|best| best.to == full);
            if is_ended || other == at {
                layer.find_best_move(settings, &transfers_by_rank);
            }
        }
    }
    if total_gain < settings.change_gain * skew_before * total_mean {
        return None;
    }
    Some(Rebalance {
        skew_after: layers_skew(&search),
        layers: search.iter().map(Layer::map).collect(),
        skew_before,
        transfers: transfers_by_rank.iter().sum(),
        rank_transfers: transfers_by_rank.iter().copied().max().unwrap_or_default(),
    })
}

/// Returns how many times the usual transfers are worth their time: the more, the longer the slowest
/// rank holds up the others.
fn transfer_factor(skew: f64) -> usize {
    ((skew / TRANSFER_SKEW) as usize).clamp(1, TRANSFER_FACTOR_MAX)
}

fn layers_of<'a>(layers: &[LayerMap], demand: &'a [Vec<f64>], paces: &'a [f64]) -> Vec<Layer<'a>> {
    layers
        .iter()
        .zip(demand)
        .map(|(map, demand)| Layer::new(map, demand, paces))
        .collect()
}
