//! The HTTP client against a small server that answers what each test says.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use assert_matches::assert_matches;
use sardinepin_common::{Millis, Revision};
use sardinepin_store::{
    ConditionalWrite, HttpSettings, HttpStore, Precondition, Store, StoreError,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const OBJECT: &str = r#"{"key":"config/a b","revision":7,"write_id":"w","value":"{}"}"#;

/// Answers each connection's first request with `answer`, and notes what was asked.
async fn serve(answer: String) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let asked = Arc::new(Mutex::new(Vec::new()));
    let notes = Arc::clone(&asked);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = vec![0; 4096];
            let count = stream.read(&mut buffer).await.unwrap_or(0);
            notes
                .lock()
                .unwrap()
                .push(String::from_utf8_lossy(&buffer[..count]).into_owned());
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    (address, asked)
}

fn answer(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    )
}

fn store(address: SocketAddr, timeout: u64) -> HttpStore {
    HttpStore::new(HttpSettings {
        address,
        timeout: Millis(timeout),
        ..HttpSettings::default()
    })
}

fn change(precondition: Precondition) -> ConditionalWrite<'static> {
    ConditionalWrite {
        key: "config/a b",
        precondition,
        write_id: "w",
        value: Some("{}"),
    }
}

#[tokio::test]
async fn an_object_is_read_under_its_escaped_key() {
    let (address, asked) = serve(answer("200 OK", OBJECT)).await;
    let object = store(address, 5_000).get("config/a b").await.unwrap();
    assert_eq!(object.unwrap().revision, Revision(7));
    assert!(asked.lock().unwrap()[0].starts_with("GET /v1/objects/config/a%20b "));
}

#[tokio::test]
async fn a_key_that_is_not_there_is_none() {
    let (address, _) = serve(answer("404 Not Found", "{}")).await;
    assert_eq!(store(address, 5_000).get("config/a").await, Ok(None));
}

#[tokio::test]
async fn a_write_bears_its_condition_and_write_id() {
    let (address, asked) = serve(answer("200 OK", OBJECT)).await;
    let written = store(address, 5_000)
        .put(change(Precondition::Revision(Revision(6))))
        .await;
    assert_eq!(written, Ok(Revision(7)));
    let asked = asked.lock().unwrap();
    assert!(asked[0].contains("if-match: \"6\""), "{}", asked[0]);
}

#[tokio::test]
async fn a_condition_that_does_not_hold_shows_the_object() {
    let (address, _) = serve(answer("412 Precondition Failed", OBJECT)).await;
    assert_matches!(
        store(address, 5_000).put(change(Precondition::Absent)).await,
        Err(StoreError::Conflict(Some(object))) if object.revision == Revision(7)
    );
}

#[tokio::test]
async fn a_refused_connection_has_no_effect() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_matches!(
        store(address, 5_000)
            .put(change(Precondition::Absent))
            .await,
        Err(StoreError::Refused(_))
    );
}

#[tokio::test]
async fn a_connection_that_breaks_after_the_request_is_lost() {
    let (address, _) = serve(String::new()).await;
    assert_matches!(
        store(address, 5_000)
            .put(change(Precondition::Absent))
            .await,
        Err(StoreError::Indeterminate(_))
    );
}

#[tokio::test]
async fn an_answer_that_never_comes_is_lost() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    assert_matches!(
        store(address, 50).put(change(Precondition::Absent)).await,
        Err(StoreError::Indeterminate(_))
    );
}

#[tokio::test]
async fn a_server_fault_is_lost_and_a_client_fault_is_refused() {
    for (status, lost) in [
        ("503 Service Unavailable", true),
        ("429 Too Many Requests", false),
    ] {
        let (address, _) = serve(answer(status, "")).await;
        match store(address, 5_000)
            .put(change(Precondition::Absent))
            .await
        {
            Err(StoreError::Indeterminate(_)) => assert!(lost, "{status}"),
            Err(StoreError::Refused(_)) => assert!(!lost, "{status}"),
            other => panic!("{status}: {other:?}"),
        }
    }
}
