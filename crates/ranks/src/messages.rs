//! The messages between a coordinator and the agents of its group.

use std::net::SocketAddr;

use sardinepin_common::Millis;
use sardinepin_protocol::{
    GroupDemand, GroupLoad, GroupSample, PermitGrant, PermitRequest, UpstreamLimit,
};
use serde::{Deserialize, Serialize};

use crate::counts::CountIncrements;
use crate::engine::{EngineExperts, EngineOrder, EngineReply, EngineReport};
use crate::relay::{GroupViews, PassedOrder};

/// A call from a coordinator to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Queries the state of the engine.
    Look(Look),
    /// Queries the state of the engine and of those of other members.
    LookAll {
        /// The query for each of them.
        look: Look,
        /// The agents to which the query is passed on.
        others: Vec<SocketAddr>,
    },
    /// Forwards an order to the engine.
    Order(EngineOrder),
    /// Forwards an order to the engine and its action to those of other members.
    OrderAll {
        /// The order for the own engine.
        order: EngineOrder,
        /// The agents to which the action is passed on.
        others: Vec<PassedOrder>,
    },
    /// Requests permits for an upstream that has named a limit, on behalf of a gateway.
    Permits(PermitRequest),
    /// Queries the load of the group, on behalf of a gateway.
    Load {
        /// A number that identifies the gateway.
        gateway: u64,
        /// What the gateway has received for the group since its last query.
        demand: GroupDemand,
    },
}

/// A coordinator's query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Look {
    /// The coordinator's term.
    pub term: u64,
    /// What to return in addition to the report.
    pub scope: ViewScope,
    /// The load of the group and its age, if it was sampled since the last query. Without the age, gateways would take the requests
    /// that they sent since the sample for part of it.
    pub sample: Option<(Millis, GroupSample)>,
}

/// What a view of an engine contains in addition to its report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewScope {
    /// The counts of how often each expert was chosen.
    pub counts: bool,
    /// The experts that the engine holds.
    pub experts: bool,
}

/// An agent's reply to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The state of the engine.
    View(Box<EngineView>),
    /// The states of several engines.
    Views(GroupViews),
    /// The engine's reply to an order.
    Order(EngineReply),
    /// The replies of several engines; `None` where none came.
    Orders(Vec<Option<EngineReply>>),
    /// The load of the group.
    Load(GroupLoad),
    /// Permits for an upstream.
    Permits(PermitGrant),
    /// The engine did not respond.
    Silent,
}

/// The state of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineView {
    /// The engine's report.
    pub report: EngineReport,
    /// The counts; absent if they were not requested or could not be read.
    pub counts: Option<CountIncrements>,
    /// The experts; absent if they were not requested or could not be read.
    pub experts: Option<EngineExperts>,
    /// How many gateways read the load of the group from this agent.
    pub gateways: u32,
    /// The limits of the upstreams for which this agent hands out permits.
    pub limits: Vec<UpstreamLimit>,
    /// What gateways have reported to this agent since it started. Totals rather than increments, so that a lost view loses nothing
    /// and each of two coordinators sees all of it. `None` if only the engine was reached.
    pub demand: Option<GroupDemand>,
}
