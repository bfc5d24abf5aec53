//! What a balancer is told and what it orders.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_config::Limit;
use sardinepin_protocol::{Digest, ErrorKind, Load, UpstreamState};

/// Names a request at this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// Names an upstream at this entry; the entry numbers them as it learns of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u32);

/// An upstream as the configuration in force describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamInfo {
    /// The number at this entry.
    pub id: UpstreamId,
    /// The name.
    pub name: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The rank group, if it is a member of one.
    pub group: Option<Arc<str>>,
    /// The state that operators want.
    pub state: UpstreamState,
}

/// A service as the configuration in force describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceInfo {
    /// The name.
    pub name: Arc<str>,
    /// The share of retries among sends, in thousandths.
    pub retry_milli: u32,
}

/// A request that the rule list let through.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its number at this entry.
    pub request: RequestNumber,
    /// The service.
    pub service: Arc<str>,
    /// The organisation.
    pub organisation: Arc<str>,
    /// The organisation's weight in fair sharing.
    pub organisation_weight: u32,
    /// The class; `urgent` goes before all others.
    pub class: Arc<str>,
    /// The weight of the class.
    pub class_weight: u32,
    /// The limit on the organisation, if the deciding rule sets one.
    pub rate_limit: Option<Limit>,
    /// When the deadline passes.
    pub deadline: Millis,
    /// The digest of organisation, service and body: the same for a repeat.
    pub digest: Digest,
    /// The digest of the prompt's prefix, if the call has one.
    pub prefix: Option<Digest>,
    /// The digest of the idempotency key: repeats go to the same upstream while it lives.
    pub idempotency_key: Option<Digest>,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// The expected work, in tokens; 1 for plain calls.
    pub cost: u32,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer was delivered.
    Complete,
    /// It did not run.
    NotRun {
        /// The reason.
        kind: ErrorKind,
        /// When coming back to that upstream makes sense.
        retry_after: Millis,
    },
    /// It may have run, and the answer will not be whole.
    Unknown {
        /// The reason.
        kind: ErrorKind,
        /// Whether the upstream or its agent died with the attempt in flight.
        crashed: bool,
        /// Whether the caller has bytes of the answer that another upstream cannot go on from.
        unresumable: bool,
    },
}

/// What a balancer is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// A request came.
    Arrived(Arrival),
    /// The caller of a request hung up; its attempt, if there is one, counts as over.
    HungUp(RequestNumber),
    /// The first byte of an attempt's answer came.
    FirstByte {
        /// The request.
        request: RequestNumber,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An attempt ended. Each [`Effect::Send`] is followed by one of these, also after
    /// [`Effect::Withdraw`]; after [`Event::HungUp`] it may be left out.
    Ended {
        /// The request.
        request: RequestNumber,
        /// The upstream.
        upstream: UpstreamId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// An upstream's load report came.
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
        /// Whether it is up.
        up: bool,
    },
    /// An upstream's agent says that it takes no new work, or the instance list says so.
    Leaving(UpstreamId),
    /// An upstream's engine says that it holds, or dropped, the cache of a prompt prefix.
    PrefixCache {
        /// The upstream.
        upstream: UpstreamId,
        /// The digest of the prefix.
        prefix: Digest,
        /// Whether it is held.
        cached: bool,
    },
    /// Digests that other entries hold in quarantine, with the time left.
    Quarantined(Vec<(Digest, Millis)>),
    /// An operator lifts a quarantine.
    QuarantineLifted(Digest),
    /// The upstreams of the configuration in force, all of them.
    Upstreams(Vec<UpstreamInfo>),
    /// The services of the configuration in force, all of them.
    Services(Vec<ServiceInfo>),
    /// Time has passed; sent every [`Settings::tick_ms`](crate::Settings::tick_ms).
    Tick,
}

/// What a balancer orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send the request to an upstream, for the first time or again.
    Send {
        /// The request.
        request: RequestNumber,
        /// The upstream.
        upstream: UpstreamId,
        /// Why the attempt before this one failed; `None` for the first.
        retry_cause: Option<ErrorKind>,
    },
    /// Stop an attempt of a repeatable request that waits on a stalled upstream. It goes elsewhere
    /// once the attempt's [`Event::Ended`] has come.
    Withdraw {
        /// The request.
        request: RequestNumber,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Give the caller its final answer now.
    GiveUp {
        /// The request.
        request: RequestNumber,
        /// The reason.
        kind: ErrorKind,
        /// When coming back makes sense; zero if the kind's advice is never.
        retry_after: Millis,
    },
    /// Tell the other entries that this digest is in quarantine, and for how long.
    Quarantine {
        /// The digest.
        digest: Digest,
        /// The time left.
        remaining: Millis,
    },
}
