//! The processes of one run.

use std::collections::BTreeMap;

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use hyper::Method;
use sardinepin_common::{Clock, Millis};
use sardinepin_config::{Action, Condition, HeaderMatch, Organisation, Rule, Service, ServiceKind};
use sardinepin_standins::engine::Counts;
use sardinepin_standins::fleet::{self, Deployment, Fleet};
use serde_json::json;

use super::Plan;

/// The model that all calls name.
pub(super) const MODEL: &str = "m";

/// The path of all calls.
pub(super) const PATH: &str = "/v1/chat/completions";

/// The header field that says what a call is for.
pub(super) const PURPOSE_HEADER: &str = "x-purpose";

/// The purpose of urgent calls.
pub(super) const STATUS_PURPOSE: &str = "status";

/// The deadline of urgent calls.
pub(super) const URGENT_DEADLINE: Millis = Millis(1_000);

/// The deadline of other calls.
pub(super) const NORMAL_DEADLINE: Millis = Millis(2_000);

/// The most requests in one step of an engine.
const SLOTS: usize = 8;

/// The attempts that an agent lets run at its engine: more than it has slots, so that one is
/// there when another ends.
const AGENT_SLOTS: usize = 12;

/// The time of an engine's step, in microseconds.
const STEP_MICROS: u64 = 20_000;

/// How long all links may take to be up.
const LINKS_WITHIN: Millis = Millis(60_000);

/// The time between two looks.
const LOOK: Millis = Millis(50);

/// The metric of attempts that another one followed.
const RETRIES: &str = "sardinepin_retries_total";

/// Returns the capacity of so many engines, in tokens each second, as their settings give it.
pub(super) fn capacity(upstreams: usize) -> f64 {
    (upstreams * SLOTS) as f64 * 1_000_000.0 / STEP_MICROS as f64
}

/// Returns the name of an organisation.
pub(super) fn organisation(at: usize) -> String {
    format!("organisation-{}", at + 1)
}

/// Starts everything and waits until each entry has a link to each agent.
pub(super) async fn start(plan: &Plan, policy: &str) -> Result<Fleet> {
    let service = Service {
        name: "llm".to_owned(),
        kind: ServiceKind::Model,
        paths: vec![PATH.to_owned()],
        models: vec![MODEL.to_owned()],
        deadline_ms: NORMAL_DEADLINE.0,
        ..Service::default()
    };
    let mut deployment = Deployment::default().with_service(service, plan.upstreams, &["zone-a"]);
    deployment.organisations = (0..plan.organisations)
        .map(|at| Organisation {
            name: organisation(at),
            ..Organisation::default()
        })
        .collect();
    deployment.rules = vec![status_rule()];
    let numbers = [
        ("--slots", SLOTS as u64),
        ("--step-us", STEP_MICROS),
        ("--batch-us", 0),
        ("--prefill-us", 0),
    ];
    let fleet = Fleet::start(fleet::FleetOptions {
        deployment,
        entries: plan.entries,
        engine_arguments: numbers
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
    wait_links(&fleet).await?;
    Ok(fleet)
}

/// Returns the retries that all entries have counted, by reason.
pub(super) async fn retries(fleet: &Fleet) -> Result<BTreeMap<String, u64>> {
    let mut retries = BTreeMap::new();
    for entry in &fleet.entries {
        let admin = entry
            .admin_address()
            .context("the entry names no admin address")?;
        let ask = fleet
            .client
            .request(Method::GET, admin, "/metrics", &[], Bytes::new());
        let answer = ask.await?;
        let text = String::from_utf8_lossy(&answer.body);
        for (reason, count) in text.lines().filter_map(retry) {
            *retries.entry(reason).or_default() += count;
        }
    }
    retries.retain(|_, count| *count > 0);
    Ok(retries)
}

/// Returns how many tokens each engine has computed; `None` for one that does not answer.
pub(super) async fn computed(fleet: &Fleet) -> Vec<Option<u64>> {
    let mut computed = Vec::new();
    for engine in &fleet.upstreams {
        let counts = fleet.client.get_json::<Counts>(engine.address(), "/counts");
        computed.push(counts.await.ok().map(|counts| counts.tokens));
    }
    computed
}

fn status_rule() -> Rule {
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

/// Reads `sardinepin_retries_total{reason="REASON"} COUNT`.
fn retry(line: &str) -> Option<(String, u64)> {
    let rest = line.strip_prefix(RETRIES)?.strip_prefix("{reason=\"")?;
    let (reason, count) = rest.split_once("\"} ")?;
    Some((reason.to_owned(), count.parse().ok()?))
}

async fn wait_links(fleet: &Fleet) -> Result<()> {
    let clock = Clock::start();
    while clock.now() < LINKS_WITHIN {
        let is_linked = |entry: &fleet::Node| {
            entry.child.recent_output().matches("\"link_up\"").count() >= fleet.agents.len()
        };
        if fleet.entries.iter().all(is_linked) {
            return Ok(());
        }
        tokio::time::sleep(LOOK.duration()).await;
    }
    bail!("some links are not up\n{}", fleet.recent_output())
}
