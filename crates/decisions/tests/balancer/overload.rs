//! Tests of admission: classes, fair queueing, queue bounds and refusals.

use sardinepin_common::Millis;
use sardinepin_config::Limit;
use sardinepin_decisions::{Arrival, Effect, Event, Policy, RequestNumber, Settings, UpstreamId};
use sardinepin_protocol::ErrorKind;

use crate::driver::{Driver, name, sent};

/// Creates a driver with one upstream that runs one request at a time.
fn single_slot(change: impl FnOnce(&mut Settings)) -> Driver {
    Driver::with_upstreams(1, |settings| {
        settings.concurrency.initial = 1;
        settings.concurrency.max = 1;
        change(settings);
    })
}

fn from_organisation(organisation: &str) -> impl Fn(&mut Arrival) {
    let organisation = name(organisation);
    move |arrival| arrival.organisation = organisation.clone()
}

fn make_urgent(arrival: &mut Arrival) {
    arrival.class = name("urgent");
}

/// Completes one request after another and returns the order in which up to `count` were sent.
fn complete_in_turn(driver: &mut Driver, count: usize) -> Vec<u64> {
    let mut order = Vec::new();
    while order.len() < count {
        let Some(request) = driver.in_flight.keys().next().copied() else {
            break;
        };
        order.extend(
            sent(&driver.complete(request))
                .into_iter()
                .map(|sent| sent.0),
        );
    }
    order
}

#[test]
fn overload_service_follows_weights_regardless_of_request_volume() {
    let mut driver = single_slot(|_| {});
    driver.arrive();
    for _ in 0..100 {
        driver.arrive_with(from_organisation("greedy"));
    }
    for _ in 0..30 {
        driver.arrive_with(from_organisation("modest"));
        driver.arrive_with(|arrival| {
            from_organisation("double")(arrival);
            arrival.organisation_weight = 2;
        });
    }
    let order = complete_in_turn(&mut driver, 60);
    let greedy = order.iter().filter(|request| **request <= 101).count();
    let modest = order
        .iter()
        .filter(|request| **request > 101 && **request % 2 == 0)
        .count();
    let double = order
        .iter()
        .filter(|request| **request > 101 && **request % 2 == 1)
        .count();
    assert_eq!((greedy, modest, double), (15, 15, 30));
}

#[test]
fn overload_fairness_counts_cost_rather_than_requests() {
    let mut driver = single_slot(|_| {});
    driver.arrive();
    for _ in 0..50 {
        driver.arrive_with(|arrival| {
            from_organisation("long")(arrival);
            arrival.cost = 40;
        });
        driver.arrive_with(|arrival| {
            from_organisation("short")(arrival);
            arrival.cost = 10;
        });
    }
    let order = complete_in_turn(&mut driver, 50);
    let long = order.iter().filter(|request| **request % 2 == 0).count();
    assert_eq!((long, 50 - long), (10, 40));
}

#[test]
fn overload_organisation_without_queued_requests_is_admitted_while_greedy_ones_are_refused() {
    let mut driver = single_slot(|_| {});
    let mut modest = Vec::new();
    for round in 0..200 {
        for _ in 0..3 {
            driver.arrive_with(from_organisation("greedy"));
        }
        if round > 50 && round % 10 == 0 {
            driver.arrive_with(from_organisation("modest"));
            modest.push(driver.next_request - 1);
        }
        driver.advance(100);
        let request = *driver.in_flight.keys().next().unwrap();
        driver.complete(request);
    }
    let refused = driver.given_up();
    let lost = modest
        .iter()
        .filter(|request| refused.iter().any(|(refused, _)| refused == *request))
        .count();
    assert_eq!((lost, modest.len()), (0, 14));
    assert!(refused.len() > 300);
}

#[test]
fn overload_idle_organisation_gains_no_credit() {
    let mut driver = single_slot(|_| {});
    driver.arrive();
    for _ in 0..40 {
        driver.arrive_with(from_organisation("steady"));
    }
    complete_in_turn(&mut driver, 20);
    let first = driver.next_request;
    for _ in 0..20 {
        driver.arrive_with(from_organisation("late"));
    }
    let order = complete_in_turn(&mut driver, 20);
    let late = order.iter().filter(|request| **request >= first).count();
    assert_eq!(
        late, 10,
        "half of the service from now on, no credit for the past"
    );
}

#[test]
fn overload_urgent_class_goes_first_without_starving_the_others() {
    let mut driver = single_slot(|_| {});
    driver.arrive();
    for _ in 0..10 {
        driver.arrive();
    }
    for _ in 0..30 {
        driver.arrive_with(make_urgent);
    }
    let order = complete_in_turn(&mut driver, 27);
    let normal: Vec<usize> = (0..27).filter(|position| order[*position] <= 11).collect();
    assert_eq!(
        normal,
        [7, 16, 25],
        "one after eight urgent requests, the first of which was sent on arrival"
    );
}

#[test]
fn overload_other_classes_share_by_weight() {
    let mut driver = single_slot(|_| {});
    driver.arrive_with(|arrival| arrival.class_weight = 3);
    for _ in 0..40 {
        driver.arrive_with(|arrival| {
            arrival.class = name("batch");
            arrival.class_weight = 1;
        });
        driver.arrive_with(|arrival| arrival.class_weight = 3);
    }
    let order = complete_in_turn(&mut driver, 40);
    let batch = order.iter().filter(|request| **request % 2 == 0).count();
    assert_eq!(batch, 10);
}

#[test]
fn overload_urgent_request_exceeds_the_limit_slightly() {
    let mut driver = Driver::with_upstreams(1, |settings| settings.concurrency.initial = 4);
    for _ in 0..6 {
        driver.arrive();
    }
    assert_eq!(driver.in_flight.len(), 4);
    for _ in 0..6 {
        driver.arrive_with(make_urgent);
    }
    assert_eq!(driver.in_flight.len(), 6);
}

#[test]
fn overload_queue_quota_of_an_organisation_leaves_room_for_others() {
    let mut driver = single_slot(|settings| {
        settings.queue.class_max = 100;
        settings.queue.organisation_max = 60;
    });
    driver.arrive();
    for _ in 0..200 {
        driver.arrive_with(from_organisation("greedy"));
    }
    let refused = driver.given_up();
    assert_eq!(refused.len(), 140);
    assert!(
        refused
            .iter()
            .all(|(_, kind)| *kind == ErrorKind::QueueFull)
    );
    for _ in 0..30 {
        driver.arrive_with(from_organisation("modest"));
    }
    assert_eq!(
        driver.given_up().len(),
        140,
        "other organisations are still queued"
    );
    for number in 0..20 {
        driver.arrive_with(from_organisation(&format!("org-{number}")));
    }
    assert_eq!(
        driver.given_up().len(),
        150,
        "the class queues a hundred requests"
    );
}

#[test]
fn overload_request_that_would_miss_its_deadline_is_refused_at_once() {
    let mut driver = single_slot(|settings| settings.queue.wait_max = Millis(60_000));
    driver.arrive();
    for _ in 0..100 {
        driver.arrive();
    }
    // One request every 50 ms.
    for request in 1..=40 {
        driver.advance(50);
        driver.complete(request);
    }
    let before = driver.given_up().len();
    let effects =
        driver.arrive_with(|arrival| arrival.deadline = Millis(arrival.deadline.0 - 9_000));
    let [
        Effect::GiveUp {
            kind, retry_after, ..
        },
    ] = effects.as_slice()
    else {
        panic!("61 requests wait, served at 20 per second: {effects:?}");
    };
    assert_eq!(*kind, ErrorKind::TooLate);
    assert!(
        (2_000..=8_000).contains(&retry_after.0),
        "{retry_after}: the queue drains in 3 s, plus jitter"
    );
    assert_eq!(driver.given_up().len(), before + 1);
    driver.arrive();
    assert_eq!(
        driver.given_up().len(),
        before + 1,
        "ten seconds are enough"
    );
}

#[test]
fn overload_retry_delays_of_refusals_have_jitter() {
    let mut driver = single_slot(|settings| settings.queue.organisation_max = 4);
    for _ in 0..105 {
        driver.arrive();
    }
    let mut times: Vec<u64> = driver
        .effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::GiveUp { retry_after, .. } => Some(retry_after.0),
            _ => None,
        })
        .collect();
    assert_eq!(times.len(), 100);
    times.sort_unstable();
    assert!(times[0] >= 1_000 && times[99] < 2_000);
    assert!(times[99] - times[0] > 800, "jitter covers the whole range");
    times.dedup();
    assert!(times.len() > 80);
}

#[test]
fn overload_expected_wait_bounds_the_queue() {
    let mut driver = single_slot(|settings| settings.queue.wait_max = Millis(600));
    let mut longest = 0;
    for served in 1..=200 {
        for _ in 0..4 {
            driver.arrive();
        }
        driver.advance(100);
        let request = *driver.in_flight.keys().next().unwrap();
        driver.complete(request);
        let waiting = driver.next_request as usize - 2 - driver.given_up().len() - served;
        if served > 60 {
            longest = longest.max(waiting);
        }
    }
    assert!(
        (4..=6).contains(&longest),
        "600 ms at ten requests per second, once the drain rate is known: {longest}"
    );
    assert!(
        driver
            .given_up()
            .iter()
            .all(|(_, kind)| *kind == ErrorKind::QueueFull)
    );
}

#[test]
fn overload_queued_request_is_given_up_once_its_deadline_cannot_be_met() {
    let mut driver = single_slot(|settings| settings.queue.wait_max = Millis(60_000));
    for request in 1..=20 {
        driver.arrive();
        driver.now += 400;
        driver.feed_first_byte(request);
        driver.complete(request);
    }
    driver.arrive();
    driver.arrive_with(|arrival| arrival.deadline = Millis(arrival.deadline.0 - 9_000));
    let refused = driver.now;
    while driver.given_up().is_empty() {
        driver.advance(20);
    }
    assert_eq!(driver.given_up(), [(22, ErrorKind::TooLate)]);
    let waited = driver.now - refused;
    assert!(
        (400..=620).contains(&waited),
        "1,000 ms to the deadline less 400 ms of service time: {waited}"
    );
}

#[test]
fn overload_estimate_that_refuses_every_request_decays() {
    let mut driver = single_slot(|_| {});
    driver.arrive();
    driver.now += 8_000;
    driver.complete(1);
    let mut refused = 0;
    while sent(&driver.arrive_with(|arrival| arrival.deadline = Millis(arrival.deadline.0 - 8_000)))
        .is_empty()
    {
        refused += 1;
        assert!(refused < 60, "refused for ever");
        driver.advance(1_000);
    }
    assert!(refused > 0);
}

#[test]
fn overload_expired_requests_are_not_queued_and_hung_up_ones_leave_the_queue() {
    let mut driver = single_slot(|settings| settings.queue.organisation_max = 4);
    driver.arrive();
    driver.arrive_with(|arrival| arrival.deadline = Millis(1_000));
    assert_eq!(driver.given_up(), [(2, ErrorKind::TooLate)]);
    for _ in 0..4 {
        driver.arrive();
    }
    for request in [3, 5, 6] {
        driver.feed(Event::HungUp(RequestNumber(request)));
    }
    for _ in 0..3 {
        driver.arrive();
    }
    assert_eq!(complete_in_turn(&mut driver, 9), [4, 7, 8, 9]);
    assert_eq!(
        driver.given_up().len(),
        1,
        "the queue places were free again"
    );
}

#[test]
fn overload_caller_that_hangs_up_frees_its_capacity_without_an_ended_event() {
    for policy in [Policy::Sardinepin, Policy::LeastInFlight] {
        let mut driver = single_slot(|settings| {
            settings.policy = policy;
            settings.concurrency.baseline_limit = 1;
        });
        for request in 1..=50 {
            driver.arrive();
            assert!(driver.in_flight.contains_key(&request), "{policy:?}");
            driver.feed(Event::HungUp(RequestNumber(request)));
            if request % 2 == 0 {
                driver.complete(request);
            }
        }
    }
}

#[test]
fn overload_rate_limit_applies_to_each_organisation() {
    let mut driver = Driver::with_upstreams(1, |settings| settings.concurrency.initial = 64);
    let limit = Limit {
        per_second: 2,
        burst: 3,
    };
    let limited = |driver: &mut Driver, organisation: &str| {
        let effects = driver.arrive_with(|arrival| {
            from_organisation(organisation)(arrival);
            arrival.rate_limit = Some(limit);
        });
        sent(&effects).len()
    };
    let counts: Vec<usize> = (0..5).map(|_| limited(&mut driver, "a")).collect();
    assert_eq!(counts, [1, 1, 1, 0, 0]);
    assert_eq!(driver.given_up()[0].1, ErrorKind::OverLimit);
    assert_eq!(
        limited(&mut driver, "b"),
        1,
        "each organisation has its own bucket"
    );
    driver.advance(1_000);
    let counts: Vec<usize> = (0..3).map(|_| limited(&mut driver, "a")).collect();
    assert_eq!(counts, [1, 1, 0]);
}

#[test]
fn overload_queued_requests_are_given_up_once_no_upstream_is_available_for_too_long() {
    let mut driver = single_slot(|_| {});
    driver.arrive();
    driver.arrive();
    let link = |up| Event::Link {
        upstream: UpstreamId(0),
        up,
    };
    driver.feed(link(false));
    driver.advance(400);
    assert_eq!(driver.given_up(), [], "the upstream may come back");
    driver.advance(200);
    assert_eq!(driver.given_up(), [(2, ErrorKind::NoUpstream)]);
    driver.arrive();
    assert_eq!(
        driver.given_up().len(),
        2,
        "new requests are refused at once"
    );
    driver.feed(link(true));
    driver.complete(1);
    assert_eq!(sent(&driver.arrive()).len(), 1);
}

#[test]
fn overload_same_seed_gives_the_same_effects() {
    let run = || {
        let mut driver = Driver::with_upstreams(70, |settings| settings.queue.organisation_max = 4);
        for number in 0..400_u64 {
            driver.arrive_with(from_organisation(&format!("org-{}", number % 7)));
            if number % 3 == 0 {
                driver.advance(20);
                let request = *driver.in_flight.keys().next().unwrap();
                driver.complete(request);
            }
        }
        driver.effects
    };
    assert_eq!(run(), run());
}
