//! Tests of the two simple policies.

use sardinepin_decisions::Policy;
use sardinepin_protocol::ErrorKind;

use crate::driver::{Driver, not_run, sent, sent_to, unknown};

fn driver(policy: Policy) -> Driver {
    Driver::of(3, |settings| {
        settings.policy = policy;
        settings.queue.class_max = 2;
        settings.concurrency.baseline_limit = 2;
    })
}

#[test]
fn routing_round_robin_takes_each_upstream_in_turn() {
    let mut driver = driver(Policy::RoundRobin);
    let order: Vec<u32> = (0..6).filter_map(|_| sent_to(&driver.arrive())).collect();
    assert_eq!(order, [0, 1, 2, 0, 1, 2]);
}

#[test]
fn routing_least_in_flight_takes_the_upstream_that_has_least() {
    let mut driver = driver(Policy::LeastInFlight);
    for _ in 0..3 {
        driver.arrive();
    }
    driver.whole(2);
    assert_eq!(sent_to(&driver.arrive()), Some(1));
}

#[test]
fn overload_baseline_queue_is_bounded_and_first_in_first_out() {
    for policy in [Policy::RoundRobin, Policy::LeastInFlight] {
        let mut driver = driver(policy);
        let sends: usize = (0..9).map(|_| sent(&driver.arrive()).len()).sum();
        assert_eq!(sends, 6, "two on each of three upstreams");
        assert_eq!(driver.given_up(), [(9, ErrorKind::QueueFull)]);
        assert_eq!(sent(&driver.whole(1))[0].0, 7);
        assert_eq!(sent(&driver.whole(2))[0].0, 8);
    }
}

#[test]
fn retry_baseline_tries_another_upstream_and_never_calls_a_run_not_run() {
    let mut driver = driver(Policy::LeastInFlight);
    let first = sent_to(&driver.arrive());
    let second = sent_to(&driver.end(1, unknown(false)));
    assert_ne!(first, second);
    driver.end(1, not_run(ErrorKind::Busy));
    driver.end(1, not_run(ErrorKind::Busy));
    assert_eq!(driver.given_up(), [(1, ErrorKind::UpstreamBroke)]);
}
