//! Tests of the concurrency limit, ejection and recovery of upstreams.

use sardinepin_decisions::{Effect, Event, UpstreamId};
use sardinepin_protocol::ErrorKind;

use crate::driver::{Driver, not_run, sent, sent_to, unknown};

/// Sends requests until no upstream has capacity and returns how many were sent.
fn fill(driver: &mut Driver) -> usize {
    let mut count = 0;
    while driver.in_flight.len() < 2_000 {
        let sends = sent(&driver.arrive()).len();
        if sends == 0 {
            break;
        }
        count += sends;
    }
    let waiting = sardinepin_decisions::RequestNumber(driver.next_request - 1);
    driver.feed(Event::HungUp(waiting));
    count
}

fn complete_all(driver: &mut Driver) {
    let in_flight: Vec<u64> = driver.in_flight.keys().copied().collect();
    for request in in_flight {
        driver.complete(request);
    }
}

/// Fills the upstreams and completes all requests, with 100 ms in between, `rounds` times.
///
/// Returns how many requests were sent in each round.
fn fill_repeatedly(driver: &mut Driver, rounds: u32) -> Vec<usize> {
    (0..rounds)
        .map(|_| {
            let count = fill(driver);
            complete_all(driver);
            driver.advance(100);
            count
        })
        .collect()
}

#[test]
fn overload_limit_starts_low_and_doubles_until_the_first_refusal() {
    let mut driver = Driver::with_upstreams(1, |_| {});
    assert_eq!(fill_repeatedly(&mut driver, 4), [4, 8, 16, 32]);
    assert_eq!(fill(&mut driver), 64);
    driver.end(driver.next_request - 2, not_run(ErrorKind::Busy));
    complete_all(&mut driver);
    complete_all(&mut driver);
    driver.advance(100);
    assert_eq!(
        fill_repeatedly(&mut driver, 5),
        [32, 32, 33, 33, 34],
        "halved, then raised by half a request each time"
    );
}

#[test]
fn overload_many_refusals_at_once_halve_the_limit_once() {
    let mut driver = Driver::with_upstreams(1, |settings| settings.concurrency.initial = 64);
    fill(&mut driver);
    for request in 1..=10 {
        driver.end(request, not_run(ErrorKind::Busy));
    }
    complete_all(&mut driver);
    complete_all(&mut driver);
    assert_eq!(fill(&mut driver), 32);
}

#[test]
fn overload_limit_falls_while_attempts_wait_and_when_first_bytes_are_slow() {
    let mut driver = Driver::with_upstreams(1, |settings| settings.concurrency.initial = 40);
    fill(&mut driver);
    driver.report_load(0, |load| load.waiting = 20);
    complete_all(&mut driver);
    driver.advance(100);
    assert_eq!(fill(&mut driver), 36);
    complete_all(&mut driver);

    let mut driver = Driver::with_upstreams(1, |settings| settings.concurrency.initial = 40);
    let mut limits = Vec::new();
    for time in [20, 20, 200, 200] {
        let first = driver.next_request;
        limits.push(fill(&mut driver));
        driver.now += time;
        for request in first..first + 8 {
            driver.feed_first_byte(request);
        }
        complete_all(&mut driver);
        driver.feed(Event::Tick);
        driver.advance(100);
    }
    assert_eq!(
        limits,
        [40, 80, 160, 144],
        "slower than twice the best time, so the limit falls"
    );
}

#[test]
fn overload_refusal_lowers_the_limit_from_the_number_in_flight() {
    let mut driver = Driver::with_upstreams(1, |settings| settings.concurrency.initial = 64);
    for _ in 0..8 {
        driver.arrive();
    }
    driver.end(8, not_run(ErrorKind::KeyReused));
    driver.end(7, not_run(ErrorKind::Busy));
    assert_eq!(
        fill(&mut driver),
        0,
        "seven were in flight, so three are allowed"
    );
    complete_all(&mut driver);
    complete_all(&mut driver);
    assert_eq!(fill(&mut driver), 3);
}

#[test]
fn overload_refusals_at_the_lowest_limit_pause_the_upstream_for_longer_each_time() {
    let mut driver = Driver::with_upstreams(1, |settings| {
        settings.concurrency.initial = 1;
        settings.concurrency.max = 1;
    });
    driver.arrive();
    for pause in [25, 50, 100, 200, 400, 800, 1_000, 1_000] {
        let request = *driver.in_flight.keys().next().unwrap();
        let start = driver.now;
        driver.arrive();
        driver.end(request, not_run(ErrorKind::Busy));
        while driver.in_flight.is_empty() {
            driver.advance(5);
        }
        assert_eq!(driver.now - start, pause);
    }
}

#[test]
fn overload_varied_times_to_the_first_byte_do_not_lower_the_limit() {
    let mut driver = Driver::with_upstreams(1, |settings| settings.concurrency.initial = 40);
    for round in 0..20 {
        fill(&mut driver);
        let in_flight: Vec<u64> = driver.in_flight.keys().copied().collect();
        for (position, request) in in_flight.into_iter().enumerate() {
            driver.now += match position {
                0 => 1,
                10 if round % 2 == 1 => 60,
                _ => 0,
            };
            driver.feed_first_byte(request);
            driver.complete(request);
        }
        driver.advance(100);
    }
    assert!(fill(&mut driver) >= 40);
}

#[test]
fn overload_returned_upstream_is_in_slow_start_again() {
    let mut driver = Driver::with_upstreams(1, |_| {});
    fill_repeatedly(&mut driver, 4);
    for up in [false, true] {
        driver.feed(Event::Link {
            upstream: UpstreamId(0),
            up,
        });
    }
    assert_eq!(fill_repeatedly(&mut driver, 2), [4, 8]);
}

#[test]
fn overload_failing_upstream_is_ejected_probed_and_returns() {
    let mut driver = Driver::with_upstreams(3, |settings| settings.concurrency.initial = 64);
    let mut sends = 0;
    while sends < 5 {
        driver.arrive_with(|arrival| arrival.idempotent = false);
        let request = driver.next_request - 1;
        if driver.in_flight[&request] == 0 {
            driver.end(request, unknown(false));
            sends += 1;
        }
    }
    complete_all(&mut driver);
    for _ in 0..6 {
        assert_ne!(sent_to(&driver.arrive()), Some(0), "ejected");
    }
    complete_all(&mut driver);
    driver.advance(1_020);
    for _ in 0..6 {
        driver.arrive();
    }
    let probes = driver.in_flight_on(0);
    assert_eq!(probes.len(), 1, "one probe at a time");
    driver.end(probes[0], unknown(false));
    complete_all(&mut driver);
    driver.advance(1_500);
    driver.arrive();
    assert!(
        driver.in_flight_on(0).is_empty(),
        "ejected for twice as long"
    );
    driver.advance(600);
    driver.arrive();
    driver.arrive();
    let probes = driver.in_flight_on(0);
    assert_eq!(probes.len(), 1);
    driver.complete(probes[0]);
    for _ in 0..6 {
        driver.arrive();
    }
    assert!(driver.in_flight_on(0).len() > 1, "back in use");
}

#[test]
fn overload_urgent_requests_do_not_serve_as_probes() {
    let mut driver = Driver::with_upstreams(3, |_| {});
    driver.arrive_with(|arrival| arrival.idempotent = false);
    let upstream = driver.in_flight[&1];
    driver.end(1, unknown(true));
    driver.advance(1_020);
    for _ in 0..9 {
        driver.arrive_with(|arrival| arrival.class = "urgent".into());
    }
    assert!(driver.in_flight_on(upstream).is_empty());
    driver.arrive();
    assert_eq!(driver.in_flight_on(upstream).len(), 1);
}

#[test]
fn overload_at_most_the_configured_share_of_a_zone_is_ejected() {
    let mut driver = Driver::with_upstreams(6, |settings| {
        settings.concurrency.initial = 64;
        settings.ejection.consecutive_failures = 1;
    });
    for _ in 0..60 {
        driver.arrive_with(|arrival| arrival.idempotent = false);
        driver.end(driver.next_request - 1, unknown(false));
    }
    for _ in 0..60 {
        driver.arrive();
    }
    let used = (0..6)
        .filter(|upstream| !driver.in_flight_on(*upstream).is_empty())
        .count();
    assert_eq!(used, 4, "two of six are ejected");
}

#[test]
fn overload_stalled_upstream_gets_no_more_work_while_it_stalls() {
    let mut driver = Driver::with_upstreams(3, |settings| settings.concurrency.initial = 64);
    for request in 1..=30 {
        driver.arrive();
        driver.now += 20;
        driver.feed_first_byte(request);
        driver.complete(request);
    }
    for _ in 0..9 {
        driver.arrive_with(|arrival| arrival.idempotent = false);
    }
    let stuck = driver.in_flight_on(0);
    for request in driver
        .in_flight_on(1)
        .into_iter()
        .chain(driver.in_flight_on(2))
    {
        driver.feed_first_byte(request);
        driver.complete(request);
    }
    driver.advance(300);
    driver.arrive();
    assert_eq!(driver.in_flight_on(0), stuck, "stalling");
    driver.advance(300);
    for _ in 0..30 {
        driver.arrive();
    }
    assert_eq!(driver.in_flight_on(0), stuck, "ejected");
}

#[test]
fn overload_attempt_in_an_upstream_queue_is_not_a_stall() {
    let mut driver = Driver::with_upstreams(3, |_| {});
    for request in 1..=30 {
        driver.arrive();
        driver.now += 5;
        driver.feed_first_byte(request);
        driver.complete(request);
    }
    driver.arrive();
    let upstream = driver.in_flight[&31];
    for waiting in [3, 0] {
        driver.report_load(upstream, |load| {
            load.running = 4;
            load.slots = 4;
            load.waiting = waiting;
        });
        let effects = driver.advance(900);
        let withdrawn = effects
            .iter()
            .any(|effect| matches!(effect, Effect::Withdraw { .. }));
        assert_eq!(withdrawn, waiting == 0, "{waiting} attempts wait");
    }
}
