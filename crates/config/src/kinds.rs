//! The kinds of object that make up a configuration.

use sardinepin_protocol::UpstreamState;
use serde::{Deserialize, Serialize};

/// How the calls of a service are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A model service: chat completions with server-sent events, resumable and idempotent.
    Model,
    /// A plain service: calls are passed on by path.
    #[default]
    Plain,
}

/// A service that callers reach through the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// How its calls are served.
    pub kind: ServiceKind,
    /// The path prefixes that belong to the service; the longest match decides.
    pub paths: Vec<String>,
    /// The model names that belong to the service, for calls that name a model.
    pub models: Vec<String>,
    /// Path prefixes whose calls may not be repeated and take an idempotency key.
    pub keyed_paths: Vec<String>,
    /// The deadline of a call for which no rule gives one, in milliseconds.
    pub deadline_ms: u64,
    /// The share of retries among sends, in thousandths.
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

/// An upstream: one instance of a service, reached through the agent in its slot.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Upstream {
    /// The upstream's name.
    pub name: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// The address of its agent's link, IP number and port.
    pub address: String,
    /// The rank group that it is a member of, if any.
    pub group: Option<String>,
    /// The state that operators want it in.
    pub state: UpstreamState,
}

/// An organisation whose members call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Organisation {
    /// The organisation's name.
    pub name: String,
    /// Tags that rules can ask for, such as `newly-migrated`.
    pub tags: Vec<String>,
    /// Its weight in fair sharing.
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

/// A rank group: upstreams that advance in lock-step on one expert map.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Group {
    /// The group's name.
    pub name: String,
    /// The service that it serves.
    pub service: String,
    /// Its upstreams in the order of their ranks.
    pub ranks: Vec<String>,
    /// The weight of step-time skew in placement, in thousandths.
    pub skew_milli: u32,
    /// The weight of the cost of moves in placement, in thousandths.
    pub moves_milli: u32,
    /// Whether operators hold rebalancing.
    pub held: bool,
}

/// Returns the key of an object in the platform's store, such as `upstreams/opptak-1`.
///
/// The kinds are `rules` (one object, named `list`), `services`, `upstreams`, `organisations`
/// (each object a JSON list that holds one shard) and `groups`.
#[must_use]
pub fn object_key(kind: &str, name: &str) -> String {
    format!("{kind}/{name}")
}
