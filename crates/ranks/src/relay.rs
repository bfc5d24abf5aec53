//! Calls of a coordinator that reach many members through a few of them.
//!
//! A coordinator has one link of an instance for a group of any size. Beyond a few dozen members it calls only some, each of which
//! passes the call on to its neighbours and returns all replies in one; counts are summed on the way. What a coordinator sends and
//! receives then grows with the square root of the group.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use futures_util::future::join_all;
use sardinepin_common::{Map, Millis};
use serde::{Deserialize, Serialize};

use crate::agent::Agent;
use crate::counts::{CountIncrements, sum_counts};
use crate::engine::{EngineOrder, EngineReply, Member};
use crate::messages::{Call, EngineView, Look, Reply};
use crate::peer::PeerClient;

/// How long a member that passes a call on may take: its own calls, and the way back.
pub(crate) const RELAY_TIMEOUT: Millis = Millis(450);

/// An order for the engine of another member, with the same action as that for the agent that passes it on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedOrder {
    /// The address of the member's agent.
    pub agent: SocketAddr,
    /// How many times the group had formed when the member reported.
    pub epoch: u64,
    /// The sequence number that the engine must have.
    pub sequence: Option<u64>,
}

/// The views of several members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupViews {
    /// The view of the member that was called and of each that it called, without counts; `None` where none came.
    pub views: Vec<Option<EngineView>>,
    /// The sum of the counts of these members; `None` if none were read.
    pub counts: Option<CountIncrements>,
}

/// Members that are called through one of them.
#[derive(Debug)]
pub(crate) struct Neighbourhood {
    /// The indices of the members.
    members: Vec<usize>,
    /// The position of the member that passes calls on.
    relay: AtomicUsize,
}

impl Neighbourhood {
    fn new(members: Vec<usize>) -> Self {
        Self {
            members,
            relay: AtomicUsize::new(0),
        }
    }

    /// Returns the members, the one that passes calls on first; `first` goes before it if it is among them.
    pub(crate) fn members(&self, first: Option<usize>) -> Vec<usize> {
        let chosen = self.relay.load(Ordering::Relaxed);
        let own = first.and_then(|first| self.members.iter().position(|index| *index == first));
        let mut members = self.members.clone();
        members.rotate_left(own.unwrap_or(chosen) % self.members.len().max(1));
        members
    }

    /// Has another member pass calls on, as the last one did not reply.
    pub(crate) fn change_relay(&self) {
        self.relay.fetch_add(1, Ordering::Relaxed);
    }
}

/// Divides members into neighbourhoods: of one member each if there are at most `direct_max`.
///
/// Members of a zone stay together, as far as the sizes allow, so that few bytes leave their zone.
pub(crate) fn neighbourhoods(members: &[&Member], direct_max: usize) -> Vec<Neighbourhood> {
    let mut order: Vec<usize> = (0..members.len()).collect();
    let mut size = 1;
    if members.len() > direct_max {
        size = (members.len() as f64).sqrt().ceil() as usize;
        order.sort_by_key(|index| (&members[*index].zone, members[*index].rank));
    }
    let sets = order.chunks(size).map(<[usize]>::to_vec);
    sets.map(Neighbourhood::new).collect()
}

/// The clients of the members to which an agent passes calls on.
#[derive(Debug, Default)]
pub(crate) struct Neighbours(Map<SocketAddr, Arc<PeerClient>>);

impl Neighbours {
    /// Returns the clients of these agents, and forgets all others.
    fn clients(&mut self, agents: impl Iterator<Item = SocketAddr>) -> Vec<Arc<PeerClient>> {
        let mut known = std::mem::take(&mut self.0);
        let clients = agents.map(|agent| {
            let client = known.remove(&agent);
            let client = client.unwrap_or_else(|| Arc::new(PeerClient::new(agent)));
            self.0.insert(agent, Arc::clone(&client));
            client
        });
        clients.collect()
    }
}

impl Agent {
    fn neighbour_clients(&self, agents: impl Iterator<Item = SocketAddr>) -> Vec<Arc<PeerClient>> {
        self.neighbours().clients(agents)
    }

    /// Polls the own engine and the agents of other members.
    pub(crate) async fn look_at_all(&self, look: &Look, others: &[SocketAddr]) -> GroupViews {
        let clients = self.neighbour_clients(others.iter().copied());
        let call = Call::Look(look.clone());
        let calls = clients
            .iter()
            .map(async |client| match client.call(&call).await {
                Some(Reply::View(view)) => Some(*view),
                _ => None,
            });
        let (own, mut views) = tokio::join!(self.view(look.scope), join_all(calls));
        views.insert(0, own);
        let counts = views.iter_mut().flatten();
        let counts = sum_counts(counts.filter_map(|view| view.counts.take()));
        GroupViews { views, counts }
    }

    /// Sends an order to the own engine, and the same action to those of other members.
    pub(crate) async fn order_all(
        &self,
        order: &EngineOrder,
        others: &[PassedOrder],
    ) -> Vec<Option<EngineReply>> {
        let clients = self.neighbour_clients(others.iter().map(|passed| passed.agent));
        let calls = clients.iter().zip(others).map(async |(client, passed)| {
            let order = EngineOrder {
                epoch: passed.epoch,
                sequence: passed.sequence,
                ..order.clone()
            };
            match client.call(&Call::Order(order)).await {
                Some(Reply::Order(reply)) => Some(reply),
                _ => None,
            }
        });
        let (own, mut replies) = tokio::join!(self.order(order), join_all(calls));
        replies.insert(0, own);
        replies
    }
}
