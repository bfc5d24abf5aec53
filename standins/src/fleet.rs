//! Starts deployments of real processes on the loopback interface, for tests, trials and the demo.

mod binaries;
mod child;
mod deployment;
mod directory;
mod node;
mod store;

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitStatus;

use anyhow::{Context, Result, bail, ensure};
use bytes::Bytes;
use hyper::Method;
use sardinepin_common::Millis;
use sardinepin_config::{ServiceKind, Upstream, object_key};
use sardinepin_protocol::Role;
use serde::Serialize;
use serde_json::{Value, json};

pub use binaries::binary_path;
pub use child::ChildProcess;
pub use deployment::Deployment;
pub use directory::TempDirectory;
pub use node::Node;

use crate::engine::RankPeers;
use crate::http::HttpClient;

/// The name of the load balancer binary.
const PRODUCT_BINARY: &str = "sardinepin";

/// The name of the stand-ins binary.
const STANDINS_BINARY: &str = "sardinepin-standins";

/// The bearer token with the operator role at the administration API of every node.
pub const OPERATOR_TOKEN: &str = "operator-on-loopback";

/// The bearer token with the read-only role at the administration API of every node.
pub const READER_TOKEN: &str = "reader-on-loopback";

/// The name of the file with the bearer tokens.
const TOKENS_FILE: &str = "tokens";

/// The secret that authenticates datagrams between the nodes.
const CLUSTER_SECRET: &str = "a-secret-of-a-deployment-on-loopback";

/// The time limit for an entry to become ready.
const READY_TIMEOUT: Millis = Millis(30_000);

/// The interval between two readiness checks of an entry.
const READY_POLL_INTERVAL: Millis = Millis(20);

/// The deployment to start, and options of its processes.
#[derive(Debug, Clone, Default)]
pub struct FleetOptions {
    /// The configuration; the addresses of its upstreams are filled in at the start.
    pub deployment: Deployment,
    /// The number of entries to start.
    pub entries: usize,
    /// Additional command line arguments of the engines.
    pub engine_arguments: Vec<String>,
    /// Whether plain services preserve their run counts across a restart.
    pub journals: bool,
    /// Settings that override the defaults of all entries and agents, structured like the settings
    /// file; `Null` overrides nothing.
    pub settings: Value,
}

/// A running deployment; dropping it kills its processes.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: ChildProcess,
    /// The engines and plain services, in the order of the deployment's upstreams.
    pub upstreams: Vec<ChildProcess>,
    /// The agents of the upstreams, in the same order.
    pub agents: Vec<Node>,
    /// The entries.
    pub entries: Vec<Node>,
    /// The configuration as written to the platform at the start.
    pub deployment: Deployment,
    /// The client for control calls.
    pub client: HttpClient,
    settings: Value,
    directory: TempDirectory,
}

impl Fleet {
    /// Starts all processes and waits until the entries are ready.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be built or started, or an entry does not become ready.
    pub async fn start(options: FleetOptions) -> Result<Self> {
        let directory = TempDirectory::create()?;
        let tokens = format!("operator {OPERATOR_TOKEN}\nread-only {READER_TOKEN}\n");
        std::fs::write(directory.file(TOKENS_FILE), tokens)?;
        let platform =
            ChildProcess::start(&binary_path(STANDINS_BINARY)?, &strings(&["platform"])).await?;
        let mut fleet = Self {
            platform,
            upstreams: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            deployment: options.deployment.clone(),
            client: HttpClient::default(),
            settings: options.settings.clone(),
            directory,
        };
        for index in 0..options.deployment.upstreams.len() {
            fleet.start_upstream(&options, index).await?;
        }
        for group in 0..options.deployment.groups.len() {
            fleet.send_rank_peers(group).await?;
        }
        fleet.put_deployment().await?;
        for number in 0..options.entries {
            fleet.add_entry(number).await?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Returns the addresses of the entries for callers.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Node::address).collect()
    }

    /// Starts an agent in front of the upstream at the address `upstream`, in addition to those of
    /// the deployment.
    ///
    /// # Errors
    ///
    /// Fails if the agent does not start.
    pub async fn start_agent(&self, name: &str, zone: &str, upstream: SocketAddr) -> Result<Node> {
        let settings = json!({
            "agent": {"listen": "127.0.0.1:0", "upstream": upstream.to_string()},
        });
        self.start_node(Role::Agent, name, zone, settings).await
    }

    /// Starts another entry and adds it to the instance list.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not start.
    pub async fn add_entry(&mut self, number: usize) -> Result<()> {
        let zones = self.deployment.zones();
        let zone = match zones.len() {
            0 => "zone-a",
            count => &zones[number % count],
        };
        let name = format!("entry-{}", number + 1);
        let settings = json!({"entry": {"listen": "127.0.0.1:0"}});
        let node = self.start_node(Role::Entry, &name, zone, settings).await?;
        store::put_instance(&self.client, self.platform.address(), &node).await?;
        self.entries.push(node);
        Ok(())
    }

    /// Kills an agent if it is running, and starts it again at the same addresses.
    ///
    /// # Errors
    ///
    /// Fails if the agent does not start.
    pub async fn restart_agent(&mut self, index: usize) -> Result<()> {
        self.agents
            .get_mut(index)
            .context("no such agent")?
            .restart()
            .await
    }

    /// Kills an entry if it is running, and starts it again at the same addresses.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not start.
    pub async fn restart_entry(&mut self, index: usize) -> Result<()> {
        self.entries
            .get_mut(index)
            .context("no such entry")?
            .restart()
            .await
    }

    /// Kills an upstream if it is running, and starts it again at the same address.
    ///
    /// # Errors
    ///
    /// Fails if the upstream does not start.
    pub async fn restart_upstream(&mut self, index: usize) -> Result<()> {
        let upstream = self.upstreams.get_mut(index).context("no such upstream")?;
        upstream.restart().await?;
        match self.deployment.group_of(index) {
            Some(group) => self.send_rank_peers(group).await,
            None => Ok(()),
        }
    }

    /// Writes a configuration object, replacing any existing one.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not accept the write.
    pub async fn put_config<T: Serialize>(&self, kind: &str, name: &str, value: &T) -> Result<()> {
        let key = format!("config/{}", object_key(kind, name));
        store::put(&self.client, self.platform.address(), &key, value).await
    }

    /// Reads JSON from the administration API of a node, such as `/v1/status`.
    ///
    /// # Errors
    ///
    /// Fails if the node has no administration address or does not respond with status 2xx and
    /// JSON.
    pub async fn admin_get(&self, node: &Node, path: &str) -> Result<Value> {
        let admin = node
            .admin_address()
            .context("the node has no administration address")?;
        let bearer = format!("Bearer {READER_TOKEN}");
        let headers = [("authorization", bearer.as_str())];
        let request = self
            .client
            .request(Method::GET, admin, path, &headers, Bytes::new());
        let answer = request.await?;
        ensure!(answer.status.is_success(), "{path}: {}", answer.status);
        answer.json()
    }

    /// Sets the injected faults of a stand-in, replacing those set before.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in does not accept them.
    pub async fn set_faults<T: Serialize>(&self, standin: &ChildProcess, faults: &T) -> Result<()> {
        self.client
            .post_json(standin.address(), "/faults", faults)
            .await
    }

    /// Waits until each entry with an administration address reports that it is ready.
    ///
    /// # Errors
    ///
    /// Fails if an entry is not ready within 30 seconds.
    pub async fn wait_ready(&self) -> Result<()> {
        for entry in &self.entries {
            let ready = entry.wait_ready(&self.client, READY_POLL_INTERVAL);
            if tokio::time::timeout(READY_TIMEOUT.duration(), ready)
                .await
                .is_err()
            {
                bail!(
                    "{} is not ready\n{}",
                    entry.name(),
                    entry.child.recent_output()
                );
            }
        }
        Ok(())
    }

    /// Stops the entries, then the agents, with SIGTERM, kills the stand-ins, and returns the name
    /// and exit status of each node.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be signalled or does not end.
    pub async fn stop(mut self) -> Result<Vec<(String, ExitStatus)>> {
        let mut exits = Vec::new();
        for nodes in [&mut self.entries, &mut self.agents] {
            for node in nodes.iter() {
                node.child.terminate()?;
            }
            for node in nodes.iter_mut() {
                exits.push((node.name().to_owned(), node.child.wait_exit().await?));
            }
        }
        Ok(exits)
    }

    /// Returns the latest output of all entries and agents, for failure messages.
    #[must_use]
    pub fn recent_output(&self) -> String {
        let nodes = self.entries.iter().chain(&self.agents);
        nodes
            .map(|node| format!("--- {}\n{}", node.name(), node.child.recent_output()))
            .collect()
    }

    async fn start_upstream(&mut self, options: &FleetOptions, index: usize) -> Result<()> {
        let Upstream { name, zone, .. } = self.deployment.upstreams[index].clone();
        let file =
            |extension: &str| path_text(&self.directory.file(&format!("{name}.{extension}")));
        let mut arguments = match self.deployment.kind_of(index)? {
            ServiceKind::Plain => strings(&["plain"]),
            ServiceKind::Model => [strings(&["engine"]), options.engine_arguments.clone()].concat(),
        };
        if options.journals && self.deployment.kind_of(index)? == ServiceKind::Plain {
            arguments.extend(["--journal".to_owned(), file("journal")?]);
        }
        if self.deployment.group_of(index).is_some() {
            arguments.extend([
                "--ranked".to_owned(),
                "--gate-file".to_owned(),
                file("gate")?,
            ]);
        }
        let upstream = ChildProcess::start(&binary_path(STANDINS_BINARY)?, &arguments).await?;
        let agent = self.start_agent(&name, &zone, upstream.address()).await?;
        self.deployment.upstreams[index].address = agent.address().to_string();
        store::put_instance(&self.client, self.platform.address(), &agent).await?;
        self.upstreams.push(upstream);
        self.agents.push(agent);
        Ok(())
    }

    /// Sends the members of a group to each of its engines, once all of them have started.
    async fn send_rank_peers(&self, group: usize) -> Result<()> {
        let ranks = self.deployment.ranks_of(group)?;
        let ranks: Vec<&ChildProcess> = ranks.iter().map(|index| &self.upstreams[*index]).collect();
        let address = |engine: &&ChildProcess| {
            engine
                .named_address("ranks")
                .context("the engine has no rank address")
        };
        let peers = ranks.iter().map(address).collect::<Result<Vec<_>>>()?;
        for (rank, engine) in (0..).zip(&ranks) {
            // An engine that is down gets the members when it is restarted.
            let peers = peers.clone();
            let rank_peers = RankPeers { rank, peers };
            let _ = self
                .client
                .post_json(engine.address(), "/ranks/peers", &rank_peers)
                .await;
        }
        Ok(())
    }

    /// Starts an entry or an agent in addition to those of the deployment, with its own settings.
    ///
    /// # Errors
    ///
    /// Fails if the node does not start.
    pub async fn start_node(
        &self,
        role: Role,
        name: &str,
        zone: &str,
        settings: Value,
    ) -> Result<Node> {
        let common = json!({
            "tokens_file": path_text(&self.directory.file(TOKENS_FILE))?,
            "platform": {"address": self.platform.address().to_string()},
            "cluster": {"keys": [{"number": 1, "secret": CLUSTER_SECRET}]},
        });
        let file = self.directory.file(&format!("{name}.yaml"));
        let layers = [&common, &self.settings, &settings];
        Node::start(
            &binary_path(PRODUCT_BINARY)?,
            role,
            name,
            zone,
            &file,
            &layers,
        )
        .await
    }

    async fn put_deployment(&self) -> Result<()> {
        let Deployment {
            services,
            upstreams,
            organisations,
            groups,
            rules,
        } = &self.deployment;
        for service in services {
            self.put_config("services", &service.name, service).await?;
        }
        for upstream in upstreams {
            self.put_config("upstreams", &upstream.name, upstream)
                .await?;
        }
        for group in groups {
            self.put_config("groups", &group.name, group).await?;
        }
        ensure!(!services.is_empty(), "the deployment has no services");
        self.put_config("organisations", "all", organisations)
            .await?;
        self.put_config("rules", "list", &json!({"rules": rules}))
            .await
    }
}

fn strings(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}

fn path_text(path: &Path) -> Result<String> {
    let text = path.to_str().context("the path is not valid UTF-8")?;
    Ok(text.to_owned())
}
