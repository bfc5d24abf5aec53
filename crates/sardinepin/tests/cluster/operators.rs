//! Tests of concurrent changes by operators at different entries.

use anyhow::{Context, Result};
use http::{Method, StatusCode};
use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use sardinepin_common::{Map, Revision, seeded_rng};
use sardinepin_protocol::UpstreamState;
use serde_json::{Value, json};

use crate::util::{Cluster, describe, revision_of};

/// The seed of the random operations.
const SEED: u64 = 7;

/// The number of operations that run concurrently in a round.
const CONCURRENCY: usize = 6;

/// The number of rounds.
const ROUNDS: usize = 12;

/// The upstreams that the operators change.
const UPSTREAMS: [&str; 3] = ["u-1", "u-2", "u-3"];

/// A change by an operator.
#[derive(Debug, Clone)]
enum OperatorChange {
    SetState(&'static str, UpstreamState),
    /// Replaces the rule list by one rule of this name.
    Rules(String),
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_at_two_entries_do_not_lose_each_others_changes() -> Result<()> {
    let cluster = Cluster::start(&["zone-a", "zone-b"]).await?;
    let entries = [0, 3];
    for name in UPSTREAMS {
        let response = cluster.add_upstream(0, name).await?;
        assert!(response.status.is_success(), "{}", describe(&response));
    }
    cluster.change_rules(0, "first").await?;
    let mut rng = seeded_rng(SEED);
    let mut expected: Map<&str, UpstreamState> = Map::default();
    let mut accepted: Vec<(Revision, String)> = Vec::new();
    for round in 0..ROUNDS {
        let current = revision_of(&cluster.rules(0).await?);
        let operations: Vec<(usize, OperatorChange)> = (0..CONCURRENCY)
            .map(|number| {
                let entry = entries.choose(&mut rng).copied().unwrap_or_default();
                (
                    entry,
                    random_operation(&mut rng, format!("rule-{round}-{number}")),
                )
            })
            .collect();
        let calls = operations
            .iter()
            .map(|(entry, operation)| perform(&cluster, *entry, operation, current));
        let responses = futures_util::future::join_all(calls).await;
        let mut accepted_lists = 0;
        for ((_, operation), response) in operations.iter().zip(responses) {
            let response = response?;
            match operation {
                OperatorChange::SetState(name, state) => {
                    assert!(response.status.is_success(), "{}", describe(&response));
                    let expected_state = expected.entry(name).or_insert(*state);
                    if *state == UpstreamState::Retired {
                        *expected_state = UpstreamState::Retired;
                    }
                }
                OperatorChange::Rules(name) if response.status.is_success() => {
                    accepted_lists += 1;
                    let revision = revision_of(&response).context("no revision")?;
                    accepted.push((revision, name.clone()));
                }
                OperatorChange::Rules(_) => assert_eq!(response.status, StatusCode::CONFLICT),
            }
        }
        assert!(
            accepted_lists <= 1,
            "two rule lists were accepted against one revision"
        );
    }
    let (last, name) = accepted.last().context("no rule list was accepted")?;
    assert!(
        accepted.is_sorted(),
        "later rule lists have later revisions"
    );
    cluster
        .wait_until_in_force(&cluster.all_indices(), *last)
        .await?;
    let rules = String::from_utf8_lossy(&cluster.rules(3).await?.body).into_owned();
    assert!(rules.contains(name.as_str()), "{rules}");
    for (name, state) in expected {
        assert_eq!(state_of(&cluster, name).await?, json!(state), "{name}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_are_refused_while_the_platform_is_unavailable() -> Result<()> {
    let cluster = Cluster::start(&["zone-a"]).await?;
    let before = cluster.change_rules(0, "one").await?;
    cluster
        .wait_until_in_force(&cluster.all_indices(), before)
        .await?;
    cluster.set_platform_faults(json!({"down": true})).await?;
    let response = cluster.put_rules(0, Some(before), "two").await?;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(
        describe(&response).contains("platform_out"),
        "{}",
        describe(&response)
    );
    cluster.set_platform_faults(json!({})).await?;
    let rules = cluster.rules(0).await?;
    assert_eq!(revision_of(&rules), Some(before), "{}", describe(&rules));
    Ok(())
}

fn random_operation(rng: &mut sardinepin_common::Rng, rule: String) -> OperatorChange {
    let name = UPSTREAMS.choose(rng).copied().unwrap_or_default();
    match rng.random_range(0..10) {
        0..6 => OperatorChange::Rules(rule),
        6..9 => OperatorChange::SetState(name, UpstreamState::Draining),
        _ => OperatorChange::SetState(name, UpstreamState::Retired),
    }
}

async fn perform(
    cluster: &Cluster,
    entry: usize,
    operation: &OperatorChange,
    current: Option<Revision>,
) -> Result<sardinepin_standins::http::FullResponse> {
    match operation {
        OperatorChange::Rules(name) => cluster.put_rules(entry, current, name).await,
        OperatorChange::SetState(name, state) => {
            let verb = match state {
                UpstreamState::Retired => "retire",
                _ => "drain",
            };
            let path = format!("/v1/upstreams/{name}/{verb}");
            cluster.call(entry, Method::POST, &path, &[], None).await
        }
    }
}

/// Returns the state of an upstream as stored in the platform.
async fn state_of(cluster: &Cluster, name: &str) -> Result<Value> {
    let platform = cluster.fleet.platform.address();
    let path = format!("/v1/objects/config/upstreams/{name}");
    let object: Value = cluster.fleet.client.get_json(platform, &path).await?;
    let text = object["value"].as_str().context("no value")?;
    let upstream: Value = serde_json::from_str(text)?;
    Ok(upstream["state"].clone())
}
