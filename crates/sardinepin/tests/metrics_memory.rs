//! The memory that the metrics of a process take while nobody fetches them. This test is alone in its process, since it measures that.

use sardinepin::telemetry::Telemetry;
use sardinepin_common::Millis;

/// The samples recorded between two looks at the memory; 5 MB if they are kept.
const ROUND_SAMPLES: usize = 200_000;

/// The memory that the process may have grown by after 20 rounds, in kilobytes: a third of what the samples would take.
const GROWTH_MAX_KB: u64 = 32_000;

/// Returns the anonymous resident memory of this process, in kilobytes.
fn memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("RssAnon"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Guards against a process that is ended for its memory after some days, as each sample of a histogram is kept until somebody fetches
/// the metrics.
#[tokio::test(start_paused = true)]
async fn metrics_that_nobody_fetches_take_no_more_memory_with_time() {
    let telemetry = Telemetry::install().unwrap();
    tokio::spawn(telemetry.maintain());
    let histogram = metrics::histogram!("test_milliseconds");
    let mut first = 0;
    for round in 0..21 {
        for sample in 0..ROUND_SAMPLES {
            histogram.record(sample as f64);
        }
        tokio::time::sleep(Millis(10_000).duration()).await;
        if round == 0 {
            first = memory_kb();
        }
    }
    let grown = memory_kb().saturating_sub(first);
    assert!(grown < GROWTH_MAX_KB, "grown by {grown} kB");
}
