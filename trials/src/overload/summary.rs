//! Computes the figures of one run.

use std::collections::BTreeMap;
use std::ops::Range;

use serde_json::{Value, json};

use super::client::{CallOutcome, Sample};
use super::deployment::{NORMAL_DEADLINE, URGENT_DEADLINE, capacity_tokens_per_second};
use super::trace::{MICROS_PER_SECOND, Phases};
use super::{Fault, Options};

/// The length of the intervals in which recovery after the overload is checked, in microseconds.
const RECOVERY_INTERVAL_MICROS: u64 = MICROS_PER_SECOND / 4;

/// The least share of answered calls in a recovered interval.
const RECOVERED_ANSWERED_SHARE: f64 = 0.95;

/// The highest latency in a recovered interval, as a multiple of that in the unloaded phase.
const RECOVERED_LATENCY_FACTOR: f64 = 1.5;

/// The latency quantile that is compared to detect recovery.
const RECOVERY_QUANTILE: f64 = 0.9;

/// The measurements of one run.
#[derive(Debug)]
pub(super) struct RunResult {
    pub(super) options: Options,
    pub(super) phases: Phases,
    pub(super) samples: Vec<Sample>,
    /// Retries by reason, over the whole run.
    pub(super) retries: BTreeMap<String, u64>,
    /// The share of their capacity that the engines used in the measured phase.
    pub(super) engine_use: f64,
}

/// Returns the JSON line of a run.
pub(super) fn summarise(policy: &str, result: &RunResult) -> Value {
    let RunResult {
        options, phases, ..
    } = result;
    let capacity = capacity_tokens_per_second(options.upstreams);
    let available = available_tokens(result);
    let served: u64 = served_tokens(result).iter().sum();
    let fair = fair_shares(result, available);
    let p99_ms = |urgent: bool, phase: &Range<u64>| {
        quantile(answered_latencies(result, Some(urgent), phase), 0.99)
            .map(|micros| micros / 1_000.0)
    };
    let unloaded_p99 = [true, false].map(|urgent| p99_ms(urgent, &phases.unloaded));
    let overload_p99 = [true, false].map(|urgent| p99_ms(urgent, &phases.measured));
    let ratio = |class: usize| Some(round(overload_p99[class]? / unloaded_p99[class]?));
    let answered = count(result, Sample::is_answered);
    let retries: u64 = result.retries.values().sum();
    // Sends that were not answered are not counted, so this is an upper bound of the ratio.
    let sends = (answered as u64 + retries).max(1);
    let (refused, without_retry_after) = refusals(result, |_| true);
    let (urgent_refused, _) = refusals(result, |sample| sample.call.urgent);
    let p50_ms = |urgent: bool| {
        quantile(
            answered_latencies(result, Some(urgent), &phases.measured),
            0.5,
        )
        .map(|micros| round(micros / 1_000.0))
    };
    json!({
        "trial": "overload", "policy": policy, "seed": options.seed, "load": options.load,
        "fault": format!("{:?}", options.fault).to_lowercase(),
        "entries": options.entries, "upstreams": options.upstreams, "orgs": options.organisations,
        "seconds": options.seconds,
        "capacity_tokens_s": capacity, "capacity_from": "settings",
        "goodput": round(served as f64 / available),
        "engine_use": round(result.engine_use),
        "urgent_p99_ms": overload_p99[0].map(round), "urgent_p99_ratio": ratio(0),
        "normal_p99_ms": overload_p99[1].map(round), "normal_p99_ratio": ratio(1),
        "urgent_p50_ms": p50_ms(true), "normal_p50_ms": p50_ms(false),
        "urgent_answered": round(answered_share(result, true)),
        "normal_answered": round(answered_share(result, false)),
        "fair_min": fair.iter().copied().fold(f64::INFINITY, f64::min),
        "fair_shares": fair,
        "retry_ratio": round(retries as f64 / sends as f64),
        "late_answers": count(result, is_late),
        "wrong": count(result, |sample| matches!(sample.outcome, CallOutcome::Wrong(_))),
        "recovery_ms": recovery_ms(result),
        "client_lag_p99_ms":
            quantile(send_lags(result), 0.99).map(|micros| round(micros / 1_000.0)),
        "calls": result.samples.len(), "answered": answered,
        "refusals": refused, "refusals_without_retry_after": without_retry_after,
        "urgent_refusals": urgent_refused,
        "unknown": unknown_outcomes(result), "retries": result.retries,
    })
}

/// Returns the tokens that the engines could compute in the measured phase, without a faulty engine
/// from its fault on.
fn available_tokens(result: &RunResult) -> f64 {
    let RunResult {
        options, phases, ..
    } = result;
    let seconds = |span: Range<u64>| (span.end - span.start) as f64 / MICROS_PER_SECOND as f64;
    let all = seconds(phases.measured.clone()) * capacity_tokens_per_second(options.upstreams);
    if options.fault == Fault::None {
        return all;
    }
    let faulty = phases.fault_start().max(phases.measured.start)..phases.measured.end;
    all - seconds(faulty) * capacity_tokens_per_second(1)
}

/// Returns the tokens of timely answers that ended in the measured phase, by organisation.
fn served_tokens(result: &RunResult) -> Vec<u64> {
    let mut served = vec![0; result.options.organisations];
    let in_time = |sample: &&Sample| sample.is_answered() && !is_late(sample);
    for sample in result.samples.iter().filter(in_time) {
        if result.phases.measured.contains(&sample.ended_at) {
            served[sample.call.organisation] += sample.call.tokens;
        }
    }
    served
}

/// Returns the served tokens of each organisation with calls over its max-min fair share, starting
/// with the organisation that is expected to send the most calls.
fn fair_shares(result: &RunResult, available: f64) -> Vec<f64> {
    let mut requested = vec![0; result.options.organisations];
    for sample in &result.samples {
        if result.phases.measured.contains(&sample.call.due_at) {
            requested[sample.call.organisation] += sample.call.tokens;
        }
    }
    let fair = max_min(&requested, available);
    served_tokens(result)
        .into_iter()
        .zip(fair)
        .filter(|(_, fair)| *fair > 0.0)
        .map(|(served, fair)| round(served as f64 / fair))
        .collect()
}

/// Divides `available` by max-min fairness: the smallest demands are met in full, the others get
/// equal shares.
fn max_min(requested: &[u64], available: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..requested.len()).collect();
    order.sort_by_key(|index| requested[*index]);
    let mut fair = vec![0.0; requested.len()];
    let mut remaining = available;
    for (satisfied, index) in order.into_iter().enumerate() {
        let equal = remaining / (requested.len() - satisfied) as f64;
        fair[index] = equal.min(requested[index] as f64);
        remaining -= fair[index];
    }
    fair
}

/// Returns whether a call was answered after its deadline.
fn is_late(sample: &Sample) -> bool {
    let deadline = if sample.call.urgent {
        URGENT_DEADLINE
    } else {
        NORMAL_DEADLINE
    };
    sample.is_answered() && sample.latency() > deadline.0 * 1_000
}

/// Returns the latencies of answered calls that were due in a phase, in microseconds; `urgent`
/// selects a class.
fn answered_latencies(result: &RunResult, urgent: Option<bool>, phase: &Range<u64>) -> Vec<u64> {
    result
        .samples
        .iter()
        .filter(|sample| phase.contains(&sample.call.due_at) && sample.is_answered())
        .filter(|sample| urgent.is_none_or(|urgent| urgent == sample.call.urgent))
        .map(Sample::latency)
        .collect()
}

/// Returns the time from when each call was due until it was sent, in microseconds.
fn send_lags(result: &RunResult) -> Vec<u64> {
    let lag = |sample: &Sample| sample.sent_at.saturating_sub(sample.call.due_at);
    result.samples.iter().map(lag).collect()
}

/// Returns a quantile of values, or `None` if there are none.
fn quantile(mut values: Vec<u64>, quantile: f64) -> Option<f64> {
    values.sort_unstable();
    let rank = (values.len() as f64 * quantile).ceil() as usize;
    let value = values.get(rank.saturating_sub(1))?;
    Some(*value as f64)
}

/// Returns the share of calls of a class that were answered in the measured phase.
fn answered_share(result: &RunResult, urgent: bool) -> f64 {
    let due = count(result, |sample| {
        sample.call.urgent == urgent && result.phases.measured.contains(&sample.call.due_at)
    });
    answered_latencies(result, Some(urgent), &result.phases.measured).len() as f64
        / due.max(1) as f64
}

fn count(result: &RunResult, holds: impl Fn(&Sample) -> bool) -> usize {
    result.samples.iter().filter(|sample| holds(sample)).count()
}

/// Returns the refusals of selected calls by reason, and those of them without `Retry-After`.
fn refusals(
    result: &RunResult,
    selects: impl Fn(&Sample) -> bool,
) -> (BTreeMap<&str, u64>, BTreeMap<&str, u64>) {
    let mut all = BTreeMap::new();
    let mut without_retry_after = BTreeMap::new();
    for sample in result.samples.iter().filter(|sample| selects(sample)) {
        if let CallOutcome::Refused {
            reason,
            has_retry_after,
        } = &sample.outcome
        {
            *all.entry(reason.as_str()).or_default() += 1;
            if !has_retry_after {
                *without_retry_after.entry(reason.as_str()).or_default() += 1;
            }
        }
    }
    (all, without_retry_after)
}

/// Returns the number of calls that may have run, by reason.
fn unknown_outcomes(result: &RunResult) -> BTreeMap<&str, u64> {
    let mut unknown = BTreeMap::new();
    for sample in &result.samples {
        if let CallOutcome::Unknown(reason) = &sample.outcome {
            *unknown.entry(reason.as_str()).or_default() += 1;
        }
    }
    unknown
}

/// Returns the time from the end of the overload until all later intervals are recovered, in
/// milliseconds; `None` if the last interval is not.
fn recovery_ms(result: &RunResult) -> Option<u64> {
    let after = &result.phases.after;
    let unloaded_latency = quantile(
        answered_latencies(result, None, &result.phases.unloaded),
        RECOVERY_QUANTILE,
    );
    let is_recovered = |interval: &Range<u64>| {
        let due = count(result, |sample| interval.contains(&sample.call.due_at)) as f64;
        let latencies = answered_latencies(result, None, interval);
        let answered = latencies.len() as f64;
        let (Some(latency), Some(unloaded_latency)) =
            (quantile(latencies, RECOVERY_QUANTILE), unloaded_latency)
        else {
            return due == 0.0;
        };
        answered >= due * RECOVERED_ANSWERED_SHARE
            && latency <= unloaded_latency * RECOVERED_LATENCY_FACTOR
    };
    let starts = (after.start..after.end).step_by(RECOVERY_INTERVAL_MICROS as usize);
    let intervals = starts.map(|start| start..start + RECOVERY_INTERVAL_MICROS);
    let last_unrecovered = intervals.filter(|interval| !is_recovered(interval)).last();
    let recovered_at = last_unrecovered.map_or(after.start, |interval| interval.end);
    (recovered_at < after.end).then(|| (recovered_at - after.start) / 1_000)
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
