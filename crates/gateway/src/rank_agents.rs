//! The interface to the agents beside the ranks of groups, independent of the transport.

use std::fmt;
use std::net::SocketAddr;

use sardinepin_protocol::{GroupDemand, GroupLoad, PermitGrant, PermitRequest};
use sardinepin_store::BoxFuture;

/// The agents beside the ranks of groups, each identified by the address of its engine.
pub trait RankAgents: fmt::Debug + Send + Sync {
    /// Queries the load of a group on behalf of the gateway `gateway`, and tells the agent what the gateway has received for the group;
    /// `None` if the agent does not reply in time.
    fn load(
        &self,
        engine: SocketAddr,
        gateway: u64,
        demand: GroupDemand,
    ) -> BoxFuture<'_, Option<GroupLoad>>;

    /// Requests permits for an upstream that has named a limit; `None` if the agent does not reply in time.
    fn permits(
        &self,
        engine: SocketAddr,
        request: PermitRequest,
    ) -> BoxFuture<'_, Option<PermitGrant>>;
}
