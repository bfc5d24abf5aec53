//! Tests for the metrics of refusals and retries.

use sardinepin_protocol::ErrorKind;

use super::{REFUSALS, RETRIES, Telemetry, count_refusal, count_retry};

fn counter_value(text: &str, name: &str, kind: ErrorKind) -> Option<u64> {
    let start = format!("{name}{{reason=\"{}\"}} ", kind.response().label);
    let line = text.lines().find(|line| line.starts_with(&start))?;
    line.strip_prefix(&start)?.parse().ok()
}

#[test]
fn every_reason_is_registered_at_the_start_and_counted() {
    let telemetry = Telemetry::install().unwrap();
    let again = Telemetry::install().unwrap();
    let before = telemetry.render();
    for &kind in ErrorKind::ALL {
        assert_ne!(counter_value(&before, REFUSALS, kind), None, "{kind}");
        assert_ne!(counter_value(&before, RETRIES, kind), None, "{kind}");
    }
    count_refusal(ErrorKind::KeyReused);
    count_refusal(ErrorKind::KeyReused);
    count_retry(ErrorKind::Leaving);
    let after = again.render();
    let counts =
        |name, kind| counter_value(&after, name, kind).zip(counter_value(&before, name, kind));
    // Other tests in this process may increment the same counters.
    let (now, then) = counts(REFUSALS, ErrorKind::KeyReused).unwrap();
    assert!(now >= then + 2);
    let (now, then) = counts(RETRIES, ErrorKind::Leaving).unwrap();
    assert!(now > then);
}

#[test]
fn the_operations_page_lists_every_reason() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page).unwrap();
    for &kind in ErrorKind::ALL {
        let response = kind.response();
        let (label, status) = (response.label, response.status);
        let row = format!("| `{label}` | {status} | {} |", response.outcome.label());
        assert!(page.lines().any(|line| line.starts_with(&row)), "{row}");
    }
}
