//! The events that a balancer handles and the effects that it returns.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_config::Limit;
use sardinepin_protocol::{Digest, ErrorKind, Load, UpstreamState};

use crate::culprits::Traits;

/// Identifies a request within this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// Identifies an upstream within this entry, which numbers upstreams as it learns of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u32);

/// An upstream as described by the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamInfo {
    /// The identifier within this entry.
    pub id: UpstreamId,
    /// The name, the same at every entry; rendezvous hashing uses it.
    pub name: Arc<str>,
    /// The service that the upstream belongs to.
    pub service: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The rank group; `None` if the upstream belongs to none.
    pub group: Option<Arc<str>>,
    /// The state that operators have requested.
    pub state: UpstreamState,
    /// Whether operators have evacuated its zone.
    pub evacuated: bool,
}

/// A service as described by the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceInfo {
    /// The name.
    pub name: Arc<str>,
    /// The retry budget: retries per first attempt, in thousandths.
    pub retry_milli: u32,
}

/// A request that the rules have allowed.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The number within this entry.
    pub request: RequestNumber,
    /// The service that the request is for.
    pub service: Arc<str>,
    /// The organisation of the caller.
    pub organisation: Arc<str>,
    /// The organisation's weight in the fair queue.
    pub organisation_weight: u32,
    /// The priority class; `urgent` goes before all others.
    pub class: Arc<str>,
    /// The weight of the class among the classes that are not urgent.
    pub class_weight: u32,
    /// The organisation's rate limit; `None` if the matching rule sets none.
    pub rate_limit: Option<Limit>,
    /// When the deadline passes.
    pub deadline: Millis,
    /// The digest of organisation, service and body, which is the same for a repeated request.
    pub digest: Digest,
    /// The digests of the parts of its prompt that other requests share, in order.
    pub parts: Vec<Digest>,
    /// The digest of the prompt prefix; `None` if the request has none.
    pub prefix: Option<Digest>,
    /// The digest of the idempotency key. Requests with the same key go to the same upstream as
    /// long as it takes work.
    pub idempotency_key: Option<Digest>,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// The expected work, in tokens; 1 for plain requests.
    pub cost: u32,
}

impl Arrival {
    /// Returns the traits by which requests that crash upstreams are told from others.
    pub(crate) fn traits(&self) -> Traits<'_> {
        Traits {
            request: self.digest,
            parts: &self.parts,
        }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The complete response was delivered.
    Complete,
    /// The upstream did not run the request.
    NotRun {
        /// The reason.
        kind: ErrorKind,
        /// The delay after which a retry at that upstream makes sense.
        retry_after: Millis,
    },
    /// The upstream may have run the request, and the response stays incomplete.
    Unknown {
        /// The reason.
        kind: ErrorKind,
        /// Whether the upstream or its agent crashed with the attempt in flight.
        crashed: bool,
        /// Whether the caller has received bytes of a response that no other upstream can resume.
        unresumable: bool,
    },
}

/// An input of the balancer.
#[derive(Debug, Clone)]
pub enum Event {
    /// A request arrived.
    Arrived(Arrival),
    /// The caller of a request hung up. Its attempt, if any, counts as ended.
    HungUp(RequestNumber),
    /// The first byte of an attempt's response arrived.
    FirstByte {
        /// The request.
        request: RequestNumber,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An attempt ended. Exactly one such event follows each [`Effect::Send`], even after
    /// [`Effect::Withdraw`]; it may be omitted after [`Event::HungUp`].
    Ended {
        /// The request.
        request: RequestNumber,
        /// The upstream.
        upstream: UpstreamId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A load report of an upstream arrived.
    Load {
        /// The upstream.
        upstream: UpstreamId,
        /// The report.
        load: Load,
    },
    /// The link to an upstream's agent came up or went down.
    Link {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether the link is up.
        up: bool,
    },
    /// An upstream takes no new work, according to its agent or the instance list.
    Leaving(UpstreamId),
    /// An upstream's engine has cached or evicted a prompt prefix.
    PrefixCache {
        /// The upstream.
        upstream: UpstreamId,
        /// The digest of the prefix.
        prefix: Digest,
        /// `true` if the prefix was cached, `false` if it was evicted.
        cached: bool,
    },
    /// Digests that other entries have quarantined, each with the remaining time.
    Quarantined(Vec<(Digest, Millis)>),
    /// An operator lifted the quarantine of a digest.
    QuarantineLifted(Digest),
    /// All upstreams of the configuration in force.
    Upstreams(Vec<UpstreamInfo>),
    /// All services of the configuration in force.
    Services(Vec<ServiceInfo>),
    /// The number of entries that share the retry budgets, this one included.
    Entries(usize),
    /// A periodic tick, sent every [`Settings::tick_ms`](crate::Settings::tick_ms).
    Tick,
}

/// An action that the entry takes for the balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send the request to an upstream, as a first attempt or a retry.
    Send {
        /// The request.
        request: RequestNumber,
        /// The upstream.
        upstream: UpstreamId,
        /// Why the previous attempt failed; `None` for the first attempt.
        retry_cause: Option<ErrorKind>,
    },
    /// Withdraw the attempt of an idempotent request from a stalled upstream. The request is sent to
    /// another upstream after the attempt's [`Event::Ended`].
    Withdraw {
        /// The request.
        request: RequestNumber,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Respond to the caller with an error; no further attempt follows.
    GiveUp {
        /// The request.
        request: RequestNumber,
        /// The reason.
        kind: ErrorKind,
        /// The delay after which the caller may retry; zero if `kind` advises against a retry.
        retry_after: Millis,
    },
    /// Announce to the other entries that a digest is in quarantine.
    Quarantine {
        /// The digest.
        digest: Digest,
        /// The remaining time in quarantine.
        remaining: Millis,
    },
}
