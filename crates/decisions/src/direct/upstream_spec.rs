//! The description of an upstream in the list of upstreams.

use std::net::SocketAddr;
use std::sync::Arc;

use sardinepin_common::Millis;

/// An entry of the list of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// The identifier, unique among running upstreams.
    pub id: Arc<str>,
    /// The start of its process, in milliseconds since the Unix epoch; distinguishes two processes
    /// with the same identifier.
    pub started_at: u64,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The address that accepts requests.
    pub address: SocketAddr,
    /// The availability zone that it runs in.
    pub zone: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is shutting down and takes no new requests.
    pub draining: bool,
    /// How much longer it is cold, as far as its entry says.
    pub cold_remaining: Option<Millis>,
    /// Its rank group, or `None` if it serves on its own.
    pub group: Option<GroupMembership>,
}

/// The membership in a rank group: the upstreams that serve one model together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupMembership {
    /// The name of the group.
    pub name: Arc<str>,
    /// The rank of the upstream in the group, from 0.
    pub rank: usize,
    /// Whether a rank of the group is missing, so that no rank can serve.
    pub broken: bool,
}
