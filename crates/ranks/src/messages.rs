//! What a coordinator and the agents of its group say to each other.

use serde::{Deserialize, Serialize};

use crate::engine::{EngineCounts, EngineExperts, EngineOrder, EngineReport, OrderReply};

/// A call of a coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Asks how the engine is.
    Look {
        /// The coordinator's term.
        term: u64,
        /// What to look at besides the report.
        scope: Scope,
    },
    /// Hands an order on to the engine.
    Order(EngineOrder),
}

/// What a look takes in besides an engine's report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scope {
    /// How often each expert was chosen.
    pub counts: bool,
    /// Which experts the engine holds.
    pub experts: bool,
}

/// An agent's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// How the engine is.
    View(Box<View>),
    /// What the engine says to an order.
    Order(OrderReply),
    /// The engine gave no answer.
    Silent,
}

/// How an engine is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Its report.
    pub report: EngineReport,
    /// Its counts, if they were asked for and could be read.
    pub counts: Option<EngineCounts>,
    /// Its experts, if they were asked for and could be read.
    pub experts: Option<EngineExperts>,
}
