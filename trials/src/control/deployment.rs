//! Starts the processes of the trial.

use std::net::SocketAddr;

use anyhow::{Context, Result, ensure};
use hyper::Method;
use sardinepin_config::Service;
use sardinepin_standins::fleet::{self, Deployment, Fleet, Node};
use sardinepin_store::{Instance, InstanceState};
use serde_json::json;

use super::Options;

/// The service of the upstream that all agents serve.
const SERVICE: &str = "plain";

/// A fleet with more agents than its deployment configures.
#[derive(Debug)]
pub(super) struct Processes {
    pub(super) fleet: Fleet,
    /// The agents that the deployment does not configure.
    extra_agents: Vec<Node>,
}

impl Processes {
    /// Starts all processes.
    pub(super) async fn start(options: &Options) -> Result<Self> {
        let names: Vec<String> = (1..=options.zones)
            .map(|zone| format!("zone-{zone}"))
            .collect();
        let zones: Vec<&str> = names.iter().map(String::as_str).collect();
        let service = Service {
            name: SERVICE.to_owned(),
            ..Service::default()
        };
        let configured_agents = options.zones.min(options.agents);
        let settings = json!({
            "cluster": {
                "keys": [{"number": 1, "secret": "a secret of the trial"}],
                "peer_choice": options.peer_choice,
                "faults": {"loss_milli": options.loss_milli},
            },
        });
        let fleet = Fleet::start(fleet::FleetOptions {
            deployment: Deployment::default().with_service(service, configured_agents, &zones),
            entries: options.entries,
            settings,
            ..fleet::FleetOptions::default()
        })
        .await?;
        let upstream = fleet.upstreams.first().context("no upstream")?.address();
        let mut extra_agents = Vec::new();
        for index in configured_agents..options.agents {
            let name = format!("agent-{}", index + 1);
            let node = fleet
                .start_agent(&name, zones[index % zones.len()], upstream)
                .await?;
            register_instance(&fleet, &node).await?;
            extra_agents.push(node);
        }
        Ok(Self {
            fleet,
            extra_agents,
        })
    }

    /// Returns all entries and agents.
    pub(super) fn nodes(&self) -> Vec<&Node> {
        let configured = self.fleet.entries.iter().chain(&self.fleet.agents);
        configured.chain(&self.extra_agents).collect()
    }

    /// Kills one of the extra agents, starts it again and returns its name.
    pub(super) async fn restart_agent(&mut self, index: usize) -> Result<String> {
        let count = self.extra_agents.len();
        ensure!(count > 0, "there are no extra agents to restart");
        let node = &mut self.extra_agents[index % count];
        node.restart().await?;
        Ok(node.name().to_owned())
    }

    /// Returns the address of the platform.
    pub(super) fn platform(&self) -> SocketAddr {
        self.fleet.platform.address()
    }
}

/// Adds a node to the platform's list of instances.
async fn register_instance(fleet: &Fleet, node: &Node) -> Result<()> {
    let address = node
        .cluster_address()
        .context("the node reports no cluster address")?;
    let instance = Instance {
        name: node.name().to_owned(),
        role: node.role(),
        zone: node.zone().to_owned(),
        address: address.to_string(),
        state: InstanceState::Live,
    };
    let path = format!("/instances/{}", node.name());
    let platform = fleet.platform.address();
    let answer = fleet
        .client
        .send_json(Method::PUT, platform, &path, &instance)
        .await?;
    ensure!(answer.status.is_success(), "{path}: {}", answer.status);
    Ok(())
}
