//! Runs the ranks of a group in lockstep across processes: a step starts once every rank is ready.
//!
//! Each rank announces its state to the others in UDP datagrams on the loopback interface.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

use sardinepin_common::{Map, Millis};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

/// The interval at which an unchanged state is announced again, in case a datagram is lost.
const REPEAT_INTERVAL: Millis = Millis(10);

/// The largest announcement, in bytes.
const MAX_DATAGRAM_BYTES: usize = 512;

/// The members of a group, as sent to each of its engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankPeers {
    /// The rank of the engine that receives this.
    pub rank: u16,
    /// The addresses that receive announcements, in the order of ranks.
    pub peers: Vec<SocketAddr>,
}

/// The state that a rank announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
struct Announcement {
    rank: u16,
    /// The step that the rank is ready to start or has started; `None` until it has joined.
    ready: Option<u64>,
    /// Whether the rank has requests.
    busy: bool,
}

/// The announcements of one rank and the latest ones of the others.
#[derive(Debug)]
pub(super) struct LockStep {
    socket: UdpSocket,
    ranks: watch::Sender<Option<RankPeers>>,
    own: watch::Sender<Announcement>,
    received: Mutex<Map<u16, Announcement>>,
    changed: Notify,
}

impl LockStep {
    /// Binds the socket and starts to send and receive announcements.
    pub(super) async fn start() -> std::io::Result<Arc<Self>> {
        let lock_step = Arc::new(Self {
            socket: UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?,
            ranks: watch::Sender::new(None),
            own: watch::Sender::new(Announcement::default()),
            received: Mutex::default(),
            changed: Notify::new(),
        });
        tokio::spawn(Arc::clone(&lock_step).announce());
        tokio::spawn(Arc::clone(&lock_step).receive());
        Ok(lock_step)
    }

    /// Returns the address that receives announcements.
    pub(super) fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sets the members of the group.
    pub(super) fn set_peers(&self, ranks: RankPeers) {
        self.own.send_modify(|own| own.rank = ranks.rank);
        self.ranks.send_replace(Some(ranks));
        self.changed.notify_one();
    }

    /// Waits for an announcement of every other rank and returns the first step of this rank.
    ///
    /// A restarted rank skips the step that the others may be running.
    pub(super) async fn join(&self) -> u64 {
        let others = self.wait_for_others(|_| true).await;
        let latest = others.iter().filter_map(|other| other.ready).max();
        latest.map_or(0, |step| step + 1)
    }

    /// Announces that this rank is ready for `step` and waits until all ranks are.
    ///
    /// Returns whether any rank has requests.
    pub(super) async fn wait_for_all(&self, step: u64, busy: bool) -> bool {
        self.own.send_modify(|own| {
            own.ready = Some(step);
            own.busy = busy;
        });
        let is_ready = |other: &Announcement| other.ready.is_some_and(|ready| ready >= step);
        let others = self.wait_for_others(is_ready).await;
        busy || others.iter().any(|other| other.busy)
    }

    /// Waits until the latest announcement of every other rank satisfies `condition`, and returns
    /// them.
    async fn wait_for_others(
        &self,
        condition: impl Fn(&Announcement) -> bool,
    ) -> Vec<Announcement> {
        loop {
            if let Some(others) = self.others()
                && others.iter().all(&condition)
            {
                return others;
            }
            self.changed.notified().await;
        }
    }

    /// Returns the latest announcement of every other rank, or `None` if one is missing.
    fn others(&self) -> Option<Vec<Announcement>> {
        let ranks = self.ranks.borrow();
        let ranks = ranks.as_ref()?;
        let received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        (0..)
            .take(ranks.peers.len())
            .filter(|rank| *rank != ranks.rank)
            .map(|rank| received.get(&rank).copied())
            .collect()
    }

    async fn announce(self: Arc<Self>) {
        let mut own = self.own.subscribe();
        loop {
            let announcement = *own.borrow_and_update();
            let ranks = self.ranks.borrow().clone();
            if let (Some(ranks), Ok(bytes)) = (ranks, serde_json::to_vec(&announcement)) {
                for (rank, peer) in (0_u16..).zip(&ranks.peers) {
                    if rank != ranks.rank {
                        // A lost datagram is repeated after the interval.
                        let _ = self.socket.send_to(&bytes, peer).await;
                    }
                }
            }
            let _ = tokio::time::timeout(REPEAT_INTERVAL.duration(), own.changed()).await;
        }
    }

    async fn receive(self: Arc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that a peer is unreachable; the rank goes on waiting for it.
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let announcement = serde_json::from_slice::<Announcement>(&buffer[..length]);
            if let Ok(announcement) = announcement {
                let mut received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
                received.insert(announcement.rank, announcement);
                self.changed.notify_one();
            }
        }
    }
}
