//! The load of a rank group, which its agents pass on to gateways.

use std::sync::Arc;

use sardinepin_common::Millis;
use serde::{Deserialize, Serialize};

use crate::permits::UpstreamLimit;

/// The load of one rank, as its engine reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankLoad {
    /// The number of running requests.
    pub running: u16,
    /// The number of queued requests.
    pub waiting: u16,
    /// How long the rank takes for its work compared with a healthy one, in percent; 100 is normal
    /// and more is slower.
    pub pace_percent: u16,
}

/// The load of all ranks of a group, sampled by its coordinator in one poll.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct GroupSample {
    /// The load by rank; `None` for a rank that did not reply.
    pub ranks: Vec<Option<RankLoad>>,
    /// How many gateways read the load of this group.
    pub gateways: u32,
    /// The limits that upstreams have named, as far as the agents of this group hand out permits for them.
    pub limits: Vec<UpstreamLimit>,
}

/// What an agent tells a gateway about its group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupLoad {
    /// The name of the group.
    pub group: Arc<str>,
    /// How many times the group has formed.
    pub epoch: u64,
    /// Whether the group is working.
    pub open: bool,
    /// The last step that has begun.
    pub step: u64,
    /// The last sample and its age; `None` if no coordinator has passed one on.
    pub sample: Option<(Millis, GroupSample)>,
}
