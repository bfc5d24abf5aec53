//! Tests of the figures on fabricated records.

use sardinepin_common::Millis;
use sardinepin_protocol::Outcome;
use sardinepin_standins::load::{CallKind, SendRecord};

use super::{Times, line};

fn answered(ended_at: u64) -> SendRecord {
    SendRecord {
        kind: CallKind::Plain,
        request: "r".to_owned(),
        key: None,
        outcome: Outcome::Answered,
        reason: String::new(),
        ended_at: Millis(ended_at),
        left_at: None,
    }
}

/// Guards against a recovery that is reported at the first answer, or for calls that were not answered.
#[test]
fn recovery_is_the_first_window_with_nine_tenths_of_the_usual_goodput() {
    let times = Times {
        usual_from: Millis(1_000),
        broke_at: Millis(3_000),
        returned_at: Millis(5_000),
    };
    let usual = (1_000..3_000).step_by(10).map(answered);
    let refused = (5_000..8_000).step_by(10).map(|at| SendRecord {
        outcome: Outcome::NotRun,
        ..answered(at)
    });
    let slow = (5_300..6_000).step_by(50).map(answered);
    let full = (6_000..8_000).step_by(10).map(answered);
    let records: Vec<_> = usual.chain(refused).chain(slow).chain(full).collect();
    let line = line("gateways", false, 1, times, &records);
    assert_eq!(line["usual_per_s"], 100.0);
    assert_eq!(line["first_ms"], 300);
    // The window from 5,950 ms holds one slow answer and 45 others.
    assert_eq!(line["goodput_ms"], 950);
}
