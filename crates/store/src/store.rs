//! The interface to the platform's object store and instance list.
//!
//! The HTTP API consists of `GET /v1/objects/KEY`, `GET /v1/objects?prefix=P`,
//! `PUT /v1/objects/KEY` with `If-None-Match: *` or `If-Match: "REVISION"` and the body
//! `{"write_id": ..., "value": ...}`, `DELETE /v1/objects/KEY` with `If-Match`,
//! `GET /v1/watch?prefix=P&after=REVISION&wait_ms=W` and `GET /v1/instances`. A failed
//! precondition gets a 412 response with the current object, a key that does not exist a 404 response.

use std::fmt;
use std::future::Future;
use std::pin::Pin;

use sardinepin_common::{Millis, Revision};
use sardinepin_protocol::Role;
use serde::{Deserialize, Serialize};

/// A boxed future, as returned by methods of trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// An object in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The key, such as `config/upstreams/opptak-1`.
    pub key: String,
    /// The revision of the last write; a deletion counts as a write.
    pub revision: Revision,
    /// The ID of the last write, chosen by the writer.
    pub write_id: String,
    /// The value as JSON text, at most one megabyte; `None` for a deletion, which only watches return.
    pub value: Option<String>,
}

/// The objects whose keys start with a prefix, complete up to a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The revision up to which the listing is complete.
    pub revision: Revision,
    /// The objects; a watch returns only those that changed, deletions included.
    pub objects: Vec<Object>,
}

/// The condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The key does not exist.
    Absent,
    /// The object exists and its last write has this revision.
    Revision(Revision),
}

/// A conditional write or deletion of one object.
#[derive(Debug, Clone, Copy)]
pub struct ConditionalWrite<'a> {
    /// The key of the object.
    pub key: &'a str,
    /// The condition under which the write takes effect.
    pub precondition: Precondition,
    /// The ID of this write; its author recognises its own write by it.
    pub write_id: &'a str,
    /// The new value as JSON text; `None` deletes the object.
    pub value: Option<&'a str>,
}

/// Whether an instance may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance is in service.
    Live,
    /// The instance is leaving and should not be used for new work.
    Leaving,
}

/// An instance in the platform's instance list, which lags behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The unique name of the instance.
    pub name: String,
    /// The role of the system's process on the instance.
    pub role: Role,
    /// The availability zone in which the instance runs.
    pub zone: String,
    /// The IP address and port of the system's process.
    pub address: String,
    /// Whether the instance may be used.
    pub state: InstanceState,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The precondition did not hold; contains the current object, if it exists.
    Conflict(Option<Object>),
    /// The store rejected the call or could not be reached; the call had no effect.
    Refused(String),
    /// No usable response came: a write may have taken effect, or may yet take effect.
    Indeterminate(String),
    /// The response cannot be parsed.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(_) => formatter.write_str("the object has changed"),
            Self::Refused(why) => write!(formatter, "the store refused the call: {why}"),
            Self::Indeterminate(why) => write!(formatter, "the store did not answer: {why}"),
            Self::Malformed(why) => write!(formatter, "the store's answer cannot be read: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The platform's object API and instance list.
pub trait Store: fmt::Debug + Send + Sync {
    /// Returns an object, or `None` if the key does not exist.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>, StoreError>>;

    /// Returns all objects whose keys start with `prefix`.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, StoreError>>;

    /// Writes or deletes an object and returns the revision of the write.
    fn put<'a>(
        &'a self,
        write: ConditionalWrite<'a>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>>;

    /// Waits up to `wait` for writes to keys that start with `prefix` after revision `after`, and
    /// returns the changed objects.
    ///
    /// After a timeout the listing is empty and has the store's current revision.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Millis,
    ) -> BoxFuture<'a, Result<Listing, StoreError>>;

    /// Returns the instance list, which lags behind the actual state.
    fn instances(&self) -> BoxFuture<'_, Result<Vec<Instance>, StoreError>>;
}
