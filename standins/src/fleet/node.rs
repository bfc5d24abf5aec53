//! An entry or agent process with its settings file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::Result;
use bytes::Bytes;
use hyper::Method;
use sardinepin_common::Millis;
use sardinepin_protocol::Role;
use serde_json::{Value, json};

use super::child::ChildProcess;
use crate::http::HttpClient;

/// An entry or an agent.
#[derive(Debug)]
pub struct Node {
    /// The process.
    pub child: ChildProcess,
    name: String,
    zone: String,
    role: Role,
    binary: PathBuf,
    settings_file: PathBuf,
    settings: Value,
}

impl Node {
    /// Writes the settings file, in which later layers override earlier ones, and starts the
    /// process.
    pub(super) async fn start(
        binary: &Path,
        role: Role,
        name: &str,
        zone: &str,
        settings_file: &Path,
        layers: &[&Value],
    ) -> Result<Self> {
        let mut settings = json!({
            "name": name,
            "zone": zone,
            "admin_listen": "127.0.0.1:0",
            "cluster": {"listen": "127.0.0.1:0"},
        });
        for layer in layers {
            merge(&mut settings, layer);
        }
        write_settings(settings_file, &settings)?;
        let child = ChildProcess::start(binary, &arguments(role, settings_file)).await?;
        let mut node = Self {
            child,
            name: name.to_owned(),
            zone: zone.to_owned(),
            role,
            binary: binary.to_path_buf(),
            settings_file: settings_file.to_path_buf(),
            settings,
        };
        node.pin_addresses();
        Ok(node)
    }

    /// Returns the name of the node, as in its settings.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the availability zone in the settings of the node.
    #[must_use]
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// Returns whether the node is an entry or an agent.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the address that an entry listens on for callers, or an agent for links from
    /// entries.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.child.address()
    }

    /// Returns the address of the administration API, or `None` if the process reported none.
    #[must_use]
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.child.named_address("admin")
    }

    /// Returns the address for datagrams and fetches of other nodes, or `None` if the process
    /// reported none.
    #[must_use]
    pub fn cluster_address(&self) -> Option<SocketAddr> {
        self.child.named_address("cluster")
    }

    /// Kills the process if it is running, and starts it again at the same addresses.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn restart(&mut self) -> Result<()> {
        self.child.kill().await?;
        write_settings(&self.settings_file, &self.settings)?;
        let arguments = arguments(self.role, &self.settings_file);
        self.child = ChildProcess::start_with_retries(&self.binary, &arguments).await?;
        Ok(())
    }

    /// Waits until `/readyz` returns status 2xx; returns at once without an administration address.
    pub(super) async fn wait_ready(&self, client: &HttpClient, poll: Millis) {
        let Some(admin) = self.admin_address() else {
            return;
        };
        loop {
            let request = client.request(Method::GET, admin, "/readyz", &[], Bytes::new());
            if request.await.is_ok_and(|answer| answer.status.is_success()) {
                return;
            }
            tokio::time::sleep(poll.duration()).await;
        }
    }

    /// Writes the ports that the process was assigned into its settings, for the next start.
    fn pin_addresses(&mut self) {
        let role = match self.role {
            Role::Entry => "entry",
            Role::Agent => "agent",
        };
        let listen = |address: SocketAddr| json!({"listen": address.to_string()});
        let mut pinned = json!({role: listen(self.address())});
        if let Some(admin) = self.admin_address() {
            pinned["admin_listen"] = admin.to_string().into();
        }
        if let Some(cluster) = self.cluster_address() {
            pinned["cluster"] = listen(cluster);
        }
        merge(&mut self.settings, &pinned);
    }
}

fn arguments(role: Role, settings_file: &Path) -> Vec<String> {
    let role = match role {
        Role::Entry => "entry",
        Role::Agent => "agent",
    };
    let file = settings_file.display().to_string();
    vec![role.to_owned(), "--config".to_owned(), file]
}

fn write_settings(settings_file: &Path, settings: &Value) -> Result<()> {
    Ok(std::fs::write(
        settings_file,
        serde_yaml_ng::to_string(settings)?,
    )?)
}

/// Merges `layer` into `base` recursively; `Null` in `layer` overrides nothing.
fn merge(base: &mut Value, layer: &Value) {
    match (base, layer) {
        (Value::Object(base), Value::Object(layer)) => {
            for (name, value) in layer {
                merge(base.entry(name.clone()).or_insert(Value::Null), value);
            }
        }
        (_, Value::Null) => {}
        (base, layer) => *base = layer.clone(),
    }
}
