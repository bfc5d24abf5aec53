//! Tests of retries: when, where, how many.

use sardinepin_common::Millis;
use sardinepin_decisions::{AttemptEnd, Effect, Event, ServiceInfo};
use sardinepin_protocol::ErrorKind;

use crate::driver::{Driver, given_up, name, not_run, sent, sent_to, unknown};

#[test]
fn retry_after_not_run_goes_to_another_upstream_and_names_the_reason() {
    let mut driver = Driver::of(3, |_| {});
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
        "three attempts are the most"
    );
}

#[test]
fn retry_goes_back_to_the_same_upstream_only_if_it_is_the_last() {
    let mut driver = Driver::of(1, |_| {});
    driver.arrive();
    assert_eq!(sent_to(&driver.end(1, not_run(ErrorKind::Busy))), Some(0));

    let mut driver = Driver::of(2, |settings| settings.concurrency.initial = 1);
    driver.arrive();
    driver.arrive();
    let home = driver.flying[&1];
    assert_eq!(
        sent(&driver.end(1, not_run(ErrorKind::Busy))),
        [],
        "the other is full"
    );
    let effects = driver.whole(2);
    assert_eq!(sent(&effects), [(1, 1 - home)]);
}

#[test]
fn retry_that_waits_for_another_upstream_holds_nobody_up() {
    let mut driver = Driver::of(2, |settings| {
        settings.concurrency.initial = 1;
        settings.concurrency.max = 1;
    });
    for _ in 0..4 {
        driver.arrive();
    }
    let home = driver.flying[&1];
    let effects = driver.end(1, not_run(ErrorKind::PlatformOut));
    assert_eq!(
        sent(&effects),
        [(3, home)],
        "the next in line takes the free place"
    );
    assert_eq!(sent(&driver.whole(3)), [(4, home)]);
    assert_eq!(
        sent(&driver.whole(2)),
        [(1, 1 - home)],
        "the retry goes first elsewhere"
    );
}

#[test]
fn retry_of_an_unknown_outcome_only_if_repeatable_and_not_spoiled() {
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
        let mut driver = Driver::of(3, |_| {});
        driver.arrive_as(|one| one.idempotent = idempotent);
        let effects = driver.end(1, end);
        assert_eq!(sent(&effects).len(), sends, "{idempotent} {end:?}");
        assert_eq!(given_up(&effects).len(), 1 - sends);
    }
}

#[test]
fn retry_never_turns_an_unknown_outcome_into_not_run() {
    let mut driver = Driver::of(3, |_| {});
    driver.arrive();
    driver.end(1, unknown(false));
    driver.end(1, not_run(ErrorKind::Busy));
    driver.end(1, not_run(ErrorKind::Busy));
    assert_eq!(driver.given_up(), [(1, ErrorKind::UpstreamBroke)]);

    let mut driver = Driver::of(2, |settings| {
        settings.concurrency.initial = 1;
        settings.concurrency.max = 1;
    });
    driver.arrive_as(|one| one.deadline = Millis(1_500));
    driver.arrive();
    driver.end(1, unknown(false));
    driver.pass(600);
    assert_eq!(
        driver.given_up(),
        [(1, ErrorKind::UpstreamBroke)],
        "it waited in vain"
    );
}

#[test]
fn retry_never_after_the_deadline_or_where_coming_back_is_no_use() {
    let mut driver = Driver::of(3, |_| {});
    driver.arrive_as(|one| one.deadline = Millis(1_100));
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
fn retry_budget_is_a_share_of_the_sends_of_each_service() {
    let mut driver = Driver::of(4, |settings| settings.concurrency.initial = 64);
    driver.feed(Event::Services(vec![ServiceInfo {
        name: name("model"),
        retry_milli: 100,
    }]));
    let mut retries = 0;
    for ticket in 1..=1_000 {
        driver.arrive();
        retries += sent(&driver.end(ticket, not_run(ErrorKind::PlatformOut))).len();
        if driver.flying.contains_key(&ticket) {
            driver.whole(ticket);
        }
    }
    assert!(
        (100..=110).contains(&retries),
        "a tenth and the first ten: {retries}"
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
fn retry_budget_of_nothing_allows_none() {
    let mut driver = Driver::of(4, |_| {});
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
    let mut driver = Driver::of(2, |_| {});
    driver.arrive();
    driver.feed(Event::HungUp(sardinepin_decisions::RequestNumber(1)));
    assert_eq!(driver.end(1, not_run(ErrorKind::Busy)), []);
}

#[test]
fn retry_of_what_waits_on_a_stalled_upstream_is_withdrawn_once_and_sent_elsewhere() {
    let mut driver = Driver::of(4, |_| {});
    for ticket in 1..=20 {
        driver.arrive();
        driver.now += 10;
        driver.began(ticket);
        driver.whole(ticket);
    }
    driver.arrive();
    driver.arrive_as(|one| one.idempotent = false);
    let stalled = driver.flying[&21];
    driver.feed(Event::Tick);
    let effects = driver.pass(3_000);
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
        "the call that may not be repeated stays where it is"
    );
    let again = sent_to(&driver.end(21, not_run(ErrorKind::Tombstoned)));
    assert!(again.is_some_and(|at| at != stalled));
}
