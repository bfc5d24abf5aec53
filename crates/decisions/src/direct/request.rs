//! Requests that need an upstream, and what is decided on them.

use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_protocol::ErrorKind;

use crate::direct::upstream_set::{Needs, UpstreamCounts, UpstreamId};
use crate::direct::zones::AllowedRegions;

/// The sequence number of a request within one gateway, in order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestNumber(pub u64);

/// A request that needs an upstream.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// The number of the request.
    pub number: RequestNumber,
    /// The service whose upstreams can take the request.
    pub service: Arc<str>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The response time within which the request is of full use.
    pub latency_objective: Millis,
    /// The time after which it is not sent any more.
    pub deadline: Millis,
    /// The upstreams already tried for it.
    pub tried: Vec<UpstreamId>,
    /// The regions that it may go to.
    pub regions: AllowedRegions,
    /// Whether its caller has been refused before, as far as can be told.
    pub returning: bool,
    /// Whether a retry was reserved for it in the budget of its service.
    pub is_retry: bool,
    /// The organisation of its caller, if it has one.
    pub organisation: Option<Arc<str>>,
    /// Whether it continues what has been admitted before: a retry within the gateway, or a stream that moves or is resumed.
    pub continues: bool,
}

impl PlacementRequest {
    pub(super) fn needs(&self) -> Needs<'_> {
        Needs {
            service: &self.service,
            tried: &self.tried,
            regions: &self.regions,
        }
    }
}

/// Whether a request is sent or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is sent to this upstream; the attempt is already counted as in flight.
    Send(UpstreamId),
    /// It is refused.
    Refuse {
        /// The reason, which decides the status of the response.
        kind: ErrorKind,
        /// The delay after which a retry is useful.
        retry_after: Millis,
        /// The number of upstreams of the service in each state.
        counts: UpstreamCounts,
    },
}

impl Decision {
    /// Returns the decision with another retry delay if it is a refusal.
    pub(super) fn with_delay(self, retry_after: Millis) -> Self {
        match self {
            Self::Refuse { kind, counts, .. } => Self::Refuse {
                kind,
                retry_after,
                counts,
            },
            Self::Send(_) => self,
        }
    }
}

/// The decision on a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueDecision {
    /// The number of the request.
    pub number: RequestNumber,
    /// Whether it is sent or refused.
    pub decision: Decision,
}
