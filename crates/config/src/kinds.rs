//! The kinds of configuration object.

use sardinepin_protocol::UpstreamState;
use serde::{Deserialize, Serialize};

/// How requests to a service are handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A model service: chat completions with server-sent events; its requests are idempotent and
    /// its streams can be resumed.
    Model,
    /// A plain HTTP service: requests are forwarded by path.
    #[default]
    Plain,
}

/// A service that callers reach through the load balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// The unique name of the service, the same as in its object key.
    pub name: String,
    /// How its requests are handled.
    pub kind: ServiceKind,
    /// The path prefixes that route to the service; the longest match wins.
    pub paths: Vec<String>,
    /// The model names that route to the service; if empty, requests for any model do.
    pub models: Vec<String>,
    /// Path prefixes whose requests are not idempotent and need an idempotency key.
    pub keyed_paths: Vec<String>,
    /// The default deadline in milliseconds, for requests whose rule sets none.
    pub deadline_ms: u64,
    /// The retry budget: retries per first attempt, in thousandths.
    pub retry_milli: u32,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            name: String::new(),
            kind: ServiceKind::Plain,
            paths: Vec::new(),
            models: Vec::new(),
            keyed_paths: Vec::new(),
            deadline_ms: 30_000,
            retry_milli: 100,
        }
    }
}

/// An upstream: one instance of a service, reached through the agent next to it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Upstream {
    /// The unique name of the upstream, the same as in its object key.
    pub name: String,
    /// The service that the upstream belongs to.
    pub service: String,
    /// The availability zone in which the upstream runs.
    pub zone: String,
    /// The IP address and port on which its agent accepts links.
    pub address: String,
    /// The rank group of which the upstream is a member, if any.
    pub group: Option<String>,
    /// The state requested by operators.
    pub state: UpstreamState,
}

/// An organisation whose members send requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Organisation {
    /// The unique name of the organisation.
    pub name: String,
    /// Tags that rules can match, such as `newly-migrated`.
    pub tags: Vec<String>,
    /// The weight of the organisation in fair queueing; 1 by default.
    pub weight: u32,
}

impl Default for Organisation {
    fn default() -> Self {
        Self {
            name: String::new(),
            tags: Vec::new(),
            weight: 1,
        }
    }
}

/// A rank group: upstreams that run in lockstep on one expert map.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Group {
    /// The unique name of the group, the same as in its object key.
    pub name: String,
    /// The service that the group serves.
    pub service: String,
    /// The names of its upstreams, in rank order.
    pub ranks: Vec<String>,
    /// The weight of step-time skew in the cost of an expert placement, in thousandths.
    pub skew_milli: u32,
    /// The weight of expert moves in the cost of an expert placement, in thousandths.
    pub moves_milli: u32,
    /// Whether operators have paused rebalancing.
    pub held: bool,
}

/// Returns the key of a configuration object, such as `upstreams/opptak-1`.
///
/// The kinds are `rules` (a single object named `list`), `services`, `upstreams`, `organisations`
/// (each object is a JSON array with one shard of the organisations), `groups` and `evacuations`
/// (each object is named after an availability zone that gets no requests while it exists).
#[must_use]
pub fn object_key(kind: &str, name: &str) -> String {
    format!("{kind}/{name}")
}
