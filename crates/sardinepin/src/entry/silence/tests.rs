//! Tests of the signs of life.

use sardinepin_common::Millis;

use super::{Look, Silence};

#[test]
fn idle_link_is_left_alone() {
    let silence = Silence::new(Millis(0));
    assert_eq!(silence.look(Millis(60_000), false), Look::Fine);
}

#[test]
fn link_that_was_idle_for_long_has_time_to_answer() {
    let silence = Silence::new(Millis(0));
    assert_eq!(silence.look(Millis(9_000), true), Look::Ask);
    assert_eq!(silence.look(Millis(9_250), true), Look::Fine);
    silence.hear(Millis(9_900));
    assert_eq!(silence.look(Millis(10_000), true), Look::Fine);
}

#[test]
fn link_that_does_not_answer_is_silent() {
    let silence = Silence::new(Millis(0));
    assert_eq!(silence.look(Millis(500), true), Look::Fine);
    assert_eq!(silence.look(Millis(1_000), true), Look::Ask);
    assert_eq!(silence.look(Millis(1_999), true), Look::Fine);
    assert_eq!(silence.look(Millis(2_000), true), Look::Silent);
}
