//! Where a gateway learns its configuration and its upstreams.

use std::fmt;
use std::sync::Arc;

use sardinepin_common::Millis;
use sardinepin_store::BoxFuture;

use crate::crashes::Crash;
use crate::manifest::Manifest;
use crate::upstream_spec::UpstreamSpec;

/// A whole reading, complete up to a revision.
#[derive(Debug, Clone)]
pub struct ObjectBatch<T> {
    /// The revision of the store.
    pub revision: u64,
    /// What was read.
    pub items: Vec<StoredObject<T>>,
}

/// One object, as it was read or as it changed.
#[derive(Debug, Clone)]
pub struct StoredObject<T> {
    /// The name of the object.
    pub name: Arc<str>,
    /// The revision of its last change.
    pub revision: u64,
    /// Its content; `None` if it is gone or cannot be read.
    pub value: Option<T>,
}

/// Why a reading failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The source did not answer, or answered that it cannot serve.
    Unavailable(String),
    /// Changes after the revision asked for are not kept any more.
    HistoryExpired,
    /// The answer cannot be read.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(why) => write!(out, "the store cannot be used: {why}"),
            Self::HistoryExpired => out.write_str("the store has dropped the changes asked for"),
            Self::Malformed(why) => write!(out, "the store's answer cannot be read: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The result of a call to a source.
pub type ReadFuture<'a, T> = BoxFuture<'a, Result<ObjectBatch<T>, StoreError>>;

/// The result of a write; to make it again changes nothing.
pub type WriteFuture<'a> = BoxFuture<'a, Result<(), StoreError>>;

/// Reads and watches the configuration, the list of upstreams and their crashes.
pub trait GatewayStore: fmt::Debug + Send + Sync {
    /// Reads the configuration; the reading holds one item, or none if there is no configuration.
    fn manifest(&self) -> ReadFuture<'_, Manifest>;

    /// Waits up to `wait` for changes of the configuration after `revision`.
    fn watch_manifest(&self, revision: u64, wait: Millis) -> ReadFuture<'_, Manifest>;

    /// Reads the list of upstreams.
    fn upstreams(&self) -> ReadFuture<'_, UpstreamSpec>;

    /// Waits up to `wait` for changes of the list of upstreams after `revision`.
    fn watch_upstreams(&self, revision: u64, wait: Millis) -> ReadFuture<'_, UpstreamSpec>;

    /// Reads the crashes that gateways have shared.
    fn crashes(&self) -> ReadFuture<'_, Crash>;

    /// Waits up to `wait` for crashes shared or forgotten after `revision`.
    fn watch_crashes(&self, revision: u64, wait: Millis) -> ReadFuture<'_, Crash>;

    /// Shares a crash; one that is shared already is left as it is.
    fn add_crash<'a>(&'a self, crash: &'a Crash) -> WriteFuture<'a>;

    /// Forgets a crash; one that is not there is no error.
    fn remove_crash<'a>(&'a self, name: &'a str) -> WriteFuture<'a>;
}
