//! Deployments, calls and wait helpers for the end-to-end tests.

use anyhow::{Result, bail};
use bytes::Bytes;
use http::Method;
use sardinepin_common::{Clock, Millis};
use sardinepin_config::{Service, ServiceKind, Upstream};
use sardinepin_standins::fleet::{ChildProcess, Deployment, Fleet, FleetOptions};
use sardinepin_standins::http::{FullResponse, HttpClient};
use sardinepin_standins::plain::Counts;
use sardinepin_standins::relay::Relay;
use serde_json::{Value, json};

/// How long a condition may take to hold before the test fails.
pub(crate) const WAIT_TIMEOUT: Millis = Millis(60_000);

/// The interval between two checks of a condition.
const POLL_INTERVAL: Millis = Millis(10);

/// The plain service, whose calls under `/book` are keyed.
pub(crate) fn app() -> Service {
    Service {
        name: "app".to_owned(),
        paths: vec!["/".to_owned()],
        keyed_paths: vec!["/book".to_owned()],
        deadline_ms: 20_000,
        ..Service::default()
    }
}

/// The model service.
pub(crate) fn llm() -> Service {
    Service {
        name: "llm".to_owned(),
        kind: ServiceKind::Model,
        paths: vec!["/v1/chat/completions".to_owned()],
        models: vec!["m".to_owned()],
        deadline_ms: 60_000,
        ..Service::default()
    }
}

/// Starts entries and upstreams of a service, and waits until every entry has a link to every agent
/// and, unless it is a model service, responds to a call.
pub(crate) async fn start_fleet(
    service: Service,
    upstreams: usize,
    entries: usize,
    settings: Value,
) -> Result<Fleet> {
    let is_model = service.kind == ServiceKind::Model;
    let fleet = Fleet::start(FleetOptions {
        deployment: Deployment::default().with_service(service, upstreams, &["zone-a"]),
        entries,
        journals: true,
        settings,
        ..FleetOptions::default()
    })
    .await?;
    if !is_model {
        wait_serving(&fleet).await?;
    }
    wait_links(&fleet).await?;
    Ok(fleet)
}

/// Waits until every entry has a link to every agent.
pub(crate) async fn wait_links(fleet: &Fleet) -> Result<()> {
    for entry in &fleet.entries {
        let wanted = fleet.agents.len();
        wait_until("every link is up", async || {
            Ok(entry.child.recent_output().matches("\"link_up\"").count() >= wanted)
        })
        .await?;
    }
    Ok(())
}

async fn wait_serving(fleet: &Fleet) -> Result<()> {
    for entry in &fleet.entries {
        wait_until("an entry responds to a call", async || {
            let call = fleet.client.request(
                Method::GET,
                entry.address(),
                "/warm",
                &[("x-organisation", "warm")],
                Bytes::new(),
            );
            Ok(call.await?.status.is_success())
        })
        .await?;
    }
    Ok(())
}

/// Polls until `condition` returns true; fails after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(
    description: &str,
    mut condition: impl AsyncFnMut() -> Result<bool>,
) -> Result<()> {
    let clock = Clock::start();
    while clock.now() < WAIT_TIMEOUT {
        if condition().await? {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
    }
    bail!("timed out waiting until {description}")
}

/// Sends a keyed call to `/book` at one entry.
pub(crate) async fn book(
    fleet: &Fleet,
    entry: usize,
    key: &str,
    body: &str,
) -> Result<FullResponse> {
    call_book(&fleet.client, fleet.entries[entry].address(), key, body).await
}

/// Sends a keyed call to `/book` through the given caller.
pub(crate) async fn call_book(
    caller: &HttpClient,
    entry: std::net::SocketAddr,
    key: &str,
    body: &str,
) -> Result<FullResponse> {
    let headers = [("x-organisation", "o1"), ("idempotency-key", key)];
    let body = Bytes::from(body.to_owned());
    caller
        .request(Method::POST, entry, "/book", &headers, body)
        .await
}

/// Sends a call to `/status`, which needs no key, at one entry.
pub(crate) async fn get_status(fleet: &Fleet, entry: usize) -> Result<FullResponse> {
    let headers = [("x-organisation", "o1")];
    let address = fleet.entries[entry].address();
    fleet
        .client
        .request(Method::GET, address, "/status", &headers, Bytes::new())
        .await
}

/// Sends a keyed call to `/book` in a task of its own.
pub(crate) fn spawn_book(
    fleet: &Fleet,
    entry: usize,
    key: &str,
) -> tokio::task::JoinHandle<Result<FullResponse>> {
    let caller = fleet.client.clone();
    let address = fleet.entries[entry].address();
    let key = key.to_owned();
    tokio::spawn(async move { call_book(&caller, address, &key, "seat").await })
}

/// Sends a call to `/status` in a task of its own.
pub(crate) fn spawn_status(
    fleet: &Fleet,
    entry: usize,
) -> tokio::task::JoinHandle<Result<FullResponse>> {
    let caller = fleet.client.clone();
    let address = fleet.entries[entry].address();
    tokio::spawn(async move {
        let headers = [("x-organisation", "o1")];
        caller
            .request(Method::GET, address, "/status", &headers, Bytes::new())
            .await
    })
}

/// Sends SIGTERM to an agent and waits until it logs that it is leaving.
pub(crate) async fn terminate_agent(fleet: &Fleet, index: usize) -> Result<()> {
    fleet.agents[index].child.terminate()?;
    wait_until("the agent is leaving", async || {
        Ok(fleet.agents[index]
            .child
            .recent_output()
            .contains("\"leaving\""))
    })
    .await
}

/// Returns the outcome in the header of a response.
pub(crate) fn outcome(response: &FullResponse) -> &str {
    response.header("x-sardinepin-outcome")
}

/// Returns the error kind in a problem body; empty if there is none.
pub(crate) fn reason(response: &FullResponse) -> String {
    let problem: Value = response.json().unwrap_or_default();
    let kind = problem["type"].as_str().unwrap_or_default();
    kind.trim_start_matches("urn:sardinepin:").to_owned()
}

/// Returns the call counts of one upstream.
pub(crate) async fn counts(fleet: &Fleet, index: usize) -> Result<Counts> {
    fleet
        .client
        .get_json(fleet.upstreams[index].address(), "/counts")
        .await
}

/// Returns how often the call with a key has run on all upstreams together.
pub(crate) async fn count_runs(fleet: &Fleet, key: &str) -> Result<u64> {
    let mut runs = 0;
    for index in 0..fleet.upstreams.len() {
        runs += counts(fleet, index)
            .await?
            .runs
            .get(key)
            .copied()
            .unwrap_or_default();
    }
    Ok(runs)
}

/// Sets the same faults on every upstream.
pub(crate) async fn set_upstream_faults(fleet: &Fleet, faults: Value) -> Result<()> {
    for upstream in &fleet.upstreams {
        fleet.set_faults(upstream, &faults).await?;
    }
    Ok(())
}

/// Waits until an upstream holds a call, and returns the upstream's index.
pub(crate) async fn wait_held(fleet: &Fleet) -> Result<usize> {
    let clock = Clock::start();
    while clock.now() < WAIT_TIMEOUT {
        for index in 0..fleet.upstreams.len() {
            let counts = counts(fleet, index).await?;
            if counts.held_before + counts.held_after > 0 {
                return Ok(index);
            }
        }
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
    }
    bail!(
        "timed out waiting until a call is held\n{}",
        fleet.recent_output()
    )
}

/// Releases held calls on every upstream that is still running.
pub(crate) async fn release_held(fleet: &Fleet) {
    for upstream in &fleet.upstreams {
        let _ = fleet
            .client
            .post_json(upstream.address(), "/release", &json!({}))
            .await;
    }
}

/// Inserts a relay in front of an upstream's agent, and waits until every entry connects through
/// it.
pub(crate) async fn insert_relay(fleet: &Fleet, index: usize) -> Result<Relay> {
    let relay = Relay::start(fleet.agents[index].address()).await?;
    let upstream = fleet.deployment.upstreams[index].clone();
    let before = count_link_ups(fleet);
    let moved = Upstream {
        address: relay.address().to_string(),
        ..upstream.clone()
    };
    fleet
        .put_config("upstreams", &upstream.name, &moved)
        .await?;
    wait_until("every entry connects through the relay", async || {
        Ok(count_link_ups(fleet) >= before + fleet.entries.len())
    })
    .await?;
    Ok(relay)
}

fn count_link_ups(fleet: &Fleet) -> usize {
    let ups = |child: &ChildProcess| child.recent_output().matches("\"link_up\"").count();
    fleet.entries.iter().map(|entry| ups(&entry.child)).sum()
}
