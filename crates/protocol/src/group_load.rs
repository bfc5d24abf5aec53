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

/// The number of priorities; 0 is the most urgent.
pub const PRIORITIES: usize = 10;

/// The share that stands for all arrivals in [`AdmissionLevel::shares`].
pub const SHARE_FULL: u8 = u8::MAX;

/// How much new work a rank group takes, decided by its coordinator for all gateways.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AdmissionLevel {
    /// The new requests per second that the group takes from all gateways together.
    pub admitted_per_s: u32,
    /// The requests per second that the group completes.
    pub completed_per_s: u32,
    /// The share of arrivals that is admitted, by priority, where [`SHARE_FULL`] is all of them; the last one also applies to less
    /// urgent priorities.
    pub shares: Vec<u8>,
}

impl AdmissionLevel {
    /// Returns the admitted share of the arrivals of a priority, from 0 to 1.
    #[must_use]
    pub fn share(&self, priority: u8) -> f64 {
        let share = self.shares.get(usize::from(priority));
        let share = share.or(self.shares.last()).copied();
        f64::from(share.unwrap_or(SHARE_FULL)) / f64::from(SHARE_FULL)
    }
}

/// The demand for a rank group: from a gateway since its last query, or from an agent's gateways since the agent started.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct GroupDemand {
    /// The requests that arrived, by priority, up to the least urgent one in use.
    pub arrived: Vec<u64>,
    /// The attempts at ranks of the group that ended.
    pub ended: u64,
}

impl GroupDemand {
    /// Adds the demand from another sender.
    pub fn add(&mut self, other: &Self) {
        let priorities = self.arrived.len().max(other.arrived.len());
        self.arrived.resize(priorities.min(PRIORITIES), 0);
        for (sum, arrived) in self.arrived.iter_mut().zip(&other.arrived) {
            *sum = sum.saturating_add(*arrived);
        }
        self.ended = self.ended.saturating_add(other.ended);
    }
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
    /// The term of the coordinator that took the sample.
    pub term: u64,
    /// How much new work the group takes; `None` if it takes all.
    pub level: Option<AdmissionLevel>,
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
