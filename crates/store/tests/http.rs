//! The HTTP client of the store against a server with scripted responses.

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

/// Starts a server that sends `response` to the first request on each connection and records the
/// requests.
async fn serve(response: String) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(Mutex::new(Vec::new()));
    let recorded = Arc::clone(&requests);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = vec![0; 4096];
            let count = stream.read(&mut buffer).await.unwrap_or(0);
            recorded
                .lock()
                .unwrap()
                .push(String::from_utf8_lossy(&buffer[..count]).into_owned());
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    (address, requests)
}

fn response(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    )
}

fn store(address: SocketAddr, timeout_ms: u64) -> HttpStore {
    HttpStore::new(HttpSettings {
        address,
        timeout: Millis(timeout_ms),
        ..HttpSettings::default()
    })
}

fn write(precondition: Precondition) -> ConditionalWrite<'static> {
    ConditionalWrite {
        key: "config/a b",
        precondition,
        write_id: "w",
        value: Some("{}"),
    }
}

#[tokio::test]
async fn object_is_read_under_its_percent_encoded_key() {
    let (address, requests) = serve(response("200 OK", OBJECT)).await;
    let object = store(address, 5_000).get("config/a b").await.unwrap();
    assert_eq!(object.unwrap().revision, Revision(7));
    assert!(requests.lock().unwrap()[0].starts_with("GET /v1/objects/config/a%20b "));
}

#[tokio::test]
async fn missing_key_is_none() {
    let (address, _) = serve(response("404 Not Found", "{}")).await;
    assert_eq!(store(address, 5_000).get("config/a").await, Ok(None));
}

#[tokio::test]
async fn write_sends_its_precondition_as_if_match() {
    let (address, requests) = serve(response("200 OK", OBJECT)).await;
    let written = store(address, 5_000)
        .put(write(Precondition::Revision(Revision(6))))
        .await;
    assert_eq!(written, Ok(Revision(7)));
    let requests = requests.lock().unwrap();
    assert!(requests[0].contains("if-match: \"6\""), "{}", requests[0]);
}

#[tokio::test]
async fn failed_precondition_returns_the_current_object() {
    let (address, _) = serve(response("412 Precondition Failed", OBJECT)).await;
    assert_matches!(
        store(address, 5_000).put(write(Precondition::Absent)).await,
        Err(StoreError::Conflict(Some(object))) if object.revision == Revision(7)
    );
}

#[tokio::test]
async fn refused_connection_is_a_refusal() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_matches!(
        store(address, 5_000).put(write(Precondition::Absent)).await,
        Err(StoreError::Refused(_))
    );
}

#[tokio::test]
async fn connection_closed_after_the_request_is_indeterminate() {
    let (address, _) = serve(String::new()).await;
    assert_matches!(
        store(address, 5_000).put(write(Precondition::Absent)).await,
        Err(StoreError::Indeterminate(_))
    );
}

#[tokio::test]
async fn missing_response_is_indeterminate() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    assert_matches!(
        store(address, 50).put(write(Precondition::Absent)).await,
        Err(StoreError::Indeterminate(_))
    );
}

#[tokio::test]
async fn server_error_is_indeterminate_and_client_error_is_refused() {
    for (status, indeterminate) in [
        ("503 Service Unavailable", true),
        ("429 Too Many Requests", false),
    ] {
        let (address, _) = serve(response(status, "")).await;
        match store(address, 5_000).put(write(Precondition::Absent)).await {
            Err(StoreError::Indeterminate(_)) => assert!(indeterminate, "{status}"),
            Err(StoreError::Refused(_)) => assert!(!indeterminate, "{status}"),
            other => panic!("{status}: {other:?}"),
        }
    }
}
