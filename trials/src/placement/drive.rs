//! Runs one way of placement over a trace.

use anyhow::Context;
use sardinepin_common::{Clock, Millis};
use sardinepin_groups::{ExpertMap, LoadEstimate, PlacementSettings, place_experts, split_loads};

use crate::placement::strategy::Strategy;
use crate::placement::workload::{Shape, Trace, WARM_UP};

/// The pause for each expert that the busiest rank puts in place, in milliseconds.
const INSTALL_MS: u64 = 1;

/// What a way of placement came to.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) skew_mean: f64,
    pub(crate) skew_p95: f64,
    pub(crate) bytes_moved: u64,
    pub(crate) pause_ms: u64,
    pub(crate) switches: u64,
    /// The mean time of a decision, in milliseconds.
    pub(crate) decide_ms: f64,
    /// The longest decision, in milliseconds; on a shared machine it holds waits for a core too.
    pub(crate) decide_max: f64,
}

/// A map whose experts are being loaded.
struct Loading {
    map: ExpertMap,
    ready: usize,
}

/// Runs `way` from the map that the warm-up's reports lead to.
pub(crate) fn drive(
    trace: &Trace,
    shape: &Shape,
    settings: &PlacementSettings,
    way: &mut dyn Strategy,
) -> anyhow::Result<Outcome> {
    let (early, late) = trace.reports.split_at(WARM_UP);
    let mut map = first_map(early, shape, settings)?;
    early.iter().for_each(|round| way.report(round));
    let mut outcome = Outcome::default();
    let mut skews = Vec::new();
    let mut decisions = 0.0;
    let mut loading: Option<Loading> = None;
    let clock = Clock::start();
    for (second, (tokens, round)) in trace.steps.iter().zip(late).enumerate() {
        way.report(round);
        if loading.as_ref().is_some_and(|next| next.ready <= second) {
            map = loading.take().map_or(map, |next| next.map);
        }
        if loading.is_none() && way.is_due(second) {
            let begun = clock.now_micros();
            let next = way.decide(Millis(second as u64 * 1_000), &map);
            let spent = (clock.now_micros() - begun) as f64 / 1_000.0;
            decisions += 1.0;
            outcome.decide_ms += (spent - outcome.decide_ms) / decisions;
            outcome.decide_max = outcome.decide_max.max(spent);
            loading = next.map(|next| load(&mut outcome, &map, next, second, settings));
        }
        skews.push(skew(&map, tokens));
    }
    outcome.skew_mean = skews.iter().sum::<f64>() / skews.len() as f64;
    skews.sort_by(f64::total_cmp);
    outcome.skew_p95 = skews[skews.len() * 95 / 100];
    Ok(outcome)
}

/// Returns the slowest rank's tokens over the mean.
pub(crate) fn skew(map: &ExpertMap, tokens: &[f64]) -> f64 {
    let totals = split_loads(map, tokens);
    // A replica gets whole tokens, so a rank may get one more than its share.
    let slowest = totals.iter().copied().fold(0.0, f64::max).ceil();
    slowest * totals.len() as f64 / totals.iter().sum::<f64>()
}

/// Counts the cost of a switch; the map is in use once the weight store has given its experts.
fn load(
    outcome: &mut Outcome,
    before: &ExpertMap,
    map: ExpertMap,
    second: usize,
    settings: &PlacementSettings,
) -> Loading {
    let bytes = map.transfers_from(before) as u64 * settings.expert_bytes;
    let busiest = map
        .ranks()
        .zip(before.ranks())
        .map(|(now, old)| now.iter().filter(|expert| !old.contains(expert)).count())
        .max()
        .unwrap_or(0);
    outcome.bytes_moved += bytes;
    outcome.switches += 1;
    outcome.pause_ms += settings.switch_pause.0 + INSTALL_MS * busiest as u64;
    Loading {
        map,
        ready: second + 1 + (bytes / settings.store_rate) as usize,
    }
}

fn first_map(
    early: &[Vec<Option<f64>>],
    shape: &Shape,
    settings: &PlacementSettings,
) -> anyhow::Result<ExpertMap> {
    let mut estimate = LoadEstimate::new(
        shape.experts,
        settings.report_weight,
        settings.forecast_rounds,
    );
    early.iter().for_each(|round| estimate.record_loads(round));
    place_experts(&estimate.loads(), shape.ranks, shape.per_rank()).context("no placement fits")
}
