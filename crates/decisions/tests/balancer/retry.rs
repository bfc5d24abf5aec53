//! Tests of retries: conditions, choice of upstream and budget.

use sardinepin_common::Millis;
use sardinepin_decisions::{AttemptEnd, Effect, Event, ServiceInfo};
use sardinepin_protocol::ErrorKind;

use crate::driver::{Driver, given_up, name, not_run, sent, sent_to, unknown};

#[test]
fn retry_after_not_run_goes_to_another_upstream_and_carries_the_cause() {
    let mut driver = Driver::with_upstreams(3, |_| {});
    let first = sent_to(&driver.arrive());
    let effects = driver.end(1, not_run(ErrorKind::Unreachable));
    let second = sent_to(&effects);
    assert_ne!(first, second);
    assert_eq!(
        effects[0],
        Effect::Send {
            request: sardinepin_decisions::RequestNumber(1),
            upstream: sardinepin_decisions::UpstreamId(second.unwrap()),
            retry_cause: Some(ErrorKind::Unreachable),
        }
    );
    let third = sent_to(&driver.end(1, not_run(ErrorKind::Busy)));
    assert!(third != first && third != second);
    driver.end(1, not_run(ErrorKind::Busy));
    assert_eq!(
        driver.given_up(),
        [(1, ErrorKind::Busy)],
        "three attempts are the maximum"
    );
}

#[test]
fn retry_returns_to_the_same_upstream_only_if_it_is_the_last() {
    let mut driver = Driver::with_upstreams(1, |_| {});
    driver.arrive();
    assert_eq!(sent_to(&driver.end(1, not_run(ErrorKind::Busy))), Some(0));

    let mut driver = Driver::with_upstreams(2, |settings| settings.concurrency.initial = 1);
    driver.arrive();
    driver.arrive();
    let first = driver.in_flight[&1];
    assert_eq!(
        sent(&driver.end(1, not_run(ErrorKind::Busy))),
        [],
        "the other upstream has no capacity"
    );
    let effects = driver.complete(2);
    assert_eq!(sent(&effects), [(1, 1 - first)]);
}

#[test]
fn retry_that_waits_for_another_upstream_does_not_block_the_queue() {
    let mut driver = Driver::with_upstreams(2, |settings| {
        settings.concurrency.initial = 1;
        settings.concurrency.max = 1;
    });
    for _ in 0..4 {
        driver.arrive();
    }
    let first = driver.in_flight[&1];
    let effects = driver.end(1, not_run(ErrorKind::PlatformOut));
    assert_eq!(
        sent(&effects),
        [(3, first)],
        "the next request in the queue takes the free capacity"
    );
    assert_eq!(sent(&driver.complete(3)), [(4, first)]);
    assert_eq!(
        sent(&driver.complete(2)),
        [(1, 1 - first)],
        "the retry goes first on the other upstream"
    );
}

#[test]
fn retry_of_an_unknown_outcome_only_if_idempotent_and_resumable() {
    let spoiled = AttemptEnd::Unknown {
        kind: ErrorKind::LinkLost,
        crashed: false,
        unresumable: true,
    };
    let cases = [
        (true, unknown(false), 1),
        (false, unknown(false), 0),
        (true, spoiled, 0),
    ];
    for (idempotent, end, sends) in cases {
        let mut driver = Driver::with_upstreams(3, |_| {});
        driver.arrive_with(|arrival| arrival.idempotent = idempotent);
        let effects = driver.end(1, end);
        assert_eq!(sent(&effects).len(), sends, "{idempotent} {end:?}");
        assert_eq!(given_up(&effects).len(), 1 - sends);
    }
}

#[test]
fn retry_never_reports_an_unknown_outcome_as_not_run() {
    let mut driver = Driver::with_upstreams(3, |_| {});
    driver.arrive();
    driver.end(1, unknown(false));
    driver.end(1, not_run(ErrorKind::Busy));
    driver.end(1, not_run(ErrorKind::Busy));
    assert_eq!(driver.given_up(), [(1, ErrorKind::UpstreamBroke)]);

    let mut driver = Driver::with_upstreams(2, |settings| {
        settings.concurrency.initial = 1;
        settings.concurrency.max = 1;
    });
    driver.arrive_with(|arrival| arrival.deadline = Millis(1_500));
    driver.arrive();
    driver.end(1, unknown(false));
    driver.advance(600);
    assert_eq!(
        driver.given_up(),
        [(1, ErrorKind::UpstreamBroke)],
        "the retry waited until its deadline could not be met"
    );
}

#[test]
fn retry_never_after_the_deadline_or_a_permanent_error() {
    let mut driver = Driver::with_upstreams(3, |_| {});
    driver.arrive_with(|arrival| arrival.deadline = Millis(1_100));
    driver.now = 1_100;
    driver.end(1, not_run(ErrorKind::Busy));
    driver.arrive();
    driver.end(2, not_run(ErrorKind::KeyReused));
    assert_eq!(
        driver.given_up(),
        [(1, ErrorKind::TooLate), (2, ErrorKind::KeyReused)]
    );
}

#[test]
fn retry_budget_is_a_share_of_the_first_attempts_of_each_service() {
    let mut driver = Driver::with_upstreams(4, |settings| settings.concurrency.initial = 64);
    driver.feed(Event::Services(vec![ServiceInfo {
        name: name("model"),
        retry_milli: 100,
    }]));
    let mut retries = 0;
    for request in 1..=1_000 {
        driver.arrive();
        retries += sent(&driver.end(request, not_run(ErrorKind::PlatformOut))).len();
        if driver.in_flight.contains_key(&request) {
            driver.complete(request);
        }
    }
    assert!(
        (100..=110).contains(&retries),
        "a tenth of the requests and the initial ten: {retries}"
    );
    let spent = driver.given_up();
    assert_eq!(spent.len(), 1_000 - retries);
    assert!(
        spent
            .iter()
            .all(|(_, kind)| *kind == ErrorKind::BudgetSpent)
    );
}

#[test]
fn retry_budget_of_zero_allows_no_retry() {
    let mut driver = Driver::with_upstreams(4, |_| {});
    driver.feed(Event::Services(vec![ServiceInfo {
        name: name("model"),
        retry_milli: 0,
    }]));
    driver.arrive();
    driver.end(1, not_run(ErrorKind::Busy));
    assert_eq!(driver.given_up(), [(1, ErrorKind::BudgetSpent)]);
}

#[test]
fn retry_is_dropped_when_the_caller_hangs_up() {
    let mut driver = Driver::with_upstreams(2, |_| {});
    driver.arrive();
    driver.feed(Event::HungUp(sardinepin_decisions::RequestNumber(1)));
    assert_eq!(driver.end(1, not_run(ErrorKind::Busy)), []);
}

#[test]
fn retry_withdraws_an_idempotent_request_from_a_stalled_upstream_once() {
    let mut driver = Driver::with_upstreams(4, |_| {});
    for request in 1..=20 {
        driver.arrive();
        driver.now += 10;
        driver.feed_first_byte(request);
        driver.complete(request);
    }
    driver.arrive();
    driver.arrive_with(|arrival| arrival.idempotent = false);
    let stalled = driver.in_flight[&21];
    driver.feed(Event::Tick);
    let effects = driver.advance(3_000);
    let withdrawn: Vec<_> = effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Withdraw { .. }))
        .collect();
    assert_eq!(
        withdrawn,
        [&Effect::Withdraw {
            request: sardinepin_decisions::RequestNumber(21),
            upstream: sardinepin_decisions::UpstreamId(stalled),
        }],
        "the request that is not idempotent is not withdrawn"
    );
    let again = sent_to(&driver.end(21, not_run(ErrorKind::Tombstoned)));
    assert!(again.is_some_and(|upstream| upstream != stalled));
}
