//! The count of calls; a waiting watch counts as one.

use bytes::Bytes;
use hyper::{Method, Request};
use serde::{Deserialize, Serialize};

/// What the platform was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    Read,
    Write,
    Watch,
}

/// Calls of the object API and the instance list, refused and lost ones included.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads and listings, the instance list included.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Watches, however long they wait.
    pub watches: u64,
    /// Calls among these that were over a rate.
    pub refused: u64,
}

impl Kind {
    /// Returns the kind of a request, if it belongs to the API.
    pub(super) fn of(request: &Request<Bytes>) -> Option<Self> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/watch") => Some(Self::Watch),
            (&Method::GET, "/v1/objects" | "/v1/instances") => Some(Self::Read),
            (method, path) if path.starts_with("/v1/objects/") => match *method {
                Method::GET => Some(Self::Read),
                Method::PUT | Method::DELETE => Some(Self::Write),
                _ => None,
            },
            _ => None,
        }
    }
}

impl Counts {
    /// Counts a call.
    pub(super) fn count(&mut self, kind: Kind) {
        match kind {
            Kind::Read => self.reads += 1,
            Kind::Write => self.writes += 1,
            Kind::Watch => self.watches += 1,
        }
    }
}
