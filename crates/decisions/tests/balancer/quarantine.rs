//! Tests of the quarantine of requests that crash upstreams.

use sardinepin_common::Millis;
use sardinepin_decisions::{Effect, Event, RequestNumber, UpstreamId};
use sardinepin_protocol::ErrorKind;

use crate::driver::{Driver, digest, not_run, sent, sent_to, unknown};

/// Crashes an upstream with all requests in flight on it.
fn crash(driver: &mut Driver, upstream: u32) -> Vec<Effect> {
    let mut effects = Vec::new();
    driver.feed(Event::Link {
        upstream: UpstreamId(upstream),
        up: false,
    });
    for request in driver.in_flight_on(upstream) {
        effects.extend(driver.end(request, unknown(true)));
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
fn quarantine_retries_each_suspect_alone_on_an_upstream() {
    let mut driver = Driver::with_upstreams(6, |_| {});
    for _ in 0..18 {
        driver.arrive();
    }
    let suspects = driver.in_flight_on(0);
    assert_eq!(suspects.len(), 3);
    let effects = crash(&mut driver, 0);
    assert_eq!(sent(&effects), [], "all other upstreams run requests");
    assert_eq!(quarantined(&effects), 0);
    for upstream in 1..6 {
        for request in driver.in_flight_on(upstream) {
            if !suspects.contains(&request) {
                driver.complete(request);
            }
        }
    }
    let mut upstreams: Vec<u32> = suspects
        .iter()
        .map(|request| driver.in_flight[request])
        .collect();
    for _ in 0..6 {
        let upstream = sent_to(&driver.arrive()).unwrap();
        assert!(
            !upstreams.contains(&upstream),
            "nothing runs beside a suspect"
        );
    }
    upstreams.sort_unstable();
    upstreams.dedup();
    assert_eq!(upstreams.len(), 3, "never two suspects on one upstream");
    for request in suspects {
        driver.complete(request);
        driver.arrive_with(|arrival| arrival.digest = digest(request));
    }
    assert_eq!(
        driver.given_up(),
        [],
        "suspects that caused no crash get a response, and are admitted again"
    );
    let shared = (1..6)
        .filter(|upstream| driver.in_flight_on(*upstream).len() > 1)
        .count();
    assert!(shared > 0, "upstreams are shared again");
}

#[test]
fn quarantine_starts_at_the_second_crash_and_refuses_repeats_at_once() {
    let mut driver = Driver::with_upstreams(4, |_| {});
    let crashing = digest(99);
    let first = sent_to(&driver.arrive_with(|arrival| arrival.digest = crashing)).unwrap();
    let effects = crash(&mut driver, first);
    let second = sent_to(&effects).expect("one retry, on an idle upstream");
    assert_eq!(quarantined(&effects), 0);
    let effects = crash(&mut driver, second);
    assert_eq!(sent(&effects), []);
    assert_eq!(
        effects[0],
        Effect::Quarantine {
            digest: crashing,
            remaining: Millis(600_000),
        }
    );
    assert_eq!(
        driver.given_up(),
        [(1, ErrorKind::UpstreamBroke)],
        "it may have run"
    );
    driver.now += 1_000;
    let effects = driver.arrive_with(|arrival| arrival.digest = crashing);
    assert_eq!(
        effects,
        [Effect::GiveUp {
            request: RequestNumber(2),
            kind: ErrorKind::Quarantined,
            retry_after: Millis(599_000),
        }]
    );
    driver.feed(Event::QuarantineLifted(crashing));
    assert!(sent_to(&driver.arrive_with(|arrival| arrival.digest = crashing)).is_some());
}

#[test]
fn quarantine_expires() {
    let mut driver =
        Driver::with_upstreams(4, |settings| settings.quarantine.duration = Millis(5_000));
    driver.feed(Event::Quarantined(vec![(digest(7), Millis(5_000))]));
    assert_eq!(
        sent(&driver.arrive_with(|arrival| arrival.digest = digest(7))),
        []
    );
    driver.now += 5_000;
    assert_eq!(
        sent(&driver.arrive_with(|arrival| arrival.digest = digest(7))).len(),
        1
    );
}

#[test]
fn quarantine_from_another_entry_gives_up_queued_requests() {
    let mut driver = Driver::with_upstreams(1, |settings| settings.concurrency.initial = 1);
    driver.arrive();
    driver.arrive_with(|arrival| arrival.digest = digest(7));
    driver.feed(Event::Quarantined(vec![(digest(7), Millis(5_000))]));
    assert_eq!(driver.given_up(), [(2, ErrorKind::Quarantined)]);
    assert_eq!(driver.in_flight_on(0), [1]);
}

#[test]
fn quarantine_counts_a_crash_once_and_clears_requests_that_never_ran() {
    let mut driver = Driver::with_upstreams(2, |settings| settings.attempts_max = 5);
    driver.arrive_with(|arrival| arrival.digest = digest(50));
    driver.arrive_with(|arrival| arrival.digest = digest(50));
    driver.arrive_with(|arrival| arrival.digest = digest(51));
    let upstream = driver.in_flight[&3];
    let neighbours: Vec<u64> = driver
        .in_flight_on(upstream)
        .into_iter()
        .filter(|request| *request != 3)
        .collect();
    assert_eq!(neighbours.len(), 1);
    let effects = driver.end(3, unknown(true));
    assert_eq!(quarantined(&effects), 0);
    driver.end(neighbours[0], not_run(ErrorKind::Unreachable));
    let other = driver.in_flight_on(1 - upstream);
    assert!(
        other.contains(&neighbours[0]),
        "it never ran, so it is not a suspect: {other:?}"
    );
}

#[test]
fn quarantine_spares_a_common_request_when_several_upstreams_crash_at_once() {
    let mut driver = Driver::with_upstreams(6, |_| {});
    for _ in 0..6 {
        driver.arrive_with(|arrival| arrival.digest = digest(1));
    }
    driver.now += 10;
    for upstream in 0..3 {
        let effects = crash(&mut driver, upstream);
        assert_eq!(
            quarantined(&effects),
            0,
            "no attempt was sent after the first crash"
        );
    }
}

#[test]
fn quarantine_runs_a_suspect_beside_others_only_on_the_last_upstream() {
    let mut driver = Driver::with_upstreams(2, |_| {});
    for _ in 0..4 {
        driver.arrive();
    }
    let effects = crash(&mut driver, 0);
    assert_eq!(
        sent(&effects).len(),
        1,
        "one suspect at a time: {effects:?}"
    );
    let before = driver.in_flight_on(1).len();
    assert_eq!(before, 3);
    assert_eq!(
        sent_to(&driver.arrive()),
        Some(1),
        "other requests may still use the upstream"
    );
}

#[test]
fn quarantine_memory_of_suspects_is_bounded() {
    let mut driver = Driver::with_upstreams(2, |settings| {
        settings.quarantine.digests_max = 8;
        settings.concurrency.initial = 64;
    });
    for _ in 0..64 {
        driver.arrive_with(|arrival| arrival.idempotent = false);
    }
    let suspects = driver.in_flight_on(0);
    assert_eq!(suspects.len(), 32);
    crash(&mut driver, 0);
    let free: Vec<u64> = driver.in_flight_on(1);
    for request in free {
        driver.complete(request);
    }
    let together = suspects
        .iter()
        .filter(|request| {
            !driver
                .arrive_with(|arrival| arrival.digest = digest(**request))
                .is_empty()
        })
        .count();
    assert_eq!(
        together,
        32 - 8 + 1,
        "eight suspects are isolated, of which one runs"
    );
}

#[test]
fn quarantine_suspect_that_hangs_up_releases_the_upstream_reserved_for_it() {
    let mut driver = Driver::with_upstreams(3, |_| {});
    for _ in 0..3 {
        driver.arrive();
    }
    let suspect = driver.in_flight_on(0)[0];
    crash(&mut driver, 0);
    driver.feed(Event::HungUp(RequestNumber(suspect)));
    let mut upstreams: Vec<_> = (0..2).filter_map(|_| sent_to(&driver.arrive())).collect();
    upstreams.sort_unstable();
    assert_eq!(upstreams, [1, 2]);
}

#[test]
fn quarantine_does_not_send_a_suspect_whose_deadline_passed_during_a_pause() {
    let mut driver = Driver::with_upstreams(2, |_| {});
    for _ in 0..4 {
        driver.arrive();
    }
    crash(&mut driver, 0);
    // The process pauses; what happens next is handled before its next tick.
    driver.now += 60_000;
    let effects = driver.complete(driver.in_flight_on(1)[0]);
    assert_eq!(sent(&effects), []);
}

#[test]
fn quarantine_holds_back_a_part_that_crashes_upstreams_whatever_the_request() {
    let mut driver = Driver::with_upstreams(12, |_| {});
    let (route, bad) = (digest(1_001), digest(1_002));
    let sound = sent_to(&driver.arrive_with(|arrival| arrival.parts = vec![route]));
    assert!(sound.is_some());
    driver.complete(1);
    let mut found = Vec::new();
    for _ in 0..2 {
        let effects = driver.arrive_with(|arrival| arrival.parts = vec![route, bad]);
        let mut upstream = sent_to(&effects);
        while let Some(crashing) = upstream {
            driver.now += 100;
            let effects = crash(&mut driver, crashing);
            upstream = sent_to(&effects);
            found.extend(effects.into_iter().filter_map(|effect| match effect {
                Effect::Quarantine { digest, .. } => Some(digest),
                _ => None,
            }));
        }
    }
    assert_eq!(
        found,
        [digest(2), bad],
        "the repeated request, then the part"
    );
    let effects = driver.arrive_with(|arrival| arrival.parts = vec![bad, digest(1_003)]);
    assert_eq!(sent(&effects), []);
    let effects = driver.arrive_with(|arrival| arrival.parts = vec![route, digest(1_003)]);
    assert_eq!(sent(&effects).len(), 1);
}

#[test]
fn quarantine_of_a_part_that_was_answered_before_is_short() {
    let mut driver = Driver::with_upstreams(12, |settings| settings.attempts_max = 1);
    let part = digest(1_001);
    let arrive =
        |driver: &mut Driver| sent_to(&driver.arrive_with(|arrival| arrival.parts = vec![part]));
    arrive(&mut driver).unwrap();
    driver.complete(1);
    let mut found = Vec::new();
    for _ in 0..4 {
        let crashing = arrive(&mut driver).unwrap();
        driver.now += 100;
        found.extend(
            crash(&mut driver, crashing)
                .into_iter()
                .filter_map(|effect| match effect {
                    Effect::Quarantine { digest, remaining } => Some((digest, remaining)),
                    _ => None,
                }),
        );
    }
    assert_eq!(found, [(part, Millis(10_000))]);
    assert_eq!(arrive(&mut driver), None);
    driver.now += 10_000;
    let crashing = arrive(&mut driver).unwrap();
    driver.now += 100;
    assert_eq!(
        quarantined(&crash(&mut driver, crashing)),
        1,
        "at the next crash"
    );
    driver.now += 10_000;
    arrive(&mut driver).unwrap();
    let request = *driver.in_flight.keys().next().unwrap();
    driver.complete(request);
    let crashing = arrive(&mut driver).unwrap();
    assert_eq!(
        quarantined(&crash(&mut driver, crashing)),
        0,
        "it has been answered"
    );
}
