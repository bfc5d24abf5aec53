//! The configuration of a gateway: routes, services, organisations and limits on callers.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_decisions::direct::{AllowedRegions, ColdService};

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Manifest {
    /// The version, which grows in steps of any size.
    pub version: u64,
    /// The routes, in no particular order.
    pub routes: Vec<Route>,
    /// The services that routes lead to.
    pub services: Vec<ServiceSpec>,
    /// The organisations that may call; if there are none, no API key is required.
    pub organisations: Vec<OrganisationSpec>,
    /// The size and time limits for callers.
    pub limits: CallerLimits,
}

/// How requests of one host and path prefix are handled.
#[derive(Debug, Clone)]
pub struct Route {
    /// The name of the route, written to the log.
    pub name: Arc<str>,
    /// The host name that callers request.
    pub host: String,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// The services that requests are split between, by weight.
    pub targets: Vec<Target>,
    /// Whether a request may run again, and whether its response is a stream.
    pub kind: RequestKind,
    /// The longest time that a request may take.
    pub timeout: Millis,
    /// The time within which a response, or the first event of a stream, is of full use.
    pub latency_objective: Millis,
    /// The longest pause between two events of a stream that still counts as in time.
    pub event_pause: Millis,
    /// The maximum number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// The priority of requests; 0 is the most urgent.
    pub priority: u8,
    /// The regions whose upstreams may take requests.
    pub regions: AllowedRegions,
    /// Whether callers need no API key.
    pub public: bool,
}

/// One destination of a route.
#[derive(Debug, Clone)]
pub struct Target {
    /// The name of the service.
    pub service: Arc<str>,
    /// Its share of the requests, relative to the other destinations.
    pub weight: u32,
}

/// Whether a request may run again, and how its response is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A non-streaming response; the request may run more than once.
    Idempotent,
    /// A non-streaming response; the request may run at most once.
    AtMostOnce,
    /// A stream of events; a resumable one continues after the last event delivered.
    Stream {
        /// Whether another upstream may resume it.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that routes lead to.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// The name that routes, logs and metrics use.
    pub name: Arc<str>,
    /// The path at which an upstream tells whether it is healthy, if it has one.
    pub health_path: Option<Arc<str>>,
    /// The model engine, if its upstreams are model engines in rank groups.
    pub engine: Option<EngineSpec>,
    /// The cold state of its upstreams, if it names one.
    pub cold: Option<ColdService>,
}

/// The service times and expert layout of a model engine, as its operator describes them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// The time of one token step of an otherwise idle engine, in milliseconds.
    pub step_ms: f64,
    /// The time that each generating request adds to a step, in milliseconds.
    pub sequence_ms: f64,
    /// The number of token steps in one pass.
    pub pass_steps: u32,
    /// The number of mixture-of-experts layers; 0 if the engine has none.
    pub moe_layers: usize,
    /// The number of experts in one layer.
    pub experts: usize,
    /// The most experts of one layer that a rank can hold.
    pub rank_slots: usize,
    /// The most experts of one layer that one change may load at a rank.
    pub layer_transfers: usize,
    /// How long a rank takes to load one expert.
    pub load_time: Millis,
}

/// An organisation whose callers may send requests.
#[derive(Debug, Clone)]
pub struct OrganisationSpec {
    /// The name that upstreams see.
    pub name: Arc<str>,
    /// The API keys of its callers.
    pub keys: Vec<String>,
    /// The priority of its requests, which overrides the route's.
    pub priority: Option<u8>,
    /// The regions whose upstreams may take its requests.
    pub regions: AllowedRegions,
}

/// Size and time limits for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest time for reading the head of a request.
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
