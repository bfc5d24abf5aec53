//! The agents beside the ranks: who asks them, and the product's allocators of permits.

use sardinepin_common::{Map, Millis};
use sardinepin_decisions::{NodeCount, PermitAllocator};
use sardinepin_protocol::{PermitGrant, PermitRequest, UpstreamLimit};

use crate::bounds::network::Network;
use crate::bounds::upstreams::Upstreams;

/// How long a sender counts as a reader of the load after its last query.
const READER_RETENTION: Millis = Millis(3_000);

/// The agents, by the position of the upstream beside which each runs.
#[derive(Debug)]
pub(super) struct Agents {
    /// When each sender last asked.
    readers: Vec<Map<usize, Millis>>,
    /// The most senders that each has heard of lately.
    largest: Vec<NodeCount>,
    allocators: Vec<PermitAllocator>,
    /// The requests for permits so far.
    pub(super) permit_requests: u64,
}

impl Agents {
    /// Creates agents that nobody has asked.
    pub(super) fn new(total: usize) -> Self {
        Self {
            readers: vec![Map::default(); total],
            largest: (0..total).map(|_| NodeCount::default()).collect(),
            allocators: (0..total).map(|_| PermitAllocator::default()).collect(),
            permit_requests: 0,
        }
    }

    /// Restarts an agent, which forgets everything.
    pub(super) fn restart(&mut self, agent: usize) {
        self.readers[agent].clear();
        self.largest[agent] = NodeCount::default();
        self.allocators[agent] = PermitAllocator::default();
    }

    /// Answers a request for permits.
    pub(super) fn grant(
        &mut self,
        now: Millis,
        agent: usize,
        request: &PermitRequest,
    ) -> PermitGrant {
        self.permit_requests += 1;
        self.allocators[agent].handle(now, request)
    }

    /// Returns what the agents of a group know of limits.
    pub(super) fn limits(
        &self,
        now: Millis,
        members: std::ops::Range<usize>,
    ) -> Vec<UpstreamLimit> {
        let members = self.allocators[members].iter();
        members.flat_map(|agent| agent.limits(now)).collect()
    }

    /// Returns the agent of a group that a sender asks: one in its zone, or else any that it reaches.
    pub(super) fn reachable(
        now: Millis,
        group: usize,
        sender: usize,
        zone: usize,
        network: &Network,
        upstreams: &Upstreams,
    ) -> Option<usize> {
        let is_reachable = |agent: &usize| {
            network.connects(now, zone, upstreams.zone(*agent))
                && upstreams.reads_at(*agent, now) == now
        };
        let all: Vec<usize> = upstreams.members(group).filter(is_reachable).collect();
        let is_near = |agent: &&usize| upstreams.zone(**agent) == zone;
        let near: Vec<usize> = all.iter().filter(is_near).copied().collect();
        let choice = if near.is_empty() { &all } else { &near };
        choice.get(sender % choice.len().max(1)).copied()
    }

    /// Records that a sender has asked an agent; returns how many senders read the load of the group, as far as the agents on
    /// one side of a cut know.
    pub(super) fn count_readers(
        &mut self,
        now: Millis,
        agent: usize,
        sender: usize,
        network: &Network,
        upstreams: &Upstreams,
    ) -> u32 {
        self.readers[agent].insert(sender, now);
        let zone = upstreams.zone(agent);
        let mut count = 0;
        for member in upstreams.members(upstreams.group(agent)) {
            let readers = &mut self.readers[member];
            readers.retain(|_, at| now.since(*at) <= READER_RETENTION);
            if network.connects(now, zone, upstreams.zone(member)) {
                count += readers.len();
            }
        }
        let largest = &mut self.largest[agent];
        largest.record(now, count as f64);
        largest.known().unwrap_or_default() as u32
    }
}
