//! What nodes say to each other in datagrams.

use std::net::SocketAddr;

use sardinepin_common::{Incarnation, Revision};
use sardinepin_protocol::Role;
use serde::{Deserialize, Serialize};

/// What is known of a node; at the same version, the later of these states wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It takes part.
    Alive,
    /// It did not answer, neither directly nor through others.
    Suspected,
    /// It says that it is leaving.
    Leaving,
    /// It left, or stayed suspected for too long.
    Gone,
}

/// What is said of a node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Its name.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// Its availability zone.
    pub zone: String,
    /// Where it takes datagrams and fetches.
    pub address: SocketAddr,
    /// Its process.
    pub incarnation: Incarnation,
    /// Which statement of the node about itself this rests on; only the node raises it.
    pub version: u64,
    /// Its state.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Returns whether this is to replace `held`.
    #[must_use]
    pub fn supersedes(&self, held: &Self) -> bool {
        let rank = |update: &Self| (update.version, update.incarnation, update.state);
        rank(self) > rank(held)
    }
}

/// What a datagram is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// An answer is wanted.
    Ping,
    /// The answer to the ping with this counter.
    Ack {
        /// The ping's counter.
        #[serde(rename = "of")]
        ping: u64,
    },
    /// The receiver is asked to ping another node.
    #[serde(rename = "Relay")]
    PingRequest {
        /// The node's name.
        target: String,
    },
    /// A node that was to be pinged has answered.
    #[serde(rename = "Vouch")]
    IndirectAck {
        /// The node's name.
        target: String,
        /// The process that answered.
        incarnation: Incarnation,
    },
}

/// One datagram's message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's statement about itself.
    #[serde(rename = "me")]
    pub sender: MemberUpdate,
    /// The number of this datagram in the sender's life, against replay.
    pub counter: u64,
    /// The revision of the configuration that the sender has in force.
    pub revision: Revision,
    /// A digest of the nodes that the sender sees.
    #[serde(rename = "seen")]
    pub view_digest: u64,
    /// What the datagram is for.
    pub kind: MessageKind,
    /// News of other nodes.
    #[serde(rename = "news")]
    pub updates: Vec<MemberUpdate>,
}
