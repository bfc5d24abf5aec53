//! Tests of upstreams in evacuated zones.

use sardinepin_common::Millis;
use sardinepin_decisions::{Event, UpstreamInfo};
use sardinepin_protocol::ErrorKind;

use crate::driver::{Driver, given_up, not_run, sent, sent_to, unknown, upstream_info};

/// Returns `count` upstreams, of which those in `evacuated` are in evacuated zones.
fn infos(count: u32, evacuated: &[u32]) -> Vec<UpstreamInfo> {
    let infos = (0..count).map(|number| UpstreamInfo {
        evacuated: evacuated.contains(&number),
        ..upstream_info(number)
    });
    infos.collect()
}

#[test]
fn an_evacuated_upstream_gets_no_first_attempts_and_no_retries() {
    let mut driver = Driver::with_upstreams(3, |_| {});
    let first = sent_to(&driver.arrive()).unwrap();
    driver.feed(Event::Upstreams(infos(3, &[1])));
    for _ in 0..10 {
        assert_ne!(sent_to(&driver.arrive()), Some(1));
    }
    if first != 1 {
        let retried = driver.end(1, not_run(ErrorKind::Leaving));
        assert_ne!(sent_to(&retried), Some(1));
    }
    let queued = sent(&driver.feed(Event::Upstreams(infos(3, &[]))));
    assert!(
        queued.iter().any(|(_, upstream)| *upstream == 1),
        "{queued:?}"
    );
}

#[test]
fn requests_are_refused_at_once_while_all_zones_are_evacuated() {
    let mut driver = Driver::with_upstreams(1, |_| {});
    while !sent(&driver.arrive()).is_empty() {}
    let waiting = driver.next_request - 1;
    let refused = given_up(&driver.feed(Event::Upstreams(infos(1, &[0]))));
    assert_eq!(refused, [(waiting, ErrorKind::ZonesEvacuated)]);
    let refused = given_up(&driver.arrive());
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].1, ErrorKind::ZonesEvacuated);
    assert!(!driver.in_flight_on(0).is_empty(), "what runs goes on");
}

/// Otherwise all entries fill the empty zone at the same moment.
#[test]
fn an_upstream_that_returns_begins_with_a_low_limit() {
    let mut driver = Driver::with_upstreams(1, |_| {});
    let mut counts = Vec::new();
    for round in 0..4 {
        if round == 3 {
            driver.feed(Event::Upstreams(infos(1, &[0])));
            driver.feed(Event::Upstreams(infos(1, &[])));
        }
        let mut requests = Vec::new();
        loop {
            let effects = driver.arrive();
            let Some((request, _)) = sent(&effects).first().copied() else {
                break;
            };
            requests.push(request);
        }
        let waiting = sardinepin_decisions::RequestNumber(driver.next_request - 1);
        driver.feed(Event::HungUp(waiting));
        counts.push(requests.len());
        for request in requests {
            driver.complete(request);
        }
        driver.advance(100);
    }
    assert!(counts[2] > counts[0], "{counts:?}");
    assert_eq!(counts[3], counts[0], "{counts:?}");
}

/// Ranks of an evacuated zone keep stepping, so their group is not stopped.
#[test]
fn a_group_with_an_evacuated_rank_keeps_its_weight() {
    let grouped = |evacuated: &[u32]| {
        let mut infos = infos(4, evacuated);
        for (number, info) in infos.iter_mut().enumerate() {
            info.group = Some(["even", "odd"][number % 2].into());
        }
        infos
    };
    let mut driver = Driver::with_upstreams(0, |_| {});
    driver.configure_upstreams(grouped(&[]));
    driver.feed(Event::Upstreams(grouped(&[0])));
    let order: Vec<_> = (0..6).filter_map(|_| sent_to(&driver.arrive())).collect();
    assert!(!order.contains(&0), "{order:?}");
    assert!(order.contains(&2), "its group is used: {order:?}");
}

/// A suspect waits for the upstream that is reserved for it, which must not get it after its zone was evacuated.
#[test]
fn a_suspect_is_not_sent_to_an_evacuated_upstream_that_was_reserved_for_it() {
    for evacuated in 1..4 {
        let mut driver = Driver::with_upstreams(4, |_| {});
        for _ in 0..12 {
            driver.arrive();
        }
        driver.feed(Event::Link {
            upstream: sardinepin_decisions::UpstreamId(0),
            up: false,
        });
        for request in driver.in_flight_on(0) {
            driver.end(request, unknown(true));
        }
        driver.feed(Event::Upstreams(infos(4, &[evacuated])));
        for request in driver.in_flight_on(evacuated) {
            let effects = driver.complete(request);
            let targets: Vec<u32> = sent(&effects)
                .iter()
                .map(|(_, upstream)| *upstream)
                .collect();
            assert!(!targets.contains(&evacuated), "{targets:?}");
        }
        driver.advance(Millis(100).0);
        assert_eq!(driver.in_flight_on(evacuated), [0_u64; 0]);
    }
}
