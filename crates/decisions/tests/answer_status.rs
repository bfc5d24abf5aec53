//! Tests of which statuses answer a request.

use sardinepin_decisions::AskedAnswer;

/// Guards against a status that answers no request, or not this one, being passed on to its caller.
#[test]
fn only_final_statuses_that_were_asked_for_answer_a_request() {
    for range in [false, true] {
        for changed in [false, true] {
            let asked = AskedAnswer { range, changed };
            for status in 0..1_000 {
                let expected = match status {
                    206 => range,
                    304 => changed,
                    _ => (200..=599).contains(&status),
                };
                assert_eq!(
                    asked.is_answered_by(status),
                    expected,
                    "{asked:?}: {status}"
                );
            }
        }
    }
}
