//! Tests of the detection of agents that do not respond.

use sardinepin_common::Millis;

use super::{Liveness, LivenessCheck};

#[test]
fn idle_link_is_not_pinged() {
    let liveness = Liveness::new(Millis(0));
    assert_eq!(liveness.check(Millis(60_000), false), LivenessCheck::Ok);
}

#[test]
fn ping_timeout_of_an_idle_link_starts_at_the_ping() {
    let liveness = Liveness::new(Millis(0));
    assert_eq!(liveness.check(Millis(9_000), true), LivenessCheck::Ping);
    assert_eq!(liveness.check(Millis(9_250), true), LivenessCheck::Ok);
    liveness.record_frame(Millis(9_900));
    assert_eq!(liveness.check(Millis(10_000), true), LivenessCheck::Ok);
}

#[test]
fn link_without_a_reply_to_a_ping_times_out() {
    let liveness = Liveness::new(Millis(0));
    assert_eq!(liveness.check(Millis(500), true), LivenessCheck::Ok);
    assert_eq!(liveness.check(Millis(1_000), true), LivenessCheck::Ping);
    assert_eq!(liveness.check(Millis(1_999), true), LivenessCheck::Ok);
    assert_eq!(liveness.check(Millis(2_000), true), LivenessCheck::TimedOut);
}
