//! Links to the other members of a rank group, opened on the first message.

use std::net::SocketAddr;

use sardinepin_common::{Map, Millis};
use sardinepin_config::{Group, Snapshot};
use sardinepin_groups::{GroupMessage, RankId};
use sardinepin_protocol::{ToAgent, ToEntry, encode};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::link::{self, Identity, Link};

/// The maximum number of messages queued for a link; further ones are dropped, since the state
/// machines send again.
const QUEUE_MAX: usize = 64;

/// How long a link without messages stays open.
const IDLE_TIMEOUT: Millis = Millis(10_000);

/// The addresses of the members of a rank group and the open links to them.
#[derive(Debug)]
pub(super) struct Peers {
    identity: Identity,
    group: String,
    addresses: Map<RankId, SocketAddr>,
    links: Map<RankId, mpsc::Sender<ToAgent>>,
}

impl Peers {
    /// Creates an empty set of members.
    pub(super) fn new(identity: Identity) -> Self {
        Self {
            identity,
            group: String::new(),
            addresses: Map::default(),
            links: Map::default(),
        }
    }

    /// Updates the addresses of the members; drops the link of a member whose address has changed.
    pub(super) fn update(&mut self, group: &Group, snapshot: &Snapshot) {
        self.group.clone_from(&group.name);
        for (number, name) in (0..).zip(&group.ranks) {
            let address = snapshot
                .upstream(name)
                .and_then(|upstream| upstream.address.parse().ok());
            let rank = RankId(number);
            if address != self.addresses.get(&rank).copied() {
                self.links.remove(&rank);
            }
            match address {
                Some(address) => self.addresses.insert(rank, address),
                None => self.addresses.remove(&rank),
            };
        }
    }

    /// Queues a message; it is lost if the member cannot be reached or the queue is full.
    pub(super) fn send(&mut self, to: RankId, message: &GroupMessage) {
        let Ok(payload) = encode(message) else { return };
        let frame = ToAgent::Group {
            group: self.group.clone(),
            payload,
        };
        let Some(address) = self.addresses.get(&to).copied() else {
            return;
        };
        let open = self.links.get(&to).filter(|link| !link.is_closed());
        let link = match open {
            Some(link) => link.clone(),
            None => {
                let (sender, queue) = mpsc::channel(QUEUE_MAX);
                tokio::spawn(run_link(address, self.identity.clone(), queue));
                self.links.insert(to, sender.clone());
                sender
            }
        };
        let _ = link.try_send(frame);
    }
}

/// Connects once and writes messages until the link closes or has been idle for [`IDLE_TIMEOUT`].
async fn run_link(address: SocketAddr, identity: Identity, mut queue: mpsc::Receiver<ToAgent>) {
    match link::connect(address, &identity).await {
        Ok(link) => write_messages(link, &mut queue).await,
        Err(error) => {
            log::debug!(event = "peer_unreached", address:% = address, error:% = error; "cannot connect to a group member");
        }
    }
}

async fn write_messages(link: Link, queue: &mut mpsc::Receiver<ToAgent>) {
    let Link {
        mut reader,
        mut writer,
        ..
    } = link;
    let closed = async { while let Ok(Some(_)) = link::receive::<ToEntry>(&mut reader).await {} };
    let written = async {
        while let Ok(Some(frame)) = timeout(IDLE_TIMEOUT.duration(), queue.recv()).await {
            if link::send(&mut writer, &frame).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = closed => {}
        () = written => {}
    }
}
