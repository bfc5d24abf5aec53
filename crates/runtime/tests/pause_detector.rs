//! Tests of the detection of pauses.

use sardinepin_common::Millis;
use sardinepin_runtime::{PAUSE_MIN, PauseDetector};

#[test]
fn a_gap_between_readings_counts_as_one_pause() {
    let pauses = PauseDetector::new(Millis(100));
    assert_eq!(pauses.record_reading(Millis(300)), None);
    let end = Millis(300) + PAUSE_MIN;
    assert_eq!(pauses.count(), 0);
    assert_eq!(pauses.record_reading(end), Some(PAUSE_MIN));
    // Another task that reads a moment later, or read the clock before it was descheduled.
    assert_eq!(pauses.record_reading(end + Millis(1)), None);
    assert_eq!(pauses.record_reading(Millis(300)), None);
    assert_eq!(pauses.record_reading(end + Millis(2)), None);
    assert_eq!(pauses.count(), 1);
}
