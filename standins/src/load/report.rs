//! The report of a load run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use sardinepin_common::Millis;
use sardinepin_protocol::Outcome;
use serde::{Deserialize, Serialize};

use super::answers::{AnswerError, SendResult};
use super::calls::{Call, CallKind};

/// The maximum number of wrong answers that the report describes.
const MAX_FAULTS: usize = 10;

/// The number of significant decimal digits of the latency histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// Latencies of answered calls, in milliseconds.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Latency {
    /// The number of latencies.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The maximum.
    pub max: f64,
}

/// A record of one copy of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendRecord {
    /// The kind of the call.
    pub kind: CallKind,
    /// The request identifier, which differs between copies.
    pub request: String,
    /// The idempotency key, which copies share.
    pub key: Option<String>,
    /// Whether the call was answered, did not run, or may have run.
    pub outcome: Outcome,
    /// Why the call was not answered; empty if it was.
    pub reason: String,
    /// When the outcome was known, in wall-clock time.
    pub ended_at: Millis,
    /// When the caller left without an answer, in wall-clock time.
    pub left_at: Option<Millis>,
}

/// The results of a load run. A send is one copy of a call.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Report {
    /// Sends, including second copies of keyed calls.
    pub sent: u64,
    /// Sends with a complete answer.
    pub answered: u64,
    /// Sends that did not run.
    pub not_run: u64,
    /// Sends that may have run.
    pub unknown: u64,
    /// Answers that belong to another call, are out of order, end without an end marker or error,
    /// report a second run, differ between copies or are malformed.
    pub wrong: u64,
    /// Answers among these that ended without an end marker or error.
    pub cut: u64,
    /// Answers among these that belong to another call.
    pub wrong_owner: u64,
    /// The duration of the run, in seconds.
    pub seconds: f64,
    /// Answered sends per second.
    pub answered_per_s: f64,
    /// The number of sends that were not answered, by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Latencies by kind of call, and under `first_token` the times to the first token of streams.
    pub latency_ms: BTreeMap<String, Latency>,
    /// Descriptions of the first wrong answers.
    pub faults: Vec<String>,
    /// A record of each send, if the settings ask for them.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub records: Vec<SendRecord>,
}

/// The report and histograms of a run in progress.
#[derive(Debug, Default)]
pub(super) struct ReportBuilder {
    report: Report,
    histograms: BTreeMap<&'static str, Histogram<u64>>,
}

impl ReportBuilder {
    /// Adds the result of one send.
    pub(super) fn add(
        &mut self,
        call: &Call,
        result: &SendResult,
        error: Option<AnswerError>,
        record: Option<SendRecord>,
    ) {
        let report = &mut self.report;
        report.sent += 1;
        *match result.outcome {
            Outcome::Answered => &mut report.answered,
            Outcome::NotRun => &mut report.not_run,
            Outcome::Unknown => &mut report.unknown,
        } += 1;
        if result.outcome != Outcome::Answered {
            *report.reasons.entry(result.reason.clone()).or_default() += 1;
        }
        if let Some(error) = error {
            report.wrong += 1;
            report.cut += u64::from(error == AnswerError::Cut);
            report.wrong_owner += u64::from(error == AnswerError::Owner);
            if report.faults.len() < MAX_FAULTS {
                report.faults.push(format!("{error}: {}", call.request(0)));
            }
        }
        report.records.extend(record);
        if result.outcome == Outcome::Answered {
            self.record_latency(label(call.kind), result.micros);
        }
        if let Some(micros) = result.first_token {
            self.record_latency("first_token", micros);
        }
    }

    /// Returns the report of a run of this duration.
    pub(super) fn report(&self, duration: Millis) -> Report {
        let seconds = duration.as_f64() / 1_000.0;
        let latency =
            |(kind, times): (&&'static str, &Histogram<u64>)| ((*kind).to_owned(), latency(times));
        Report {
            seconds,
            answered_per_s: self.report.answered as f64 / seconds.max(f64::EPSILON),
            latency_ms: self.histograms.iter().map(latency).collect(),
            ..self.report.clone()
        }
    }

    fn record_latency(&mut self, kind: &'static str, micros: u64) {
        if !self.histograms.contains_key(kind)
            && let Ok(times) = Histogram::new(HISTOGRAM_DIGITS)
        {
            self.histograms.insert(kind, times);
        }
        if let Some(times) = self.histograms.get_mut(kind) {
            // Recording cannot fail: the histogram resizes itself up to the largest `u64`.
            let _ = times.record(micros);
        }
    }
}

fn label(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Keyed => "keyed",
        CallKind::Plain => "plain",
        CallKind::Stream => "stream",
        CallKind::Chat => "chat",
    }
}

fn latency(times: &Histogram<u64>) -> Latency {
    let millis = |micros: u64| micros as f64 / 1_000.0;
    Latency {
        count: times.len(),
        p50: millis(times.value_at_quantile(0.50)),
        p95: millis(times.value_at_quantile(0.95)),
        p99: millis(times.value_at_quantile(0.99)),
        max: millis(times.max()),
    }
}
