//! The messages between the members of a group during a map switch.

use sardinepin_common::{Incarnation, MapVersion, Term};
use serde::{Deserialize, Serialize};

use crate::switch::gate::{Gate, MapId, Rejection};

/// The low bits of a term, which hold the low bits of the coordinator's incarnation.
const INCARNATION_BITS: u32 = 40;

/// The index of a rank in its group, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RankId(pub u16);

/// A request of a coordinator to a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Request {
    /// Fences off lower terms and reads the gate.
    Read,
    /// Loads the experts of a map while the old map stays in use.
    Prepare(MapId),
    /// Makes the engine wait before a step until the switch is decided.
    Arm {
        /// The map.
        map: MapId,
        /// The first step on the new map.
        step: u64,
    },
    /// Rules out that the version is armed later; has no effect if it is already armed.
    Close(MapVersion),
    /// Commits the switch to a version.
    Commit(MapVersion),
    /// Aborts the switch to a version.
    Abort(MapVersion),
}

/// A request with the term and the incarnation for which it is valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Command {
    /// The rank of the coordinator, to which the report is sent.
    pub coordinator: RankId,
    /// The coordinator's term.
    pub term: Term,
    /// The incarnation of the agent that may carry out the command; `None` only for a read.
    pub agent: Option<Incarnation>,
    /// The request.
    pub request: Request,
}

/// Why a rank did not carry out a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The command was addressed to another incarnation of the agent.
    OtherLife,
    /// The engine rejected the order, or the agent knew that it would.
    Rejected(Rejection),
}

/// A rank's report after a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Report {
    /// The rank.
    pub rank: RankId,
    /// The incarnation of the rank's agent.
    pub agent: Incarnation,
    /// The term of the command.
    pub term: Term,
    /// Why the request was not carried out; `None` if it was.
    pub refusal: Option<Refusal>,
    /// The gate after the command was handled.
    pub gate: Gate,
    /// The first step that the engine has not begun.
    pub next_step: u64,
}

/// A message between two members of a group, sent as the payload of a link frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum GroupMessage {
    /// A command from a coordinator to a rank.
    Command(Command),
    /// A report from a rank to a coordinator.
    Report(Report),
}

impl GroupMessage {
    /// Encodes the message as the payload of a frame.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Every value of this type can be encoded.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a payload; returns `None` if it is not a valid message.
    #[must_use]
    pub fn decode(payload: &[u8]) -> Option<Self> {
        postcard::from_bytes(payload).ok()
    }
}

/// Returns the term with this counter, distinct from the terms of other incarnations.
///
/// It is higher than every term with a lower counter.
#[must_use]
pub fn term_for(counter: u64, coordinator: Incarnation) -> Term {
    let low = coordinator.0 & ((1 << INCARNATION_BITS) - 1);
    Term((counter << INCARNATION_BITS) | low)
}

/// Returns the counter part of a term.
#[must_use]
pub fn term_counter(term: Term) -> u64 {
    term.0 >> INCARNATION_BITS
}
