//! What operators are shown of the nodes.

use std::net::SocketAddr;

use sardinepin_common::{Incarnation, Millis, Revision};
use sardinepin_protocol::Role;
use serde::{Deserialize, Serialize};

use crate::message::State;

/// How the direct link to a node stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reach {
    /// It answers.
    Whole,
    /// It was not asked yet.
    Untried,
    /// It is heard but does not answer: what this node says is lost on the way.
    HeardOnly,
    /// It is neither heard nor does it answer.
    Cut,
}

/// How a node stands, including those that are only listed by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// The platform lists it as live, but nothing was ever heard of it.
    Unheard,
    /// It takes part.
    Alive,
    /// It did not answer.
    Suspected,
    /// It is leaving.
    Leaving,
    /// It is gone.
    Gone,
}

impl From<State> for Standing {
    fn from(state: State) -> Self {
        match state {
            State::Alive => Self::Alive,
            State::Suspected => Self::Suspected,
            State::Leaving => Self::Leaving,
            State::Gone => Self::Gone,
        }
    }
}

/// One node, as this one sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
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
    pub standing: Standing,
    /// How long it has stood so, as far as this node knows.
    pub age: Millis,
    /// Whether the platform lists it as live.
    pub listed: bool,
    /// The revision that it last said it has.
    pub revision: Option<Revision>,
    /// How long ago it said so.
    pub said: Option<Millis>,
    /// How the direct link to it stands; none for this node itself.
    pub reach: Option<Reach>,
}

impl Row {
    /// Returns whether a change must be in force on this node before it is in force everywhere.
    ///
    /// A node that this one has lost but that the platform still lists counts.
    #[must_use]
    pub fn must_hold(&self) -> bool {
        match self.standing {
            Standing::Alive | Standing::Suspected => true,
            Standing::Unheard | Standing::Gone => self.listed,
            Standing::Leaving => false,
        }
    }
}
