//! The interface between a rank agent and its engine, independent of the transport.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_groups::{LayerMap, RankReport};
use sardinepin_protocol::RankLoad;
use sardinepin_store::BoxFuture;
use serde::{Deserialize, Serialize};

/// An engine's report of its own state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The name of the engine's group.
    pub group: Arc<str>,
    /// The state of the rank in a map switch.
    pub rank: RankReport,
    /// Whether the engine is loading experts or carrying out another order.
    pub busy: bool,
    /// The load of the rank.
    pub load: RankLoad,
}

/// How often the engine's own requests have chosen each expert since the engine started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// How many times the group had formed when the counts were read.
    pub epoch: u64,
    /// The counts of every expert, concatenated layer by layer.
    pub counts: Vec<u64>,
}

/// The experts that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineExperts {
    /// The version of the expert map in use.
    pub version: u64,
    /// The experts that the engine holds in each layer.
    pub layers: Vec<Vec<u16>>,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The coordinator's term; an engine that has seen a higher term rejects the order.
    pub term: u64,
    /// How many times the group has formed; an engine rejects orders for another epoch.
    pub epoch: u64,
    /// The sequence number that the engine must have to accept the order; `None` accepts any.
    pub sequence: Option<u64>,
    /// What to do.
    pub action: Action,
}

/// The action that an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Load the experts that a map needs.
    Prepare {
        /// The version of the map.
        version: u64,
        /// The experts of each rank, layer by layer.
        layers: Vec<LayerMap>,
    },
    /// Switch to a loaded map when a step begins.
    Arm {
        /// The version of the map.
        version: u64,
        /// The first step on the new map.
        step: u64,
    },
    /// Cancel an armed switch and keep the map in use.
    Disarm {
        /// The version that was armed.
        version: u64,
    },
    /// Do not begin this step or any later one.
    Hold {
        /// The first step that must not begin.
        step: u64,
    },
    /// Allow a held step to begin.
    Release {
        /// The held step.
        step: u64,
    },
}

impl Action {
    /// Returns the value of the `action` label in logs and metrics.
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

/// An engine's reply to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineReply {
    /// The engine has started to carry out the order, and its sequence number has increased.
    Begun,
    /// The requested state was already in place or took effect immediately.
    Done,
    /// The order conflicts with the engine's state.
    Conflict,
    /// The engine has seen a higher term.
    Superseded,
    /// The engine does not accept this kind of order.
    Refused,
}

impl EngineReply {
    /// Returns whether the engine accepted the order.
    #[must_use]
    pub fn is_accepted(self) -> bool {
        matches!(self, Self::Begun | Self::Done)
    }

    /// Returns the value of the `reply` label in logs and metrics.
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

/// Why a call to an engine failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineError(pub String);

impl fmt::Display for EngineError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "the engine did not respond: {}", self.0)
    }
}

impl std::error::Error for EngineError {}

/// The future of a call to an engine.
pub type EngineFuture<'a, T> = BoxFuture<'a, Result<T, EngineError>>;

/// A client for engines, each identified by its address.
pub trait EngineApi: fmt::Debug + Send + Sync {
    /// Requests the engine's report.
    fn report(&self, engine: SocketAddr) -> EngineFuture<'_, EngineReport>;

    /// Requests the expert counts.
    fn counts(&self, engine: SocketAddr) -> EngineFuture<'_, EngineCounts>;

    /// Requests the experts that the engine holds.
    fn experts(&self, engine: SocketAddr) -> EngineFuture<'_, EngineExperts>;

    /// Sends an order; if no reply comes, the order may still be carried out at any later time.
    fn order<'a>(
        &'a self,
        engine: SocketAddr,
        order: &'a EngineOrder,
    ) -> EngineFuture<'a, EngineReply>;
}

/// A member of a group, as listed among the upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The name of the group.
    pub group: Arc<str>,
    /// The rank in the group, from 0.
    pub rank: usize,
    /// The address of the engine; its agent listens on the same instance.
    pub engine: SocketAddr,
    /// The availability zone of the instance.
    pub zone: Arc<str>,
    /// The maximum number of concurrent requests.
    pub slots: u32,
}

/// A source of the members of all groups.
pub trait Directory: fmt::Debug + Send + Sync {
    /// Reads the members; the result may be several seconds out of date.
    fn members(&self) -> BoxFuture<'_, anyhow::Result<Vec<Member>>>;
}

/// The dimensions of the expert layers of a group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpertShape {
    /// The number of expert layers.
    pub layers: usize,
    /// The number of experts in a layer.
    pub experts: usize,
    /// The most experts of one layer that a rank can hold.
    pub rank_slots: usize,
    /// The most experts of one layer that one change may load at a rank.
    pub layer_transfers: usize,
    /// How long a rank takes to load one expert.
    pub load_time: Millis,
}

impl ExpertShape {
    /// Returns the most experts that a rank can load within `time`; at least one.
    pub(crate) fn rank_transfers(&self, time: Millis) -> usize {
        let transfers = time.0 / self.load_time.0.max(1);
        usize::try_from(transfers).unwrap_or(usize::MAX).max(1)
    }
}
