//! Operations on a deployment of real processes, through `ctl` and the administration API.

use std::path::PathBuf;
use std::process::Output;

use anyhow::{Context, Result};
use bytes::Bytes;
use http::Method;
use sardinepin_config::Service;
use sardinepin_standins::fleet::{Deployment, Fleet, FleetOptions};
use sardinepin_standins::http::FullResponse;
use sardinepin_standins::plain::Counts;
use serde_json::{Value, json};

use crate::test_server::{OPERATOR_TOKEN, scratch_file};

/// The time limit of `--wait`, in milliseconds, after which a test fails.
const WAIT_MS: &str = "60000";

/// How many times a test polls for a state that the fleet reaches on its own, before it fails.
const POLLS_MAX: usize = 6_000;

/// The grace period of an entry that a test observes between the signal to stop and its exit;
/// longer than any test.
const LONG_GRACE_MS: u64 = 600_000;

async fn start_fleet(name: &str) -> Result<Fleet> {
    start_fleet_with_grace(name, 50).await
}

async fn start_fleet_with_grace(name: &str, grace_ms: u64) -> Result<Fleet> {
    let tokens = scratch_file(&format!("fleet-{name}-tokens"));
    std::fs::write(&tokens, format!("operator {OPERATOR_TOKEN} anna\n"))?;
    let service = Service {
        name: "app".to_owned(),
        paths: vec!["/".to_owned()],
        ..Service::default()
    };
    Fleet::start(FleetOptions {
        deployment: Deployment::default().with_service(service, 2, &["zone-a", "zone-b"]),
        entries: 2,
        settings: json!({
            "tokens_file": tokens,
            "stop": { "grace_ms": grace_ms },
            "cluster": {
                "round_ms": 50,
                "keys": [{ "number": 1, "secret": "a-secret-for-this-test" }],
            },
        }),
        ..FleetOptions::default()
    })
    .await
}

async fn ctl(fleet: &Fleet, entry: usize, words: &[&str]) -> Result<Output> {
    let admin = fleet.entries[entry].admin_address().context("no address")?;
    let token = scratch_file(&format!("fleet-token-{}", fleet.platform.pid()));
    std::fs::write(&token, OPERATOR_TOKEN)?;
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_sardinepin"));
    command
        .args(["ctl", "--address", &admin.to_string(), "--token-file"])
        .arg(&token)
        .args(words);
    Ok(command.output().await?)
}

/// Returns the standard output, followed by the standard error.
fn output_text(output: &Output) -> String {
    let both = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    String::from_utf8_lossy(&both).into_owned()
}

async fn put_rules(fleet: &Fleet, entry: usize, rules: &str, options: &[&str]) -> Result<Output> {
    let file: PathBuf = scratch_file(&format!("fleet-rules-{}.yaml", fleet.platform.pid()));
    std::fs::write(&file, rules)?;
    let file = file.to_str().context("the path is not UTF-8")?;
    let words = [&["rules", "put", file], options].concat();
    ctl(fleet, entry, &words).await
}

/// Sends a request of an organisation to an entry.
async fn call(fleet: &Fleet, entry: usize, path: &str) -> Result<FullResponse> {
    let headers = [("x-organisation", "voss")];
    let entry = fleet.entries[entry].address();
    let client = &fleet.client;
    client
        .request(Method::GET, entry, path, &headers, Bytes::new())
        .await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_on_every_node_once_wait_returns() -> Result<()> {
    let fleet = start_fleet("in-force").await?;
    let refusing_rules =
        "rules:\n  - name: closed\n    when: { paths: [/closed] }\n    then: { refuse: true }\n";
    let put = put_rules(&fleet, 0, refusing_rules, &["--wait", "--wait-ms", WAIT_MS]).await?;
    assert_eq!(
        put.status.code(),
        Some(0),
        "{}\n{}",
        output_text(&put),
        fleet.recent_output()
    );
    for entry in 0..fleet.entries.len() {
        let response = call(&fleet, entry, "/closed").await?;
        let body: Value = response.json()?;
        assert_eq!(body["type"], "urn:sardinepin:refused_by_rule");
    }

    let status = ctl(&fleet, 1, &["status", "--json"]).await?;
    let status: Value = serde_json::from_slice(&status.stdout)?;
    let nodes = status["nodes"].as_array().context("no nodes")?;
    let mut names: Vec<&str> = nodes
        .iter()
        .filter_map(|node| node["name"].as_str())
        .collect();
    names.sort_unstable();
    assert_eq!(names, ["app-1", "app-2", "entry-1", "entry-2"]);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn the_second_edit_of_one_revision_fails_and_shows_the_first() -> Result<()> {
    let fleet = start_fleet("two-edits").await?;
    let rules_get = ctl(&fleet, 0, &["rules", "get"]).await?;
    let listed = output_text(&rules_get);
    let revision = listed
        .lines()
        .next()
        .and_then(|line| line.strip_prefix("# revision "));
    let revision = revision.context("no revision")?.to_owned();
    let rules = |weight| format!("rules:\n  - {{ name: a, then: {{ weight: {weight} }} }}\n");
    let if_match = ["--if-match", revision.as_str()];
    let first = put_rules(&fleet, 0, &rules(2), &if_match).await?;
    let second = put_rules(&fleet, 1, &rules(3), &if_match).await?;
    assert_eq!(
        (first.status.code(), second.status.code()),
        (Some(0), Some(3)),
        "{}",
        output_text(&second)
    );
    assert!(
        output_text(&second).contains("weight: 2"),
        "{}",
        output_text(&second)
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_upstream_gets_no_new_requests_once_wait_returns() -> Result<()> {
    let fleet = start_fleet("drain").await?;
    let words = ["upstream", "drain", "app-1", "--wait", "--wait-ms", WAIT_MS];
    let drained = ctl(&fleet, 0, &words).await?;
    assert_eq!(
        drained.status.code(),
        Some(0),
        "{}\n{}",
        output_text(&drained),
        fleet.recent_output()
    );
    let again = ctl(&fleet, 1, &words).await?;
    assert_eq!(
        output_text(&again).lines().next(),
        output_text(&drained).lines().next()
    );

    // An entry applies a configuration a moment after it holds and reports it, and has no links at
    // first, so the first polls may still see a request at the drained upstream or a failed one.
    let upstream = fleet.upstreams[0].address();
    let mut polls = 0;
    loop {
        let before: Counts = fleet.client.get_json(upstream, "/counts").await?;
        let mut answered = 0;
        for number in 0..20 {
            let response = call(&fleet, number % fleet.entries.len(), "/x").await?;
            answered += u32::from(response.status.is_success());
        }
        let after: Counts = fleet.client.get_json(upstream, "/counts").await?;
        if answered == 20 && after.arrived == before.arrived {
            break;
        }
        polls += 1;
        assert!(polls < POLLS_MAX, "{}", fleet.recent_output());
    }
    let listed = output_text(&ctl(&fleet, 1, &["upstream", "list"]).await?);
    let row = listed.lines().find(|line| line.starts_with("app-1 "));
    assert!(row.context("no row")?.contains(" draining "), "{listed}");
    Ok(())
}

/// Polls until 20 requests in a row end as `expected` says of their bodies and status, and the upstream has got none of them.
async fn until_unused(
    fleet: &Fleet,
    upstream: usize,
    expected: impl Fn(&FullResponse) -> bool,
) -> Result<()> {
    let upstream = fleet.upstreams[upstream].address();
    for _ in 0..POLLS_MAX {
        let before: Counts = fleet.client.get_json(upstream, "/counts").await?;
        let mut ended = 0;
        for number in 0..20 {
            let response = call(fleet, number % fleet.entries.len(), "/x").await?;
            ended += u32::from(expected(&response));
        }
        let after: Counts = fleet.client.get_json(upstream, "/counts").await?;
        if ended == 20 && after.arrived == before.arrived {
            return Ok(());
        }
    }
    anyhow::bail!("{}", fleet.recent_output())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_zone_gets_no_requests_until_it_is_restored() -> Result<()> {
    let fleet = start_fleet("evacuate").await?;
    let zone = |action: &'static str, name: &'static str| {
        ["zone", action, name, "--wait", "--wait-ms", WAIT_MS]
    };
    let first = ctl(&fleet, 0, &zone("evacuate", "zone-a")).await?;
    assert_eq!(first.status.code(), Some(0), "{}", output_text(&first));
    let again = ctl(&fleet, 1, &zone("evacuate", "zone-a")).await?;
    let line = |output: &Output| output_text(output).lines().next().map(str::to_owned);
    assert_eq!(line(&again), line(&first), "repeating it changes nothing");
    until_unused(&fleet, 0, |response| response.status.is_success()).await?;
    let status = output_text(&ctl(&fleet, 1, &["status"]).await?);
    assert!(status.contains("EVACUATED ZONE"), "{status}");
    assert!(
        status.lines().any(|line| line.starts_with("zone-a ")),
        "{status}"
    );

    let both = ctl(&fleet, 1, &zone("evacuate", "zone-b")).await?;
    assert_eq!(both.status.code(), Some(0), "{}", output_text(&both));
    let is_refused = |response: &FullResponse| {
        let body: Value = response.json().unwrap_or_default();
        response.status == 503 && body["type"] == "urn:sardinepin:zones_evacuated"
    };
    until_unused(&fleet, 1, is_refused).await?;

    let restored = ctl(&fleet, 0, &zone("restore", "zone-a")).await?;
    assert_eq!(
        restored.status.code(),
        Some(0),
        "{}",
        output_text(&restored)
    );
    let again = ctl(&fleet, 0, &zone("restore", "zone-a")).await?;
    assert_eq!(again.status.code(), Some(0), "{}", output_text(&again));
    until_unused(&fleet, 1, |response| response.status.is_success()).await?;
    let listed = output_text(&ctl(&fleet, 1, &["zone", "list"]).await?);
    assert!(
        listed.contains("zone-b") && !listed.contains("zone-a"),
        "{listed}"
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_platform_is_unavailable_changes_fail_and_requests_succeed() -> Result<()> {
    let fleet = start_fleet("platform-unavailable").await?;
    let mut polls = 0;
    while !call(&fleet, 0, "/x").await?.status.is_success() {
        polls += 1;
        assert!(polls < POLLS_MAX, "{}", fleet.recent_output());
    }
    fleet
        .set_faults(&fleet.platform, &json!({ "down": true }))
        .await?;
    let rules = "rules:\n  - { name: a, then: { weight: 2 } }\n";
    let put = put_rules(&fleet, 0, rules, &["--if-match", "1"]).await?;
    assert_eq!(put.status.code(), Some(1), "{}", output_text(&put));
    let listed = output_text(&ctl(&fleet, 0, &["upstream", "list"]).await?);
    assert_eq!(listed.lines().count(), 3, "{listed}");
    assert!(call(&fleet, 0, "/x").await?.status.is_success());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn every_role_serves_health_and_metrics() -> Result<()> {
    let fleet = start_fleet("health").await?;
    for node in fleet.entries.iter().chain(&fleet.agents) {
        let admin = node.admin_address().context("no address")?;
        for path in ["/livez", "/readyz"] {
            let get = fleet
                .client
                .request(Method::GET, admin, path, &[], Bytes::new());
            assert!(get.await?.status.is_success(), "{} {path}", node.name());
        }
        let get = fleet
            .client
            .request(Method::GET, admin, "/metrics", &[], Bytes::new());
        let metrics = String::from_utf8(get.await?.body.to_vec())?;
        let expected = "sardinepin_refusals_total{reason=\"queue_full\"}";
        assert!(metrics.contains(expected), "{}", node.name());
        let rules = fleet
            .client
            .request(Method::GET, admin, "/v1/rules", &[], Bytes::new());
        assert_eq!(rules.await?.status, 401, "{}", node.name());
    }
    let ended = fleet.stop().await?;
    assert!(
        ended.iter().all(|(_, status)| status.success()),
        "{ended:?}"
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_in_its_grace_period_is_not_ready_but_takes_requests() -> Result<()> {
    let fleet = start_fleet_with_grace("grace", LONG_GRACE_MS).await?;
    let mut polls = 0;
    while !call(&fleet, 0, "/x").await?.status.is_success() {
        polls += 1;
        assert!(polls < POLLS_MAX, "{}", fleet.recent_output());
    }
    fleet.entries[0].child.terminate()?;
    let admin = fleet.entries[0].admin_address().context("no address")?;
    let ready = async || {
        let get = fleet
            .client
            .request(Method::GET, admin, "/readyz", &[], Bytes::new());
        Ok::<_, anyhow::Error>(get.await?.status.is_success())
    };
    let mut polls = 0;
    while ready().await? {
        polls += 1;
        assert!(polls < POLLS_MAX, "{}", fleet.recent_output());
    }
    for _ in 0..20 {
        let response = call(&fleet, 0, "/x").await?;
        assert!(response.status.is_success(), "{response:?}");
    }
    Ok(())
}
