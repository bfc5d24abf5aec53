//! What a rank agent asks of its engine, whatever speaks to it.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_groups::{LayerMap, RankReport};
use sardinepin_store::BoxFuture;
use serde::{Deserialize, Serialize};

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The name of its group.
    pub group: Arc<str>,
    /// Its part in a switch.
    pub rank: RankReport,
    /// Whether it is loading experts or otherwise at work on an order.
    pub busy: bool,
}

/// How often an engine's own requests chose each expert since its start, layer after layer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// How often the group had formed.
    pub epoch: u64,
    /// The counts of all layers in a row.
    pub counts: Vec<u64>,
}

/// The experts that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineExperts {
    /// The version of the map.
    pub version: u64,
    /// The experts of each layer.
    pub layers: Vec<Vec<u16>>,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The coordinator's term; an engine that has seen a higher one refuses.
    pub term: u64,
    /// How often the group has formed; an engine refuses orders for another time.
    pub epoch: u64,
    /// The engine's sequence number, where the order must come next.
    pub sequence: Option<u64>,
    /// What to do.
    pub action: Action,
}

/// What an engine is ordered to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Load the experts that a map needs.
    Prepare {
        /// The version of the map.
        version: u64,
        /// The experts of each rank, layer by layer.
        layers: Vec<LayerMap>,
    },
    /// Go over to a loaded map as a step begins.
    Arm {
        /// The version.
        version: u64,
        /// The step.
        step: u64,
    },
    /// Stay with the map in use.
    Disarm {
        /// The version that was armed.
        version: u64,
    },
    /// Begin no step from this one on.
    Hold {
        /// The step.
        step: u64,
    },
    /// Begin a step that was held.
    Release {
        /// The step.
        step: u64,
    },
}

impl Action {
    /// Returns the label in logs and metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Prepare { .. } => "prepare",
            Self::Arm { .. } => "arm",
            Self::Disarm { .. } => "disarm",
            Self::Hold { .. } => "hold",
            Self::Release { .. } => "release",
        }
    }
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderReply {
    /// The order has begun something, so the sequence number has grown.
    Begun,
    /// What the order asks for holds already, or was done at once.
    Done,
    /// The order does not fit the engine's state.
    Conflict,
    /// The engine has seen a higher term.
    Superseded,
    /// The engine does not take the order at all.
    Refused,
}

impl OrderReply {
    /// Returns whether the engine took the order.
    #[must_use]
    pub fn is_taken(self) -> bool {
        matches!(self, Self::Begun | Self::Done)
    }

    /// Returns the label in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Begun => "begun",
            Self::Done => "done",
            Self::Conflict => "conflict",
            Self::Superseded => "superseded",
            Self::Refused => "refused",
        }
    }
}

/// Why an engine gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineError(pub String);

impl fmt::Display for EngineError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "the engine gave no answer: {}", self.0)
    }
}

impl std::error::Error for EngineError {}

/// The result of a call to an engine.
pub type EngineFuture<'a, T> = BoxFuture<'a, Result<T, EngineError>>;

/// Speaks to engines, each named by its address.
pub trait EngineApi: fmt::Debug + Send + Sync {
    /// Asks for a report.
    fn report(&self, engine: SocketAddr) -> EngineFuture<'_, EngineReport>;

    /// Asks for the counts.
    fn counts(&self, engine: SocketAddr) -> EngineFuture<'_, EngineCounts>;

    /// Asks which experts it holds.
    fn experts(&self, engine: SocketAddr) -> EngineFuture<'_, EngineExperts>;

    /// Gives an order; an order without an answer may still be carried out, at any time.
    fn order<'a>(
        &'a self,
        engine: SocketAddr,
        order: &'a EngineOrder,
    ) -> EngineFuture<'a, OrderReply>;
}

/// A member of a group, from the list of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The name of the group.
    pub group: Arc<str>,
    /// The place in the group, from 0.
    pub rank: usize,
    /// The address of the engine; its agent listens on the same instance.
    pub engine: SocketAddr,
}

/// Lists the members of all groups.
pub trait Directory: fmt::Debug + Send + Sync {
    /// Reads the list, which may be some seconds old.
    fn members(&self) -> BoxFuture<'_, anyhow::Result<Vec<Member>>>;
}

/// The shape of the expert layers of a group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpertShape {
    /// The layers.
    pub layers: usize,
    /// The experts of a layer.
    pub experts: usize,
    /// The experts of a layer that a rank can hold.
    pub rank_slots: usize,
    /// The experts of a layer that one preparation may load at a rank.
    pub layer_transfers: usize,
    /// How long a rank takes to load one expert.
    pub load_time: Millis,
}

/// How long the loads of one change may take, unless a single one takes longer: after a shift of
/// the popularity several small changes help sooner than a large one.
const LOADS_TIME: Millis = Millis(160);

impl ExpertShape {
    /// Returns how many experts one change loads at a rank.
    pub(crate) fn rank_transfers(&self) -> usize {
        let loads = LOADS_TIME.0 / self.load_time.0.max(1);
        usize::try_from(loads).unwrap_or(usize::MAX).max(1)
    }
}
