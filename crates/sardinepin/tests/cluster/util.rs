//! Clusters of real processes whose links can be cut, and calls to their administration API.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

use anyhow::{Context, Result, bail, ensure};
use bytes::Bytes;
use http::Method;
use sardinepin_common::{Clock, Millis, Revision};
use sardinepin_config::{Service, Upstream};
use sardinepin_protocol::Role;
use sardinepin_standins::fleet::{Deployment, Fleet, FleetOptions, Node};
use sardinepin_standins::http::FullResponse;
use sardinepin_standins::relay::Relay;
use serde_json::{Value, json};

/// How long a condition may take to hold before the test fails.
const TIMEOUT: Millis = Millis(90_000);

/// The interval between two checks of a condition.
const POLL_INTERVAL: Millis = Millis(50);

/// The operator token for the administration API.
const TOKEN: &str = "a-token-of-the-tests-only";

/// The zone that tests cut off; its nodes reach the platform through the relay.
pub(crate) const CUT_ZONE: &str = "zone-c";

/// The number of clusters started, for unique directory names.
static CLUSTER_COUNT: AtomicU64 = AtomicU64::new(0);

/// Nodes with a platform. Each zone has one entry and two agents.
pub(crate) struct Cluster {
    pub(crate) fleet: Fleet,
    pub(crate) nodes: Vec<Node>,
    pub(crate) relay: Relay,
    directory: PathBuf,
}

impl Cluster {
    /// Starts the zones of these names and waits until all nodes see each other.
    pub(crate) async fn start(zones: &[&str]) -> Result<Self> {
        let number = CLUSTER_COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("sardinepin-cluster-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory)?;
        let tokens = directory.join("tokens");
        std::fs::write(&tokens, format!("operator {TOKEN}\n"))?;
        let settings = json!({
            "tokens_file": tokens,
            "cluster": {
                "keys": [{"number": 1, "secret": "a secret of the tests"}],
                "round_ms": 100,
                "faults": {"loss_milli": 50, "cut_file": directory.join("cut")},
            },
        });
        let service = Service {
            name: "app".to_owned(),
            paths: vec!["/".to_owned()],
            ..Service::default()
        };
        let fleet = Fleet::start(FleetOptions {
            deployment: Deployment::default().with_service(service, 1, &[zones[0]]),
            settings,
            ..FleetOptions::default()
        })
        .await?;
        let relay = Relay::start(fleet.platform.address()).await?;
        let mut cluster = Self {
            fleet,
            nodes: Vec::new(),
            relay,
            directory,
        };
        for zone in zones {
            cluster.add(Role::Entry, "entry", zone).await?;
            cluster.add(Role::Agent, "agent-1", zone).await?;
            cluster.add(Role::Agent, "agent-2", zone).await?;
        }
        cluster.wait_until_all_present().await?;
        Ok(cluster)
    }

    async fn add(&mut self, role: Role, name: &str, zone: &str) -> Result<()> {
        let seeds: Vec<String> = self.nodes.iter().map(cluster_address).collect();
        let upstream = self.fleet.upstreams[0].address().to_string();
        let mut settings = json!({
            "entry": {"listen": "127.0.0.1:0"},
            "agent": {"listen": "127.0.0.1:0", "upstream": upstream},
            "cluster": {"seeds": seeds},
        });
        if zone == CUT_ZONE {
            settings["platform"] = json!({"address": self.relay.address().to_string()});
        }
        let name = format!("{zone}-{name}");
        let node = self.fleet.start_node(role, &name, zone, settings).await?;
        self.nodes.push(node);
        Ok(())
    }

    /// Returns the indices of the nodes of a zone.
    pub(crate) fn zone_indices(&self, zone: &str) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter(|(_, node)| node.zone() == zone)
            .map(|(index, _)| index)
            .collect()
    }

    /// Cuts a zone off from all other zones and from the platform.
    pub(crate) fn cut_zone(&self, zone: &str) -> Result<()> {
        let mut lines = String::new();
        let deployed = self.fleet.agents.iter();
        let all: Vec<&Node> = self.nodes.iter().chain(deployed).collect();
        for from in &all {
            for to in &all {
                if (from.zone() == zone) != (to.zone() == zone) {
                    let line = format!("{} {}\n", cluster_address(from), cluster_address(to));
                    lines.push_str(&line);
                }
            }
        }
        std::fs::write(self.directory.join("cut"), lines)?;
        self.relay.update(|flow| flow.refuse = true);
        self.relay.close_connections();
        Ok(())
    }

    /// Restores all links.
    pub(crate) fn restore_links(&self) -> Result<()> {
        std::fs::remove_file(self.directory.join("cut"))?;
        self.relay.update(|flow| flow.refuse = false);
        Ok(())
    }

    /// Waits until every node counts all nodes as present.
    pub(crate) async fn wait_until_all_present(&self) -> Result<()> {
        let total = self.nodes.len() + self.fleet.agents.len();
        self.wait_until("all nodes see each other", async || {
            for index in 0..self.nodes.len() {
                if self.metric(index, "sardinepin_members_present").await? < total as u64 {
                    return Ok(false);
                }
            }
            Ok(true)
        })
        .await
    }

    /// Waits until `revision` or a later one is in force on the nodes with these indices.
    pub(crate) async fn wait_until_in_force(
        &self,
        indices: &[usize],
        revision: Revision,
    ) -> Result<()> {
        self.wait_until("the revision is in force on the nodes", async || {
            for index in indices {
                if self.revision(*index).await? < revision {
                    return Ok(false);
                }
            }
            Ok(true)
        })
        .await
    }

    /// Returns the indices of all nodes.
    pub(crate) fn all_indices(&self) -> Vec<usize> {
        (0..self.nodes.len()).collect()
    }

    /// Returns the revision that a node has in force.
    pub(crate) async fn revision(&self, index: usize) -> Result<Revision> {
        let revision = self.metric(index, "sardinepin_config_revision").await?;
        Ok(Revision(revision))
    }

    /// Returns the sum of a metric of a node over its labels.
    pub(crate) async fn metric(&self, index: usize, name: &str) -> Result<u64> {
        let response = self.call(index, Method::GET, "/metrics", &[], None).await?;
        let text = String::from_utf8_lossy(&response.body);
        let sum: f64 = text
            .lines()
            .filter_map(|line| line.strip_prefix(name))
            .filter(|rest| rest.starts_with(['{', ' ']))
            .filter_map(|rest| rest.rsplit(' ').next()?.parse::<f64>().ok())
            .sum();
        Ok(sum as u64)
    }

    /// Calls the administration API of a node.
    pub(crate) async fn call(
        &self,
        index: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<FullResponse> {
        let node = &self.nodes[index];
        let admin = node.admin_address().context("no administration address")?;
        let token = format!("Bearer {TOKEN}");
        let mut headers = headers.to_vec();
        headers.push(("authorization", &token));
        headers.push(("content-type", "application/json"));
        let body = body.map(Value::to_string).unwrap_or_default();
        self.fleet
            .client
            .request(method, admin, path, &headers, Bytes::from(body))
            .await
            .with_context(|| format!("{path}: {}\n{}", node.name(), node.child.recent_output()))
    }

    /// Replaces the rule list by one rule of this name, provided that the list has the revision
    /// `against`; `None` means that there must be no list.
    pub(crate) async fn put_rules(
        &self,
        index: usize,
        against: Option<Revision>,
        name: &str,
    ) -> Result<FullResponse> {
        let list = json!({"rules": [{"name": name, "then": {"class": "urgent"}}]});
        let tag = against.map(|revision| format!("\"{revision}\""));
        let condition = match &tag {
            Some(tag) => ("if-match", tag.as_str()),
            None => ("if-none-match", "*"),
        };
        self.call(index, Method::PUT, "/v1/rules", &[condition], Some(&list))
            .await
    }

    /// Replaces the current rule list, whatever it is, and returns the new revision.
    pub(crate) async fn change_rules(&self, index: usize, name: &str) -> Result<Revision> {
        let current = self.rules(index).await?;
        let revision = revision_of(&current).filter(|revision| *revision != Revision::default());
        let response = self.put_rules(index, revision, name).await?;
        ensure!(response.status.is_success(), "{}", describe(&response));
        revision_of(&response).context("the response to a write has no revision")
    }

    /// Reads the rule list.
    pub(crate) async fn rules(&self, index: usize) -> Result<FullResponse> {
        self.call(index, Method::GET, "/v1/rules", &[], None).await
    }

    /// Adds an upstream to the service `app`.
    pub(crate) async fn add_upstream(&self, index: usize, name: &str) -> Result<FullResponse> {
        let upstream = Upstream {
            name: name.to_owned(),
            service: "app".to_owned(),
            zone: "zone-a".to_owned(),
            address: "127.0.0.1:9".to_owned(),
            ..Upstream::default()
        };
        let path = format!("/v1/upstreams/{name}");
        let body = serde_json::to_value(&upstream)?;
        self.call(
            index,
            Method::PUT,
            &path,
            &[("if-none-match", "*")],
            Some(&body),
        )
        .await
    }

    /// Sets the faults that the platform injects.
    pub(crate) async fn set_platform_faults(&self, faults: Value) -> Result<()> {
        self.fleet.set_faults(&self.fleet.platform, &faults).await
    }

    /// Waits until `condition` returns true; fails with the output of all nodes after [`TIMEOUT`].
    pub(crate) async fn wait_until(
        &self,
        description: &str,
        mut condition: impl AsyncFnMut() -> Result<bool>,
    ) -> Result<()> {
        let clock = Clock::start();
        while clock.now() < TIMEOUT {
            if condition().await? {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
        bail!("timed out waiting until {description}\n{}", self.output())
    }

    fn output(&self) -> String {
        let nodes = self.nodes.iter();
        nodes
            .map(|node| format!("--- {}\n{}", node.name(), node.child.recent_output()))
            .collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // A failure to remove the directory must not fail the test.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns the revision in the entity tag of a response.
pub(crate) fn revision_of(response: &FullResponse) -> Option<Revision> {
    let tag = response.header("etag").trim_matches('"');
    tag.parse().ok().map(Revision)
}

/// Returns the status and the body of a response, for failure messages.
pub(crate) fn describe(response: &FullResponse) -> String {
    let body = String::from_utf8_lossy(&response.body);
    format!("{}: {body}", response.status)
}

fn cluster_address(node: &Node) -> String {
    node.cluster_address()
        .map(|address| address.to_string())
        .unwrap_or_default()
}
