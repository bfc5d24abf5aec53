//! What operators are shown of the nodes.

use std::net::SocketAddr;

use sardinepin_common::{Incarnation, Millis, Revision};
use sardinepin_protocol::Role;
use serde::{Deserialize, Serialize};

use crate::message::MemberState;

/// How the direct link to a node stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkState {
    /// It answers.
    #[serde(rename = "whole")]
    Working,
    /// It was not asked yet.
    #[serde(rename = "untried")]
    Untested,
    /// It is heard but does not answer: what this node says is lost on the way.
    #[serde(rename = "heard_only")]
    ReceiveOnly,
    /// It is neither heard nor does it answer.
    #[serde(rename = "cut")]
    Down,
}

/// How a node stands, including those that are only listed by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// The platform lists it as live, but nothing was ever heard of it.
    #[serde(rename = "unheard")]
    Undiscovered,
    /// It takes part.
    Alive,
    /// It did not answer.
    Suspected,
    /// It is leaving.
    Leaving,
    /// It is gone.
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

/// One node, as this one sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// Its availability zone.
    pub zone: String,
    /// Where it takes datagrams and fetches.
    pub address: SocketAddr,
    /// Its process; none for a node that was never heard.
    pub incarnation: Option<Incarnation>,
    /// How it stands.
    #[serde(rename = "standing")]
    pub status: MemberStatus,
    /// How long it has stood so, as far as this node knows.
    #[serde(rename = "age")]
    pub status_age: Millis,
    /// Whether the platform lists it as live.
    pub listed: bool,
    /// The revision that it last said it has.
    pub revision: Option<Revision>,
    /// How long ago it said so.
    #[serde(rename = "said")]
    pub revision_age: Option<Millis>,
    /// How the direct link to it stands; none for this node itself.
    #[serde(rename = "reach")]
    pub link: Option<LinkState>,
}

impl MemberView {
    /// Returns whether a change must be in force on this node before it is in force everywhere.
    ///
    /// A node that this one has lost but that the platform still lists counts.
    #[must_use]
    pub fn must_confirm(&self) -> bool {
        match self.status {
            MemberStatus::Alive | MemberStatus::Suspected => true,
            MemberStatus::Undiscovered | MemberStatus::Gone => self.listed,
            MemberStatus::Leaving => false,
        }
    }
}
