//! Counts of calls by kind; a watch counts once, however long it waits.

use bytes::Bytes;
use hyper::{Method, Request};
use serde::{Deserialize, Serialize};

/// The kind of a call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ApiCall {
    Read,
    Write,
    Watch,
}

/// Counts of calls to the object API and the instance list, including refused calls and lost
/// answers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads and listings, including those of the instance list.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Watches; each counts once, however long it waits.
    pub watches: u64,
    /// Calls among these that were refused because they exceeded a rate.
    pub refused: u64,
}

impl ApiCall {
    /// Returns the kind of a request, or `None` if no API path matches.
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
    pub(super) fn count(&mut self, kind: ApiCall) {
        match kind {
            ApiCall::Read => self.reads += 1,
            ApiCall::Write => self.writes += 1,
            ApiCall::Watch => self.watches += 1,
        }
    }
}
