//! Tests of upstream selection.

use sardinepin_common::Set;
use sardinepin_decisions::{Event, UpstreamId};
use sardinepin_protocol::{ErrorKind, UpstreamState};

use crate::driver::{Driver, digest, name, not_run, sent, sent_to, upstream_info};

#[test]
fn routing_adds_own_attempts_to_the_last_load_report() {
    let mut driver = Driver::with_upstreams(2, |_| {});
    driver.report_load(0, |load| load.running = 10);
    driver.report_load(1, |load| load.running = 7);
    let order: Vec<_> = (0..5).filter_map(|_| sent_to(&driver.arrive())).collect();
    let (first, second) = (count(&order, 0), count(&order, 1));
    assert!(
        order[..3].iter().all(|upstream| *upstream == 1),
        "three go to the upstream that runs three fewer: {order:?}"
    );
    assert_eq!((first, second), (1, 4), "the rest alternates: {order:?}");
}

#[test]
fn routing_ignores_an_expired_load_report() {
    let mut driver = Driver::with_upstreams(2, |_| {});
    driver.report_load(0, |load| load.running = 30);
    driver.report_load(1, |load| load.running = 0);
    assert_eq!(sent_to(&driver.arrive()), Some(1));
    driver.now += 2_001;
    assert_eq!(
        sent_to(&driver.arrive()),
        Some(0),
        "only own attempts count now"
    );
    driver.report_load(0, |load| {
        load.running = 0;
        load.age_ms = 2_001;
    });
    driver.report_load(1, |load| load.running = 4);
    driver.complete(2);
    assert_eq!(
        sent_to(&driver.arrive()),
        Some(1),
        "the age that the agent reports counts as well"
    );
}

#[test]
fn routing_picks_no_upstream_that_is_down_leaving_or_draining() {
    let mut driver = Driver::with_upstreams(4, |_| {});
    let mut infos: Vec<_> = (0..4).map(upstream_info).collect();
    infos[2].state = UpstreamState::Draining;
    driver.feed(Event::Upstreams(infos));
    driver.feed(Event::Leaving(UpstreamId(0)));
    driver.feed(Event::Link {
        upstream: UpstreamId(1),
        up: false,
    });
    for _ in 0..4 {
        assert_eq!(sent_to(&driver.arrive()), Some(3));
    }
    driver.feed(Event::Leaving(UpstreamId(3)));
    driver.arrive();
    assert_eq!(driver.given_up(), [(5, ErrorKind::NoUpstream)]);
}

#[test]
fn routing_leaving_refusal_stops_new_work_at_once() {
    let mut driver = Driver::with_upstreams(2, |_| {});
    let upstream = sent_to(&driver.arrive());
    let again = sent_to(&driver.end(1, not_run(ErrorKind::Leaving)));
    assert_ne!(upstream, again);
    for _ in 0..3 {
        assert_eq!(sent_to(&driver.arrive()), again);
    }
}

#[test]
fn routing_stays_in_its_zone_until_the_zone_cannot_serve() {
    let mut driver = Driver::with_settings(|settings| settings.concurrency.initial = 2);
    let mut infos: Vec<_> = (0..4).map(upstream_info).collect();
    infos[2].zone = name("zone-b");
    infos[3].zone = name("zone-b");
    driver.configure_upstreams(infos);
    let order: Vec<_> = (0..5).filter_map(|_| sent_to(&driver.arrive())).collect();
    assert!(order[..4].iter().all(|upstream| *upstream < 2), "{order:?}");
    assert!(order[4] >= 2, "the zone has no capacity: {order:?}");
    driver.complete(1);
    assert!(sent_to(&driver.arrive()).is_some_and(|upstream| upstream < 2));
    driver.feed(Event::Link {
        upstream: UpstreamId(0),
        up: false,
    });
    driver.feed(Event::Link {
        upstream: UpstreamId(1),
        up: false,
    });
    assert!(sent_to(&driver.arrive()).is_some_and(|upstream| upstream >= 2));
}

#[test]
fn routing_sends_a_prefix_where_it_is_cached_within_the_affinity_bound() {
    let mut driver = Driver::with_upstreams(4, |settings| settings.concurrency.initial = 64);
    driver.feed(Event::PrefixCache {
        upstream: UpstreamId(2),
        prefix: digest(9),
        cached: true,
    });
    let order: Vec<_> = (0..40)
        .filter_map(|_| sent_to(&driver.arrive_with(|arrival| arrival.prefix = Some(digest(9)))))
        .collect();
    assert!(
        order[..5].iter().all(|upstream| *upstream == 2),
        "{order:?}"
    );
    let most = (0..4)
        .map(|upstream| count(&order, upstream))
        .max()
        .unwrap();
    assert!(
        most <= 11 * 5 / 4 + 8,
        "1.25 times the mean plus an eighth of the limit: {order:?}"
    );
    assert!(
        count(&order, 2) < 20,
        "other upstreams take part of the load: {order:?}"
    );
}

#[test]
fn routing_remembers_where_a_prefix_was_sent_and_forgets_evicted_prefixes() {
    let mut driver = Driver::with_upstreams(8, |_| {});
    let first = sent_to(&driver.arrive_with(|arrival| arrival.prefix = Some(digest(5)))).unwrap();
    driver.complete(1);
    for request in 2..6 {
        let upstream = sent_to(&driver.arrive_with(|arrival| arrival.prefix = Some(digest(5))));
        assert_eq!(upstream, Some(first));
        driver.complete(request);
    }
    let other = (first + 1) % 8;
    driver.feed(Event::PrefixCache {
        upstream: UpstreamId(first),
        prefix: digest(5),
        cached: false,
    });
    driver.feed(Event::PrefixCache {
        upstream: UpstreamId(other),
        prefix: digest(5),
        cached: true,
    });
    let moved = sent_to(&driver.arrive_with(|arrival| arrival.prefix = Some(digest(5))));
    assert_eq!(moved, Some(other));
}

#[test]
fn routing_entries_agree_on_a_new_prefix_without_communication() {
    let chosen = |seed: u64| -> Vec<Option<u32>> {
        let mut driver = Driver::with_upstreams(8, |settings| settings.seed = seed);
        (0..20)
            .map(|number| {
                let upstream =
                    sent_to(&driver.arrive_with(|arrival| arrival.prefix = Some(digest(number))));
                driver.complete(number + 1);
                upstream
            })
            .collect()
    };
    assert_eq!(chosen(1), chosen(2));
}

#[test]
fn routing_keyed_calls_go_to_the_same_upstream_at_every_entry_while_it_is_up() {
    let choose = |seed: u64, key: u64| {
        let mut driver = Driver::with_upstreams(5, |settings| settings.seed = seed);
        driver.report_load(0, |load| load.running = seed as u32);
        sent_to(&driver.arrive_with(|arrival| arrival.idempotency_key = Some(digest(key)))).unwrap()
    };
    let chosen: Set<u32> = (0..40)
        .map(|key| {
            assert_eq!(choose(1, key), choose(2, key));
            choose(1, key)
        })
        .collect();
    assert_eq!(chosen.len(), 5, "keys are distributed over all upstreams");

    let mut driver = Driver::with_upstreams(5, |_| {});
    let first =
        sent_to(&driver.arrive_with(|arrival| arrival.idempotency_key = Some(digest(3)))).unwrap();
    driver.feed(Event::Link {
        upstream: UpstreamId(first),
        up: false,
    });
    let second =
        sent_to(&driver.arrive_with(|arrival| arrival.idempotency_key = Some(digest(3)))).unwrap();
    assert_ne!(first, second);
    driver.feed(Event::Link {
        upstream: UpstreamId(first),
        up: true,
    });
    assert_eq!(
        sent_to(&driver.arrive_with(|arrival| arrival.idempotency_key = Some(digest(3)))),
        Some(first)
    );
}

#[test]
fn routing_weights_a_group_by_its_worst_member_and_restores_it_gradually() {
    let mut driver = Driver::with_settings(|settings| settings.concurrency.initial = 64);
    let infos = (0..4).map(|upstream| {
        let mut info = upstream_info(upstream);
        info.group = Some(name(if upstream < 2 { "east" } else { "west" }));
        info
    });
    driver.configure_upstreams(infos.collect());
    driver.advance(20);
    let share = |driver: &mut Driver| {
        let order: Vec<_> = (0..40).filter_map(|_| sent_to(&driver.arrive())).collect();
        let in_flight: Vec<u64> = driver.in_flight.keys().copied().collect();
        for request in in_flight {
            driver.complete(request);
        }
        count(&order, 0) + count(&order, 1)
    };
    let before = share(&mut driver);
    assert_eq!(before, 20, "both groups have equal weight");
    driver.feed(Event::Link {
        upstream: UpstreamId(1),
        up: false,
    });
    assert!(
        share(&mut driver) <= 1,
        "one rank is down, so its group is not used"
    );
    driver.feed(Event::Link {
        upstream: UpstreamId(1),
        up: true,
    });
    driver.advance(1_000);
    let early = share(&mut driver);
    driver.advance(2_000);
    let later = share(&mut driver);
    driver.advance(4_000);
    let last = share(&mut driver);
    assert!(early > 1 && early < later && later < 20, "{early}, {later}");
    assert_eq!(last, 20);
    for upstream in 0..4 {
        driver.report_load(upstream, |load| {
            load.step_micros = if upstream == 1 { 20_000 } else { 4_000 }
        });
    }
    assert!(
        share(&mut driver) < 12,
        "a slow rank lowers the weight at once"
    );
}

#[test]
fn routing_in_a_large_pool_finds_the_only_upstream_with_capacity() {
    let mut driver = Driver::with_upstreams(300, |settings| settings.concurrency.initial = 1);
    let mut upstream = Vec::new();
    for _ in 0..300 {
        upstream.extend(
            sent(&driver.arrive())
                .into_iter()
                .map(|(_, upstream)| upstream),
        );
    }
    upstream.sort_unstable();
    assert_eq!(upstream, (0..300).collect::<Vec<u32>>());
}

fn count(order: &[u32], wanted: u32) -> usize {
    order.iter().filter(|upstream| **upstream == wanted).count()
}
