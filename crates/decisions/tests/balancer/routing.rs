//! Tests of the choice of an upstream.

use sardinepin_common::Set;
use sardinepin_decisions::{Event, UpstreamId};
use sardinepin_protocol::{ErrorKind, UpstreamState};

use crate::driver::{Driver, digest, info, name, not_run, sent, sent_to};

#[test]
fn routing_counts_own_work_on_top_of_the_last_report() {
    let mut driver = Driver::of(2, |_| {});
    driver.load(0, |load| load.running = 10);
    driver.load(1, |load| load.running = 7);
    let order: Vec<_> = (0..5).filter_map(|_| sent_to(&driver.arrive())).collect();
    let (first, second) = (count(&order, 0), count(&order, 1));
    assert!(
        order[..3].iter().all(|at| *at == 1),
        "3 go where 3 fewer run: {order:?}"
    );
    assert_eq!((first, second), (1, 4), "the rest goes in turn: {order:?}");
}

#[test]
fn routing_does_not_trust_a_report_older_than_its_bound() {
    let mut driver = Driver::of(2, |_| {});
    driver.load(0, |load| load.running = 30);
    driver.load(1, |load| load.running = 0);
    assert_eq!(sent_to(&driver.arrive()), Some(1));
    driver.now += 2_001;
    assert_eq!(
        sent_to(&driver.arrive()),
        Some(0),
        "only own work counts now"
    );
    driver.load(0, |load| {
        load.running = 0;
        load.age_ms = 2_001;
    });
    driver.load(1, |load| load.running = 4);
    driver.whole(2);
    assert_eq!(
        sent_to(&driver.arrive()),
        Some(1),
        "an engine's old word counts as old"
    );
}

#[test]
fn routing_picks_no_upstream_that_is_dead_or_leaving_or_draining() {
    let mut driver = Driver::of(4, |_| {});
    let mut infos: Vec<_> = (0..4).map(info).collect();
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
fn routing_refusal_as_leaving_stops_new_work_before_any_list_says_so() {
    let mut driver = Driver::of(2, |_| {});
    let at = sent_to(&driver.arrive());
    let again = sent_to(&driver.end(1, not_run(ErrorKind::Leaving)));
    assert_ne!(at, again);
    for _ in 0..3 {
        assert_eq!(sent_to(&driver.arrive()), again);
    }
}

#[test]
fn routing_stays_in_its_zone_until_the_zone_cannot_serve() {
    let mut driver = Driver::with(|settings| settings.concurrency.initial = 2);
    let mut infos: Vec<_> = (0..4).map(info).collect();
    infos[2].zone = name("zone-b");
    infos[3].zone = name("zone-b");
    driver.upstreams(infos);
    let order: Vec<_> = (0..5).filter_map(|_| sent_to(&driver.arrive())).collect();
    assert!(order[..4].iter().all(|at| *at < 2), "{order:?}");
    assert!(order[4] >= 2, "the zone is full: {order:?}");
    driver.whole(1);
    assert!(sent_to(&driver.arrive()).is_some_and(|at| at < 2));
    driver.feed(Event::Link {
        upstream: UpstreamId(0),
        up: false,
    });
    driver.feed(Event::Link {
        upstream: UpstreamId(1),
        up: false,
    });
    assert!(sent_to(&driver.arrive()).is_some_and(|at| at >= 2));
}

#[test]
fn routing_sends_a_prefix_where_it_is_cached_within_the_bound_on_load() {
    let mut driver = Driver::of(4, |settings| settings.concurrency.initial = 64);
    driver.feed(Event::PrefixCache {
        upstream: UpstreamId(2),
        prefix: digest(9),
        cached: true,
    });
    let order: Vec<_> = (0..40)
        .filter_map(|_| sent_to(&driver.arrive_as(|one| one.prefix = Some(digest(9)))))
        .collect();
    assert!(order[..5].iter().all(|at| *at == 2), "{order:?}");
    let most = (0..4).map(|at| count(&order, at)).max().unwrap();
    assert!(
        most <= 11 * 5 / 4 + 8,
        "1.25 of the mean and an eighth of the limit: {order:?}"
    );
    assert!(count(&order, 2) < 20, "others help out: {order:?}");
}

#[test]
fn routing_remembers_where_a_prefix_went_and_forgets_what_was_dropped() {
    let mut driver = Driver::of(8, |_| {});
    let first = sent_to(&driver.arrive_as(|one| one.prefix = Some(digest(5)))).unwrap();
    driver.whole(1);
    for ticket in 2..6 {
        let at = sent_to(&driver.arrive_as(|one| one.prefix = Some(digest(5))));
        assert_eq!(at, Some(first));
        driver.whole(ticket);
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
    let moved = sent_to(&driver.arrive_as(|one| one.prefix = Some(digest(5))));
    assert_eq!(moved, Some(other));
}

#[test]
fn routing_entries_agree_on_a_new_prefix_without_a_word() {
    let homes = |seed: u64| -> Vec<Option<u32>> {
        let mut driver = Driver::of(8, |settings| settings.seed = seed);
        (0..20)
            .map(|number| {
                let at = sent_to(&driver.arrive_as(|one| one.prefix = Some(digest(number))));
                driver.whole(number + 1);
                at
            })
            .collect()
    };
    assert_eq!(homes(1), homes(2));
}

#[test]
fn routing_keyed_calls_go_to_the_same_upstream_at_every_entry_while_it_lives() {
    let home = |seed: u64, key: u64| {
        let mut driver = Driver::of(5, |settings| settings.seed = seed);
        driver.load(0, |load| load.running = seed as u32);
        sent_to(&driver.arrive_as(|one| one.idempotency_key = Some(digest(key)))).unwrap()
    };
    let homes: Set<u32> = (0..40)
        .map(|key| {
            assert_eq!(home(1, key), home(2, key));
            home(1, key)
        })
        .collect();
    assert_eq!(homes.len(), 5, "keys are spread over all");

    let mut driver = Driver::of(5, |_| {});
    let first = sent_to(&driver.arrive_as(|one| one.idempotency_key = Some(digest(3)))).unwrap();
    driver.feed(Event::Link {
        upstream: UpstreamId(first),
        up: false,
    });
    let second = sent_to(&driver.arrive_as(|one| one.idempotency_key = Some(digest(3)))).unwrap();
    assert_ne!(first, second);
    driver.feed(Event::Link {
        upstream: UpstreamId(first),
        up: true,
    });
    assert_eq!(
        sent_to(&driver.arrive_as(|one| one.idempotency_key = Some(digest(3)))),
        Some(first)
    );
}

#[test]
fn routing_judges_a_group_by_its_worst_member_and_lets_it_return_gradually() {
    let mut driver = Driver::with(|settings| settings.concurrency.initial = 64);
    let infos = (0..4).map(|at| {
        let mut info = info(at);
        info.group = Some(name(if at < 2 { "east" } else { "west" }));
        info
    });
    driver.upstreams(infos.collect());
    driver.pass(20);
    let share = |driver: &mut Driver| {
        let order: Vec<_> = (0..40).filter_map(|_| sent_to(&driver.arrive())).collect();
        let flying: Vec<u64> = driver.flying.keys().copied().collect();
        for ticket in flying {
            driver.whole(ticket);
        }
        count(&order, 0) + count(&order, 1)
    };
    let before = share(&mut driver);
    assert_eq!(before, 20, "both groups are as good");
    driver.feed(Event::Link {
        upstream: UpstreamId(1),
        up: false,
    });
    assert!(
        share(&mut driver) <= 1,
        "one rank is gone, so its peer is not used"
    );
    driver.feed(Event::Link {
        upstream: UpstreamId(1),
        up: true,
    });
    driver.pass(1_000);
    let early = share(&mut driver);
    driver.pass(2_000);
    let later = share(&mut driver);
    driver.pass(4_000);
    let last = share(&mut driver);
    assert!(early > 1 && early < later && later < 20, "{early}, {later}");
    assert_eq!(last, 20);
    for at in 0..4 {
        driver.load(at, |load| {
            load.step_micros = if at == 1 { 20_000 } else { 4_000 }
        });
    }
    assert!(share(&mut driver) < 12, "a slow rank counts at once");
}

#[test]
fn routing_of_a_large_pool_finds_the_only_upstream_with_room() {
    let mut driver = Driver::of(300, |settings| settings.concurrency.initial = 1);
    let mut at = Vec::new();
    for _ in 0..300 {
        at.extend(sent(&driver.arrive()).into_iter().map(|(_, at)| at));
    }
    at.sort_unstable();
    assert_eq!(at, (0..300).collect::<Vec<u32>>());
}

fn count(order: &[u32], wanted: u32) -> usize {
    order.iter().filter(|at| **at == wanted).count()
}
