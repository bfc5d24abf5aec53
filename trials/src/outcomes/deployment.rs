//! Starts the processes of the trial, with a relay in front of each agent.

use anyhow::Result;
use sardinepin_config::{Service, ServiceKind, Upstream};
use sardinepin_standins::fleet::{Deployment, Fleet, FleetOptions};
use sardinepin_standins::relay::Relay;
use serde_json::json;

/// The model that all streams name in their requests.
pub(crate) const MODEL: &str = "m";

/// The path of calls with an idempotency key, which must not run twice.
pub(crate) const KEYED_PATH: &str = "/book";

/// The path of calls that may run more than once.
pub(crate) const PLAIN_PATH: &str = "/status";

/// The number of upstreams of the plain service; they precede the engines in the deployment.
pub(crate) const PLAIN_UPSTREAMS: usize = 3;

/// The number of engines.
const ENGINES: usize = 2;

/// The number of entries.
const ENTRIES: usize = 2;

/// A fleet whose entries reach each agent through a relay.
#[derive(Debug)]
pub(crate) struct RelayedFleet {
    pub(crate) fleet: Fleet,
    /// The relays, in the order of the agents.
    pub(crate) relays: Vec<Relay>,
}

/// Starts all processes and relays, and points the configured upstream addresses at the relays.
pub(crate) async fn start() -> Result<RelayedFleet> {
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
            .with_service(plain, PLAIN_UPSTREAMS, &["zone-a"])
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
        let relayed = Upstream {
            address: relay.address().to_string(),
            ..upstream.clone()
        };
        fleet
            .put_config("upstreams", &upstream.name, &relayed)
            .await?;
        relays.push(relay);
    }
    Ok(RelayedFleet { fleet, relays })
}
