//! The metrics of the process and their Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;
use tokio::time::MissedTickBehavior;

mod serve;

#[cfg(test)]
mod tests;

pub use serve::serve;

/// The counter of responses other than a complete one, labelled with the reason of [`ErrorKind`].
pub const REFUSALS: &str = "sardinepin_refusals_total";

/// The counter of retried attempts, labelled with the reason of [`ErrorKind`].
pub const RETRIES: &str = "sardinepin_retries_total";

/// The name of the label with the reason.
const REASON_LABEL: &str = "reason";

/// The interval at which the recorder's samples are drained.
const UPKEEP_INTERVAL: Millis = Millis(5_000);

/// The suffix of the names of all histograms of durations.
const MILLISECONDS_SUFFIX: &str = "_milliseconds";

/// The upper bounds of the histogram buckets for durations, in milliseconds.
const MILLISECONDS_BUCKETS: [f64; 14] = [
    0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 10_000.0, 60_000.0,
];

/// The handle of the process's metrics recorder, or the error from installing it.
///
/// A process can have only one recorder, so every [`Telemetry`] shares it.
static RECORDER: OnceLock<Result<PrometheusHandle, String>> = OnceLock::new();

/// Renders the metrics of the process.
#[derive(Clone)]
pub struct Telemetry {
    handle: PrometheusHandle,
}

impl std::fmt::Debug for Telemetry {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str("Telemetry")
    }
}

impl Telemetry {
    /// Installs the metrics recorder of the process unless that is done already, and registers the
    /// counters of all reasons at zero.
    ///
    /// # Errors
    ///
    /// Returns an error if another recorder is installed.
    pub fn install() -> anyhow::Result<Self> {
        let handle = RECORDER.get_or_init(|| install_recorder().map_err(|error| error.to_string()));
        match handle {
            Ok(handle) => Ok(Self {
                handle: handle.clone(),
            }),
            Err(error) => anyhow::bail!("the metrics recorder cannot be installed: {error}"),
        }
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Drains buffered histogram samples and frees their memory.
    pub fn upkeep(&self) {
        self.handle.run_upkeep();
    }

    /// Drains buffered histogram samples every few seconds, until the future is dropped. Each process has to run it, whether or not
    /// anybody fetches its metrics, as the recorder keeps every sample until then.
    pub async fn maintain(self) {
        let mut interval = tokio::time::interval(UPKEEP_INTERVAL.duration());
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.upkeep();
        }
    }
}

/// Counts a response other than a complete one, by its reason.
pub fn count_refusal(kind: ErrorKind) {
    metrics::counter!(REFUSALS, REASON_LABEL => kind.response().label).increment(1);
}

/// Counts a retried attempt, by the reason for which it ended.
pub fn count_retry(kind: ErrorKind) {
    metrics::counter!(RETRIES, REASON_LABEL => kind.response().label).increment(1);
}

fn install_recorder() -> anyhow::Result<PrometheusHandle> {
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(
            Matcher::Suffix(MILLISECONDS_SUFFIX.to_owned()),
            &MILLISECONDS_BUCKETS,
        )?
        .build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|error| anyhow::anyhow!("{error}"))?;
    register_reason_counters();
    Ok(handle)
}

/// Registers the counters of all reasons at zero.
///
/// Without an initial zero, a rate over a counter would miss its first increment.
fn register_reason_counters() {
    metrics::describe_counter!(REFUSALS, "Answers other than a whole one, by reason.");
    metrics::describe_counter!(RETRIES, "Attempts followed by another one, by reason.");
    for kind in ErrorKind::ALL {
        let label = kind.response().label;
        metrics::counter!(REFUSALS, REASON_LABEL => label).absolute(0);
        metrics::counter!(RETRIES, REASON_LABEL => label).absolute(0);
    }
}
