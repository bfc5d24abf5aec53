//! The processes of the trial.

use std::net::SocketAddr;

use anyhow::{Context, Result, ensure};
use hyper::Method;
use sardinepin_config::Service;
use sardinepin_standins::fleet::{self, Deployment, Fleet, Node};
use sardinepin_store::{Instance, InstanceState};
use serde_json::json;

use super::Plan;

/// The service before whose one upstream all agents stand.
const SERVICE: &str = "plain";

/// The processes.
#[derive(Debug)]
pub(super) struct Processes {
    pub(super) fleet: Fleet,
    /// The agents beside those of the deployment.
    more: Vec<Node>,
}

impl Processes {
    /// Starts everything.
    pub(super) async fn start(plan: &Plan) -> Result<Self> {
        let names: Vec<String> = (1..=plan.zones)
            .map(|zone| format!("zone-{zone}"))
            .collect();
        let zones: Vec<&str> = names.iter().map(String::as_str).collect();
        let service = Service {
            name: SERVICE.to_owned(),
            ..Service::default()
        };
        let first = plan.zones.min(plan.agents);
        let settings = json!({
            "cluster": {
                "keys": [{"number": 1, "secret": "a secret of the trial"}],
                "peer_choice": plan.choice,
                "faults": {"loss_milli": plan.loss_milli},
            },
        });
        let fleet = Fleet::start(fleet::FleetOptions {
            deployment: Deployment::default().with_service(service, first, &zones),
            entries: plan.entries,
            settings,
            ..fleet::FleetOptions::default()
        })
        .await?;
        let upstream = fleet.upstreams.first().context("no upstream")?.address();
        let mut more = Vec::new();
        for at in first..plan.agents {
            let name = format!("agent-{}", at + 1);
            let node = fleet
                .start_agent(&name, zones[at % zones.len()], upstream)
                .await?;
            list(&fleet, &node).await?;
            more.push(node);
        }
        Ok(Self { fleet, more })
    }

    /// Returns all nodes.
    pub(super) fn nodes(&self) -> Vec<&Node> {
        let deployed = self.fleet.entries.iter().chain(&self.fleet.agents);
        deployed.chain(&self.more).collect()
    }

    /// Kills an agent of those beside the deployment and starts it again.
    pub(super) async fn replace(&mut self, at: usize) -> Result<String> {
        let count = self.more.len();
        ensure!(count > 0, "too few agents to replace one");
        let node = &mut self.more[at % count];
        node.restart().await?;
        Ok(node.name().to_owned())
    }

    /// Returns the address of the platform.
    pub(super) fn platform(&self) -> SocketAddr {
        self.fleet.platform.address()
    }
}

/// Puts a node into the instance list.
async fn list(fleet: &Fleet, node: &Node) -> Result<()> {
    let address = node
        .cluster_address()
        .context("the node names no cluster address")?;
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
