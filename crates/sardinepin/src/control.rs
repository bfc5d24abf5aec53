//! Configuration and membership of this node: what it holds, from whom, and who else is there.

mod border;
mod datagrams;
mod fetch;
mod hub;
mod operations;
mod readiness;
mod settings;
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

use border::Border;
use hub::Hub;

pub use operations::{AcceptedChange, ChangeError, UpstreamEdit};
pub use settings::ControlSettings;

/// How many times a listener is bound when its port is taken for one of the two transports.
const BIND_TRIES: usize = 16;

/// The time between two looks at whether a change is in force everywhere.
const POLL: Millis = Millis(250);

/// This node's part in configuration and membership.
#[derive(Debug)]
pub struct Control {
    hub: Arc<Hub>,
    /// The tasks end with this.
    _tasks: JoinSet<()>,
}

/// What every reachable node says of the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipView {
    /// The node whose view this is.
    pub name: String,
    /// How it sees every node; none if it could not be asked.
    pub rows: Option<Vec<MemberView>>,
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
        let border = Arc::new(Border::new(&settings.cluster.faults, incarnation));
        // Before the first datagram: a node that starts while it is cut off is cut off at once.
        border.reload().await;
        let alone = settings.cluster.keys.is_empty();
        if alone {
            log::warn!(event = "no_cluster_keys"; "this node speaks to no others");
        }
        let sockets = if alone {
            None
        } else {
            Some(bind(&settings).await?)
        };
        let (udp, tcp) = sockets.unzip();
        let hub = Arc::new(Hub::new(
            settings,
            store,
            clock,
            incarnation,
            border,
            udp.map(Arc::new),
        )?);
        if let Some(listener) = tcp {
            tasks.spawn(datagrams::receive(Arc::clone(&hub)));
            tasks.spawn(fetch::serve(Arc::clone(&hub), listener));
        }
        tasks.spawn(datagrams::rounds(Arc::clone(&hub)));
        tasks.spawn(watcher::follow(Arc::clone(&hub)));
        tasks.spawn(readiness::read_platform(Arc::clone(&hub)));
        tasks.spawn(readiness::settle(Arc::clone(&hub)));
        Ok(Self { hub, _tasks: tasks })
    }

    /// Returns the configuration in force, as it changes; its revision never goes down.
    #[must_use]
    pub fn snapshots(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.hub.snapshots()
    }

    /// Returns whether this node's configuration may be relied on, as it changes.
    ///
    /// It is ready once it holds the platform's revision or, with the platform out, the highest
    /// that its reachable peers hold.
    #[must_use]
    pub fn readiness(&self) -> watch::Receiver<bool> {
        self.hub.ready()
    }

    /// Returns how this node sees every node, itself included, by name.
    #[must_use]
    pub fn members(&self) -> Vec<MemberView> {
        self.hub.rows()
    }

    /// Returns the platform's store, if there is one.
    #[must_use]
    pub fn store(&self) -> Option<&Arc<dyn Store>> {
        self.hub.store()
    }

    /// Asks every node that is there how it sees the others, to learn who is cut off from whom.
    pub async fn membership_views(&self) -> Vec<MembershipView> {
        let mut asked = JoinSet::new();
        for row in self.members() {
            let hub = Arc::clone(&self.hub);
            asked.spawn(async move {
                let rows = match row.link {
                    None => Some(hub.rows()),
                    Some(_) => fetch::view(&hub, row.address).await.ok(),
                };
                MembershipView {
                    name: row.name,
                    rows,
                }
            });
        }
        let mut views = asked.join_all().await;
        views.sort_by(|a, b| a.name.cmp(&b.name));
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
        watcher::read_instances(&self.hub).await;
        let start = self.hub.now();
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
            if self.hub.now().since(start) >= limit {
                return Err(lagging);
            }
            self.hub.input(Input::PollRevision(revision));
            tokio::time::sleep(POLL.duration()).await;
        }
    }

    /// Tells the others that this node is leaving; it is not ready any more.
    pub fn leave(&self) {
        self.hub.leave();
    }
}

/// Binds UDP and TCP on the same port.
async fn bind(settings: &ControlSettings) -> anyhow::Result<(UdpSocket, TcpListener)> {
    let wanted = settings.cluster.listen;
    let mut tries = if wanted.port() == 0 { BIND_TRIES } else { 1 };
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
