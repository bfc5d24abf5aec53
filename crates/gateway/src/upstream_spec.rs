//! What is known of an upstream from the list of upstreams.

use std::net::SocketAddr;
use std::sync::Arc;

/// An entry of the list of upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// The identifier, unique among those that live.
    pub id: Arc<str>,
    /// The start of its process, in milliseconds since the Unix epoch; tells two processes of one
    /// identifier apart.
    pub started_at: u64,
    /// The service.
    pub service: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Its place in a rank group, if it is in one.
    pub group: Option<GroupMembership>,
}

/// A place in a rank group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupMembership {
    /// The name of the group.
    pub name: Arc<str>,
    /// The rank, from 0.
    pub rank: usize,
    /// Whether a rank of the group is missing, so that none works.
    pub broken: bool,
}
