//! The control plane of a node: cluster membership and the replicated configuration.

mod datagrams;
mod fault_injection;
mod fetch;
mod operations;
mod readiness;
mod settings;
mod state;
mod watcher;

use std::sync::Arc;

use anyhow::Context;
use sardinepin_common::{Clock, Incarnation, Millis, Revision};
use sardinepin_config::Snapshot;
use sardinepin_membership::{Input, MemberView};
use sardinepin_runtime::bind_when_free;
use sardinepin_store::Store;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;

use fault_injection::FaultInjector;
use state::ControlState;

pub use operations::{AcceptedChange, ChangeError, UpstreamEdit};
pub use settings::ControlSettings;

/// The interval at which [`Control::wait_in_force`] checks the other nodes.
const POLL_INTERVAL: Millis = Millis(250);

/// The running control plane of this node; dropping it stops its tasks.
#[derive(Debug)]
pub struct Control {
    state: Arc<ControlState>,
    /// Aborts the tasks on drop.
    _tasks: JoinSet<()>,
}

/// The cluster membership as one node sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipView {
    /// The name of the node whose view this is.
    pub node: String,
    /// How this node sees every node, itself included; `None` if it could not be reached.
    pub members: Option<Vec<MemberView>>,
}

impl Control {
    /// Starts to listen, to exchange datagrams and to follow the platform.
    ///
    /// Without datagram keys, the node does not listen and exchanges nothing with other nodes.
    ///
    /// # Errors
    ///
    /// Returns an error if the listening address cannot be bound.
    pub async fn start(
        settings: ControlSettings,
        store: Option<Arc<dyn Store>>,
        clock: Clock,
        incarnation: Incarnation,
    ) -> anyhow::Result<Self> {
        let mut tasks = JoinSet::new();
        let fault_injector = Arc::new(FaultInjector::new(&settings.cluster.faults, incarnation));
        // Loaded before the first datagram, so that a node that starts during a cut is cut off at
        // once.
        fault_injector.reload_cut_links().await;
        let isolated = settings.cluster.keys.is_empty();
        if isolated {
            log::warn!(event = "no_cluster_keys"; "no datagram keys configured; running without other nodes");
        }
        let sockets = if isolated {
            None
        } else {
            Some(bind(&settings).await?)
        };
        let (udp, tcp) = sockets.unzip();
        let state = Arc::new(ControlState::new(
            settings,
            store,
            clock,
            incarnation,
            fault_injector,
            udp.map(Arc::new),
        )?);
        if let Some(listener) = tcp {
            tasks.spawn(datagrams::receive(Arc::clone(&state)));
            tasks.spawn(fetch::serve(Arc::clone(&state), listener));
        }
        tasks.spawn(datagrams::run_rounds(Arc::clone(&state)));
        tasks.spawn(watcher::run(Arc::clone(&state)));
        tasks.spawn(readiness::read_platform(Arc::clone(&state)));
        tasks.spawn(readiness::wait_until_ready(Arc::clone(&state)));
        Ok(Self {
            state,
            _tasks: tasks,
        })
    }

    /// Returns a receiver of the configuration in force; its revision never decreases.
    #[must_use]
    pub fn snapshots(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.state.snapshots()
    }

    /// Returns a receiver of whether this node is ready, that is, whether its configuration is
    /// current.
    ///
    /// A node becomes ready once it holds the platform's revision or, if the platform is
    /// unavailable, the highest revision among its reachable peers.
    #[must_use]
    pub fn readiness(&self) -> watch::Receiver<bool> {
        self.state.readiness()
    }

    /// Returns how this node sees every node, itself included, ordered by name.
    #[must_use]
    pub fn members(&self) -> Vec<MemberView> {
        self.state.member_views()
    }

    /// Returns the platform's store; `None` if no platform is configured.
    #[must_use]
    pub fn store(&self) -> Option<&Arc<dyn Store>> {
        self.state.store()
    }

    /// Queries every known node for its view of the cluster, to show which nodes cannot reach
    /// which.
    pub async fn membership_views(&self) -> Vec<MembershipView> {
        let mut queries = JoinSet::new();
        for member in self.members() {
            let state = Arc::clone(&self.state);
            queries.spawn(async move {
                let members = match member.reachability {
                    None => Some(state.member_views()),
                    Some(_) => fetch::fetch_view(&state, member.address).await.ok(),
                };
                MembershipView {
                    node: member.name,
                    members,
                }
            });
        }
        let mut views = queries.join_all().await;
        views.sort_by(|a, b| a.node.cmp(&b.node));
        views
    }

    /// Waits until every live node reports `revision` or a later one, at most for `limit`.
    ///
    /// # Errors
    ///
    /// Returns the nodes that still lag after `limit`, including those that the platform lists as
    /// live but no node has heard from.
    pub async fn wait_in_force(
        &self,
        revision: Revision,
        limit: Millis,
    ) -> Result<(), Vec<MemberView>> {
        watcher::read_instances(&self.state).await;
        let start = self.state.now();
        loop {
            let lagging: Vec<MemberView> = self
                .members()
                .into_iter()
                .filter(MemberView::must_confirm)
                .filter(|member| member.revision.is_none_or(|reported| reported < revision))
                .collect();
            if lagging.is_empty() {
                return Ok(());
            }
            if self.state.now().since(start) >= limit {
                return Err(lagging);
            }
            self.state.handle(Input::PollRevision(revision));
            tokio::time::sleep(POLL_INTERVAL.duration()).await;
        }
    }

    /// Announces that this node is leaving; it is not ready from here on.
    pub fn leave(&self) {
        self.state.leave();
    }
}

/// Binds UDP and TCP to the same port, as soon as both are free.
async fn bind(settings: &ControlSettings) -> anyhow::Result<(UdpSocket, TcpListener)> {
    let address = settings.cluster.listen;
    let bound = bind_when_free(address, || async move {
        let tcp = TcpListener::bind(address).await?;
        let udp = UdpSocket::bind(tcp.local_addr()?).await?;
        Ok((udp, tcp))
    });
    bound
        .await
        .with_context(|| format!("cluster.listen: cannot listen on {address}"))
}
