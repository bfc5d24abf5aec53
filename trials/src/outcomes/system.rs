//! The processes of the trial, with a relay before each agent.

use anyhow::Result;
use sardinepin_config::{Service, ServiceKind, Upstream};
use sardinepin_standins::fleet::{Deployment, Fleet, FleetOptions};
use sardinepin_standins::relay::Relay;
use serde_json::json;

/// The model of the streams.
pub(super) const MODEL: &str = "m";

/// The path of calls that may not be repeated.
pub(super) const KEYED_PATH: &str = "/book";

/// The path of calls that may be repeated.
pub(super) const PLAIN_PATH: &str = "/status";

/// How many upstreams the plain service has; they come before the engines.
pub(super) const PLAIN: usize = 3;

/// How many engines there are.
const ENGINES: usize = 2;

/// How many entries there are.
const ENTRIES: usize = 2;

/// The processes.
#[derive(Debug)]
pub(super) struct System {
    pub(super) fleet: Fleet,
    /// One before each agent, in the order of the agents.
    pub(super) relays: Vec<Relay>,
}

/// Starts everything.
pub(super) async fn start() -> Result<System> {
    let plain = Service {
        name: "app".to_owned(),
        paths: vec!["/".to_owned()],
        keyed_paths: vec![KEYED_PATH.to_owned()],
        deadline_ms: 10_000,
        ..Service::default()
    };
    let model = Service {
        name: "llm".to_owned(),
        kind: ServiceKind::Model,
        paths: vec!["/v1/".to_owned()],
        models: vec![MODEL.to_owned()],
        deadline_ms: 15_000,
        ..Service::default()
    };
    let fleet = Fleet::start(FleetOptions {
        deployment: Deployment::default()
            .with_service(plain, PLAIN, &["zone-a"])
            .with_service(model, ENGINES, &["zone-a"]),
        entries: ENTRIES,
        journals: true,
        settings: json!({"entry": {"settle_ms": 1_000}, "stop": {"grace_ms": 200}}),
        ..FleetOptions::default()
    })
    .await?;
    let mut relays = Vec::new();
    for (agent, upstream) in fleet.agents.iter().zip(&fleet.deployment.upstreams) {
        let relay = Relay::start(agent.address()).await?;
        let moved = Upstream {
            address: relay.address().to_string(),
            ..upstream.clone()
        };
        fleet
            .put_config("upstreams", &upstream.name, &moved)
            .await?;
        relays.push(relay);
    }
    Ok(System { fleet, relays })
}
