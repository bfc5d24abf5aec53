//! One service: its upstreams, its queues and what is known of its requests.

use std::collections::VecDeque;
use std::sync::Arc;

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::Digest;

use crate::affinity::Affinity;
use crate::budget::RetryBudget;
use crate::classes::Classes;
use crate::estimate::ServiceTime;
use crate::events::RequestNumber;
use crate::fleet::Fleet;
use crate::slot::Room;

/// The share of retries of a service that is not described, in thousandths.
const RETRY_MILLI: u32 = 100;

/// A service.
#[derive(Debug)]
pub(crate) struct Pool {
    /// The upstreams in the entry's zone.
    pub(crate) near: Members,
    /// The upstreams in other zones.
    pub(crate) far: Members,
    /// The requests that wait.
    pub(crate) classes: Classes,
    /// The suspects that wait for an upstream of their own.
    pub(crate) apart: VecDeque<RequestNumber>,
    /// How long requests take.
    pub(crate) times: ServiceTime,
    /// The retries that are left.
    pub(crate) budget: RetryBudget,
    /// Where prompt prefixes are cached.
    pub(crate) affinity: Affinity,
    /// The room that no upstream had when it was last asked for, until something changes.
    pub(crate) full: Option<Room>,
    /// The upstream that alone may have room since then, because an attempt there has ended.
    pub(crate) freed: Option<usize>,
    /// Since when no upstream takes work; `None` while one does.
    pub(crate) absent: Option<Millis>,
}

/// Upstreams with what rendezvous hashing needs of them.
#[derive(Debug, Default)]
pub(crate) struct Members {
    /// Their positions in the fleet.
    pub(crate) places: Vec<u32>,
    /// The hashes of their names, in the same order.
    pub(crate) hashes: Vec<u64>,
}

/// The services by name.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    /// The services; the position serves as number inside the decisions.
    pub(crate) list: Vec<Pool>,
    names: Map<Arc<str>, u32>,
}

impl Pools {
    /// Returns the position of a service.
    pub(crate) fn place(&self, service: &str) -> Option<usize> {
        self.names.get(service).map(|at| *at as usize)
    }

    /// Returns the position of a service, which is made if it is new.
    pub(crate) fn at(&mut self, now: Millis, service: &Arc<str>) -> usize {
        if let Some(at) = self.place(service) {
            return at;
        }
        self.list.push(Pool::new(now));
        let at = self.list.len() - 1;
        self.names.insert(Arc::clone(service), at as u32);
        at
    }

    /// Sorts the upstreams in force into their services; `zone` is the entry's.
    pub(crate) fn assign(&mut self, now: Millis, fleet: &Fleet, zone: &str) {
        for pool in &mut self.list {
            pool.near = Members::default();
            pool.far = Members::default();
        }
        for (at, slot) in fleet
            .slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| slot.listed)
        {
            let pool = self.at(now, &slot.info.service);
            let pool = &mut self.list[pool];
            let members = if &*slot.info.zone == zone {
                &mut pool.near
            } else {
                &mut pool.far
            };
            members.places.push(at as u32);
            members.hashes.push(name_hash(&slot.info.name));
        }
        for pool in &mut self.list {
            pool.count(now, fleet);
        }
    }
}

impl Pool {
    fn new(now: Millis) -> Self {
        Self {
            near: Members::default(),
            far: Members::default(),
            classes: Classes::default(),
            apart: VecDeque::new(),
            times: ServiceTime::default(),
            budget: RetryBudget::new(RETRY_MILLI),
            affinity: Affinity::default(),
            full: None,
            freed: None,
            absent: Some(now),
        }
    }

    /// Returns the positions of all upstreams, those in the entry's zone first.
    pub(crate) fn members(&self) -> impl Iterator<Item = usize> {
        self.near
            .places
            .iter()
            .chain(&self.far.places)
            .map(|at| *at as usize)
    }

    /// Notes whether any upstream takes work.
    pub(crate) fn count(&mut self, now: Millis, fleet: &Fleet) {
        let any = self.members().any(|at| fleet.slots[at].live());
        self.absent = match (any, self.absent) {
            (true, _) => None,
            (false, Some(since)) => Some(since),
            (false, None) => Some(now),
        };
    }

    /// Returns whether it is known that no upstream has this room.
    pub(crate) fn lacks(&self, room: Room) -> bool {
        self.full.is_some_and(|full| room <= full)
    }

    /// Returns whether any request waits.
    pub(crate) fn waits(&self) -> bool {
        self.classes.waits() || !self.apart.is_empty()
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
