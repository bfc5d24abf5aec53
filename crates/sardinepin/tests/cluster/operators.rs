//! Operators who work at the same time at different entries.

use anyhow::{Context, Result};
use http::{Method, StatusCode};
use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use sardinepin_common::{Map, Revision, seeded_rng};
use sardinepin_protocol::UpstreamState;
use serde_json::{Value, json};

use crate::util::{Cluster, revision_of, said};

/// The seed of the orders.
const SEED: u64 = 7;

/// How many orders run at once, and how many times.
const AT_ONCE: usize = 6;
const ROUNDS: usize = 12;

/// The upstreams that the operators work on.
const NAMES: [&str; 3] = ["u-1", "u-2", "u-3"];

/// What an operator does.
#[derive(Debug, Clone)]
enum Order {
    SetState(&'static str, UpstreamState),
    Rules(String),
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_at_two_entries_lose_nothing_of_each_other() -> Result<()> {
    let cluster = Cluster::start(&["zone-a", "zone-b"]).await?;
    let entries = [0, 3];
    for name in NAMES {
        let answer = cluster.add_upstream(0, name).await?;
        assert!(answer.status.is_success(), "{}", said(&answer));
    }
    cluster.change_rules(0, "first").await?;
    let mut rng = seeded_rng(SEED);
    let mut wanted: Map<&str, UpstreamState> = Map::default();
    let mut accepted: Vec<(Revision, String)> = Vec::new();
    for round in 0..ROUNDS {
        let standing = revision_of(&cluster.rules(0).await?);
        let orders: Vec<(usize, Order)> = (0..AT_ONCE)
            .map(|number| {
                let entry = entries.choose(&mut rng).copied().unwrap_or_default();
                (entry, draw(&mut rng, format!("rule-{round}-{number}")))
            })
            .collect();
        let calls = orders
            .iter()
            .map(|(entry, order)| carry_out(&cluster, *entry, order, standing));
        let answers = futures_util::future::join_all(calls).await;
        let mut lists = 0;
        for ((_, order), answer) in orders.iter().zip(answers) {
            let answer = answer?;
            match order {
                Order::SetState(name, state) => {
                    assert!(answer.status.is_success(), "{}", said(&answer));
                    let held = wanted.entry(name).or_insert(*state);
                    if *state == UpstreamState::Retired {
                        *held = UpstreamState::Retired;
                    }
                }
                Order::Rules(name) if answer.status.is_success() => {
                    lists += 1;
                    let revision = revision_of(&answer).context("no revision")?;
                    accepted.push((revision, name.clone()));
                }
                Order::Rules(_) => assert_eq!(answer.status, StatusCode::CONFLICT),
            }
        }
        assert!(lists <= 1, "two lists were accepted against one version");
    }
    let (last, name) = accepted.last().context("no list was accepted")?;
    assert!(accepted.is_sorted(), "later lists have later revisions");
    cluster.all_hold(&cluster.all(), *last).await?;
    let rules = String::from_utf8_lossy(&cluster.rules(3).await?.body).into_owned();
    assert!(rules.contains(name.as_str()), "{rules}");
    for (name, state) in wanted {
        assert_eq!(state_of(&cluster, name).await?, json!(state), "{name}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_are_told_not_accepted_while_the_platform_is_out() -> Result<()> {
    let cluster = Cluster::start(&["zone-a"]).await?;
    let before = cluster.change_rules(0, "one").await?;
    cluster.all_hold(&cluster.all(), before).await?;
    cluster.platform(json!({"down": true})).await?;
    let answer = cluster.put_rules(0, Some(before), "two").await?;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(said(&answer).contains("platform_out"), "{}", said(&answer));
    cluster.platform(json!({})).await?;
    let rules = cluster.rules(0).await?;
    assert_eq!(revision_of(&rules), Some(before), "{}", said(&rules));
    Ok(())
}

fn draw(rng: &mut sardinepin_common::Rng, rule: String) -> Order {
    let name = NAMES.choose(rng).copied().unwrap_or_default();
    match rng.random_range(0..10) {
        0..6 => Order::Rules(rule),
        6..9 => Order::SetState(name, UpstreamState::Draining),
        _ => Order::SetState(name, UpstreamState::Retired),
    }
}

async fn carry_out(
    cluster: &Cluster,
    entry: usize,
    order: &Order,
    standing: Option<Revision>,
) -> Result<sardinepin_standins::http::Answer> {
    match order {
        Order::Rules(name) => cluster.put_rules(entry, standing, name).await,
        Order::SetState(name, state) => {
            let verb = match state {
                UpstreamState::Retired => "retire",
                _ => "drain",
            };
            let path = format!("/v1/upstreams/{name}/{verb}");
            cluster.call(entry, Method::POST, &path, &[], None).await
        }
    }
}

/// Returns the state of an upstream as the platform has it.
async fn state_of(cluster: &Cluster, name: &str) -> Result<Value> {
    let platform = cluster.fleet.platform.address();
    let path = format!("/v1/objects/config/upstreams/{name}");
    let object: Value = cluster.fleet.caller.get(platform, &path).await?;
    let text = object["value"].as_str().context("no value")?;
    let upstream: Value = serde_json::from_str(text)?;
    Ok(upstream["state"].clone())
}
