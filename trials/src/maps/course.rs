//! One way, from the first look to the last.

use sardinepin_common::Millis;
use sardinepin_groups::{LayerMap, Popularity, RebalanceSettings, map_skew, plan_rebalance};

use crate::maps::traffic::{EXPERTS, LAYERS, RANKS, Traffic};
use crate::maps::ways::Way;

/// How long a switch takes beyond the loads.
const SWITCH: Millis = Millis(80);

/// The share of a step's work that goes to experts.
const EXPERT_SHARE: f64 = 0.85;

/// How much longer steps take while experts are loaded.
const LOADING_FACTOR: f64 = 1.15;

/// How often an ideal map is improved at one look.
const IDEAL_ROUNDS: usize = 6;

/// What came of a way.
#[derive(Debug, Default)]
pub(crate) struct Figures {
    /// The slowest rank over the mean.
    pub(crate) skew_mean: f64,
    pub(crate) skew_p95: f64,
    /// The time of a step against one with even ranks and no loads.
    pub(crate) step_mean: f64,
    pub(crate) loads: usize,
    pub(crate) switches: usize,
    /// The share of the time in which experts were loaded.
    pub(crate) loading: f64,
}

/// A change under way.
#[derive(Debug)]
struct Pending {
    ready: Millis,
    loaded: Millis,
    layers: Vec<LayerMap>,
}

/// Runs one way.
pub(crate) fn run_course(traffic: &Traffic, way: &Way, load_ms: u64) -> Figures {
    let mut figures = Figures::default();
    let mut layers = first_maps();
    let mut popularity = Popularity::new(way.popularity);
    let mut pending: Option<Pending> = None;
    let mut settled = Millis::ZERO;
    let (mut skews, mut steps, mut loading) = (Vec::new(), Vec::new(), 0);
    for (at, look) in traffic.looks.iter().enumerate() {
        popularity.record_counts(look.at, 1, &[Some(look.counts.clone())], EXPERTS);
        if let Some(done) = pending.take_if(|pending| look.at >= pending.ready) {
            layers = done.layers;
            settled = done.ready + way.settle;
        }
        let Some(coming) = traffic.between(at) else {
            break;
        };
        if let Some(settings) = &way.plan
            && way.ideal
        {
            figures.loads += improve(settings, &mut layers, &coming);
        } else if let Some(settings) = &way.plan
            && pending.is_none()
            && look.at >= settled
            && let Some(demand) = popularity.demand(LAYERS, EXPERTS)
            && let Some(change) = plan_rebalance(settings, &layers, &demand)
        {
            figures.loads += change.transfers;
            figures.switches += 1;
            let most = most_loads(&layers, &change.layers) as u64;
            let loaded = look.at + Millis(most * load_ms);
            pending = Some(Pending {
                loaded,
                ready: loaded + SWITCH,
                layers: change.layers,
            });
        }
        let slowed = pending
            .as_ref()
            .is_some_and(|pending| look.at < pending.loaded);
        let skew = map_skew(&layers, &coming);
        if skew > 0.0 {
            let step = 1.0 - EXPERT_SHARE + EXPERT_SHARE * skew;
            skews.push(skew);
            steps.push(if slowed { step * LOADING_FACTOR } else { step });
            loading += usize::from(slowed);
        }
    }
    figures.skew_mean = mean(&skews);
    figures.step_mean = mean(&steps);
    figures.loading = loading as f64 / skews.len().max(1) as f64;
    skews.sort_by(f64::total_cmp);
    figures.skew_p95 = skews
        .get(skews.len() * 95 / 100)
        .copied()
        .unwrap_or_default();
    figures
}

/// Changes the maps for counts that are known, as far as that helps; returns the loads.
fn improve(settings: &RebalanceSettings, layers: &mut Vec<LayerMap>, coming: &[Vec<f64>]) -> usize {
    let mut loads = 0;
    for _ in 0..IDEAL_ROUNDS {
        let Some(change) = plan_rebalance(settings, layers, coming) else {
            break;
        };
        if change.transfers == 0 {
            break;
        }
        loads += change.transfers;
        *layers = change.layers;
    }
    loads
}

/// Returns the maps that engines begin with: experts in turn.
fn first_maps() -> Vec<LayerMap> {
    let rank = |rank: usize| {
        let mine = (0..EXPERTS).filter(|expert| expert % RANKS == rank);
        mine.map(|expert| expert as u16).collect()
    };
    vec![(0..RANKS).map(rank).collect(); LAYERS]
}

/// Returns how many experts the busiest rank loads.
fn most_loads(before: &[LayerMap], after: &[LayerMap]) -> usize {
    let mut loads = [0; RANKS];
    for (old, new) in before.iter().zip(after) {
        for (rank, (old, new)) in old.iter().zip(new).enumerate() {
            loads[rank] += new.iter().filter(|expert| !old.contains(expert)).count();
        }
    }
    loads.into_iter().max().unwrap_or_default()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
