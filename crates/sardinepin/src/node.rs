//! What entries and agents have in common: identity, cluster membership and administration API.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use anyhow::Context;
use sardinepin_common::{Clock, Millis};
use sardinepin_membership::MemberView;
use sardinepin_protocol::Role;
use sardinepin_runtime::{PauseWatch, listen};
use sardinepin_store::{HttpSettings, HttpStore, Store};

use crate::admin::{self, AdminServer, Backend, Health};
use crate::control::{Control, ControlSettings};
use crate::link::Identity;
use crate::options::{PlatformSettings, Settings};
use crate::telemetry::Telemetry;

/// A process that is a member of the cluster.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) identity: Identity,
    pub(crate) clock: Clock,
    /// The platform's store; `None` if no platform address is set.
    pub(crate) store: Option<Arc<dyn Store>>,
    pub(crate) control: Arc<Control>,
    pub(crate) pauses: Arc<PauseWatch>,
    admin_listen: SocketAddr,
    tokens_file: Option<PathBuf>,
}

impl Node {
    /// Creates an identity and joins the cluster.
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
            pauses: PauseWatch::start(),
            admin_listen: settings.admin_listen,
            tokens_file: settings.tokens_file.clone(),
        })
    }

    /// Starts serving the administration API and returns its address.
    pub(crate) async fn serve_admin(
        &self,
        health: Arc<dyn Health>,
        backend: Option<Arc<dyn Backend>>,
    ) -> anyhow::Result<SocketAddr> {
        let listener = listen(self.admin_listen)
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

    /// Returns the address for datagrams and fetches; empty if this node is not listed as a member.
    pub(crate) fn cluster_address(&self) -> String {
        let is_self = |member: &MemberView| member.reachability.is_none();
        let own = self.control.members().into_iter().find(is_self);
        own.map(|member| member.address.to_string())
            .unwrap_or_default()
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
