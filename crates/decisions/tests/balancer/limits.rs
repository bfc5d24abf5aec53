//! Tests of the limit on each upstream, ejection and the way back.

use sardinepin_decisions::{Effect, Event, UpstreamId};
use sardinepin_protocol::ErrorKind;

use crate::driver::{Driver, not_run, sent, sent_to, unknown};

/// Sends as many requests as upstreams take, and returns how many that were.
fn fill(driver: &mut Driver) -> usize {
    let mut count = 0;
    while driver.flying.len() < 2_000 {
        let sends = sent(&driver.arrive()).len();
        if sends == 0 {
            break;
        }
        count += sends;
    }
    let waiting = sardinepin_decisions::RequestNumber(driver.next - 1);
    driver.feed(Event::HungUp(waiting));
    count
}

fn empty(driver: &mut Driver) {
    let flying: Vec<u64> = driver.flying.keys().copied().collect();
    for ticket in flying {
        driver.whole(ticket);
    }
}

/// Fills the upstreams and empties them again, with a tick between, `rounds` times.
fn rounds(driver: &mut Driver, rounds: u32) -> Vec<usize> {
    (0..rounds)
        .map(|_| {
            let count = fill(driver);
            empty(driver);
            driver.pass(100);
            count
        })
        .collect()
}

#[test]
fn overload_limit_starts_low_and_doubles_until_the_first_refusal() {
    let mut driver = Driver::of(1, |_| {});
    assert_eq!(rounds(&mut driver, 4), [4, 8, 16, 32]);
    assert_eq!(fill(&mut driver), 64);
    driver.end(driver.next - 2, not_run(ErrorKind::Busy));
    empty(&mut driver);
    empty(&mut driver);
    driver.pass(100);
    assert_eq!(
        rounds(&mut driver, 5),
        [32, 32, 33, 33, 34],
        "halved, then half a place more each time"
    );
}

#[test]
fn overload_many_refusals_at_once_halve_the_limit_once() {
    let mut driver = Driver::of(1, |settings| settings.concurrency.initial = 64);
    fill(&mut driver);
    for ticket in 1..=10 {
        driver.end(ticket, not_run(ErrorKind::Busy));
    }
    empty(&mut driver);
    empty(&mut driver);
    assert_eq!(fill(&mut driver), 32);
}

#[test]
fn overload_limit_falls_while_attempts_wait_and_when_first_bytes_are_late() {
    let mut driver = Driver::of(1, |settings| settings.concurrency.initial = 40);
    fill(&mut driver);
    driver.load(0, |load| load.waiting = 20);
    empty(&mut driver);
    driver.pass(100);
    assert_eq!(fill(&mut driver), 36);
    empty(&mut driver);

    let mut driver = Driver::of(1, |settings| settings.concurrency.initial = 40);
    let mut limits = Vec::new();
    for time in [20, 20, 200, 200] {
        let first = driver.next;
        limits.push(fill(&mut driver));
        driver.now += time;
        for ticket in first..first + 8 {
            driver.began(ticket);
        }
        empty(&mut driver);
        driver.feed(Event::Tick);
        driver.pass(100);
    }
    assert_eq!(
        limits,
        [40, 80, 160, 144],
        "slower than twice the best, so less"
    );
}

#[test]
fn overload_refusal_counts_what_was_in_flight_rather_than_the_limit() {
    let mut driver = Driver::of(1, |settings| settings.concurrency.initial = 64);
    for _ in 0..8 {
        driver.arrive();
    }
    driver.end(8, not_run(ErrorKind::KeyReused));
    driver.end(7, not_run(ErrorKind::Busy));
    assert_eq!(
        fill(&mut driver),
        0,
        "seven were in flight, so three may be"
    );
    empty(&mut driver);
    empty(&mut driver);
    assert_eq!(fill(&mut driver), 3);
}

#[test]
fn overload_upstream_that_refuses_at_the_lowest_limit_is_left_alone_for_longer_each_time() {
    let mut driver = Driver::of(1, |settings| {
        settings.concurrency.initial = 1;
        settings.concurrency.max = 1;
    });
    driver.arrive();
    for pause in [25, 50, 100, 200, 400, 800, 1_000, 1_000] {
        let ticket = *driver.flying.keys().next().unwrap();
        let start = driver.now;
        driver.arrive();
        driver.end(ticket, not_run(ErrorKind::Busy));
        while driver.flying.is_empty() {
            driver.pass(5);
        }
        assert_eq!(driver.now - start, pause);
    }
}

#[test]
fn overload_varied_times_to_the_first_byte_do_not_lower_the_limit() {
    let mut driver = Driver::of(1, |settings| settings.concurrency.initial = 40);
    for round in 0..20 {
        fill(&mut driver);
        let flying: Vec<u64> = driver.flying.keys().copied().collect();
        for (at, ticket) in flying.into_iter().enumerate() {
            driver.now += match at {
                0 => 1,
                10 if round % 2 == 1 => 60,
                _ => 0,
            };
            driver.began(ticket);
            driver.whole(ticket);
        }
        driver.pass(100);
    }
    assert!(fill(&mut driver) >= 40);
}

#[test]
fn overload_returned_upstream_starts_slowly_again() {
    let mut driver = Driver::of(1, |_| {});
    rounds(&mut driver, 4);
    for up in [false, true] {
        driver.feed(Event::Link {
            upstream: UpstreamId(0),
            up,
        });
    }
    assert_eq!(rounds(&mut driver, 2), [4, 8]);
}

#[test]
fn overload_failing_upstream_is_ejected_probed_and_returns() {
    let mut driver = Driver::of(3, |settings| settings.concurrency.initial = 64);
    let mut sends = 0;
    while sends < 5 {
        driver.arrive_as(|one| one.idempotent = false);
        let ticket = driver.next - 1;
        if driver.flying[&ticket] == 0 {
            driver.end(ticket, unknown(false));
            sends += 1;
        }
    }
    empty(&mut driver);
    for _ in 0..6 {
        assert_ne!(sent_to(&driver.arrive()), Some(0), "ejected");
    }
    empty(&mut driver);
    driver.pass(1_020);
    for _ in 0..6 {
        driver.arrive();
    }
    let probes = driver.on(0);
    assert_eq!(probes.len(), 1, "one probe at a time");
    driver.end(probes[0], unknown(false));
    empty(&mut driver);
    driver.pass(1_500);
    driver.arrive();
    assert!(driver.on(0).is_empty(), "out for twice as long");
    driver.pass(600);
    driver.arrive();
    driver.arrive();
    let probes = driver.on(0);
    assert_eq!(probes.len(), 1);
    driver.whole(probes[0]);
    for _ in 0..6 {
        driver.arrive();
    }
    assert!(driver.on(0).len() > 1, "back in use");
}

#[test]
fn overload_urgent_requests_do_not_serve_as_probes() {
    let mut driver = Driver::of(3, |_| {});
    driver.arrive_as(|one| one.idempotent = false);
    let at = driver.flying[&1];
    driver.end(1, unknown(true));
    driver.pass(1_020);
    for _ in 0..9 {
        driver.arrive_as(|one| one.class = "urgent".into());
    }
    assert!(driver.on(at).is_empty());
    driver.arrive();
    assert_eq!(driver.on(at).len(), 1);
}

#[test]
fn overload_never_more_than_a_set_part_of_a_zone_is_ejected() {
    let mut driver = Driver::of(6, |settings| {
        settings.concurrency.initial = 64;
        settings.ejection.consecutive_failures = 1;
    });
    for _ in 0..60 {
        driver.arrive_as(|one| one.idempotent = false);
        driver.end(driver.next - 1, unknown(false));
    }
    for _ in 0..60 {
        driver.arrive();
    }
    let used = (0..6).filter(|at| !driver.on(*at).is_empty()).count();
    assert_eq!(used, 4, "two of six are out");
}

#[test]
fn overload_stalled_upstream_gets_no_more_work_while_it_stalls() {
    let mut driver = Driver::of(3, |settings| settings.concurrency.initial = 64);
    for ticket in 1..=30 {
        driver.arrive();
        driver.now += 20;
        driver.began(ticket);
        driver.whole(ticket);
    }
    for _ in 0..9 {
        driver.arrive_as(|one| one.idempotent = false);
    }
    let stuck = driver.on(0);
    for ticket in driver.on(1).into_iter().chain(driver.on(2)) {
        driver.began(ticket);
        driver.whole(ticket);
    }
    driver.pass(300);
    driver.arrive();
    assert_eq!(driver.on(0), stuck, "suspected");
    driver.pass(300);
    for _ in 0..30 {
        driver.arrive();
    }
    assert_eq!(driver.on(0), stuck, "ejected");
}

#[test]
fn overload_attempt_that_waits_its_turn_is_no_stall() {
    let mut driver = Driver::of(3, |_| {});
    for ticket in 1..=30 {
        driver.arrive();
        driver.now += 5;
        driver.began(ticket);
        driver.whole(ticket);
    }
    driver.arrive();
    let at = driver.flying[&31];
    for waiting in [3, 0] {
        driver.load(at, |load| {
            load.running = 4;
            load.slots = 4;
            load.waiting = waiting;
        });
        let effects = driver.pass(900);
        let withdrawn = effects
            .iter()
            .any(|effect| matches!(effect, Effect::Withdraw { .. }));
        assert_eq!(withdrawn, waiting == 0, "{waiting} wait");
    }
}
