//! The store from which a gateway reads its configuration and upstreams, and through which gateways
//! share crashes.

use std::fmt;
use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_store::BoxFuture;

use crate::manifest::Manifest;
use sardinepin_decisions::direct::Crash;
use sardinepin_decisions::direct::UpstreamSpec;

/// The objects returned by a read, or the changes returned by a watch.
#[derive(Debug, Clone)]
pub struct ObjectBatch<T> {
    /// How many times the store has come back from an older copy of its data. Revisions of different
    /// eras cannot be compared.
    pub era: u64,
    /// The store revision up to which the batch is complete.
    pub revision: u64,
    /// The objects read or changed.
    pub items: Vec<StoredObject<T>>,
}

/// One object of the store.
#[derive(Debug, Clone)]
pub struct StoredObject<T> {
    /// The name of the object.
    pub name: Arc<str>,
    /// The revision of its last change.
    pub revision: u64,
    /// Its content, or `None` if it was deleted or cannot be decoded.
    pub value: Option<T>,
    /// Whether the object exists, but cannot be decoded; its revision is 0 if that cannot be read.
    pub is_unreadable: bool,
}

/// Why a store call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GatewayStoreError {
    /// The store could not be reached, broke the call off, or responded that it cannot serve.
    Unavailable(String),
    /// The store did not respond in time.
    TimedOut,
    /// The store no longer keeps the changes after the requested revision.
    HistoryExpired,
    /// The response cannot be decoded.
    Malformed(String),
}

impl fmt::Display for GatewayStoreError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(why) => write!(out, "the store is unavailable: {why}"),
            Self::TimedOut => out.write_str("the store did not respond in time"),
            Self::HistoryExpired => {
                out.write_str("the store no longer keeps the requested changes")
            }
            Self::Malformed(why) => write!(out, "the store's response cannot be decoded: {why}"),
        }
    }
}

impl std::error::Error for GatewayStoreError {}

/// The future of a read or a watch.
pub type ReadFuture<'a, T> = BoxFuture<'a, Result<ObjectBatch<T>, GatewayStoreError>>;

/// The future of a write. Writes are idempotent, so one without a response may be repeated.
pub type WriteFuture<'a> = BoxFuture<'a, Result<(), GatewayStoreError>>;

/// The future of a claim, which is true if it is granted.
pub type ClaimFuture<'a> = BoxFuture<'a, Result<bool, GatewayStoreError>>;

/// The store operations that a gateway needs: the configuration, the upstream list, evacuations and
/// shared crashes.
pub trait GatewayStore: fmt::Debug + Send + Sync {
    /// Reads the configuration; the batch holds one object, or none if there is no configuration.
    fn manifest(&self) -> ReadFuture<'_, Manifest>;

    /// Waits up to `wait` for changes of the configuration after `revision`.
    fn watch_manifest(&self, revision: u64, wait: Millis) -> ReadFuture<'_, Manifest>;

    /// Reads the full list of upstreams.
    fn upstreams(&self) -> ReadFuture<'_, UpstreamSpec>;

    /// Waits up to `wait` for changes of the list of upstreams after `revision`.
    fn watch_upstreams(&self, revision: u64, wait: Millis) -> ReadFuture<'_, UpstreamSpec>;

    /// Reads the names of all evacuated availability zones. The read is current.
    fn evacuations(&self) -> ReadFuture<'_, ()>;

    /// Waits up to `wait` for evacuations that began or ended after `revision`.
    fn watch_evacuations(&self, revision: u64, wait: Millis) -> ReadFuture<'_, ()>;

    /// Reads all crashes that gateways have shared.
    fn crashes(&self) -> ReadFuture<'_, Crash>;

    /// Waits up to `wait` for crashes added or removed after `revision`.
    fn watch_crashes(&self, revision: u64, wait: Millis) -> ReadFuture<'_, Crash>;

    /// Adds a crash; an existing entry of the same name is left unchanged.
    fn add_crash<'a>(&'a self, crash: &'a Crash) -> WriteFuture<'a>;

    /// Removes a crash; it is not an error if there is none of that name.
    fn remove_crash<'a>(&'a self, name: &'a str) -> WriteFuture<'a>;

    /// Claims the test of this name, which is granted to one gateway only.
    fn claim_probe<'a>(&'a self, name: &'a str) -> ClaimFuture<'a>;

    /// Removes a claim; it is not an error if there is none of that name.
    fn remove_probe<'a>(&'a self, name: &'a str) -> WriteFuture<'a>;
}
