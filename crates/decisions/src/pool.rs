//! The upstream pool of one service, with its queues and request statistics.

use std::collections::VecDeque;
use std::sync::Arc;

use sardinepin_common::{Map, Millis};
use sardinepin_protocol::Digest;

use crate::affinity::Affinity;
use crate::classes::Classes;
use crate::estimate::ServiceTime;
use crate::events::RequestNumber;
use crate::fleet::Fleet;
use crate::retry_budget::{BudgetSettings, RetryBudget};
use crate::upstream::Overcommit;

/// The retries per first attempt of a service without configuration, in thousandths.
const DEFAULT_RETRY_MILLI: u32 = 100;

/// The retries that may be saved up, as a share of those that the requests of the last window earn.
const SAVED_SHARE: f64 = 0.25;

/// The upstream pool of one service.
#[derive(Debug)]
pub(crate) struct Pool {
    /// The upstreams in the entry's zone.
    pub(crate) same_zone: Members,
    /// The upstreams in other zones.
    pub(crate) other_zones: Members,
    /// The queued requests by class.
    pub(crate) classes: Classes,
    /// The suspects that wait for an upstream on which they run alone.
    pub(crate) isolated: VecDeque<RequestNumber>,
    /// The estimated service time of requests.
    pub(crate) service_time: ServiceTime,
    /// The retries per first attempt, in thousandths; with 0 there are none at all.
    pub(crate) retry_milli: u32,
    /// The remaining retries.
    retry_budget: RetryBudget,
    /// The upstreams that have prompt prefixes cached.
    pub(crate) affinity: Affinity,
    /// The highest overcommit at which no upstream had capacity; `None` after a change that may have
    /// freed some.
    pub(crate) exhausted: Option<Overcommit>,
    /// The only upstream that may have gained capacity since then, because an attempt on it ended.
    pub(crate) freed_upstream: Option<usize>,
    /// Since when no upstream takes work; `None` while one does.
    pub(crate) unavailable_since: Option<Millis>,
}

/// Upstreams and their hashes for rendezvous hashing.
#[derive(Debug, Default)]
pub(crate) struct Members {
    /// Their positions in the fleet.
    pub(crate) indices: Vec<u32>,
    /// The hashes of their names, in the same order.
    pub(crate) name_hashes: Vec<u64>,
}

/// The pools by service.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    /// The pools. This crate refers to a pool by its position, which never changes.
    pub(crate) list: Vec<Pool>,
    indices: Map<Arc<str>, u32>,
    /// The settings of retry budgets.
    retry: BudgetSettings,
    /// This entry's position among those that share retry budgets, from 0 to 1.
    position: f64,
    /// The number of entries that share retry budgets; `None` if unknown.
    entries: Option<f64>,
}

impl Pools {
    /// Returns no pools, for the entry at `position` among those that share retry budgets.
    pub(crate) fn new(position: f64, retry: BudgetSettings) -> Self {
        Self {
            position,
            retry,
            ..Self::default()
        }
    }

    /// Records how many entries share the retry budgets.
    pub(crate) fn record_entries(&mut self, now: Millis, entries: f64) {
        self.entries = Some(entries);
        for pool in &mut self.list {
            pool.retry_budget.record_nodes(now, entries);
        }
    }

    /// Returns the position of a service's pool; `None` if there is none yet.
    pub(crate) fn index_of(&self, service: &str) -> Option<usize> {
        self.indices.get(service).map(|index| *index as usize)
    }

    /// Returns the position of a service's pool, which is added if it is new.
    pub(crate) fn index_or_insert(&mut self, now: Millis, service: &Arc<str>) -> usize {
        if let Some(index) = self.index_of(service) {
            return index;
        }
        let mut pool = Pool::new(now, self.position, &self.retry);
        if let Some(entries) = self.entries {
            pool.retry_budget.record_nodes(now, entries);
        }
        self.list.push(pool);
        let index = self.list.len() - 1;
        self.indices.insert(Arc::clone(service), index as u32);
        index
    }

    /// Assigns the configured upstreams to the pools; `zone` is the zone of the entry.
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
    fn new(now: Millis, position: f64, retry: &BudgetSettings) -> Self {
        Self {
            same_zone: Members::default(),
            other_zones: Members::default(),
            classes: Classes::default(),
            isolated: VecDeque::new(),
            service_time: ServiceTime::default(),
            retry_milli: DEFAULT_RETRY_MILLI,
            retry_budget: RetryBudget::new(now, position, retry),
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

    /// Updates since when no upstream takes work.
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

    /// Returns whether it is known that no upstream has capacity at this overcommit.
    pub(crate) fn is_exhausted(&self, overcommit: Overcommit) -> bool {
        self.exhausted
            .is_some_and(|exhausted| overcommit <= exhausted)
    }

    /// Returns the retry budget and its settings; the ratio in `settings` is replaced by that of the service.
    pub(crate) fn retry_budget(
        &mut self,
        settings: &BudgetSettings,
    ) -> (&mut RetryBudget, BudgetSettings) {
        let settings = match self.retry_milli {
            0 => BudgetSettings {
                ratio: 0.0,
                saved_ratio: 0.0,
                shared_slack: 0.0,
                initial: 0.0,
                ..*settings
            },
            milli => {
                let ratio = f64::from(milli) / 1_000.0;
                BudgetSettings {
                    ratio,
                    saved_ratio: ratio * SAVED_SHARE,
                    ..*settings
                }
            }
        };
        (&mut self.retry_budget, settings)
    }

    /// Returns whether any request waits, queued or isolated.
    pub(crate) fn has_waiting(&self) -> bool {
        self.classes.has_waiting() || !self.isolated.is_empty()
    }
}

/// Returns the hash of an upstream's name, which is the same at every entry.
fn name_hash(name: &str) -> u64 {
    digest_hash(&Digest::of(&[name.as_bytes()]))
}

/// Returns the first eight bytes of a digest as a little-endian number.
pub(crate) fn digest_hash(digest: &Digest) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.0[..8]);
    u64::from_le_bytes(bytes)
}
