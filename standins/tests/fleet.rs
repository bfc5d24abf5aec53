//! A deployment of real processes serves calls, and its processes can be killed and started again.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use sardinepin_config::{Organisation, Service, ServiceKind};
use sardinepin_standins::fleet::{Deployment, Fleet, Plan};
use sardinepin_standins::plain::Counts;

const HEADERS: [(&str, &str); 3] = [
    ("x-organisation", "voss"),
    ("content-type", "application/json"),
    ("idempotency-key", "k1"),
];

fn plan() -> Plan {
    let plain = Service {
        name: "bookings".to_owned(),
        paths: vec!["/bookings".to_owned()],
        ..Service::default()
    };
    let model = Service {
        name: "tutor".to_owned(),
        kind: ServiceKind::Model,
        models: vec!["tutor".to_owned()],
        ..Service::default()
    };
    let mut deployment = Deployment::default()
        .with_service(plain, 1, &["zone-a"])
        .with_service(model, 1, &["zone-b"]);
    deployment.organisations.push(Organisation {
        name: "voss".to_owned(),
        ..Organisation::default()
    });
    Plan {
        deployment,
        entries: 1,
        journals: true,
        ..Plan::default()
    }
}

#[tokio::test]
async fn calls_go_from_entry_to_upstream_and_counts_outlive_a_kill() {
    let mut fleet = Fleet::start(plan()).await.unwrap();
    let entry = fleet.entry_addresses()[0];
    let mut answers = 0;
    while answers == 0 {
        let body = Bytes::from("{}");
        let answer = fleet
            .caller
            .call(Method::POST, entry, "/bookings", &HEADERS, body)
            .await
            .unwrap();
        answers += u64::from(answer.status == StatusCode::OK);
    }
    fleet.restart_upstream(0).await.unwrap();
    let upstream = fleet.upstreams[0].address();
    let counts: Counts = fleet.caller.get(upstream, "/counts").await.unwrap();
    assert_eq!((counts.total, counts.runs["k1"]), (answers, answers));
    fleet.restart_agent(0).await.unwrap();
    let ended = fleet.stop().await.unwrap();
    assert!(
        ended.iter().all(|(_, status)| status.success()),
        "{ended:?}"
    );
}
