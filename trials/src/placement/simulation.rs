//! Simulates one placement strategy over a trace.

use anyhow::Context;
use sardinepin_common::{Clock, Millis};
use sardinepin_groups::{ExpertMap, LoadEstimate, PlacementSettings, place_experts, split_loads};

use crate::placement::strategy::Strategy;
use crate::placement::workload::{Trace, WARM_UP_SECONDS, WorkloadSettings};

/// The pause per expert that the rank with the most new experts installs, in milliseconds.
const INSTALL_MS_PER_EXPERT: u64 = 1;

/// The results of a placement strategy.
#[derive(Debug, Default)]
pub(crate) struct Summary {
    /// The load of the slowest rank over the mean load.
    pub(crate) skew_mean: f64,
    pub(crate) skew_p95: f64,
    pub(crate) bytes_moved: u64,
    /// The total pause of all switches, in milliseconds.
    pub(crate) pause_ms: u64,
    pub(crate) switches: u64,
    /// The mean time of a decision, in milliseconds.
    pub(crate) decide_ms: f64,
    /// The longest decision, in milliseconds. On a shared machine this includes waits for a core.
    pub(crate) decide_max_ms: f64,
}

/// A map whose experts are being loaded, and the second in which it comes into use.
struct PendingMap {
    map: ExpertMap,
    active_second: usize,
}

/// Simulates `strategy`, starting with a map placed from the reports of the warm-up.
pub(crate) fn simulate(
    trace: &Trace,
    workload: &WorkloadSettings,
    settings: &PlacementSettings,
    strategy: &mut dyn Strategy,
) -> anyhow::Result<Summary> {
    let (warm_up_reports, reports) = trace.reports.split_at(WARM_UP_SECONDS);
    let mut map = initial_map(warm_up_reports, workload, settings)?;
    warm_up_reports
        .iter()
        .for_each(|report| strategy.observe(report));
    let mut summary = Summary::default();
    let mut skews = Vec::new();
    let mut decisions = 0.0;
    let mut pending: Option<PendingMap> = None;
    let clock = Clock::start();
    for (second, (tokens, report)) in trace.steps.iter().zip(reports).enumerate() {
        strategy.observe(report);
        if pending
            .as_ref()
            .is_some_and(|next| next.active_second <= second)
        {
            map = pending.take().map_or(map, |next| next.map);
        }
        if pending.is_none() && strategy.is_due(second) {
            let started = clock.now_micros();
            let next = strategy.decide(Millis(second as u64 * 1_000), &map);
            let elapsed_ms = (clock.now_micros() - started) as f64 / 1_000.0;
            decisions += 1.0;
            summary.decide_ms += (elapsed_ms - summary.decide_ms) / decisions;
            summary.decide_max_ms = summary.decide_max_ms.max(elapsed_ms);
            pending = next.map(|next| start_switch(&mut summary, &map, next, second, settings));
        }
        skews.push(skew(&map, tokens));
    }
    summary.skew_mean = skews.iter().sum::<f64>() / skews.len() as f64;
    skews.sort_by(f64::total_cmp);
    summary.skew_p95 = skews[skews.len() * 95 / 100];
    Ok(summary)
}

/// Returns the tokens of the slowest rank over the mean.
pub(crate) fn skew(map: &ExpertMap, tokens: &[f64]) -> f64 {
    let totals = split_loads(map, tokens);
    // Replicas process whole tokens, so a rank may get one more than its share.
    let slowest = totals.iter().copied().fold(0.0, f64::max).ceil();
    slowest * totals.len() as f64 / totals.iter().sum::<f64>()
}

/// Adds the cost of a switch to the summary. The map comes into use once the weight store has
/// transferred its experts.
fn start_switch(
    summary: &mut Summary,
    before: &ExpertMap,
    map: ExpertMap,
    second: usize,
    settings: &PlacementSettings,
) -> PendingMap {
    let bytes = map.transfers_from(before) as u64 * settings.expert_bytes;
    let busiest = map
        .ranks()
        .zip(before.ranks())
        .map(|(now, old)| now.iter().filter(|expert| !old.contains(expert)).count())
        .max()
        .unwrap_or(0);
    summary.bytes_moved += bytes;
    summary.switches += 1;
    summary.pause_ms += settings.switch_pause.0 + INSTALL_MS_PER_EXPERT * busiest as u64;
    PendingMap {
        map,
        active_second: second + 1 + (bytes / settings.store_rate) as usize,
    }
}

fn initial_map(
    warm_up_reports: &[Vec<Option<f64>>],
    workload: &WorkloadSettings,
    settings: &PlacementSettings,
) -> anyhow::Result<ExpertMap> {
    let mut estimate = LoadEstimate::new(
        workload.experts,
        settings.report_weight,
        settings.forecast_rounds,
    );
    warm_up_reports
        .iter()
        .for_each(|report| estimate.record_loads(report));
    place_experts(&estimate.loads(), workload.ranks, workload.slots_per_rank())
        .context("the experts do not fit into the slots of the ranks")
}
