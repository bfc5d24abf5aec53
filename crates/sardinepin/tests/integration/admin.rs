//! Tests of the administration API over HTTP.

use std::path::Path;

use assert_matches::assert_matches;
use sardinepin::check::load_deployment;
use sardinepin_common::Revision;
use sardinepin_protocol::Digest;
use serde_json::{Value, json};

use crate::test_server::{OPERATOR_TOKEN, READ_TOKEN, TestServer, undiscovered_instance};

/// The precondition that the object does not exist.
const IF_ABSENT: (&str, &str) = ("if-none-match", "*");

fn sample_deployment() -> String {
    let sample = "../../sample_configs/kveldsskole/deployment.yaml";
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(sample);
    serde_json::to_string(&load_deployment(&file).unwrap()).unwrap()
}

/// Starts a server and applies the sample deployment.
async fn server_with_sample(name: &str) -> TestServer {
    let server = TestServer::start(name).await;
    let applied = server
        .call(
            OPERATOR_TOKEN,
            "PUT",
            "/v1/deployment",
            &[],
            &sample_deployment(),
        )
        .await;
    assert_eq!(applied.status, 200, "{applied:?}");
    server.wait_in_force().await;
    server
}

fn rule_list(name: &str, weight: u32) -> String {
    json!({ "rules": [{ "name": name, "then": { "weight": weight } }] }).to_string()
}

#[tokio::test]
async fn health_and_metrics_need_no_token() {
    let server = TestServer::start("health").await;
    *server.runtime.not_ready_reason.lock().unwrap() = Some("no configuration yet".to_owned());
    assert_eq!(server.call("", "GET", "/livez", &[], "").await.status, 200);
    let waiting = server.call("", "GET", "/readyz", &[], "").await;
    assert_eq!(waiting.status, 503);
    assert_eq!(waiting.json()["detail"], "no configuration yet");
    *server.runtime.not_ready_reason.lock().unwrap() = None;
    assert_eq!(server.call("", "GET", "/readyz", &[], "").await.status, 200);
    let metrics = server.call("", "GET", "/metrics", &[], "").await;
    let text = String::from_utf8(metrics.body.to_vec()).unwrap();
    assert!(text.contains("sardinepin_refusals_total{reason=\"queue_full\"}"));
    assert!(text.contains("sardinepin_retries_total{reason=\"leaving\"}"));
}

#[tokio::test]
async fn calls_need_a_token_whose_role_allows_them() {
    let server = TestServer::start("tokens").await;
    let none = server.call("", "GET", "/v1/rules", &[], "").await;
    assert_eq!(none.status, 401);
    assert_eq!(none.headers["www-authenticate"], "Bearer");
    assert_eq!(none.headers["content-type"], "application/problem+json");
    assert_eq!(none.json()["type"], "urn:sardinepin:not_authenticated");
    let unknown = server
        .call("operator-token-0002", "GET", "/v1/rules", &[], "")
        .await;
    assert_eq!(unknown.status, 401);
    assert_eq!(server.get("/v1/rules").await.status, 200);
    for (method, path) in [
        ("PUT", "/v1/rules"),
        ("PUT", "/v1/deployment"),
        ("PUT", "/v1/upstreams/a"),
        ("POST", "/v1/upstreams/a/drain"),
        ("POST", "/v1/upstreams/a/retire"),
        ("POST", "/v1/groups/a/hold"),
        ("POST", "/v1/groups/a/release"),
        ("DELETE", "/v1/quarantine/00"),
    ] {
        let response = server.call(READ_TOKEN, method, path, &[], "").await;
        assert_eq!(response.status, 403, "{method} {path}");
    }
    assert_eq!(server.store.call_counts().puts, 0);
    assert_eq!(server.post("/v1/nothing").await.status, 404);
}

#[tokio::test]
async fn changes_of_the_tokens_file_take_effect_at_once() {
    let server = TestServer::start("rotation").await;
    std::fs::write(
        &server.tokens_file,
        "operator the-next-token-01\nread-only short\n",
    )
    .unwrap();
    assert_eq!(server.get("/v1/rules").await.status, 401);
    let next = server
        .call("the-next-token-01", "GET", "/v1/rules", &[], "")
        .await;
    assert_eq!(next.status, 200);
    let short = server.call("short", "GET", "/v1/rules", &[], "").await;
    assert_eq!(short.status, 401);
    std::fs::remove_file(&server.tokens_file).unwrap();
    let gone = server
        .call("the-next-token-01", "GET", "/v1/rules", &[], "")
        .await;
    assert_eq!(gone.status, 401);
}

#[tokio::test]
async fn rules_are_replaced_only_at_the_expected_revision() {
    let server = TestServer::start("rules").await;
    let put = async |headers: &[(&str, &str)], body: &str| {
        server
            .call(OPERATOR_TOKEN, "PUT", "/v1/rules", headers, body)
            .await
    };
    let none = server.get("/v1/rules").await;
    assert_eq!(
        (none.etag(), none.json()["rules"].clone()),
        ("\"0\"", json!([]))
    );
    assert_eq!(put(&[], &rule_list("a", 1)).await.status, 400);
    assert_eq!(
        put(&[("if-match", "1")], &rule_list("a", 1)).await.status,
        400
    );
    let first = put(&[("if-match", "\"0\"")], &rule_list("a", 1)).await;
    assert_eq!((first.status.as_u16(), first.etag()), (200, "\"1\""));
    let second = put(&[("if-match", "\"1\"")], &rule_list("b", 2)).await;
    assert_eq!((second.status.as_u16(), second.etag()), (200, "\"2\""));

    let late = put(&[("if-match", "\"1\"")], &rule_list("c", 3)).await;
    assert_eq!((late.status.as_u16(), late.etag()), (409, "\"2\""));
    assert_eq!(late.json()["revision"], 2);
    assert_eq!(late.json()["current"]["rules"][0]["name"], "b");
    assert_eq!(put(&[IF_ABSENT], &rule_list("c", 3)).await.status, 409);
    let shown = server.get("/v1/rules").await;
    assert_eq!(
        (shown.etag(), shown.json()["rules"][0]["name"].clone()),
        ("\"2\"", json!("b"))
    );
}

#[tokio::test]
async fn invalid_rules_are_rejected_with_the_fields_at_fault() {
    let server = TestServer::start("faulty").await;
    let put = async |body: &str| {
        server
            .call(OPERATOR_TOKEN, "PUT", "/v1/rules", &[IF_ABSENT], body)
            .await
    };
    let faulty = put(&rule_list("", 0)).await;
    assert_eq!(faulty.status, 400);
    assert_eq!(
        faulty.json()["faults"],
        json!([
            "rules[0].name: a name is needed",
            "rules[0].then.weight: 0; 1 to 1000 are allowed"
        ])
    );
    let unknown = put(r#"{"rules":[{"name":"a","then":{"colour":1}}]}"#).await;
    assert_eq!(unknown.status, 400);
    let detail = unknown.json()["detail"].as_str().unwrap().to_owned();
    assert!(
        detail.starts_with("rules[0].then.colour: unknown field"),
        "{detail}"
    );
    assert_eq!(server.store.call_counts().puts, 0);
}

#[tokio::test]
async fn a_write_whose_response_is_lost_is_confirmed_by_reading_back() {
    let server = TestServer::start("lost").await;
    let put = async |body: &str| {
        server
            .call(OPERATOR_TOKEN, "PUT", "/v1/rules", &[IF_ABSENT], body)
            .await
    };
    server
        .store
        .inject_faults(|faults| faults.lost_responses = 1);
    let confirmed = put(&rule_list("a", 1)).await;
    assert_eq!(
        (confirmed.status.as_u16(), confirmed.etag()),
        (200, "\"1\"")
    );
    assert_eq!(server.store.revision(), Revision(1));

    server
        .store
        .inject_faults(|faults| faults.delayed_writes = 100);
    let body = rule_list("b", 1);
    let unconfirmed = server.call(
        OPERATOR_TOKEN,
        "PUT",
        "/v1/rules",
        &[("if-match", "\"1\"")],
        &body,
    );
    let unconfirmed = unconfirmed.await;
    assert_eq!(unconfirmed.status, 504);
    assert_eq!(unconfirmed.json()["outcome"], "unknown");
    assert_eq!(unconfirmed.json()["type"], "urn:sardinepin:unsettled");
}

#[tokio::test]
async fn while_the_platform_is_unavailable_changes_fail_and_reads_succeed() {
    let server = server_with_sample("platform-unavailable").await;
    server.store.inject_faults(|faults| faults.down = true);
    let put = server
        .call(
            OPERATOR_TOKEN,
            "PUT",
            "/v1/rules",
            &[IF_ABSENT],
            &rule_list("a", 1),
        )
        .await;
    assert_eq!(
        (
            put.status.as_u16(),
            put.headers["retry-after"].to_str().unwrap()
        ),
        (503, "1")
    );
    assert_eq!(put.json()["outcome"], "not_run");
    assert_eq!(
        server.post("/v1/upstreams/opptak-app-1/drain").await.status,
        503
    );
    let rules = server.get("/v1/rules").await;
    assert_eq!(rules.json()["rules"].as_array().map(Vec::len), Some(5));
    assert_eq!(server.get("/v1/status").await.status, 200);
    assert_eq!(
        server
            .get("/v1/upstreams")
            .await
            .json()
            .as_array()
            .map(Vec::len),
        Some(19)
    );
}

#[tokio::test]
async fn draining_twice_writes_once() {
    let server = server_with_sample("drain").await;
    let path = "/v1/upstreams/opptak-app-1/drain";
    let (first, second) = tokio::join!(server.post(path), server.post(path));
    assert_eq!((first.status.as_u16(), second.status.as_u16()), (200, 200));
    assert_eq!(first.json()["revision"], second.json()["revision"]);
    let again = server.post(path).await;
    assert_eq!(again.json()["revision"], first.json()["revision"]);

    let retired = server.post("/v1/upstreams/opptak-app-1/retire").await;
    assert!(retired.json()["revision"].as_u64() > first.json()["revision"].as_u64());
    let drained = server.post(path).await;
    assert_eq!(drained.json()["revision"], retired.json()["revision"]);
    let missing = server.post("/v1/upstreams/nobody/drain").await;
    assert_eq!(missing.status, 404);
    assert_eq!(missing.json()["detail"], "there is no upstream 'nobody'");

    server.wait_in_force().await;
    let upstreams = server.get("/v1/upstreams").await.json();
    let found = upstreams
        .as_array()
        .unwrap()
        .iter()
        .find(|one| one["name"] == "opptak-app-1");
    let found = found.unwrap();
    assert_eq!(found["state"], "retired");
    assert_eq!(
        (&found["linked"], &found["load"]["running"]),
        (&json!(true), &json!(3))
    );
    assert_eq!(found["load"]["since_ms"], 250);
}

#[tokio::test]
async fn adding_an_upstream_is_idempotent_and_validated() {
    let server = server_with_sample("add").await;
    let path = "/v1/upstreams/opptak-app-4";
    let mut upstream = json!({
        "name": "opptak-app-4", "service": "opptak-app", "zone": "forde",
        "address": "10.11.3.130:7000", "group": null, "state": "active"
    });
    let put = async |headers: &[(&str, &str)], body: &Value| {
        server
            .call(OPERATOR_TOKEN, "PUT", path, headers, &body.to_string())
            .await
    };
    let added = put(&[], &upstream).await;
    assert_eq!(added.status, 200);
    let again = put(&[], &upstream).await;
    assert_eq!((again.status.as_u16(), again.etag()), (200, added.etag()));

    upstream["zone"] = json!("bergen-a");
    assert_eq!(put(&[], &upstream).await.status, 409);
    assert_eq!(
        put(&[("if-match", added.etag())], &upstream).await.status,
        200
    );

    upstream["name"] = json!("opptak-app-5");
    upstream["service"] = json!("nothing");
    upstream["address"] = json!("host:7000");
    let body = upstream.to_string();
    let faulty = server.call(
        OPERATOR_TOKEN,
        "PUT",
        "/v1/upstreams/opptak-app-5",
        &[],
        &body,
    );
    let faulty = faulty.await;
    assert_eq!(faulty.status, 400);
    assert_eq!(
        faulty.json()["faults"].as_array().map(Vec::len),
        Some(2),
        "{faulty:?}"
    );
    upstream["name"] = json!("other");
    assert_eq!(put(&[], &upstream).await.status, 400);
}

#[tokio::test]
async fn applying_a_deployment_again_writes_nothing_and_keeps_drains() {
    let server = server_with_sample("apply").await;
    let drained = server.post("/v1/upstreams/opptak-app-2/drain").await;
    let before = server.store.revision();
    assert_eq!(drained.json()["revision"], before.0);
    let again = server
        .call(
            OPERATOR_TOKEN,
            "PUT",
            "/v1/deployment",
            &[],
            &sample_deployment(),
        )
        .await;
    let applied = again.json();
    let applied = applied.as_array().unwrap();
    // Two services, one shard of organisations, 19 upstreams, three groups and the rules.
    assert_eq!(applied.len(), 26);
    assert!(
        applied.iter().all(|one| one["written"] == false),
        "{applied:?}"
    );
    assert_eq!(server.store.revision(), before);

    let faulty = r#"{"upstreams":[{"name":"a","service":"none","zone":"z","address":"x"}]}"#;
    let refused = server
        .call(OPERATOR_TOKEN, "PUT", "/v1/deployment", &[], faulty)
        .await;
    assert_eq!(refused.status, 400);
    assert_eq!(server.store.revision(), before);
}

#[tokio::test]
async fn testing_a_request_shows_its_rule_and_why_earlier_ones_do_not_match() {
    let server = server_with_sample("explain").await;
    let test = async |body: Value| {
        let body = body.to_string();
        server
            .call(READ_TOKEN, "POST", "/v1/rules/test", &[], &body)
            .await
            .json()
    };
    let status = test(json!({
        "organisation": "voss", "method": "GET", "path": "/opptak/status/12"
    }))
    .await;
    assert_eq!(status["rule"], "status-of-newly-migrated");
    assert_eq!(
        (&status["class"], &status["service"]),
        (&json!("urgent"), &json!("opptak-app"))
    );

    let other = test(json!({
        "organisation": "fana", "method": "POST", "path": "/opptak/bookings"
    }))
    .await;
    assert_eq!(other["rule"], "bookings");
    assert_eq!(
        other["rules"],
        json!([
            { "rule": "status-of-newly-migrated",
              "missed": "the organisation lacks the tag 'newly-migrated'" },
            { "rule": "bookings", "missed": null }
        ])
    );
    let candidate = test(json!({
        "organisation": "fana", "method": "GET", "path": "/x",
        "rules": [{ "name": "none", "then": { "refuse": true } }]
    }))
    .await;
    assert_eq!(
        (&candidate["rule"], &candidate["refuse"]),
        (&json!("none"), &json!(true))
    );
}

#[tokio::test]
async fn status_shows_each_node_and_its_configuration() {
    let server = server_with_sample("status").await;
    server
        .store
        .set_instances(vec![undiscovered_instance("entry-2")]);
    let wait = json!({ "revision": server.store.revision(), "wait_ms": 1 }).to_string();
    let call = server.call(READ_TOKEN, "POST", "/v1/behind", &[], &wait);
    let behind = call.await.json();
    assert_eq!(behind.as_array().map(Vec::len), Some(1));
    assert_eq!(behind[0]["name"], "entry-2");

    let status = server.get("/v1/status").await.json();
    let names: Vec<&str> = status["nodes"]
        .as_array()
        .unwrap()
        .iter()
        .map(|node| node["name"].as_str().unwrap())
        .collect();
    assert_eq!(names, ["entry-1", "entry-2"]);
    assert_eq!(status["nodes"][0]["revision"], server.store.revision().0);
    assert_eq!(status["nodes"][1]["standing"], "unheard");
    assert_eq!(status["nodes"][1]["revision"], Value::Null);
    assert_eq!(status["upstreams"].as_array().map(Vec::len), Some(19));

    server.store.set_instances(Vec::new());
    let call = server.call(READ_TOKEN, "POST", "/v1/behind", &[], &wait);
    assert_eq!(call.await.json(), json!([]));
}

#[tokio::test]
async fn groups_are_held_and_released_and_quarantines_lifted() {
    let server = server_with_sample("groups").await;
    let held = server.post("/v1/groups/veileder-forde/hold").await;
    assert_eq!(held.status, 200);
    let again = server.post("/v1/groups/veileder-forde/hold").await;
    assert_eq!(again.etag(), held.etag());
    server.wait_in_force().await;
    let groups = server.get("/v1/groups").await.json();
    assert_eq!(groups.as_array().map(Vec::len), Some(3));
    assert_eq!(
        (&groups[2]["name"], &groups[2]["held"]),
        (&json!("veileder-forde"), &json!(true))
    );
    let released = server.post("/v1/groups/veileder-forde/release").await;
    assert_ne!(released.etag(), held.etag());
    assert_eq!(server.post("/v1/groups/nothing/hold").await.status, 404);

    let digest = Digest::of(&[b"x"]);
    server.runtime.quarantined.lock().unwrap().push(digest);
    let path = format!("/v1/quarantine/{digest}");
    let listed = server.get("/v1/quarantine").await.json();
    assert_matches!(listed.as_array().map(Vec::as_slice), Some([one]) => {
        assert_eq!(one["digest"], digest.to_string());
    });
    let lift = async |path: &str| {
        server
            .call(OPERATOR_TOKEN, "DELETE", path, &[], "")
            .await
            .status
    };
    assert_eq!(lift(&path).await, 200);
    assert_eq!(lift(&path).await, 404);
    assert_eq!(lift("/v1/quarantine/xyz").await, 400);
}
