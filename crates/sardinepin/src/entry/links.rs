//! The links to the agents of all upstreams that the configuration lists.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use sardinepin_common::Map;
use sardinepin_config::Snapshot;
use sardinepin_decisions::{Event, ServiceInfo, UpstreamId, UpstreamInfo};
use sardinepin_protocol::UpstreamState;
use tokio::sync::watch;

use crate::entry::agent_link::{AgentLink, LinkStatus};
use crate::entry::balancer::BalancerHandle;
use crate::entry::evacuations::EvacuationLog;
use crate::entry::upstream_ids::UpstreamIds;
use crate::link::Identity;

/// The links of an entry, one for each upstream that is not retired.
#[derive(Debug, Clone)]
pub(crate) struct Links {
    by_upstream: Arc<RwLock<Map<UpstreamId, AgentLink>>>,
}

impl Links {
    /// Starts a task that opens and closes links as the configuration changes.
    pub(crate) fn start(
        identity: Identity,
        balancer: BalancerHandle,
        snapshot: watch::Receiver<Arc<Snapshot>>,
    ) -> Self {
        let links = Self {
            by_upstream: Arc::default(),
        };
        let manager = LinkManager {
            links: links.clone(),
            upstream_ids: UpstreamIds::default(),
            evacuations: EvacuationLog::default(),
            identity,
            balancer,
        };
        tokio::spawn(manager.run(snapshot));
        links
    }

    /// Returns the status of the link to the named upstream's agent; `None` if there is no link.
    pub(crate) fn status(&self, name: &str) -> Option<LinkStatus> {
        let links = self
            .by_upstream
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        links
            .values()
            .find(|link| link.name() == name)
            .map(AgentLink::status)
    }

    /// Returns the link to an upstream's agent; `None` if there is no link.
    pub(crate) fn get(&self, upstream: UpstreamId) -> Option<AgentLink> {
        let links = self
            .by_upstream
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        links.get(&upstream).cloned()
    }
}

/// Opens and closes links as the configuration changes.
#[derive(Debug)]
struct LinkManager {
    links: Links,
    upstream_ids: UpstreamIds,
    evacuations: EvacuationLog,
    identity: Identity,
    balancer: BalancerHandle,
}

impl LinkManager {
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
        self.evacuations.record(snapshot);
        let infos = self.upstream_ids.infos(snapshot);
        // The balancer must know an upstream before its link comes up.
        self.balancer.notify(Event::Upstreams(infos.clone()));
        self.balancer.notify(Event::Services(services(snapshot)));
        let mut links = self
            .links
            .by_upstream
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let mut wanted: Map<UpstreamId, (SocketAddr, Arc<str>)> = Map::default();
        for info in &infos {
            if let Some(address) = address_of(snapshot, info) {
                wanted.insert(info.id, (address, Arc::clone(&info.name)));
            }
        }
        links.retain(|id, link| {
            let unchanged = wanted
                .get(id)
                .is_some_and(|(address, _)| *address == link.address());
            if !unchanged {
                link.close_when_idle();
            }
            unchanged
        });
        for (id, (address, name)) in wanted {
            links.entry(id).or_insert_with(|| {
                AgentLink::start(
                    id,
                    &name,
                    address,
                    self.identity.clone(),
                    self.balancer.clone(),
                )
            });
        }
    }
}

/// Returns the address of an upstream's agent; `None` if the upstream is retired, because it needs
/// no link, or if the address is invalid.
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
