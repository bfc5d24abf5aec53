//! A node's view of the cluster, as shown to operators.

use std::net::SocketAddr;

use sardinepin_common::{Incarnation, Millis, Revision};
use sardinepin_protocol::Role;
use serde::{Deserialize, Serialize};

use crate::message::MemberState;

/// Whether datagrams reach another node directly and arrive from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reachability {
    /// The node answers pings.
    #[serde(rename = "whole")]
    Reachable,
    /// The node has not answered a ping yet, nor missed enough of them to count as unreachable.
    #[serde(rename = "untried")]
    Untested,
    /// Datagrams arrive from the node, but it answers no pings: datagrams to it are lost.
    #[serde(rename = "heard_only")]
    ReceiveOnly,
    /// The node answers no pings, and no datagrams arrive from it.
    #[serde(rename = "cut")]
    Unreachable,
}

/// The status of a node, including nodes that are known only from the platform's instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// The platform lists it as live, but no update about it has been received.
    #[serde(rename = "unheard")]
    Undiscovered,
    /// It takes part in the cluster.
    Alive,
    /// It answered neither direct nor relayed pings.
    Suspected,
    /// It announced that it is leaving.
    Leaving,
    /// It left, or stayed suspected for too long.
    Gone,
}

impl From<MemberState> for MemberStatus {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Alive => Self::Alive,
            MemberState::Suspected => Self::Suspected,
            MemberState::Leaving => Self::Leaving,
            MemberState::Gone => Self::Gone,
        }
    }
}

/// One node, as seen by the node that reports the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The node's name.
    pub name: String,
    /// The node's role.
    pub role: Role,
    /// The node's availability zone.
    pub zone: String,
    /// Where the node receives datagrams and serves fetches.
    pub address: SocketAddr,
    /// The process that runs under the node's name; `None` for an undiscovered node.
    pub incarnation: Option<Incarnation>,
    /// The node's status.
    #[serde(rename = "standing")]
    pub status: MemberStatus,
    /// The time since the reporting node learnt of this status; 0 for an undiscovered node, and the
    /// uptime for the reporting node itself.
    #[serde(rename = "age")]
    pub status_age: Millis,
    /// Whether the platform lists the node as live.
    pub listed: bool,
    /// The revision that the node last reported to have in force; `None` if it reported none.
    pub revision: Option<Revision>,
    /// The time since that report.
    #[serde(rename = "said")]
    pub revision_age: Option<Millis>,
    /// The direct reachability of the node; `None` for the reporting node itself.
    #[serde(rename = "reach")]
    pub reachability: Option<Reachability>,
}

impl MemberView {
    /// Returns whether a change is in force everywhere only once this node has it in force.
    ///
    /// This includes nodes that are gone or undiscovered here but still listed by the platform.
    #[must_use]
    pub fn must_confirm(&self) -> bool {
        match self.status {
            MemberStatus::Alive | MemberStatus::Suspected => true,
            MemberStatus::Undiscovered | MemberStatus::Gone => self.listed,
            MemberStatus::Leaving => false,
        }
    }
}
