//! Tests of the plain service: its run counts, journal and faults.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use sardinepin_standins::http::{HttpClient, spawn_server};
use sardinepin_standins::plain::{Counts, Echo, Faults, PlainService};

const KEYED_HEADERS: [(&str, &str); 2] = [("idempotency-key", "k1"), ("x-request-id", "r1")];

#[tokio::test]
async fn counts_survive_a_restart_and_include_unanswered_runs() {
    let journal = std::env::temp_dir().join(format!("sardinepin-plain-{}", std::process::id()));
    let plain = PlainService::start(Some(&journal)).unwrap();
    let address = spawn_server(plain.clone()).await.unwrap();
    let client = HttpClient::default();
    let call = || {
        client.request(
            Method::POST,
            address,
            "/grants",
            &KEYED_HEADERS,
            Bytes::from("a"),
        )
    };

    let echo: Echo = call().await.unwrap().json().unwrap();
    assert_eq!((echo.run, echo.key.as_str()), (1, "k1"));
    let break_answer = Faults {
        break_after: Some(3),
        ..Faults::default()
    };
    client
        .post_json(address, "/faults", &break_answer)
        .await
        .unwrap();
    assert!(call().await.is_err());
    let unanswered = Faults {
        unanswered: true,
        ..Faults::default()
    };
    client
        .post_json(address, "/faults", &unanswered)
        .await
        .unwrap();
    assert!(call().await.is_err());

    let restarted = PlainService::start(Some(&journal)).unwrap().counts();
    std::fs::remove_file(&journal).unwrap();
    assert_eq!(restarted.runs["k1"], 3);
    assert_eq!(restarted.requests["r1"], 3);
}

#[tokio::test]
async fn held_call_runs_only_after_release() {
    let address = spawn_server(PlainService::start(None).unwrap())
        .await
        .unwrap();
    let client = HttpClient::default();
    let hold = Faults {
        hold_before: true,
        ..Faults::default()
    };
    client.post_json(address, "/faults", &hold).await.unwrap();
    let other = client.clone();
    let call = tokio::spawn(async move {
        other
            .request(
                Method::POST,
                address,
                "/grants",
                &KEYED_HEADERS,
                Bytes::new(),
            )
            .await
    });
    loop {
        let counts: Counts = client.get_json(address, "/counts").await.unwrap();
        assert_eq!(counts.total, 0);
        if counts.held_before == 1 {
            break;
        }
        tokio::task::yield_now().await;
    }
    client.post_json(address, "/release", &()).await.unwrap();
    assert_eq!(call.await.unwrap().unwrap().status, StatusCode::OK);
    let counts: Counts = client.get_json(address, "/counts").await.unwrap();
    assert_eq!((counts.total, counts.held_before), (1, 0));
}
