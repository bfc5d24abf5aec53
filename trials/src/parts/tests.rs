//! Tests of the checks on fabricated records.

use sardinepin_common::Clock;
use serde_json::json;

use super::record::Records;

/// Guards against a check that finds nothing.
#[test]
fn parts_check_counts_what_arrives_after_the_fifth_crash() {
    let records = Records::new(Clock::start());
    for _ in 0..4 {
        records.add_arrival("bad");
        records.add_crash("bad");
    }
    assert_eq!(records.summary()["violations"], json!([]));
    let now = records.now();
    for _ in 0..10 {
        records.add_sound(now + sardinepin_common::Millis(60_000), false);
    }
    let found = &records.summary()["violations"];
    assert_eq!(found[0]["rule"], "lost", "{found}");
}
