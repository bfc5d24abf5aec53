//! Configuration and membership of this node: what it holds, from whom, and who else is there.

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
use sardinepin_store::Store;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;

use fault_injection::FaultInjector;
use state::ControlState;

pub use operations::{AcceptedChange, ChangeError, UpstreamEdit};
pub use settings::ControlSettings;

/// How many times a listener is bound when its port is taken for one of the two transports.
const BIND_TRIES_MAX: usize = 16;

/// The time between two looks at whether a change is in force everywhere.
const POLL_INTERVAL: Millis = Millis(250);

/// This node's part in configuration and membership.
#[derive(Debug)]
pub struct Control {
    state: Arc<ControlState>,
    /// The tasks end with this.
    _tasks: JoinSet<()>,
}

/// What every reachable node says of the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipView {
    /// The node whose view this is.
    pub node: String,
    /// How it sees every node; none if it could not be queries.
    pub members: Option<Vec<MemberView>>,
}

impl Control {
    /// Starts listening, exchanging datagrams and following the platform.
    ///
    /// Without keys for datagrams, the node keeps to itself and does not listen.
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
        let faults = Arc::new(FaultInjector::new(&settings.cluster.faults, incarnation));
        // Before the first datagram: a node that starts while it is cut off is cut off at once.
        faults.reload_cut_links().await;
        let isolated = settings.cluster.keys.is_empty();
        if isolated {
            log::warn!(event = "no_cluster_keys"; "this node speaks to no others");
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
            faults,
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

    /// Returns the configuration in force, as it changes; its revision never goes down.
    #[must_use]
    pub fn snapshots(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.state.snapshots()
    }

    /// Returns whether this node's configuration may be relied on, as it changes.
    ///
    /// It is ready once it holds the platform's revision or, with the platform out, the highest
    /// that its reachable peers hold.
    #[must_use]
    pub fn readiness(&self) -> watch::Receiver<bool> {
        self.state.readiness()
    }

    /// Returns how this node sees every node, itself included, by name.
    #[must_use]
    pub fn members(&self) -> Vec<MemberView> {
        self.state.member_views()
    }

    /// Returns the platform's store, if there is one.
    #[must_use]
    pub fn store(&self) -> Option<&Arc<dyn Store>> {
        self.state.store()
    }

    /// Asks every node that is there how it sees the others, to learn who is cut off from whom.
    pub async fn membership_views(&self) -> Vec<MembershipView> {
        let mut queries = JoinSet::new();
        for row in self.members() {
            let state = Arc::clone(&self.state);
            queries.spawn(async move {
                let members = match row.link {
                    None => Some(state.member_views()),
                    Some(_) => fetch::fetch_view(&state, row.address).await.ok(),
                };
                MembershipView {
                    node: row.name,
                    members,
                }
            });
        }
        let mut views = queries.join_all().await;
        views.sort_by(|a, b| a.node.cmp(&b.node));
        views
    }

    /// Waits until every live node reports `revision`, at most for `limit`.
    ///
    /// # Errors
    ///
    /// Returns the nodes that lag when the time is over, those among them that the platform lists
    /// as live but nobody hears.
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
                .filter(|row| row.revision.is_none_or(|held| held < revision))
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

    /// Tells the others that this node is leaving; it is not ready any more.
    pub fn leave(&self) {
        self.state.leave();
    }
}

/// Binds UDP and TCP on the same port.
async fn bind(settings: &ControlSettings) -> anyhow::Result<(UdpSocket, TcpListener)> {
    let wanted = settings.cluster.listen;
    let mut tries = if wanted.port() == 0 {
        BIND_TRIES_MAX
    } else {
        1
    };
    loop {
        tries -= 1;
        let tcp = TcpListener::bind(wanted).await;
        let both = match tcp {
            Ok(tcp) => match UdpSocket::bind(tcp.local_addr()?).await {
                Ok(udp) => Ok((udp, tcp)),
                Err(error) => Err(error),
            },
            Err(error) => Err(error),
        };
        match both {
            Ok(sockets) => return Ok(sockets),
            Err(_) if tries > 0 => {}
            Err(error) => {
                return Err(error)
                    .with_context(|| format!("cluster.listen: cannot listen on {wanted}"));
            }
        }
    }
}
