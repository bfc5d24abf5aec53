//! One service: its upstreams, its queues and what is known of its requests.

use std::collections::VecDeque;
use std::sync::Arc;

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::Digest;

use crate::affinity::Affinity;
use crate::classes::Classes;
use crate::estimate::ServiceTime;
use crate::events::RequestNumber;
use crate::fleet::Fleet;
use crate::retry_budget::RetryBudget;
use crate::upstream::Overcommit;

/// The share of retries of a service that is not described, in thousandths.
const DEFAULT_RETRY_MILLI: u32 = 100;

/// A service.
#[derive(Debug)]
pub(crate) struct Pool {
    /// The upstreams in the entry's zone.
    pub(crate) same_zone: Members,
    /// The upstreams in other zones.
    pub(crate) other_zones: Members,
    /// The requests that wait.
    pub(crate) classes: Classes,
    /// The suspects that wait for an upstream of their own.
    pub(crate) isolated: VecDeque<RequestNumber>,
    /// How long requests take.
    pub(crate) service_time: ServiceTime,
    /// The retries that are left.
    pub(crate) retry_budget: RetryBudget,
    /// Where prompt prefixes are cached.
    pub(crate) affinity: Affinity,
    /// The room that no upstream had when it was last asked for, until something changes.
    pub(crate) exhausted: Option<Overcommit>,
    /// The upstream that alone may have room since then, because an attempt there has ended.
    pub(crate) freed_upstream: Option<usize>,
    /// Since when no upstream takes work; `None` while one does.
    pub(crate) unavailable_since: Option<Millis>,
}

/// Upstreams with what rendezvous hashing needs of them.
#[derive(Debug, Default)]
pub(crate) struct Members {
    /// Their positions in the fleet.
    pub(crate) indices: Vec<u32>,
    /// The hashes of their names, in the same order.
    pub(crate) name_hashes: Vec<u64>,
}

/// The services by name.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    /// The services; the position serves as number inside the decisions.
    pub(crate) list: Vec<Pool>,
    indices: Map<Arc<str>, u32>,
}

impl Pools {
    /// Returns the position of a service.
    pub(crate) fn index_of(&self, service: &str) -> Option<usize> {
        self.indices.get(service).map(|index| *index as usize)
    }

    /// Returns the position of a service, which is made if it is new.
    pub(crate) fn index_or_insert(&mut self, now: Millis, service: &Arc<str>) -> usize {
        if let Some(index) = self.index_of(service) {
            return index;
        }
        self.list.push(Pool::new(now));
        let index = self.list.len() - 1;
        self.indices.insert(Arc::clone(service), index as u32);
        index
    }

    /// Sorts the upstreams in force into their services; `zone` is the entry's.
    pub(crate) fn assign_upstreams(&mut self, now: Millis, fleet: &Fleet, zone: &str) {
        for pool in &mut self.list {
            pool.same_zone = Members::default();
            pool.other_zones = Members::default();
        }
        for (index, upstream) in fleet
            .upstreams
            .iter()
            .enumerate()
            .filter(|(_, upstream)| upstream.configured)
        {
            let pool = self.index_or_insert(now, &upstream.info.service);
            let pool = &mut self.list[pool];
            let members = if &*upstream.info.zone == zone {
                &mut pool.same_zone
            } else {
                &mut pool.other_zones
            };
            members.indices.push(index as u32);
            members.name_hashes.push(name_hash(&upstream.info.name));
        }
        for pool in &mut self.list {
            pool.update_availability(now, fleet);
        }
    }
}

impl Pool {
    fn new(now: Millis) -> Self {
        Self {
            same_zone: Members::default(),
            other_zones: Members::default(),
            classes: Classes::default(),
            isolated: VecDeque::new(),
            service_time: ServiceTime::default(),
            retry_budget: RetryBudget::new(DEFAULT_RETRY_MILLI),
            affinity: Affinity::default(),
            exhausted: None,
            freed_upstream: None,
            unavailable_since: Some(now),
        }
    }

    /// Returns the positions of all upstreams, those in the entry's zone first.
    pub(crate) fn members(&self) -> impl Iterator<Item = usize> {
        self.same_zone
            .indices
            .iter()
            .chain(&self.other_zones.indices)
            .map(|index| *index as usize)
    }

    /// Notes whether any upstream takes work.
    pub(crate) fn update_availability(&mut self, now: Millis, fleet: &Fleet) {
        let any = self
            .members()
            .any(|index| fleet.upstreams[index].accepts_work());
        self.unavailable_since = match (any, self.unavailable_since) {
            (true, _) => None,
            (false, Some(since)) => Some(since),
            (false, None) => Some(now),
        };
    }

    /// Returns whether it is known that no upstream has this room.
    pub(crate) fn is_exhausted(&self, room: Overcommit) -> bool {
        self.exhausted.is_some_and(|full| room <= full)
    }

    /// Returns whether any request waits.
    pub(crate) fn has_waiting(&self) -> bool {
        self.classes.has_waiting() || !self.isolated.is_empty()
    }
}

/// Returns the hash of an upstream's name, the same at every entry.
fn name_hash(name: &str) -> u64 {
    digest_hash(&Digest::of(&[name.as_bytes()]))
}

/// Returns the first eight bytes of a digest as a number.
pub(crate) fn digest_hash(digest: &Digest) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.0[..8]);
    u64::from_le_bytes(bytes)
}
