//! Tests of `ctl`, which run it as a process against an administration API.

use std::path::{Path, PathBuf};
use std::process::Output;

use sardinepin_protocol::Digest;
use serde_json::Value;

use crate::test_server::{
    OPERATOR_TOKEN, READ_TOKEN, TestServer, scratch_file, undiscovered_instance,
};

/// Runs `ctl` with a token, without blocking the test's async runtime, which also runs the server.
async fn ctl_as(server: &TestServer, token: &str, words: &[&str]) -> Output {
    let file = scratch_file(&format!("token-{token}-{}", server.address.port()));
    std::fs::write(&file, format!("{token}\n")).unwrap();
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_sardinepin"));
    command
        .args([
            "ctl",
            "--address",
            &server.address.to_string(),
            "--token-file",
        ])
        .arg(&file)
        .args(words);
    command.output().await.unwrap()
}

async fn ctl(server: &TestServer, words: &[&str]) -> Output {
    ctl_as(server, OPERATOR_TOKEN, words).await
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn sample_file() -> PathBuf {
    let sample = "../../sample_configs/kveldsskole/deployment.yaml";
    Path::new(env!("CARGO_MANIFEST_DIR")).join(sample)
}

/// Starts a server and applies the sample deployment with `ctl`.
async fn server_with_sample(name: &str) -> TestServer {
    let server = TestServer::start(name).await;
    let file = sample_file();
    let applied = ctl(&server, &["apply", file.to_str().unwrap(), "--wait"]).await;
    assert_eq!(exit_code(&applied), 0, "{}", stderr(&applied));
    assert!(stdout(&applied).contains("26 written, 0 as they stood"));
    assert!(stdout(&applied).ends_with("in force at every live node\n"));
    server
}

#[tokio::test]
async fn rules_are_fetched_edited_and_replaced() {
    let server = server_with_sample("ctl-rules").await;
    let rules_get = ctl(&server, &["rules", "get"]).await;
    assert_eq!(exit_code(&rules_get), 0);
    let text = stdout(&rules_get);
    assert!(text.starts_with(&format!("# revision {}\n", server.store.revision())));

    let file = scratch_file("edited-rules.yaml");
    std::fs::write(&file, text.replace("weight: 20", "weight: 30")).unwrap();
    let file = file.to_str().unwrap();
    let before = server.store.revision().0;
    let revision = before.to_string();
    let put = ["rules", "put", file, "--if-match", &revision, "--wait"];
    let accepted = ctl(&server, &put).await;
    assert_eq!(exit_code(&accepted), 0, "{}", stderr(&accepted));
    assert!(stdout(&accepted).starts_with(&format!("accepted as of revision {}", before + 1)));

    // The same edit once more, still based on the first revision.
    let late = ctl(&server, &put).await;
    assert_eq!(exit_code(&late), 3);
    assert!(stderr(&late).contains(&format!("It stands at revision {}", before + 1)));
    assert!(stderr(&late).contains("weight: 30"), "{}", stderr(&late));

    // Without --if-match, the current list is replaced.
    let sample = sample_file();
    let replaced = ctl(&server, &["rules", "put", sample.to_str().unwrap()]).await;
    assert_eq!(exit_code(&replaced), 0, "{}", stderr(&replaced));
    assert_eq!(server.store.revision().0, before + 2);
}

#[tokio::test]
async fn invalid_rules_are_rejected_before_they_are_sent() {
    let server = TestServer::start("ctl-faulty").await;
    let file = scratch_file("faulty-rules.yaml");
    std::fs::write(&file, "rules:\n  - name: a\n    then:\n      weight: 0\n").unwrap();
    let file = file.to_str().unwrap();
    let put = ctl(&server, &["rules", "put", file]).await;
    assert_eq!(exit_code(&put), 2);
    let message = format!("{file}:4: rules[0].then.weight: 0; 1 to 1000 are allowed");
    assert!(stderr(&put).contains(&message), "{}", stderr(&put));
    assert_eq!(server.store.call_counts().puts, 0);
}

#[tokio::test]
async fn rules_test_explains_the_decision() {
    let server = server_with_sample("ctl-test").await;
    let words = [
        "rules",
        "test",
        "--organisation",
        "fana",
        "--model",
        "veileder",
        "--method",
        "POST",
        "--path",
        "/v1/chat/completions",
        "--header",
        "X-Topic: fee-waiver",
    ];
    let shown = ctl_as(&server, READ_TOKEN, &words).await;
    assert_eq!(exit_code(&shown), 0, "{}", stderr(&shown));
    let text = stdout(&shown);
    let lines: Vec<&str> = text.lines().skip(1).collect();
    assert_eq!(
        lines,
        [
            "  no   status-of-newly-migrated: the organisation lacks the tag 'newly-migrated'",
            "  no   bookings: service is 'veileder-llm', not one of [\"opptak-app\"]",
            "  yes  fee-waivers",
            "rule 'fee-waivers' decides: class interactive, weight 20, deadline 30000 ms",
        ]
    );
}

#[tokio::test]
async fn upstreams_are_added_drained_and_shown() {
    let server = server_with_sample("ctl-upstreams").await;
    let add = [
        "upstream",
        "add",
        "opptak-app-9",
        "--service",
        "opptak-app",
        "--zone",
        "forde",
        "--agent",
        "10.11.3.140:7000",
        "--wait",
    ];
    assert_eq!(exit_code(&ctl(&server, &add).await), 0);
    let drained = ctl(&server, &["upstream", "drain", "opptak-app-9", "--wait"]).await;
    assert_eq!(exit_code(&drained), 0);
    let listed = ctl(&server, &["upstream", "list"]).await;
    let text = stdout(&listed);
    assert_eq!(text.lines().count(), 21);
    let row = |name: &str| {
        let line = text
            .lines()
            .find(|line| line.starts_with(&format!("{name} ")))
            .unwrap();
        line.split_whitespace()
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        row("opptak-app-9"),
        [
            "opptak-app-9",
            "opptak-app",
            "forde",
            "10.11.3.140:7000",
            "draining",
            "-",
            "-",
            "-"
        ]
    );
    assert_eq!(
        row("opptak-app-1")[4..],
        ["active", "yes", "3/1/16", "250", "ms"]
    );
    let missing = ctl(&server, &["upstream", "retire", "nobody"]).await;
    assert_eq!(exit_code(&missing), 1);
    assert!(stderr(&missing).contains("there is no upstream 'nobody'"));
    let refused = ctl_as(&server, READ_TOKEN, &["upstream", "drain", "opptak-app-1"]).await;
    assert_eq!(exit_code(&refused), 1);
    assert!(stderr(&refused).contains("the token is for the role 'read-only'"));
}

#[tokio::test]
async fn wait_names_the_live_nodes_that_lack_the_change() {
    let server = server_with_sample("ctl-wait").await;
    server
        .store
        .set_instances(vec![undiscovered_instance("entry-2")]);
    let words = [
        "groups",
        "hold",
        "veileder-forde",
        "--wait",
        "--wait-ms",
        "300",
    ];
    let held = ctl(&server, &words).await;
    assert_eq!(exit_code(&held), 5);
    assert!(
        stderr(&held).ends_with("is not in force at entry-2\n"),
        "{}",
        stderr(&held)
    );
    let status = ctl(&server, &["status", "--json"]).await;
    let status: Value = serde_json::from_slice(&status.stdout).unwrap();
    assert_eq!(status["nodes"][1]["name"], "entry-2");
    let shown = stdout(&ctl(&server, &["status"]).await);
    assert!(shown.starts_with("entry-1 at revision "), "{shown}");
}

#[tokio::test]
async fn unconfirmed_changes_and_unreachable_servers_have_their_own_exit_codes() {
    let server = server_with_sample("ctl-codes").await;
    server
        .store
        .inject_faults(|faults| faults.delayed_writes = 100);
    let file = sample_file();
    let words = [
        "rules",
        "put",
        file.to_str().unwrap(),
        "--if-match",
        "26",
        "--json",
    ];
    let unconfirmed = ctl(&server, &words).await;
    assert_eq!(exit_code(&unconfirmed), 4);
    let body: Value = serde_json::from_slice(&unconfirmed.stdout).unwrap();
    assert_eq!(body["outcome"], "unknown");
    server.store.inject_faults(|faults| faults.down = true);
    assert_eq!(
        exit_code(&ctl(&server, &["rules", "put", file.to_str().unwrap()]).await),
        1
    );

    // Nothing listens on port 1 of the loopback address.
    let unreachable_args = [
        "ctl",
        "--address",
        "127.0.0.1:1",
        "--token-file",
        server.tokens_file.to_str().unwrap(),
        "status",
    ];
    let unreachable = tokio::process::Command::new(env!("CARGO_BIN_EXE_sardinepin"))
        .args(unreachable_args)
        .output()
        .await
        .unwrap();
    assert_eq!(exit_code(&unreachable), 1);
    assert!(stderr(&unreachable).contains("127.0.0.1:1 cannot be reached"));
}

#[tokio::test]
async fn quarantines_and_groups_are_listed() {
    let server = server_with_sample("ctl-lists").await;
    let digest = Digest::of(&[b"x"]);
    server.runtime.quarantined.lock().unwrap().push(digest);
    let listed = stdout(&ctl(&server, &["quarantine", "list"]).await);
    assert!(listed.contains(&digest.to_string()));
    let lifted = ctl(&server, &["quarantine", "lift", &digest.to_string()]).await;
    assert_eq!(
        (exit_code(&lifted), stdout(&lifted)),
        (0, format!("{digest} may pass again\n"))
    );
    let groups = stdout(&ctl(&server, &["groups", "list"]).await);
    assert_eq!(groups.lines().count(), 4);
}
