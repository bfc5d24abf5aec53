//! Metrics of the process and their text for Prometheus.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use sardinepin_protocol::ErrorKind;

mod serve;

#[cfg(test)]
mod tests;

pub use serve::serve;

/// Counts answers other than a whole one, by the reason of [`ErrorKind`].
pub const REFUSALS: &str = "sardinepin_refusals_total";

/// Counts attempts that were followed by another one, by the reason of [`ErrorKind`].
pub const RETRIES: &str = "sardinepin_retries_total";

/// The label that bears the reason.
const REASON: &str = "reason";

/// The end of the names of all histograms of times in milliseconds.
const MILLISECONDS_SUFFIX: &str = "_milliseconds";

/// The upper bounds of the buckets of times, in milliseconds.
const MILLISECONDS_BUCKETS: [f64; 14] = [
    0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 10_000.0, 60_000.0,
];

/// The recorder of the process; a process has one, however often it is asked for.
static RECORDER: OnceLock<Result<PrometheusHandle, String>> = OnceLock::new();

/// Gives out the text of all metrics.
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
    /// Installs the recorder of the process, if it has none yet, and counts every reason from zero.
    ///
    /// # Errors
    ///
    /// Returns an error if another recorder is installed.
    pub fn install() -> anyhow::Result<Self> {
        let handle = RECORDER.get_or_init(|| install().map_err(|error| error.to_string()));
        match handle {
            Ok(handle) => Ok(Self {
                handle: handle.clone(),
            }),
            Err(error) => anyhow::bail!("the metrics cannot be started: {error}"),
        }
    }

    /// Returns the text of all metrics.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Frees what finished intervals hold; call it every few seconds.
    pub fn upkeep(&self) {
        self.handle.run_upkeep();
    }
}

/// Counts an answer other than a whole one.
pub fn count_refusal(kind: ErrorKind) {
    metrics::counter!(REFUSALS, REASON => kind.response().label).increment(1);
}

/// Counts an attempt that is followed by another one, by the reason for which it ended.
pub fn count_retry(kind: ErrorKind) {
    metrics::counter!(RETRIES, REASON => kind.response().label).increment(1);
}

fn install() -> anyhow::Result<PrometheusHandle> {
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(
            Matcher::Suffix(MILLISECONDS_SUFFIX.to_owned()),
            &MILLISECONDS_BUCKETS,
        )?
        .build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|error| anyhow::anyhow!("{error}"))?;
    register_reasons();
    Ok(handle)
}

/// Makes every counter appear before it is first counted, so that a rate has its start.
fn register_reasons() {
    metrics::describe_counter!(REFUSALS, "Answers other than a whole one, by reason.");
    metrics::describe_counter!(RETRIES, "Attempts followed by another one, by reason.");
    for kind in ErrorKind::ALL {
        let label = kind.response().label;
        metrics::counter!(REFUSALS, REASON => label).absolute(0);
        metrics::counter!(RETRIES, REASON => label).absolute(0);
    }
}
