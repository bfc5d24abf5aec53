//! The configuration of a gateway: routes, services, organisations and limits on callers.

use std::sync::Arc;

use sardinepin_common::Millis;

/// One whole version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Manifest {
    /// The version; versions grow, in steps of any size.
    pub version: u64,
    /// The routes, in no particular order.
    pub routes: Vec<Route>,
    /// The services that routes lead to.
    pub services: Vec<ServiceSpec>,
    /// Who may call; empty if no key is asked for.
    pub organisations: Vec<OrganisationSpec>,
    /// What a caller may send.
    pub limits: CallerLimits,
}

/// How requests of one host and path prefix are served.
#[derive(Debug, Clone)]
pub struct Route {
    /// The name, for logs and metrics.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Where requests go, by weight.
    pub targets: Vec<Target>,
    /// Whether a request may be run again.
    pub kind: RequestKind,
    /// The longest time that a request may take.
    pub timeout: Millis,
    /// The time within which an answer, or the first event of a stream, is of full use.
    pub latency_objective: Millis,
    /// The longest pause between two events of a stream that is still in time.
    pub event_pause: Millis,
    /// The most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// The rank among requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub public: bool,
}

/// One destination of a route.
#[derive(Debug, Clone)]
pub struct Target {
    /// The service.
    pub service: Arc<str>,
    /// Its share of the requests, relative to the other destinations.
    pub weight: u32,
}

/// Whether a request may be run again, and how its answer comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A plain answer; the request may run more than once.
    Idempotent,
    /// A plain answer; the request may run once at most.
    AtMostOnce,
    /// A stream of events; one that may be resumed goes on after the last event delivered.
    Stream {
        /// Whether another upstream may go on with it.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that routes lead to.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// The name.
    pub name: Arc<str>,
    /// Whether its upstreams are model engines in rank groups.
    pub engine: Option<EngineSpec>,
}

/// The serving time of a model engine, as its operator describes it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// The time of a token step of an otherwise idle engine, in milliseconds.
    pub step_ms: f64,
    /// What each writing request adds to a step, in milliseconds.
    pub sequence_ms: f64,
    /// The token steps of one pass.
    pub pass_steps: u32,
    /// The sets of experts; 0 where the engine has none.
    pub moe_layers: usize,
    /// The experts of one set.
    pub experts: usize,
    /// The experts that one rank can hold in a set.
    pub expert_slots: usize,
    /// The most experts of a set that one preparation may add to a rank.
    pub max_added: usize,
    /// How long a rank takes to load one expert.
    pub load_time: Millis,
}

/// Who may call.
#[derive(Debug, Clone)]
pub struct OrganisationSpec {
    /// The name.
    pub name: Arc<str>,
    /// The keys by which it is known.
    pub keys: Vec<String>,
    /// A rank that goes before the route's.
    pub priority: Option<u8>,
}

/// What a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The longest time over a head.
    pub head_timeout: Millis,
    /// The longest idle time of a connection.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}
