//! The figures of one run.

use std::collections::BTreeMap;
use std::ops::Range;

use serde_json::{Value, json};

use super::client::{Ending, Sample};
use super::deployment::{NORMAL_DEADLINE, URGENT_DEADLINE, capacity};
use super::trace::{Phases, SECOND};
use super::{Fault, Plan};

/// The length of the parts in which the return to normal is looked for, in microseconds.
const PART: u64 = SECOND / 4;

/// The least share of calls that are answered in a normal part.
const NORMAL_ANSWERED: f64 = 0.95;

/// The most that latency may be in a normal part, as a multiple of the unloaded phase's.
const NORMAL_LATENCY: f64 = 1.5;

/// The quantile of latency by which a part is judged.
const PART_QUANTILE: f64 = 0.9;

/// What one run gave.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) plan: Plan,
    pub(super) phases: Phases,
    pub(super) samples: Vec<Sample>,
    /// Retries by reason, in the whole run.
    pub(super) retries: BTreeMap<String, u64>,
    /// The share of the capacity that the engines computed in the measured phase.
    pub(super) engine_use: f64,
}

/// Returns the line of a run.
pub(super) fn line(policy: &str, run: &Run) -> Value {
    let Run { plan, phases, .. } = run;
    let rate = capacity(plan.upstreams);
    let available = available(run);
    let served: u64 = served(run).iter().sum();
    let fair = fair_shares(run, available);
    let p99 = |urgent: bool, phase: &Range<u64>| {
        quantile(latencies(run, Some(urgent), phase), 0.99).map(|micros| micros / 1_000.0)
    };
    let quiet = [true, false].map(|urgent| p99(urgent, &phases.quiet));
    let busy = [true, false].map(|urgent| p99(urgent, &phases.measured));
    let ratio = |at: usize| Some(round(busy[at]? / quiet[at]?));
    let answered = count(run, Sample::is_answered);
    let retries: u64 = run.retries.values().sum();
    // Not all sends are counted, so this is the most that the ratio can be.
    let sends = (answered as u64 + retries).max(1);
    let (refused, bare) = refusals(run, |_| true);
    let (urgent_refused, _) = refusals(run, |one| one.call.urgent);
    let p50 = |urgent: bool| {
        quantile(latencies(run, Some(urgent), &phases.measured), 0.5)
            .map(|micros| round(micros / 1_000.0))
    };
    json!({
        "trial": "overload", "policy": policy, "seed": plan.seed, "load": plan.load,
        "fault": format!("{:?}", plan.fault).to_lowercase(),
        "entries": plan.entries, "upstreams": plan.upstreams, "orgs": plan.organisations,
        "seconds": plan.seconds,
        "capacity_tokens_s": rate, "capacity_from": "settings",
        "goodput": round(served as f64 / available),
        "engine_use": round(run.engine_use),
        "urgent_p99_ms": busy[0].map(round), "urgent_p99_ratio": ratio(0),
        "normal_p99_ms": busy[1].map(round), "normal_p99_ratio": ratio(1),
        "urgent_p50_ms": p50(true), "normal_p50_ms": p50(false),
        "urgent_answered": round(answered_share(run, true)),
        "normal_answered": round(answered_share(run, false)),
        "fair_min": fair.iter().copied().fold(f64::INFINITY, f64::min),
        "fair_shares": fair,
        "retry_ratio": round(retries as f64 / sends as f64),
        "late_answers": count(run, is_late),
        "wrong": count(run, |one| matches!(one.ending, Ending::Wrong(_))),
        "recovery_ms": recovery(run),
        "client_lag_p99_ms": quantile(lags(run), 0.99).map(|micros| round(micros / 1_000.0)),
        "calls": run.samples.len(), "answered": answered,
        "refusals": refused, "refusals_without_retry_after": bare,
        "urgent_refusals": urgent_refused,
        "unknown": unknown(run), "retries": run.retries,
    })
}

/// Returns the tokens that the engines could compute in the measured phase, in all.
fn available(run: &Run) -> f64 {
    let Run { plan, phases, .. } = run;
    let seconds = |span: Range<u64>| (span.end - span.start) as f64 / SECOND as f64;
    let all = seconds(phases.measured.clone()) * capacity(plan.upstreams);
    if plan.fault == Fault::None {
        return all;
    }
    let broken = phases.fault().max(phases.measured.start)..phases.measured.end;
    all - seconds(broken) * capacity(1)
}

/// Returns the tokens of answers in time that ended in the measured phase, by organisation.
fn served(run: &Run) -> Vec<u64> {
    let mut served = vec![0; run.plan.organisations];
    let in_time = |one: &&Sample| one.is_answered() && !is_late(one);
    for one in run.samples.iter().filter(in_time) {
        if run.phases.measured.contains(&one.done) {
            served[one.call.organisation] += one.call.tokens;
        }
    }
    served
}

/// Returns the share of its max-min fair share that each organisation with calls was served, the
/// organisation with the most calls first.
fn fair_shares(run: &Run, available: f64) -> Vec<f64> {
    let mut wanted = vec![0; run.plan.organisations];
    for one in &run.samples {
        if run.phases.measured.contains(&one.call.at) {
            wanted[one.call.organisation] += one.call.tokens;
        }
    }
    let fair = max_min(&wanted, available);
    served(run)
        .into_iter()
        .zip(fair)
        .filter(|(_, fair)| *fair > 0.0)
        .map(|(served, fair)| round(served as f64 / fair))
        .collect()
}

/// Shares `available` out: the smallest demands whole, the others equally.
fn max_min(wanted: &[u64], available: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by_key(|at| wanted[*at]);
    let mut fair = vec![0.0; wanted.len()];
    let mut left = available;
    for (done, at) in order.into_iter().enumerate() {
        let equal = left / (wanted.len() - done) as f64;
        fair[at] = equal.min(wanted[at] as f64);
        left -= fair[at];
    }
    fair
}

/// Says whether a call was answered after its deadline.
fn is_late(one: &Sample) -> bool {
    let deadline = if one.call.urgent {
        URGENT_DEADLINE
    } else {
        NORMAL_DEADLINE
    };
    one.is_answered() && one.latency() > deadline.0 * 1_000
}

/// Returns the latencies of answered calls that were due in a phase, in microseconds.
fn latencies(run: &Run, urgent: Option<bool>, phase: &Range<u64>) -> Vec<u64> {
    run.samples
        .iter()
        .filter(|one| phase.contains(&one.call.at) && one.is_answered())
        .filter(|one| urgent.is_none_or(|urgent| urgent == one.call.urgent))
        .map(Sample::latency)
        .collect()
}

/// Returns how late the client sent each call, in microseconds.
fn lags(run: &Run) -> Vec<u64> {
    let lag = |one: &Sample| one.begun.saturating_sub(one.call.at);
    run.samples.iter().map(lag).collect()
}

/// Returns a quantile of values; `None` if there are none.
fn quantile(mut values: Vec<u64>, quantile: f64) -> Option<f64> {
    values.sort_unstable();
    let rank = (values.len() as f64 * quantile).ceil() as usize;
    let value = values.get(rank.saturating_sub(1))?;
    Some(*value as f64)
}

/// Returns the share of calls of a class that were answered in the measured phase.
fn answered_share(run: &Run, urgent: bool) -> f64 {
    let due = count(run, |one| {
        one.call.urgent == urgent && run.phases.measured.contains(&one.call.at)
    });
    latencies(run, Some(urgent), &run.phases.measured).len() as f64 / due.max(1) as f64
}

fn count(run: &Run, holds: impl Fn(&Sample) -> bool) -> usize {
    run.samples.iter().filter(|one| holds(one)).count()
}

/// Returns refusals of some calls by reason, and those of them that lacked Retry-After.
fn refusals(
    run: &Run,
    wanted: impl Fn(&Sample) -> bool,
) -> (BTreeMap<&str, u64>, BTreeMap<&str, u64>) {
    let mut all = BTreeMap::new();
    let mut bare = BTreeMap::new();
    for one in run.samples.iter().filter(|one| wanted(one)) {
        if let Ending::Refused { reason, has_retry } = &one.ending {
            *all.entry(reason.as_str()).or_default() += 1;
            if !has_retry {
                *bare.entry(reason.as_str()).or_default() += 1;
            }
        }
    }
    (all, bare)
}

/// Returns calls that may have run, by reason.
fn unknown(run: &Run) -> BTreeMap<&str, u64> {
    let mut unknown = BTreeMap::new();
    for one in &run.samples {
        if let Ending::Unknown(reason) = &one.ending {
            *unknown.entry(reason.as_str()).or_default() += 1;
        }
    }
    unknown
}

/// Returns how long after the overload every part is normal, in milliseconds; `None` if the last
/// part is not.
fn recovery(run: &Run) -> Option<u64> {
    let after = &run.phases.after;
    let unloaded = quantile(latencies(run, None, &run.phases.quiet), PART_QUANTILE);
    let is_normal = |part: &Range<u64>| {
        let due = count(run, |one| part.contains(&one.call.at)) as f64;
        let times = latencies(run, None, part);
        let answered = times.len() as f64;
        let (Some(latency), Some(unloaded)) = (quantile(times, PART_QUANTILE), unloaded) else {
            return due == 0.0;
        };
        answered >= due * NORMAL_ANSWERED && latency <= unloaded * NORMAL_LATENCY
    };
    let starts = (after.start..after.end).step_by(PART as usize);
    let parts = starts.map(|start| start..start + PART);
    let last = parts.filter(|part| !is_normal(part)).last();
    let normal_from = last.map_or(after.start, |part| part.end);
    (normal_from < after.end).then(|| (normal_from - after.start) / 1_000)
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
