//! Tests of admission: classes, fair shares, bounds and refusals.

use sardinepin_common::Millis;
use sardinepin_config::Limit;
use sardinepin_decisions::{Arrival, Effect, Event, Policy, RequestNumber, Settings, UpstreamId};
use sardinepin_protocol::ErrorKind;

use crate::driver::{Driver, name, sent};

/// One upstream that runs one request at a time.
fn narrow(change: impl FnOnce(&mut Settings)) -> Driver {
    Driver::of(1, |settings| {
        settings.concurrency.initial = 1;
        settings.concurrency.max = 1;
        change(settings);
    })
}

fn from(organisation: &str) -> impl Fn(&mut Arrival) {
    let organisation = name(organisation);
    move |one| one.organisation = organisation.clone()
}

fn urgent(one: &mut Arrival) {
    one.class = name("urgent");
}

/// Ends what runs, again and again, and returns the order in which requests were sent.
fn serve(driver: &mut Driver, count: usize) -> Vec<u64> {
    let mut order = Vec::new();
    while order.len() < count {
        let Some(ticket) = driver.flying.keys().next().copied() else {
            break;
        };
        order.extend(sent(&driver.whole(ticket)).into_iter().map(|one| one.0));
    }
    order
}

#[test]
fn overload_shares_follow_weights_whoever_sends_most() {
    let mut driver = narrow(|_| {});
    driver.arrive();
    for _ in 0..100 {
        driver.arrive_as(from("greedy"));
    }
    for _ in 0..30 {
        driver.arrive_as(from("modest"));
        driver.arrive_as(|one| {
            from("double")(one);
            one.organisation_weight = 2;
        });
    }
    let order = serve(&mut driver, 60);
    let greedy = order.iter().filter(|ticket| **ticket <= 101).count();
    let modest = order
        .iter()
        .filter(|ticket| **ticket > 101 && **ticket % 2 == 0)
        .count();
    let double = order
        .iter()
        .filter(|ticket| **ticket > 101 && **ticket % 2 == 1)
        .count();
    assert_eq!((greedy, modest, double), (15, 15, 30));
}

#[test]
fn overload_shares_count_work_rather_than_requests() {
    let mut driver = narrow(|_| {});
    driver.arrive();
    for _ in 0..50 {
        driver.arrive_as(|one| {
            from("long")(one);
            one.cost = 40;
        });
        driver.arrive_as(|one| {
            from("short")(one);
            one.cost = 10;
        });
    }
    let order = serve(&mut driver, 50);
    let long = order.iter().filter(|ticket| **ticket % 2 == 0).count();
    assert_eq!((long, 50 - long), (10, 40));
}

#[test]
fn overload_organisation_that_waits_for_nothing_gets_in_where_greedy_ones_do_not() {
    let mut driver = narrow(|_| {});
    let mut modest = Vec::new();
    for round in 0..200 {
        for _ in 0..3 {
            driver.arrive_as(from("greedy"));
        }
        if round > 50 && round % 10 == 0 {
            driver.arrive_as(from("modest"));
            modest.push(driver.next - 1);
        }
        driver.pass(100);
        let ticket = *driver.flying.keys().next().unwrap();
        driver.whole(ticket);
    }
    let refused = driver.given_up();
    let lost = modest
        .iter()
        .filter(|one| refused.iter().any(|(ticket, _)| ticket == *one))
        .count();
    assert_eq!((lost, modest.len()), (0, 14));
    assert!(refused.len() > 300);
}

#[test]
fn overload_idle_organisation_saves_up_no_share() {
    let mut driver = narrow(|_| {});
    driver.arrive();
    for _ in 0..40 {
        driver.arrive_as(from("steady"));
    }
    serve(&mut driver, 20);
    let first = driver.next;
    for _ in 0..20 {
        driver.arrive_as(from("late"));
    }
    let order = serve(&mut driver, 20);
    let late = order.iter().filter(|ticket| **ticket >= first).count();
    assert_eq!(late, 10, "half from now on, nothing for the past");
}

#[test]
fn overload_urgent_goes_first_without_starving_the_others() {
    let mut driver = narrow(|_| {});
    driver.arrive();
    for _ in 0..10 {
        driver.arrive();
    }
    for _ in 0..30 {
        driver.arrive_as(urgent);
    }
    let order = serve(&mut driver, 27);
    let normal: Vec<usize> = (0..27).filter(|at| order[*at] <= 11).collect();
    assert_eq!(
        normal,
        [7, 16, 25],
        "one after eight urgent ones, of which the first went as it came"
    );
}

#[test]
fn overload_other_classes_share_by_weight() {
    let mut driver = narrow(|_| {});
    driver.arrive_as(|one| one.class_weight = 3);
    for _ in 0..40 {
        driver.arrive_as(|one| {
            one.class = name("batch");
            one.class_weight = 1;
        });
        driver.arrive_as(|one| one.class_weight = 3);
    }
    let order = serve(&mut driver, 40);
    let batch = order.iter().filter(|ticket| **ticket % 2 == 0).count();
    assert_eq!(batch, 10);
}

#[test]
fn overload_urgent_request_goes_over_the_limit_by_a_little() {
    let mut driver = Driver::of(1, |settings| settings.concurrency.initial = 4);
    for _ in 0..6 {
        driver.arrive();
    }
    assert_eq!(driver.flying.len(), 4);
    for _ in 0..6 {
        driver.arrive_as(urgent);
    }
    assert_eq!(driver.flying.len(), 6);
}

#[test]
fn overload_queue_is_bounded_by_organisation_and_leaves_room_for_others() {
    let mut driver = narrow(|settings| {
        settings.queue.class_max = 100;
        settings.queue.organisation_max = 60;
    });
    driver.arrive();
    for _ in 0..200 {
        driver.arrive_as(from("greedy"));
    }
    let refused = driver.given_up();
    assert_eq!(refused.len(), 140);
    assert!(
        refused
            .iter()
            .all(|(_, kind)| *kind == ErrorKind::QueueFull)
    );
    for _ in 0..30 {
        driver.arrive_as(from("modest"));
    }
    assert_eq!(driver.given_up().len(), 140, "the others still find room");
    for number in 0..20 {
        driver.arrive_as(from(&format!("org-{number}")));
    }
    assert_eq!(driver.given_up().len(), 150, "the class holds a hundred");
}

#[test]
fn overload_refuses_at_once_what_cannot_be_answered_in_time() {
    let mut driver = narrow(|settings| settings.queue.wait_max = Millis(60_000));
    driver.arrive();
    for _ in 0..100 {
        driver.arrive();
    }
    // One request every 50 ms.
    for ticket in 1..=40 {
        driver.pass(50);
        driver.whole(ticket);
    }
    let before = driver.given_up().len();
    let effects = driver.arrive_as(|one| one.deadline = Millis(one.deadline.0 - 9_000));
    let [
        Effect::GiveUp {
            kind, retry_after, ..
        },
    ] = effects.as_slice()
    else {
        panic!("61 wait, at 20 a second: {effects:?}");
    };
    assert_eq!(*kind, ErrorKind::TooLate);
    assert!(
        (2_000..=8_000).contains(&retry_after.0),
        "{retry_after}: the queue's 3 s, spread"
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
fn overload_refusals_are_spread_so_that_callers_do_not_come_back_together() {
    let mut driver = narrow(|settings| settings.queue.organisation_max = 4);
    for _ in 0..105 {
        driver.arrive();
    }
    let mut times: Vec<u64> = driver
        .log
        .iter()
        .filter_map(|effect| match effect {
            Effect::GiveUp { retry_after, .. } => Some(retry_after.0),
            _ => None,
        })
        .collect();
    assert_eq!(times.len(), 100);
    times.sort_unstable();
    assert!(times[0] >= 1_000 && times[99] < 2_000);
    assert!(times[99] - times[0] > 800, "over the whole range");
    times.dedup();
    assert!(times.len() > 80);
}

#[test]
fn overload_wait_is_bounded_so_that_the_queue_is_soon_back_to_normal() {
    let mut driver = narrow(|settings| settings.queue.wait_max = Millis(600));
    let mut longest = 0;
    for served in 1..=200 {
        for _ in 0..4 {
            driver.arrive();
        }
        driver.pass(100);
        let ticket = *driver.flying.keys().next().unwrap();
        driver.whole(ticket);
        let waiting = driver.next as usize - 2 - driver.given_up().len() - served;
        if served > 60 {
            longest = longest.max(waiting);
        }
    }
    assert!(
        (4..=6).contains(&longest),
        "600 ms at ten a second, once the rate is known: {longest}"
    );
    assert!(
        driver
            .given_up()
            .iter()
            .all(|(_, kind)| *kind == ErrorKind::QueueFull)
    );
}

#[test]
fn overload_what_waits_is_given_up_as_soon_as_its_deadline_cannot_be_met() {
    let mut driver = narrow(|settings| settings.queue.wait_max = Millis(60_000));
    for ticket in 1..=20 {
        driver.arrive();
        driver.now += 400;
        driver.began(ticket);
        driver.whole(ticket);
    }
    driver.arrive();
    driver.arrive_as(|one| one.deadline = Millis(one.deadline.0 - 9_000));
    let refused = driver.now;
    while driver.given_up().is_empty() {
        driver.pass(20);
    }
    assert_eq!(driver.given_up(), [(22, ErrorKind::TooLate)]);
    let waited = driver.now - refused;
    assert!(
        (400..=620).contains(&waited),
        "1,000 ms less the 400 it takes: {waited}"
    );
}

#[test]
fn overload_estimate_that_refuses_everything_fades() {
    let mut driver = narrow(|_| {});
    driver.arrive();
    driver.now += 8_000;
    driver.whole(1);
    let mut refused = 0;
    while sent(&driver.arrive_as(|one| one.deadline = Millis(one.deadline.0 - 8_000))).is_empty() {
        refused += 1;
        assert!(refused < 60, "refused for ever");
        driver.pass(1_000);
    }
    assert!(refused > 0);
}

#[test]
fn overload_expired_requests_are_not_queued_and_hung_up_ones_leave_the_queue() {
    let mut driver = narrow(|settings| settings.queue.organisation_max = 4);
    driver.arrive();
    driver.arrive_as(|one| one.deadline = Millis(1_000));
    assert_eq!(driver.given_up(), [(2, ErrorKind::TooLate)]);
    for _ in 0..4 {
        driver.arrive();
    }
    for ticket in [3, 5, 6] {
        driver.feed(Event::HungUp(RequestNumber(ticket)));
    }
    for _ in 0..3 {
        driver.arrive();
    }
    assert_eq!(serve(&mut driver, 9), [4, 7, 8, 9]);
    assert_eq!(driver.given_up().len(), 1, "the places were free again");
}

#[test]
fn overload_caller_that_hangs_up_frees_its_place_even_if_no_end_comes() {
    for policy in [Policy::Sardinepin, Policy::LeastInFlight] {
        let mut driver = narrow(|settings| {
            settings.policy = policy;
            settings.concurrency.baseline_limit = 1;
        });
        for ticket in 1..=50 {
            driver.arrive();
            assert!(driver.flying.contains_key(&ticket), "{policy:?}");
            driver.feed(Event::HungUp(RequestNumber(ticket)));
            if ticket % 2 == 0 {
                driver.whole(ticket);
            }
        }
    }
}

#[test]
fn overload_rule_limit_holds_each_organisation_to_its_rate() {
    let mut driver = Driver::of(1, |settings| settings.concurrency.initial = 64);
    let limit = Limit {
        per_second: 2,
        burst: 3,
    };
    let limited = |driver: &mut Driver, organisation: &str| {
        let effects = driver.arrive_as(|one| {
            from(organisation)(one);
            one.rate_limit = Some(limit);
        });
        sent(&effects).len()
    };
    let counts: Vec<usize> = (0..5).map(|_| limited(&mut driver, "a")).collect();
    assert_eq!(counts, [1, 1, 1, 0, 0]);
    assert_eq!(driver.given_up()[0].1, ErrorKind::OverLimit);
    assert_eq!(limited(&mut driver, "b"), 1, "each has its own");
    driver.pass(1_000);
    let counts: Vec<usize> = (0..3).map(|_| limited(&mut driver, "a")).collect();
    assert_eq!(counts, [1, 1, 0]);
}

#[test]
fn overload_what_waits_is_told_when_the_last_upstream_is_gone_for_long() {
    let mut driver = narrow(|_| {});
    driver.arrive();
    driver.arrive();
    let link = |up| Event::Link {
        upstream: UpstreamId(0),
        up,
    };
    driver.feed(link(false));
    driver.pass(400);
    assert_eq!(driver.given_up(), [], "it may come back");
    driver.pass(200);
    assert_eq!(driver.given_up(), [(2, ErrorKind::NoUpstream)]);
    driver.arrive();
    assert_eq!(driver.given_up().len(), 2, "new ones are told at once");
    driver.feed(link(true));
    driver.whole(1);
    assert_eq!(sent(&driver.arrive()).len(), 1);
}

#[test]
fn overload_same_seed_gives_the_same_effects() {
    let run = || {
        let mut driver = Driver::of(70, |settings| settings.queue.organisation_max = 4);
        for number in 0..400_u64 {
            driver.arrive_as(from(&format!("org-{}", number % 7)));
            if number % 3 == 0 {
                driver.pass(20);
                let ticket = *driver.flying.keys().next().unwrap();
                driver.whole(ticket);
            }
        }
        driver.log
    };
    assert_eq!(run(), run());
}
