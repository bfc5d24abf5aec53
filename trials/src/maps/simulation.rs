//! Simulates one strategy over all samples of the traffic.

use sardinepin_common::Millis;
use sardinepin_groups::{LayerMap, Popularity, RebalanceSettings, map_skew, plan_rebalance};

use crate::maps::strategies::Strategy;
use crate::maps::traffic::{GroupShape, Traffic};

/// The time from the last expert transfer of a switch until the new maps are in use.
const SWITCH_TIME: Millis = Millis(80);

/// The share of a step's work that is done by experts.
const EXPERT_SHARE: f64 = 0.85;

/// The factor by which steps take longer during expert transfers.
const TRANSFER_SLOWDOWN: f64 = 1.15;

/// The maximum number of plans that the ideal strategy applies per sample.
const IDEAL_PLANS_MAX: usize = 6;

/// The results of one strategy.
#[derive(Debug, Default)]
pub(crate) struct Summary {
    /// The load of the slowest rank over the mean load.
    pub(crate) skew_mean: f64,
    pub(crate) skew_p95: f64,
    /// The mean step time as a multiple of that with even ranks and no transfers.
    pub(crate) step_time_mean: f64,
    /// How many experts were transferred.
    pub(crate) transfers: usize,
    pub(crate) switches: usize,
    /// The share of samples that fall into expert transfers.
    pub(crate) transfer_share: f64,
}

/// A switch whose new maps are not in use yet.
#[derive(Debug)]
struct PendingSwitch {
    active_at: Millis,
    loaded_at: Millis,
    layers: Vec<LayerMap>,
}

/// Runs one strategy over the traffic; `transfer_ms` is the time to load one expert.
pub(crate) fn simulate(traffic: &Traffic, strategy: &Strategy, transfer_ms: u64) -> Summary {
    let mut summary = Summary::default();
    let shape = traffic.shape;
    let mut layers = initial_maps(shape);
    let mut popularity = Popularity::new(strategy.popularity);
    let mut pending_switch: Option<PendingSwitch> = None;
    let mut next_plan_at = Millis::ZERO;
    let (mut skews, mut step_times, mut transferring_samples) = (Vec::new(), Vec::new(), 0);
    for (index, sample) in traffic.samples.iter().enumerate() {
        let increments = traffic.increments_before(index);
        let increments: Vec<_> = increments.into_iter().collect();
        popularity.record_increments(sample.at, 1, shape.ranks, &increments, shape.experts);
        if let Some(switch) =
            pending_switch.take_if(|pending_switch| sample.at >= pending_switch.active_at)
        {
            layers = switch.layers;
            next_plan_at = switch.active_at + strategy.plan_pause;
        }
        let Some(next_counts) = traffic.counts_after(index) else {
            break;
        };
        if let Some(settings) = &strategy.rebalance
            && strategy.is_ideal
        {
            summary.transfers += rebalance_for(settings, &mut layers, &next_counts);
        } else if let Some(settings) = &strategy.rebalance
            && pending_switch.is_none()
            && sample.at >= next_plan_at
            && let Some(demand) = popularity.demand(shape.layers, shape.experts)
            && let Some(change) = plan_rebalance(settings, &layers, &demand, &[])
        {
            summary.transfers += change.transfers;
            summary.switches += 1;
            let max_transfers = max_rank_transfers(&layers, &change.layers) as u64;
            let loaded_at = sample.at + Millis(max_transfers * transfer_ms);
            pending_switch = Some(PendingSwitch {
                loaded_at,
                active_at: loaded_at + SWITCH_TIME,
                layers: change.layers,
            });
        }
        let is_transferring = pending_switch
            .as_ref()
            .is_some_and(|pending_switch| sample.at < pending_switch.loaded_at);
        let skew = map_skew(&layers, &next_counts);
        if skew > 0.0 {
            let step_time = 1.0 - EXPERT_SHARE + EXPERT_SHARE * skew;
            skews.push(skew);
            step_times.push(if is_transferring {
                step_time * TRANSFER_SLOWDOWN
            } else {
                step_time
            });
            transferring_samples += usize::from(is_transferring);
        }
    }
    summary.skew_mean = mean(&skews);
    summary.step_time_mean = mean(&step_times);
    summary.transfer_share = transferring_samples as f64 / skews.len().max(1) as f64;
    skews.sort_by(f64::total_cmp);
    summary.skew_p95 = skews
        .get(skews.len() * 95 / 100)
        .copied()
        .unwrap_or_default();
    summary
}

/// Rebalances the maps for known counts until no plan improves them; returns the transfers.
fn rebalance_for(
    settings: &RebalanceSettings,
    layers: &mut Vec<LayerMap>,
    next_counts: &[Vec<f64>],
) -> usize {
    let mut transfers = 0;
    for _ in 0..IDEAL_PLANS_MAX {
        let Some(change) = plan_rebalance(settings, layers, next_counts, &[]) else {
            break;
        };
        if change.transfers == 0 {
            break;
        }
        transfers += change.transfers;
        *layers = change.layers;
    }
    transfers
}

/// Returns the maps that engines start with: experts assigned to ranks in turn.
fn initial_maps(shape: GroupShape) -> Vec<LayerMap> {
    let rank = |rank: usize| {
        let own_experts = (0..shape.experts).filter(|expert| expert % shape.ranks == rank);
        own_experts.map(|expert| expert as u16).collect()
    };
    vec![(0..shape.ranks).map(rank).collect(); shape.layers]
}

/// Returns the number of experts that the rank with the most transfers loads.
fn max_rank_transfers(before: &[LayerMap], after: &[LayerMap]) -> usize {
    let ranks = before.first().map_or(0, Vec::len);
    let mut transfers = vec![0; ranks];
    for (old, new) in before.iter().zip(after) {
        for (rank, (old, new)) in old.iter().zip(new).enumerate() {
            transfers[rank] += new.iter().filter(|expert| !old.contains(expert)).count();
        }
    }
    transfers.into_iter().max().unwrap_or_default()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
