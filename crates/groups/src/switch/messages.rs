//! The messages of a map switch between the members of a group.

use sardinepin_common::{Incarnation, MapVersion, Term};
use serde::{Deserialize, Serialize};

use crate::switch::gate::{Gate, MapId, Rejection};

/// The bits of a term that hold a part of the coordinator's incarnation.
const INCARNATION_BITS: u32 = 40;

/// A rank's place in its group, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RankId(pub u16);

/// What a coordinator asks of a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Request {
    /// Fences lower terms and asks for the gate.
    Read,
    /// Loads what a map needs, while the old map serves on.
    Prepare(MapId),
    /// Promises to stop before a step until told.
    Arm {
        /// The map.
        map: MapId,
        /// The first step on the new map.
        step: u64,
    },
    /// Refuses to arm a version from now on, unless it is armed already.
    Close(MapVersion),
    /// The switch is decided.
    Commit(MapVersion),
    /// The switch is off.
    Abort(MapVersion),
}

/// A request with its fences.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Command {
    /// The coordinator's own rank, where the report goes.
    pub coordinator: RankId,
    /// The coordinator's term.
    pub term: Term,
    /// The life of the agent that the command is meant for; only a read may leave it open.
    pub agent: Option<Incarnation>,
    /// What is asked.
    pub request: Request,
}

/// Why a rank did not do what was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The command was meant for an earlier life of the agent.
    OtherLife,
    /// The engine did not carry out the order, or would not have.
    Rejected(Rejection),
}

/// A rank's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Report {
    /// The rank.
    pub rank: RankId,
    /// The life of its agent.
    pub agent: Incarnation,
    /// The term of the command that is answered.
    pub term: Term,
    /// Why it was not done, if it was not.
    pub refusal: Option<Refusal>,
    /// The gate after the command.
    pub gate: Gate,
    /// The next step that the engine has not begun.
    pub next_step: u64,
}

/// The payload of a group message on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum GroupMessage {
    /// From a coordinator to a rank.
    Command(Command),
    /// From a rank to a coordinator.
    Report(Report),
}

impl GroupMessage {
    /// Returns the message as the payload of a frame.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // The message holds nothing that cannot be encoded.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Returns the message of a payload, or `None` if it is none.
    #[must_use]
    pub fn decode(payload: &[u8]) -> Option<Self> {
        postcard::from_bytes(payload).ok()
    }
}

/// Returns a term above every term with a lower counter, unlike those of other incarnations.
#[must_use]
pub fn term_for(counter: u64, coordinator: Incarnation) -> Term {
    let low = coordinator.0 & ((1 << INCARNATION_BITS) - 1);
    Term((counter << INCARNATION_BITS) | low)
}

/// Returns the counter of a term.
#[must_use]
pub fn term_counter(term: Term) -> u64 {
    term.0 >> INCARNATION_BITS
}
