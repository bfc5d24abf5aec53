//! The links to the agents of all upstreams, kept in step with the configuration.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use sardinepin_common::Map;
use sardinepin_config::Snapshot;
use sardinepin_decisions::{Event, ServiceInfo, UpstreamId, UpstreamInfo};
use sardinepin_protocol::UpstreamState;
use tokio::sync::watch;

use crate::entry::core::Core;
use crate::entry::directory::Directory;
use crate::entry::uplink::{Sight, Uplink};
use crate::link::Identity;

/// The links of an entry.
#[derive(Debug, Clone)]
pub(crate) struct Links {
    open: Arc<RwLock<Map<UpstreamId, Uplink>>>,
}

impl Links {
    /// Starts following the configuration.
    pub(crate) fn start(
        identity: Identity,
        core: Core,
        snapshot: watch::Receiver<Arc<Snapshot>>,
    ) -> Self {
        let links = Self {
            open: Arc::default(),
        };
        let keeper = Keeper {
            links: links.clone(),
            directory: Directory::default(),
            identity,
            core,
        };
        tokio::spawn(keeper.run(snapshot));
        links
    }

    /// Returns what the link to an upstream's agent shows, by the upstream's name.
    pub(crate) fn sight(&self, name: &str) -> Option<Sight> {
        let open = self.open.read().unwrap_or_else(PoisonError::into_inner);
        open.values()
            .find(|link| link.name() == name)
            .map(Uplink::sight)
    }

    /// Returns the link to an upstream's agent.
    pub(crate) fn get(&self, upstream: UpstreamId) -> Option<Uplink> {
        let open = self.open.read().unwrap_or_else(PoisonError::into_inner);
        open.get(&upstream).cloned()
    }
}

/// Opens and closes links as the configuration changes.
#[derive(Debug)]
struct Keeper {
    links: Links,
    directory: Directory,
    identity: Identity,
    core: Core,
}

impl Keeper {
    async fn run(mut self, mut snapshots: watch::Receiver<Arc<Snapshot>>) {
        loop {
            let snapshot = Arc::clone(&snapshots.borrow_and_update());
            self.apply(&snapshot);
            if snapshots.changed().await.is_err() {
                return;
            }
        }
    }

    fn apply(&mut self, snapshot: &Snapshot) {
        let infos = self.directory.infos(snapshot);
        // The balancer learns of an upstream before its link can come up.
        self.core.tell(Event::Upstreams(infos.clone()));
        self.core.tell(Event::Services(services(snapshot)));
        let mut open = self
            .links
            .open
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let mut wanted: Map<UpstreamId, (SocketAddr, Arc<str>)> = Map::default();
        for info in &infos {
            if let Some(address) = address_of(snapshot, info) {
                wanted.insert(info.id, (address, Arc::clone(&info.name)));
            }
        }
        open.retain(|id, link| {
            let keep = wanted
                .get(id)
                .is_some_and(|(address, _)| *address == link.address());
            if !keep {
                link.close_when_idle();
            }
            keep
        });
        for (id, (address, name)) in wanted {
            open.entry(id).or_insert_with(|| {
                Uplink::start(id, &name, address, self.identity.clone(), self.core.clone())
            });
        }
    }
}

/// Returns the address of an upstream's agent; one that is retired is not linked.
fn address_of(snapshot: &Snapshot, info: &UpstreamInfo) -> Option<SocketAddr> {
    if info.state == UpstreamState::Retired {
        return None;
    }
    snapshot.upstream(&info.name)?.address.parse().ok()
}

fn services(snapshot: &Snapshot) -> Vec<ServiceInfo> {
    snapshot
        .services()
        .map(|service| ServiceInfo {
            name: Arc::from(service.name.as_str()),
            retry_milli: service.retry_milli,
        })
        .collect()
}
