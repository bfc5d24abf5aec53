//! Datagrams that nodes exchange.

use std::net::SocketAddr;

use sardinepin_common::{Incarnation, Revision};
use sardinepin_protocol::Role;
use serde::{Deserialize, Serialize};

/// The state of a node; between updates of the same version and incarnation, the later variant wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It takes part in the cluster.
    Alive,
    /// It answered neither direct nor relayed pings.
    Suspected,
    /// It announced that it is leaving.
    Leaving,
    /// It left, or stayed suspected for too long.
    Gone,
}

/// What one node states about a node, be it another one or itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The node's name.
    pub name: String,
    /// The node's role.
    pub role: Role,
    /// The node's availability zone.
    pub zone: String,
    /// Where the node receives datagrams and serves fetches.
    pub address: SocketAddr,
    /// The process that runs under the node's name.
    pub incarnation: Incarnation,
    /// The version of the node's own statement that this update is based on; only the node itself
    /// raises it.
    pub version: u64,
    /// The node's state.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Returns whether this update replaces `current`.
    ///
    /// The higher version wins, then the higher incarnation, then the later state.
    #[must_use]
    pub fn supersedes(&self, current: &Self) -> bool {
        let rank = |update: &Self| (update.version, update.incarnation, update.state);
        rank(self) > rank(current)
    }
}

/// The purpose of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Asks the receiver for an ack.
    Ping,
    /// Answers a ping.
    Ack {
        /// The counter of the ping.
        #[serde(rename = "of")]
        ping: u64,
    },
    /// Asks the receiver to ping another node on behalf of the sender.
    #[serde(rename = "Relay")]
    PingRequest {
        /// The name of the node to ping.
        target: String,
    },
    /// Reports that the node of an earlier ping request has answered.
    #[serde(rename = "Vouch")]
    IndirectAck {
        /// The name of the node that answered.
        target: String,
        /// The process that answered.
        incarnation: Incarnation,
    },
}

/// The content of one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's update about itself.
    #[serde(rename = "me")]
    pub sender: MemberUpdate,
    /// The datagram's number, counted from 1 by each process; receivers use it to reject replays.
    pub counter: u64,
    /// The revision of the configuration that the sender has in force.
    pub revision: Revision,
    /// A digest of the nodes that are present in the sender's table.
    #[serde(rename = "seen")]
    pub view_digest: u64,
    /// The purpose of the datagram.
    pub kind: MessageKind,
    /// Gossiped updates about other nodes.
    #[serde(rename = "news")]
    pub updates: Vec<MemberUpdate>,
}
