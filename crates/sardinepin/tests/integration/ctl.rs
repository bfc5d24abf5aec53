//! `ctl` as its own process against an administration API.

use std::path::{Path, PathBuf};
use std::process::Output;

use sardinepin_protocol::Digest;
use serde_json::Value;

use crate::test_server::{OPERATOR_TOKEN, READ_TOKEN, TestServer, scratch, unheard};

/// Runs `ctl` with a token; the server runs on the test's own runtime meanwhile.
async fn ctl_as(server: &TestServer, token: &str, words: &[&str]) -> Output {
    let file = scratch(&format!("token-{token}-{}", server.address.port()));
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

fn out(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn err(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn sample() -> PathBuf {
    let sample = "../../sample_configs/kveldsskole/deployment.yaml";
    Path::new(env!("CARGO_MANIFEST_DIR")).join(sample)
}

async fn deployed(name: &str) -> TestServer {
    let server = TestServer::start(name).await;
    let file = sample();
    let applied = ctl(&server, &["apply", file.to_str().unwrap(), "--wait"]).await;
    assert_eq!(code(&applied), 0, "{}", err(&applied));
    assert!(out(&applied).contains("26 written, 0 as they stood"));
    assert!(out(&applied).ends_with("in force at every live node\n"));
    server
}

#[tokio::test]
async fn rules_are_fetched_edited_and_put_back() {
    let server = deployed("ctl-rules").await;
    let got = ctl(&server, &["rules", "get"]).await;
    assert_eq!(code(&got), 0);
    let text = out(&got);
    assert!(text.starts_with(&format!("# revision {}\n", server.store.revision())));

    let file = scratch("edited-rules.yaml");
    std::fs::write(&file, text.replace("weight: 20", "weight: 30")).unwrap();
    let file = file.to_str().unwrap();
    let before = server.store.revision().0;
    let matching = before.to_string();
    let put = ["rules", "put", file, "--if-match", &matching, "--wait"];
    let accepted = ctl(&server, &put).await;
    assert_eq!(code(&accepted), 0, "{}", err(&accepted));
    assert!(out(&accepted).starts_with(&format!("accepted as of revision {}", before + 1)));

    // The same edit against the version from before it.
    let late = ctl(&server, &put).await;
    assert_eq!(code(&late), 3);
    assert!(err(&late).contains(&format!("It stands at revision {}", before + 1)));
    assert!(err(&late).contains("weight: 30"), "{}", err(&late));

    // Without a revision the list is replaced as it stands.
    let sample = sample();
    let replaced = ctl(&server, &["rules", "put", sample.to_str().unwrap()]).await;
    assert_eq!(code(&replaced), 0, "{}", err(&replaced));
    assert_eq!(server.store.revision().0, before + 2);
}

#[tokio::test]
async fn faulty_rules_do_not_leave_the_terminal() {
    let server = TestServer::start("ctl-faulty").await;
    let file = scratch("faulty-rules.yaml");
    std::fs::write(&file, "rules:\n  - name: a\n    then:\n      weight: 0\n").unwrap();
    let file = file.to_str().unwrap();
    let put = ctl(&server, &["rules", "put", file]).await;
    assert_eq!(code(&put), 2);
    let message = format!("{file}:4: rules[0].then.weight: 0; 1 to 1000 are allowed");
    assert!(err(&put).contains(&message), "{}", err(&put));
    assert_eq!(server.store.call_counts().puts, 0);
}

#[tokio::test]
async fn a_described_request_is_explained() {
    let server = deployed("ctl-test").await;
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
    assert_eq!(code(&shown), 0, "{}", err(&shown));
    let text = out(&shown);
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
    let server = deployed("ctl-upstreams").await;
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
    assert_eq!(code(&ctl(&server, &add).await), 0);
    let drained = ctl(&server, &["upstream", "drain", "opptak-app-9", "--wait"]).await;
    assert_eq!(code(&drained), 0);
    let listed = ctl(&server, &["upstream", "list"]).await;
    let text = out(&listed);
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
    assert_eq!(code(&missing), 1);
    assert!(err(&missing).contains("there is no upstream 'nobody'"));
    let refused = ctl_as(&server, READ_TOKEN, &["upstream", "drain", "opptak-app-1"]).await;
    assert_eq!(code(&refused), 1);
    assert!(err(&refused).contains("the token is for the role 'read-only'"));
}

#[tokio::test]
async fn waiting_names_the_live_nodes_that_are_behind() {
    let server = deployed("ctl-wait").await;
    server.store.set_instances(vec![unheard("entry-2")]);
    let words = [
        "groups",
        "hold",
        "veileder-forde",
        "--wait",
        "--wait-ms",
        "300",
    ];
    let held = ctl(&server, &words).await;
    assert_eq!(code(&held), 5);
    assert!(
        err(&held).ends_with("is not in force at entry-2\n"),
        "{}",
        err(&held)
    );
    let status = ctl(&server, &["status", "--json"]).await;
    let status: Value = serde_json::from_slice(&status.stdout).unwrap();
    assert_eq!(status["nodes"][1]["name"], "entry-2");
    let shown = out(&ctl(&server, &["status"]).await);
    assert!(shown.starts_with("entry-1 at revision "), "{shown}");
}

#[tokio::test]
async fn an_open_change_and_an_unreachable_server_have_their_own_codes() {
    let server = deployed("ctl-codes").await;
    server
        .store
        .inject_faults(|faults| faults.delayed_writes = 100);
    let file = sample();
    let words = [
        "rules",
        "put",
        file.to_str().unwrap(),
        "--if-match",
        "26",
        "--json",
    ];
    let open = ctl(&server, &words).await;
    assert_eq!(code(&open), 4);
    let body: Value = serde_json::from_slice(&open.stdout).unwrap();
    assert_eq!(body["outcome"], "unknown");
    server.store.inject_faults(|faults| faults.down = true);
    assert_eq!(
        code(&ctl(&server, &["rules", "put", file.to_str().unwrap()]).await),
        1
    );

    // Port 1 of the loopback address takes no connections here.
    let far = [
        "ctl",
        "--address",
        "127.0.0.1:1",
        "--token-file",
        server.tokens_file.to_str().unwrap(),
        "status",
    ];
    let unreachable = tokio::process::Command::new(env!("CARGO_BIN_EXE_sardinepin"))
        .args(far)
        .output()
        .await
        .unwrap();
    assert_eq!(code(&unreachable), 1);
    assert!(err(&unreachable).contains("127.0.0.1:1 cannot be reached"));
}

#[tokio::test]
async fn quarantines_and_groups_are_listed() {
    let server = deployed("ctl-lists").await;
    let digest = Digest::of(&[b"x"]);
    server.known.quarantine.lock().unwrap().push(digest);
    let listed = out(&ctl(&server, &["quarantine", "list"]).await);
    assert!(listed.contains(&digest.to_string()));
    let lifted = ctl(&server, &["quarantine", "lift", &digest.to_string()]).await;
    assert_eq!(
        (code(&lifted), out(&lifted)),
        (0, format!("{digest} may pass again\n"))
    );
    let groups = out(&ctl(&server, &["groups", "list"]).await);
    assert_eq!(groups.lines().count(), 4);
}
