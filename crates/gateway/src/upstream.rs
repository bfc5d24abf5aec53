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
    pub born: u64,
    /// The service.
    pub service: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}
