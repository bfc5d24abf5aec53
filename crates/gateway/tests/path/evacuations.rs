//! Tests of evacuated zones and of requests that are restricted to regions.

use std::sync::Arc;

use sardinepin_common::{Clock, Millis};
use sardinepin_gateway::{
    AllowedRegions, EvacuationList, Manifest, ObjectBatch, StoredObject, evacuation_wait, start,
};

use super::util::{
    EVACUATION_BOUND, FakeStore, ScriptedUpstream, Step, chunk, evacuable_settings, header,
    is_ready, last_chunk, manifest, request, send_raw, signed_response, start_evacuable_gateway,
    start_gateway, stream_head, wait_for,
};

/// How many requests are sent to show that a zone gets none.
const REQUESTS: usize = 9;

/// An upstream of each zone, `a` and `b`.
async fn zone_pair() -> [ScriptedUpstream; 2] {
    let mut pair = [
        ScriptedUpstream::start("a", vec![signed_response("200 OK", "a")]).await,
        ScriptedUpstream::start("b", vec![signed_response("200 OK", "b")]).await,
    ];
    pair[1].spec.zone = "zone-b".into();
    pair
}

/// Sends requests until one gets a response that ends with `body`.
async fn until_answered(address: std::net::SocketAddr, body: &str) {
    wait_for(async || {
        let response = send_raw(address, &request("/safe/a", "r", "")).await;
        response.ends_with(body)
    })
    .await;
}

/// Waits until a zone gets no requests, which go to the other one.
async fn until_only(address: std::net::SocketAddr, body: &str) {
    wait_for(async || {
        for _ in 0..REQUESTS {
            let response = send_raw(address, &request("/safe/a", "r", "")).await;
            if !response.ends_with(body) {
                return false;
            }
        }
        true
    })
    .await;
}

/// Sends requests of each kind and asserts that the upstream gets none.
async fn assert_unused(address: std::net::SocketAddr, upstream: &ScriptedUpstream) {
    let before = upstream.count();
    for number in 0..REQUESTS {
        let path = ["/safe/a", "/once/a", "/stream/a"][number % 3];
        send_raw(address, &request(path, &format!("r-{number}"), "")).await;
    }
    assert_eq!(upstream.count(), before);
}

#[tokio::test]
async fn an_evacuated_zone_gets_no_requests_and_returns_after_its_evacuation() {
    let [a, b] = zone_pair().await;
    let (running, store) = start_evacuable_gateway(&[&a, &b]).await;
    let address = running.caller_address();
    store.set_evacuated("zone-a", true);
    until_only(address, "b").await;
    assert_unused(address, &a).await;
    store.set_evacuated("zone-a", false);
    until_answered(address, "a").await;
}

#[tokio::test]
async fn requests_are_refused_at_once_while_all_zones_are_evacuated() {
    let [a, b] = zone_pair().await;
    let (running, store) = start_evacuable_gateway(&[&a, &b]).await;
    let address = running.caller_address();
    store.set_evacuated("zone-a", true);
    store.set_evacuated("zone-b", true);
    wait_for(async || {
        let response = send_raw(address, &request("/safe/a", "r", "")).await;
        response.contains("zones_evacuated")
    })
    .await;
    let clock = Clock::start();
    let response = send_raw(address, &request("/once/a", "second", "")).await;
    assert!(clock.now() < Millis(500), "refused after {}", clock.now());
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(header(&response, "retry-after").is_some(), "{response}");
    assert_unused(address, &a).await;
    assert_unused(address, &b).await;
    store.set_evacuated("zone-b", false);
    until_answered(address, "b").await;
}

#[tokio::test]
async fn the_evacuation_of_a_zone_without_upstreams_changes_nothing() {
    let [a, b] = zone_pair().await;
    let (running, store) = start_evacuable_gateway(&[&a]).await;
    let address = running.caller_address();
    store.set_evacuated("zone-b", true);
    until_answered(address, "a").await;
    // An upstream that starts in the evacuated zone later gets no requests either.
    store.set_upstreams(vec![a.spec.clone(), b.spec.clone()]);
    let (_, watches) = store.evacuation_calls();
    wait_for(async || store.evacuation_calls().1 > watches + 2).await;
    assert_unused(address, &b).await;
    assert!(a.count() >= REQUESTS);
}

#[tokio::test]
async fn an_evacuation_stays_in_force_while_the_store_is_down_or_compacted() {
    let [a, b] = zone_pair().await;
    let (running, store) = start_evacuable_gateway(&[&a, &b]).await;
    let address = running.caller_address();
    store.set_evacuated("zone-a", true);
    until_only(address, "b").await;
    store.set_unavailable(true);
    tokio::time::sleep((EVACUATION_BOUND + EVACUATION_BOUND).duration()).await;
    assert_unused(address, &a).await;
    assert!(b.count() >= REQUESTS, "the other zone is served meanwhile");
    store.compact_evacuations();
    store.set_unavailable(false);
    let (reads, _) = store.evacuation_calls();
    wait_for(async || store.evacuation_calls().0 > reads).await;
    assert_unused(address, &a).await;
    store.set_evacuated("zone-a", false);
    until_answered(address, "a").await;
}

#[tokio::test]
async fn an_end_that_was_compacted_away_is_noticed() {
    let [a, b] = zone_pair().await;
    let (running, store) = start_evacuable_gateway(&[&a, &b]).await;
    let address = running.caller_address();
    store.set_evacuated("zone-a", true);
    until_only(address, "b").await;
    store.set_unavailable(true);
    store.set_evacuated("zone-a", false);
    store.compact_evacuations();
    store.set_unavailable(false);
    until_answered(address, "a").await;
}

#[tokio::test]
async fn an_older_copy_of_the_store_ends_no_evacuation_though_other_objects_are_written_again() {
    let [a, b] = zone_pair().await;
    let (running, store) = start_evacuable_gateway(&[&a, &b]).await;
    let address = running.caller_address();
    store.set_evacuated("zone-a", true);
    until_only(address, "b").await;
    store.restore_without_evacuations(1);
    let (reads, _) = store.evacuation_calls();
    wait_for(async || store.evacuation_calls().0 > reads + 2).await;
    assert_unused(address, &a).await;
    for _ in 0..5 {
        store.write_something();
    }
    let (reads, _) = store.evacuation_calls();
    wait_for(async || store.evacuation_calls().0 > reads + 2).await;
    assert_unused(address, &a).await;
    // The operator's object is written again, and then taken back.
    store.set_evacuated("zone-a", true);
    store.set_evacuated("zone-a", false);
    until_answered(address, "a").await;
}

/// A frozen process finds all its timers due at once when it goes on. It must not send by what it knew before.
#[tokio::test]
async fn a_gateway_whose_store_call_is_overdue_sends_nothing_until_it_returns() {
    let [a, _] = zone_pair().await;
    let (running, store) = start_evacuable_gateway(&[&a]).await;
    let address = running.caller_address();
    store.stop_evacuations(true);
    tokio::time::sleep(EVACUATION_BOUND.duration()).await;
    let held =
        tokio::spawn(async move { send_raw(address, &request("/safe/a", "held", "")).await });
    tokio::time::sleep(Millis(200).duration()).await;
    assert_eq!(a.count(), 0);
    store.set_evacuated("zone-a", true);
    store.stop_evacuations(false);
    let response = held.await.unwrap();
    assert!(response.contains("zones_evacuated"), "{response}");
    assert_eq!(a.count(), 0);
}

#[tokio::test]
async fn a_gateway_serves_only_after_it_has_read_the_evacuations() {
    let [a, _] = zone_pair().await;
    let store = FakeStore::default();
    store.set_manifest(manifest(1));
    store.set_upstreams(vec![a.spec.clone()]);
    store.set_evacuated("zone-a", true);
    store.stop_evacuations(true);
    let running = start(evacuable_settings(), Arc::new(store.clone()))
        .await
        .unwrap();
    let address = running.caller_address();
    wait_for(async || store.crashes_are_watched()).await;
    assert!(!is_ready(&running).await);
    let response = send_raw(address, &request("/safe/a", "early", "")).await;
    assert!(response.contains("not_ready"), "{response}");
    store.stop_evacuations(false);
    wait_for(async || is_ready(&running).await).await;
    assert_unused(address, &a).await;
    assert_eq!(a.count(), 0);
}

#[tokio::test]
async fn a_gateway_without_the_bound_does_not_call_the_store_for_evacuations() {
    let [a, _] = zone_pair().await;
    let (running, store) = start_gateway(&[&a]).await;
    store.set_evacuated("zone-a", true);
    let response = send_raw(running.caller_address(), &request("/safe/a", "r", "")).await;
    assert!(response.ends_with('a'), "{response}");
    assert_eq!(store.evacuation_calls(), (0, 0));
}

#[tokio::test]
async fn a_stream_is_not_resumed_in_an_evacuated_zone() {
    let broken = vec![
        stream_head(),
        chunk("id: 1\ndata: x\n\n"),
        Step::Pause(Millis(1_500)),
        Step::Close,
    ];
    let whole = vec![stream_head(), chunk("id: 2\ndata: y\n\n"), last_chunk()];
    let a = ScriptedUpstream::start("a", vec![broken]).await;
    let mut b = ScriptedUpstream::start("b", vec![whole.clone()]).await;
    let mut c = ScriptedUpstream::start("c", vec![whole]).await;
    b.spec.zone = "zone-b".into();
    c.spec.zone = "zone-c".into();
    let (running, store) = start_evacuable_gateway(&[&a, &b, &c]).await;
    let address = running.caller_address();
    let stream =
        tokio::spawn(async move { send_raw(address, &request("/stream/a", "s", "")).await });
    wait_for(async || a.count() == 1).await;
    // The stream goes on in the first zone, although that is evacuated too.
    store.set_evacuated("zone-a", true);
    store.set_evacuated("zone-b", true);
    let response = stream.await.unwrap();
    assert!(response.contains("data: x"), "{response}");
    assert!(response.contains("data: y"), "{response}");
    assert_eq!((a.count(), b.count(), c.count()), (1, 0, 1));
}

/// Returns a configuration whose route `/safe/` and whose organisation allow some regions.
fn restricted(version: u64, route: &[&str], organisation: &[&str]) -> Manifest {
    let regions =
        |names: &[&str]| AllowedRegions::new(names.iter().map(|name| Arc::from(*name)).collect());
    let mut manifest = manifest(version);
    manifest.routes[0].regions = regions(route);
    manifest.organisations[0].regions = regions(organisation);
    manifest
}

#[tokio::test]
async fn requests_go_only_to_regions_that_route_and_organisation_allow() {
    let [a, b] = zone_pair().await;
    let mut unknown = ScriptedUpstream::start("c", vec![signed_response("200 OK", "c")]).await;
    unknown.spec.zone = "zone-c".into();
    let (running, store) = start_evacuable_gateway(&[&a, &b, &unknown]).await;
    let address = running.caller_address();
    store.set_manifest(restricted(2, &["south"], &[]));
    until_only(address, "b").await;
    store.set_manifest(restricted(3, &["north", "south"], &["north"]));
    until_only(address, "a").await;
    store.set_manifest(restricted(4, &["north"], &["south"]));
    wait_for(async || {
        let response = send_raw(address, &request("/safe/a", "r", "")).await;
        response.starts_with("HTTP/1.1 503") && response.contains("region_not_allowed")
    })
    .await;
    assert_eq!(unknown.count(), 0);
}

#[tokio::test]
async fn an_evacuation_leaves_no_way_out_of_the_allowed_region() {
    let [a, b] = zone_pair().await;
    let (running, store) = start_evacuable_gateway(&[&a, &b]).await;
    let address = running.caller_address();
    store.set_manifest(restricted(2, &["north"], &[]));
    until_only(address, "a").await;
    store.set_evacuated("zone-a", true);
    wait_for(async || {
        let response = send_raw(address, &request("/safe/a", "r", "")).await;
        response.contains("zones_evacuated")
    })
    .await;
}

fn batch(revision: u64, items: &[(&str, u64, bool)]) -> ObjectBatch<()> {
    let items = items.iter().map(|(zone, revision, exists)| StoredObject {
        name: Arc::from(*zone),
        revision: *revision,
        value: exists.then_some(()),
        is_unreadable: false,
    });
    ObjectBatch {
        era: 1,
        revision,
        items: items.collect(),
    }
}

/// The content of an object of another writer may be unreadable; its zone is evacuated all the same.
#[test]
fn an_unreadable_object_evacuates_its_zone() {
    let mut list = EvacuationList::default();
    for items in [batch(5, &[("a", 5, false)]), batch(6, &[("b", 6, false)])] {
        let items = ObjectBatch {
            items: items
                .items
                .into_iter()
                .map(|item| StoredObject {
                    is_unreadable: true,
                    ..item
                })
                .collect(),
            ..items
        };
        list.apply_changes(items);
    }
    assert_eq!(list.zones().len(), 2);
    list.apply_changes(batch(7, &[("a", 7, false)]));
    assert_eq!(list.zones().len(), 1);
}

#[test]
fn a_full_read_ends_only_evacuations_that_it_is_newer_than() {
    let mut list = EvacuationList::default();
    let now = Millis(0);
    list.replace_all(now, batch(10, &[("a", 3, true), ("b", 4, true)]));
    list.replace_all(now, batch(10, &[("b", 4, true)]));
    assert_eq!(list.zones().len(), 2);
    assert!(list.keeps_unlisted());
    list.replace_all(now, batch(11, &[("b", 4, true)]));
    assert_eq!(list.zones().len(), 1);
    assert!(!list.keeps_unlisted());
    list.apply_changes(batch(13, &[("a", 12, true), ("b", 4, false)]));
    assert!(list.zones().contains("a") && !list.zones().contains("b"));
}

fn restored(revision: u64, zones: &[(&str, u64, bool)]) -> ObjectBatch<()> {
    ObjectBatch {
        era: 2,
        ..batch(revision, zones)
    }
}

/// Guards against revisions of two eras being compared, and against an evacuation that nobody writes again staying for good.
#[test]
fn evacuation_that_an_older_copy_lacks_ends_once_it_was_listed_again_or_after_a_minute() {
    let mut list = EvacuationList::default();
    list.replace_all(Millis(0), batch(90, &[("a", 85, true), ("b", 86, true)]));
    for (at, revision) in [(1_000, 80), (2_000, 95), (50_000, 400)] {
        list.replace_all(Millis(at), restored(revision, &[]));
        assert_eq!(list.zones().len(), 2, "{revision}");
        assert!(list.keeps_unlisted());
    }
    list.replace_all(Millis(51_000), restored(401, &[("a", 401, true)]));
    list.replace_all(Millis(52_000), restored(402, &[]));
    assert!(
        !list.zones().contains("a"),
        "it was listed again, and is not any more"
    );
    assert!(list.zones().contains("b"));
    list.replace_all(Millis(61_000), restored(403, &[]));
    assert!(list.zones().is_empty());
    assert!(!list.keeps_unlisted());
}

/// A watch that never returns is given up after 900 ms, and so is a list over another dead connection.
#[test]
fn the_wait_of_a_watch_leaves_time_to_notice_a_dead_connection() {
    for bound in [3_000, 5_000, 20_000] {
        let wait = evacuation_wait(Millis(bound));
        assert!(wait.0 + 2 * 900 < bound, "{bound}");
        assert!(wait.0 + 2_500 >= bound, "{bound}");
    }
    assert_eq!(evacuation_wait(Millis(60_000)), Millis(30_000));
}
