//! Decisions of a gateway that sends requests straight to upstreams, without an agent before each.
//!
//! Each module names the load pattern that it answers. None does I/O: observations and the time go in,
//! decisions come out.

mod admission;
mod balancer;
mod caller_timeouts;
mod cold_start;
mod crashes;
mod hold;
mod limit_state;
mod overtaking;
mod permits;
mod place_share;
mod policy;
mod queue;
mod rank_groups;
mod request;
mod returns;
mod upstream_set;
mod upstream_spec;
mod withdrawal;
mod zones;

pub use balancer::{Balancer, BalancerSettings};
pub use caller_timeouts::CallerTimeouts;
pub use cold_start::ColdService;
pub use crashes::{CRASH_RETENTION, Crash, CrashRecords, CrashedAttempt};
pub use permits::{PermitAsk, PermitReply};
pub use policy::Policy;
pub use request::{Decision, PlacementRequest, QueueDecision, RequestNumber};
pub use upstream_set::{
    AttemptEnd, GroupMembers, LoadReport, Needs, UpstreamCounts, UpstreamHealth, UpstreamId,
    UpstreamSet, UpstreamState,
};
pub use upstream_spec::{GroupMembership, UpstreamSpec};
pub use zones::{AllowedRegions, ZoneChanges};
