//! The plain service counts its runs and keeps to its faults.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use sardinepin_standins::http::{HttpClient, spawn_server};
use sardinepin_standins::plain::{Counts, Echo, Faults, PlainService};

const KEYED: [(&str, &str); 2] = [("idempotency-key", "k1"), ("x-request-id", "r1")];

#[tokio::test]
async fn counts_outlive_the_process_and_a_broken_answer() {
    let journal = std::env::temp_dir().join(format!("sardinepin-plain-{}", std::process::id()));
    let plain = PlainService::start(Some(&journal)).unwrap();
    let address = spawn_server(plain.clone()).await.unwrap();
    let caller = HttpClient::default();
    let call = || caller.request(Method::POST, address, "/grants", &KEYED, Bytes::from("a"));

    let echo: Echo = call().await.unwrap().json().unwrap();
    assert_eq!((echo.run, echo.key.as_str()), (1, "k1"));
    let cut = Faults {
        break_after: Some(3),
        ..Faults::default()
    };
    caller.post_json(address, "/faults", &cut).await.unwrap();
    assert!(call().await.is_err());
    let lost = Faults {
        unanswered: true,
        ..Faults::default()
    };
    caller.post_json(address, "/faults", &lost).await.unwrap();
    assert!(call().await.is_err());

    let next_life = PlainService::start(Some(&journal)).unwrap().counts();
    std::fs::remove_file(&journal).unwrap();
    assert_eq!(next_life.runs["k1"], 3);
    assert_eq!(next_life.requests["r1"], 3);
}

#[tokio::test]
async fn a_held_call_runs_only_after_its_release() {
    let address = spawn_server(PlainService::start(None).unwrap())
        .await
        .unwrap();
    let caller = HttpClient::default();
    let hold = Faults {
        hold_before: true,
        ..Faults::default()
    };
    caller.post_json(address, "/faults", &hold).await.unwrap();
    let other = caller.clone();
    let call = tokio::spawn(async move {
        other
            .request(Method::POST, address, "/grants", &KEYED, Bytes::new())
            .await
    });
    loop {
        let counts: Counts = caller.get_json(address, "/counts").await.unwrap();
        assert_eq!(counts.total, 0);
        if counts.held_before == 1 {
            break;
        }
        tokio::task::yield_now().await;
    }
    caller.post_json(address, "/release", &()).await.unwrap();
    assert_eq!(call.await.unwrap().unwrap().status, StatusCode::OK);
    let counts: Counts = caller.get_json(address, "/counts").await.unwrap();
    assert_eq!((counts.total, counts.held_before), (1, 0));
}
