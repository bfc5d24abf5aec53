//! What the system asks of the platform's store, whatever serves it.
//!
//! Over HTTP the object API is: `GET /v1/objects/KEY`, `GET /v1/objects?prefix=P`,
//! `PUT /v1/objects/KEY` with `If-None-Match: *` or `If-Match: "REVISION"` and the body
//! `{"write_id": ..., "value": ...}`, `DELETE /v1/objects/KEY` with `If-Match`,
//! `GET /v1/watch?prefix=P&after=REVISION&wait_ms=W` and `GET /v1/instances`. A condition that does
//! not hold is answered with 412 and the object as it stands; a key that is not there with 404.

use std::fmt;
use std::future::Future;
use std::pin::Pin;

use sardinepin_common::{Millis, Revision};
use sardinepin_protocol::Role;
use serde::{Deserialize, Serialize};

/// A future behind a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// One object of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The key, such as `config/upstreams/opptak-1`.
    pub key: String,
    /// The revision of the last write; a deletion is a write too.
    pub revision: Revision,
    /// The identifier of the last write, drawn by the writer.
    pub write_id: String,
    /// The value as JSON text, a megabyte at most; `None` marks a deletion, in watches only.
    pub value: Option<String>,
}

/// Objects under a prefix, complete up to a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The revision up to which the listing is complete.
    pub revision: Revision,
    /// The objects.
    pub objects: Vec<Object>,
}

/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The key is not there.
    Absent,
    /// The object's last write has this revision.
    Revision(Revision),
}

/// A conditional write.
#[derive(Debug, Clone, Copy)]
pub struct ConditionalWrite<'a> {
    /// The key.
    pub key: &'a str,
    /// What must hold.
    pub precondition: Precondition,
    /// The identifier of this write.
    pub write_id: &'a str,
    /// The new value as JSON text; `None` deletes.
    pub value: Option<&'a str>,
}

/// Whether an instance is to be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It is live.
    Live,
    /// It is leaving.
    Leaving,
}

/// One line of the instance list; the list lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's name.
    pub name: String,
    /// The role of the system's process on it.
    pub role: Role,
    /// Its availability zone.
    pub zone: String,
    /// The address of the system's process, IP number and port.
    pub address: String,
    /// Whether it is to be used.
    pub state: InstanceState,
}

/// Why a call to the store gave no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The condition did not hold; the object as it stands, if it is there.
    Conflict(Option<Object>),
    /// The store did not take the call, and it had no effect.
    Refused(String),
    /// No answer came: a write may have taken effect, now or later.
    Indeterminate(String),
    /// The answer cannot be read.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(_) => out.write_str("the object has changed"),
            Self::Refused(why) => write!(out, "the store refused the call: {why}"),
            Self::Indeterminate(why) => write!(out, "the store did not answer: {why}"),
            Self::Malformed(why) => write!(out, "the store's answer cannot be read: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The platform's object API and instance list.
pub trait Store: fmt::Debug + Send + Sync {
    /// Returns an object, or `None` if the key is not there.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>, StoreError>>;

    /// Returns all objects whose keys begin with `prefix`.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, StoreError>>;

    /// Writes or deletes an object and returns the revision of the write.
    fn put<'a>(
        &'a self,
        change: ConditionalWrite<'a>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>>;

    /// Waits up to `wait` for writes under `prefix` after `after`, and returns them.
    ///
    /// The listing is empty, with the store's revision, if the time runs out.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Millis,
    ) -> BoxFuture<'a, Result<Listing, StoreError>>;

    /// Returns the instance list.
    fn instances(&self) -> BoxFuture<'_, Result<Vec<Instance>, StoreError>>;
}
