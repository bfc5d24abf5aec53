//! Tests of requests that crash upstreams.

use sardinepin_common::Millis;
use sardinepin_decisions::{Effect, Event, RequestNumber, UpstreamId};
use sardinepin_protocol::ErrorKind;

use crate::driver::{Driver, digest, not_run, sent, sent_to, unknown};

/// Lets an upstream crash with all that is in flight there.
fn crash(driver: &mut Driver, upstream: u32) -> Vec<Effect> {
    let mut effects = Vec::new();
    driver.feed(Event::Link {
        upstream: UpstreamId(upstream),
        up: false,
    });
    for ticket in driver.on(upstream) {
        effects.extend(driver.end(ticket, unknown(true)));
    }
    effects
}

fn quarantined(effects: &[Effect]) -> usize {
    effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Quarantine { .. }))
        .count()
}

#[test]
fn quarantine_retries_suspects_apart_with_nothing_beside_them() {
    let mut driver = Driver::of(6, |_| {});
    for _ in 0..18 {
        driver.arrive();
    }
    let victims = driver.on(0);
    assert_eq!(victims.len(), 3);
    let effects = crash(&mut driver, 0);
    assert_eq!(sent(&effects), [], "all others run something");
    assert_eq!(quarantined(&effects), 0);
    for at in 1..6 {
        for ticket in driver.on(at) {
            if !victims.contains(&ticket) {
                driver.whole(ticket);
            }
        }
    }
    let mut homes: Vec<u32> = victims.iter().map(|ticket| driver.flying[ticket]).collect();
    for _ in 0..6 {
        let at = sent_to(&driver.arrive()).unwrap();
        assert!(!homes.contains(&at), "nothing runs beside a suspect");
    }
    homes.sort_unstable();
    homes.dedup();
    assert_eq!(homes.len(), 3, "never two suspects on one upstream");
    for ticket in victims {
        driver.whole(ticket);
        driver.arrive_as(|one| one.digest = digest(ticket));
    }
    assert_eq!(
        driver.given_up(),
        [],
        "innocents are answered, and taken again"
    );
    let held = (1..6).filter(|at| driver.on(*at).len() > 1).count();
    assert!(held > 0, "upstreams are shared again");
}

#[test]
fn quarantine_at_the_second_crash_and_repeats_are_given_up_at_once() {
    let mut driver = Driver::of(4, |_| {});
    let poison = digest(99);
    let first = sent_to(&driver.arrive_as(|one| one.digest = poison)).unwrap();
    let effects = crash(&mut driver, first);
    let second = sent_to(&effects).expect("one retry, on an idle upstream");
    assert_eq!(quarantined(&effects), 0);
    let effects = crash(&mut driver, second);
    assert_eq!(sent(&effects), []);
    assert_eq!(
        effects[0],
        Effect::Quarantine {
            digest: poison,
            remaining: Millis(600_000),
        }
    );
    assert_eq!(
        driver.given_up(),
        [(1, ErrorKind::UpstreamBroke)],
        "it has run"
    );
    driver.now += 1_000;
    let effects = driver.arrive_as(|one| one.digest = poison);
    assert_eq!(
        effects,
        [Effect::GiveUp {
            request: RequestNumber(2),
            kind: ErrorKind::Quarantined,
            retry_after: Millis(599_000),
        }]
    );
    driver.feed(Event::QuarantineLifted(poison));
    assert!(sent_to(&driver.arrive_as(|one| one.digest = poison)).is_some());
}

#[test]
fn quarantine_ends_by_itself() {
    let mut driver = Driver::of(4, |settings| settings.quarantine.duration = Millis(5_000));
    driver.feed(Event::Quarantined(vec![(digest(7), Millis(5_000))]));
    assert_eq!(sent(&driver.arrive_as(|one| one.digest = digest(7))), []);
    driver.now += 5_000;
    assert_eq!(
        sent(&driver.arrive_as(|one| one.digest = digest(7))).len(),
        1
    );
}

#[test]
fn quarantine_learned_from_another_entry_gives_up_what_waits() {
    let mut driver = Driver::of(1, |settings| settings.concurrency.initial = 1);
    driver.arrive();
    driver.arrive_as(|one| one.digest = digest(7));
    driver.feed(Event::Quarantined(vec![(digest(7), Millis(5_000))]));
    assert_eq!(driver.given_up(), [(2, ErrorKind::Quarantined)]);
    assert_eq!(driver.on(0), [1]);
}

#[test]
fn quarantine_counts_one_crash_once_and_not_what_never_ran() {
    let mut driver = Driver::of(2, |settings| settings.attempts_max = 5);
    driver.arrive_as(|one| one.digest = digest(50));
    driver.arrive_as(|one| one.digest = digest(50));
    driver.arrive_as(|one| one.digest = digest(51));
    let at = driver.flying[&3];
    let beside: Vec<u64> = driver.on(at).into_iter().filter(|one| *one != 3).collect();
    assert_eq!(beside.len(), 1);
    let effects = driver.end(3, unknown(true));
    assert_eq!(quarantined(&effects), 0);
    driver.end(beside[0], not_run(ErrorKind::Unreachable));
    let other = driver.on(1 - at);
    assert!(
        other.contains(&beside[0]),
        "it never ran, so it is no suspect: {other:?}"
    );
}

#[test]
fn quarantine_spares_a_common_request_when_several_upstreams_are_lost_at_once() {
    let mut driver = Driver::of(6, |_| {});
    for _ in 0..6 {
        driver.arrive_as(|one| one.digest = digest(1));
    }
    driver.now += 10;
    for at in 0..3 {
        let effects = crash(&mut driver, at);
        assert_eq!(
            quarantined(&effects),
            0,
            "no attempt was sent after the first loss"
        );
    }
}

#[test]
fn quarantine_sends_a_suspect_beside_others_only_to_the_last_upstream() {
    let mut driver = Driver::of(2, |_| {});
    for _ in 0..4 {
        driver.arrive();
    }
    let effects = crash(&mut driver, 0);
    assert_eq!(
        sent(&effects).len(),
        1,
        "one suspect at a time: {effects:?}"
    );
    let before = driver.on(1).len();
    assert_eq!(before, 3);
    assert_eq!(
        sent_to(&driver.arrive()),
        Some(1),
        "others are not shut out"
    );
}

#[test]
fn quarantine_memory_of_suspects_is_bounded() {
    let mut driver = Driver::of(2, |settings| {
        settings.quarantine.digests_max = 8;
        settings.concurrency.initial = 64;
    });
    for _ in 0..64 {
        driver.arrive_as(|one| one.idempotent = false);
    }
    let victims = driver.on(0);
    assert_eq!(victims.len(), 32);
    crash(&mut driver, 0);
    let free: Vec<u64> = driver.on(1);
    for ticket in free {
        driver.whole(ticket);
    }
    let together = victims
        .iter()
        .filter(|ticket| {
            !driver
                .arrive_as(|one| one.digest = digest(**ticket))
                .is_empty()
        })
        .count();
    assert_eq!(together, 32 - 8 + 1, "eight are apart, of which one runs");
}

#[test]
fn quarantine_suspect_that_hangs_up_frees_the_upstream_held_for_it() {
    let mut driver = Driver::of(3, |_| {});
    for _ in 0..3 {
        driver.arrive();
    }
    let suspect = driver.on(0)[0];
    crash(&mut driver, 0);
    driver.feed(Event::HungUp(RequestNumber(suspect)));
    let mut homes: Vec<_> = (0..2).filter_map(|_| sent_to(&driver.arrive())).collect();
    homes.sort_unstable();
    assert_eq!(homes, [1, 2]);
}
