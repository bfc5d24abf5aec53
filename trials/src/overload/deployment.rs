//! Starts the processes of one run and reads their counters.

use std::collections::BTreeMap;

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use hyper::Method;
use sardinepin_common::{Clock, Millis};
use sardinepin_config::{Action, Condition, HeaderMatch, Organisation, Rule, Service, ServiceKind};
use sardinepin_standins::engine::Counts;
use sardinepin_standins::fleet::{self, Deployment, Fleet};
use serde_json::json;

use super::Options;

/// The model that all calls request.
pub(super) const MODEL: &str = "m";

/// The path of all calls.
pub(super) const PATH: &str = "/v1/chat/completions";

/// The header field that states the purpose of a call.
pub(super) const PURPOSE_HEADER: &str = "x-purpose";

/// The purpose that marks a call as urgent.
pub(super) const STATUS_PURPOSE: &str = "status";

/// The deadline of urgent calls.
pub(super) const URGENT_DEADLINE: Millis = Millis(1_000);

/// The deadline of other calls.
pub(super) const NORMAL_DEADLINE: Millis = Millis(2_000);

/// The maximum number of requests in one step of an engine.
const ENGINE_SLOTS: usize = 8;

/// The attempts that an agent sends to its engine concurrently: more than the engine has slots, so
/// that another attempt is ready when one ends.
const AGENT_SLOTS: usize = 12;

/// The duration of an engine's step, in microseconds.
const STEP_MICROS: u64 = 20_000;

/// The time within which all links must be up.
const LINK_TIMEOUT: Millis = Millis(60_000);

/// The time between two checks of the links.
const POLL_INTERVAL: Millis = Millis(50);

/// The metric that counts retries by reason.
const RETRIES_METRIC: &str = "sardinepin_retries_total";

/// Returns the capacity of `upstreams` engines in tokens per second, computed from their settings.
pub(super) fn capacity_tokens_per_second(upstreams: usize) -> f64 {
    (upstreams * ENGINE_SLOTS) as f64 * 1_000_000.0 / STEP_MICROS as f64
}

/// Returns the name of the organisation with this index.
pub(super) fn organisation_name(index: usize) -> String {
    format!("organisation-{}", index + 1)
}

/// Starts all processes and waits until each entry has a link to each agent.
pub(super) async fn start(options: &Options, policy: &str) -> Result<Fleet> {
    let service = Service {
        name: "llm".to_owned(),
        kind: ServiceKind::Model,
        paths: vec![PATH.to_owned()],
        models: vec![MODEL.to_owned()],
        deadline_ms: NORMAL_DEADLINE.0,
        ..Service::default()
    };
    let mut deployment =
        Deployment::default().with_service(service, options.upstreams, &["zone-a"]);
    deployment.organisations = (0..options.organisations)
        .map(|index| Organisation {
            name: organisation_name(index),
            ..Organisation::default()
        })
        .collect();
    deployment.rules = vec![urgent_rule()];
    let engine_options = [
        ("--slots", ENGINE_SLOTS as u64),
        ("--step-us", STEP_MICROS),
        ("--batch-us", 0),
        ("--prefill-us", 0),
    ];
    let fleet = Fleet::start(fleet::FleetOptions {
        deployment,
        entries: options.entries,
        engine_arguments: engine_options
            .iter()
            .flat_map(|(name, value)| [(*name).to_owned(), value.to_string()])
            .collect(),
        settings: json!({
            "entry": {"policy": policy},
            "agent": {"slots": AGENT_SLOTS},
        }),
        ..fleet::FleetOptions::default()
    })
    .await?;
    wait_for_links(&fleet).await?;
    Ok(fleet)
}

/// Returns the retries of all entries, by reason.
pub(super) async fn retry_counts(fleet: &Fleet) -> Result<BTreeMap<String, u64>> {
    let mut retries = BTreeMap::new();
    for entry in &fleet.entries {
        let admin = entry
            .admin_address()
            .context("the entry reports no admin address")?;
        let request = fleet
            .client
            .request(Method::GET, admin, "/metrics", &[], Bytes::new());
        let answer = request.await?;
        let text = String::from_utf8_lossy(&answer.body);
        for (reason, count) in text.lines().filter_map(parse_retries) {
            *retries.entry(reason).or_default() += count;
        }
    }
    retries.retain(|_, count| *count > 0);
    Ok(retries)
}

/// Returns the tokens that each engine has computed; `None` for an engine that does not answer.
pub(super) async fn computed_tokens(fleet: &Fleet) -> Vec<Option<u64>> {
    let mut tokens = Vec::new();
    for engine in &fleet.upstreams {
        let counts = fleet.client.get_json::<Counts>(engine.address(), "/counts");
        tokens.push(counts.await.ok().map(|counts| counts.tokens));
    }
    tokens
}

/// Returns the rule that gives urgent calls their class and deadline.
fn urgent_rule() -> Rule {
    Rule {
        name: "status".to_owned(),
        when: Condition {
            headers: vec![HeaderMatch {
                name: PURPOSE_HEADER.to_owned(),
                value: Some(STATUS_PURPOSE.to_owned()),
            }],
            ..Condition::default()
        },
        then: Action {
            class: Some("urgent".to_owned()),
            deadline_ms: Some(URGENT_DEADLINE.0),
            ..Action::default()
        },
    }
}

/// Parses `sardinepin_retries_total{reason="REASON"} COUNT`.
fn parse_retries(line: &str) -> Option<(String, u64)> {
    let rest = line
        .strip_prefix(RETRIES_METRIC)?
        .strip_prefix("{reason=\"")?;
    let (reason, count) = rest.split_once("\"} ")?;
    Some((reason.to_owned(), count.parse().ok()?))
}

/// Waits until each entry has logged a link to each agent.
async fn wait_for_links(fleet: &Fleet) -> Result<()> {
    let clock = Clock::start();
    while clock.now() < LINK_TIMEOUT {
        let is_linked = |entry: &fleet::Node| {
            entry.child.recent_output().matches("\"link_up\"").count() >= fleet.agents.len()
        };
        if fleet.entries.iter().all(is_linked) {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
    }
    bail!("not all links came up in time\n{}", fleet.recent_output())
}
