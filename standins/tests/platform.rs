//! Tests of the platform: conditional writes, watches and faults.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use sardinepin_common::Revision;
use sardinepin_standins::http::{FullResponse, HttpClient, spawn_server};
use sardinepin_standins::platform::{Counts, Faults, Platform};
use sardinepin_store::{Listing, Object};
use serde_json::json;

async fn put(to: SocketAddr, key: &str, condition: (&str, &str), id: &str) -> Option<FullResponse> {
    let body = json!({"write_id": id, "value": format!("\"{id}\"")}).to_string();
    HttpClient::default()
        .request(
            Method::PUT,
            to,
            &format!("/v1/objects/{key}"),
            &[condition],
            body.into(),
        )
        .await
        .ok()
}

const ABSENT: (&str, &str) = ("if-none-match", "*");

async fn get<T: serde::de::DeserializeOwned>(to: SocketAddr, path: &str) -> T {
    HttpClient::default().get_json(to, path).await.expect(path)
}

async fn set_faults(to: SocketAddr, faults: Faults) {
    HttpClient::default()
        .post_json(to, "/faults", &faults)
        .await
        .expect("the faults are set");
}

#[tokio::test]
async fn write_takes_effect_only_if_its_precondition_holds() {
    let to = spawn_server(Platform::start()).await.unwrap();
    assert_eq!(put(to, "a%2Fb", ABSENT, "w1").await.unwrap().status, 200);
    let again = put(to, "a/b", ABSENT, "w2").await.unwrap();
    assert_eq!(again.status, StatusCode::PRECONDITION_FAILED);
    assert_eq!(again.json::<Object>().unwrap().write_id, "w1");
    let old = put(to, "a/b", ("if-match", "\"7\""), "w3").await.unwrap();
    assert_eq!(old.status, StatusCode::PRECONDITION_FAILED);
    let new = put(to, "a/b", ("if-match", "\"1\""), "w4").await.unwrap();
    assert_eq!(new.json::<Object>().unwrap().revision, Revision(2));
    let missing = put(to, "c", ("if-match", "\"1\""), "w5").await.unwrap();
    assert_eq!(missing.status, StatusCode::NOT_FOUND);
    let counts: Counts = get(to, "/counts").await;
    assert_eq!(counts.writes, 5);
}

#[tokio::test]
async fn watch_returns_writes_and_deletions_after_its_revision() {
    let to = spawn_server(Platform::start()).await.unwrap();
    put(to, "config/a", ABSENT, "w1").await;
    let waiting = tokio::spawn(get::<Listing>(
        to,
        "/v1/watch?prefix=config/&after=1&wait_ms=60000",
    ));
    put(to, "other", ABSENT, "w2").await;
    let deletion = HttpClient::default()
        .request(
            Method::DELETE,
            to,
            "/v1/objects/config/a",
            &[("if-match", "1")],
            Bytes::new(),
        )
        .await
        .unwrap();
    assert_eq!(deletion.status, StatusCode::OK);
    let changes = waiting.await.unwrap();
    assert_eq!(changes.revision, Revision(3));
    assert_eq!(changes.objects.len(), 1);
    assert_eq!(changes.objects[0].value, None);
    let listing: Listing = get(to, "/v1/objects?prefix=config/").await;
    assert!(listing.objects.is_empty());
    let empty: Listing = get(to, "/v1/watch?prefix=config/&after=3&wait_ms=1").await;
    assert_eq!((empty.revision, empty.objects.len()), (Revision(3), 0));
}

#[tokio::test]
async fn faults_lose_delay_and_block_writes_and_make_reads_stale() {
    let to = spawn_server(Platform::start()).await.unwrap();
    let lost_and_late = Faults {
        lose_answers: 1,
        late_writes: 1,
        ..Faults::default()
    };
    set_faults(to, lost_and_late).await;
    assert!(put(to, "lost", ABSENT, "w1").await.is_none());
    assert!(put(to, "late", ABSENT, "w2").await.is_none());
    let late: Listing = get(to, "/v1/watch?prefix=late&after=0&wait_ms=60000").await;
    assert_eq!(late.objects[0].write_id, "w2");
    let stale = Faults {
        stale: 1,
        ..Faults::default()
    };
    set_faults(to, stale).await;
    let old: Listing = get(to, "/v1/objects?prefix=").await;
    assert_eq!((old.revision, old.objects.len()), (Revision(1), 1));
    let new: Listing = get(to, "/v1/objects?prefix=").await;
    assert_eq!((new.revision, new.objects.len()), (Revision(2), 2));
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    set_faults(to, down).await;
    assert!(put(to, "down", ABSENT, "w3").await.is_none());
    set_faults(to, Faults::default()).await;
    let listing: Listing = get(to, "/v1/objects?prefix=down").await;
    assert!(listing.objects.is_empty());
}
