//! What every role starts with: its identity, its part in the cluster and its administration API.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use anyhow::Context;
use sardinepin_common::{Clock, Millis};
use sardinepin_membership::MemberView;
use sardinepin_protocol::Role;
use sardinepin_store::{HttpSettings, HttpStore, Store};
use tokio::net::TcpListener;

use crate::admin::{self, AdminServer, Backend, Health};
use crate::control::{Control, ControlSettings};
use crate::link::Identity;
use crate::options::{PlatformSettings, Settings};
use crate::telemetry::Telemetry;

/// One process of the system.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) identity: Identity,
    pub(crate) clock: Clock,
    pub(crate) store: Option<Arc<dyn Store>>,
    pub(crate) control: Arc<Control>,
    admin_listen: SocketAddr,
    tokens_file: Option<PathBuf>,
}

impl Node {
    /// Draws an identity and takes part in the cluster.
    pub(crate) async fn start(settings: &Settings, role: Role) -> anyhow::Result<Self> {
        let identity = Identity::new(role, &settings.name, &settings.zone);
        let clock = Clock::start();
        let store = store(&settings.platform);
        let control = Control::start(
            ControlSettings::new(settings, role),
            store.clone(),
            clock,
            identity.incarnation,
        )
        .await?;
        Ok(Self {
            identity,
            clock,
            store,
            control: Arc::new(control),
            admin_listen: settings.admin_listen,
            tokens_file: settings.tokens_file.clone(),
        })
    }

    /// Serves the administration API and returns where.
    pub(crate) async fn serve_admin(
        &self,
        health: Arc<dyn Health>,
        backend: Option<Arc<dyn Backend>>,
    ) -> anyhow::Result<SocketAddr> {
        let listener = TcpListener::bind(self.admin_listen)
            .await
            .with_context(|| format!("admin_listen: cannot listen on {}", self.admin_listen))?;
        let address = listener.local_addr()?;
        let admin = AdminServer {
            health,
            backend,
            tokens_file: self.tokens_file.clone(),
            telemetry: Telemetry::install()?,
        };
        tokio::spawn(admin::serve(listener, admin));
        Ok(address)
    }

    /// Returns where this node takes datagrams and fetches, if it does.
    pub(crate) fn cluster_address(&self) -> String {
        let own = |row: &MemberView| row.link.is_none();
        let row = self.control.members().into_iter().find(own);
        row.map(|row| row.address.to_string()).unwrap_or_default()
    }
}

fn store(settings: &PlatformSettings) -> Option<Arc<dyn Store>> {
    let store = HttpStore::new(HttpSettings {
        address: settings.address?,
        timeout: Millis(settings.timeout_ms),
        ..HttpSettings::default()
    });
    Some(Arc::new(store))
}
