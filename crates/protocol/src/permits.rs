//! Permits to send requests to an upstream that has named a limit, which one agent hands out to all gateways.

use std::sync::Arc;

use sardinepin_common::Millis;
use serde::{Deserialize, Serialize};

use crate::request_rate::RequestRate;

/// What a node knows of the limit of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The start of the upstream's process, which tells it from earlier ones with its identifier.
    pub started_at: u64,
    /// The limit; `None` if the upstream names none any more.
    pub rate: Option<RequestRate>,
    /// How long ago an answer said so.
    pub age: Millis,
    /// The bound in force while the upstream is cold; `None` if it is not.
    pub cold: Option<ColdReport>,
}

/// What a node knows of a cold upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// The rate at which all gateways together may send.
    pub rate: RequestRate,
    /// How much longer the upstream is cold.
    pub remaining: Millis,
}

/// What an agent knows of the limit of an upstream, for all gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLimit {
    /// The identifier of the upstream.
    pub upstream: Arc<str>,
    /// Its limit.
    pub limit: LimitReport,
}

/// A gateway's request for permits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// A number that identifies the gateway.
    pub gateway: u64,
    /// The identifier of the upstream.
    pub upstream: Arc<str>,
    /// What the gateway knows of the limit.
    pub limit: LimitReport,
    /// How many requests wait at the gateway for the upstream.
    pub wanted: u16,
    /// How many more permits the gateway would use for requests that other upstreams can take too.
    pub spare: u16,
    /// How many requests it had sent without a permit that were on their way when it heard of the limit.
    pub on_way: u16,
}

/// An agent's reply to a request for permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// How many requests the gateway may send now.
    pub granted: u16,
    /// What the agent knows of the limit.
    pub limit: LimitReport,
    /// The time until which there is certainly no further permit.
    pub next: Millis,
    /// When the next permit for the gateway can be expected, if all gateways that asked lately get one in turn.
    pub turn: Millis,
}
