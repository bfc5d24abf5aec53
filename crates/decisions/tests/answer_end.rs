//! Tests of which answers count as whole.

use sardinepin_decisions::{AnswerEnd, EndedAnswer, Framing, ProcessState};

const PROCESSES: [ProcessState; 3] = [
    ProcessState::Alive,
    ProcessState::Gone,
    ProcessState::Unknown,
];

/// Guards against an answer that a crash has cut being taken for a whole one, and whole ones being doubted.
#[test]
fn answer_without_length_is_whole_only_if_its_process_has_outlived_it() {
    for is_success in [true, false] {
        for has_body in [true, false] {
            let marked = EndedAnswer {
                framing: Framing::Marked,
                is_success,
                has_body,
            };
            assert_eq!(marked.judge(), AnswerEnd::Whole);
            assert!(
                PROCESSES
                    .into_iter()
                    .all(|process| marked.is_whole(process))
            );
            let unmarked = EndedAnswer {
                framing: Framing::Connection,
                ..marked
            };
            let is_head_alone = is_success && !has_body;
            let alive = unmarked.is_whole(ProcessState::Alive);
            assert_eq!(alive, !is_head_alone, "{unmarked:?}");
            assert!(!unmarked.is_whole(ProcessState::Gone));
            assert!(!unmarked.is_whole(ProcessState::Unknown));
        }
    }
}
