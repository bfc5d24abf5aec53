//! Which availability zones get no requests, how a zone returns, and the regions that a request may go to.
//!
//! This answers a zone that operators evacuate under load: its upstreams keep running and seem to have capacity, and when it returns
//! all gateways see an empty zone at the same moment.

use std::sync::Arc;

use sardinepin_common::{Map, Millis, Set};
use sardinepin_protocol::ErrorKind;

use crate::direct::balancer::Balancer;
use crate::direct::request::QueueDecision;
use crate::direct::upstream_set::{Needs, UpstreamId, UpstreamSet, UpstreamState};

/// The time in which the share of slots used in a zone rises to all of them after its evacuation.
const RETURN_TIME: Millis = Millis(2_000);

/// The part of `RETURN_TIME` within which gateways begin to use an upstream again, each at its own time.
const START_SHARE: f64 = 0.5;

/// Spreads the start times over the upstreams of one gateway: multiples of the golden ratio are spread evenly.
const START_STEP: f64 = 0.618_033_988_749_895;

/// The regions that a request may go to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions(Option<Arc<[Arc<str>]>>);

impl AllowedRegions {
    /// Returns the restriction to `names`; there is none if the list is empty.
    #[must_use]
    pub fn new(names: Vec<Arc<str>>) -> Self {
        Self((!names.is_empty()).then(|| names.into()))
    }

    /// Returns the restriction to regions that both allow, which may be none at all.
    #[must_use]
    pub fn both(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(one), Some(other)) => {
                let common = one.iter().filter(|name| other.contains(name));
                Self(Some(common.map(Arc::clone).collect()))
            }
        }
    }

    /// Returns whether only some regions are allowed.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    fn allows(&self, region: Option<&Arc<str>>) -> bool {
        let Some(names) = &self.0 else { return true };
        region.is_some_and(|region| names.contains(region))
    }
}

/// The zones whose evacuation has begun or ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneChanges {
    /// Zones that get no more requests.
    pub evacuated: Vec<Arc<str>>,
    /// Zones that get requests again.
    pub restored: Vec<Arc<str>>,
}

/// The state of all zones.
#[derive(Debug, Default)]
pub(super) struct Zones {
    evacuated: Set<Arc<str>>,
    /// When the evacuation of each zone ended.
    returned: Map<Arc<str>, Millis>,
    /// The region of each zone.
    regions: Map<Arc<str>, Arc<str>>,
    /// From 0 to 1; differs between gateways.
    position: f64,
}

impl Zones {
    pub(super) fn new(regions: Map<Arc<str>, Arc<str>>, position: f64) -> Self {
        Self {
            regions,
            position,
            ..Self::default()
        }
    }

    /// Replaces the set of evacuated zones; returns what changed, in order of names.
    fn replace_evacuated(&mut self, now: Millis, zones: Set<Arc<str>>) -> ZoneChanges {
        self.returned
            .retain(|_, ended| now.since(*ended) < RETURN_TIME);
        let begun = zones.iter().filter(|zone| !self.evacuated.contains(*zone));
        let ended = self.evacuated.iter().filter(|zone| !zones.contains(*zone));
        let mut changes = ZoneChanges {
            evacuated: begun.map(Arc::clone).collect(),
            restored: ended.map(Arc::clone).collect(),
        };
        changes.evacuated.sort();
        changes.restored.sort();
        for zone in &changes.evacuated {
            self.returned.remove(zone);
        }
        for zone in &changes.restored {
            self.returned.insert(Arc::clone(zone), now);
        }
        self.evacuated = zones;
        changes
    }

    /// Returns whether a zone gets no requests.
    pub(super) fn is_evacuated(&self, zone: &str) -> bool {
        !self.evacuated.is_empty() && self.evacuated.contains(zone)
    }

    /// Returns whether a zone lies in one of the allowed regions. A zone whose region is unknown lies in none.
    pub(super) fn allows(&self, zone: &str, allowed: &AllowedRegions) -> bool {
        !allowed.is_restricted() || allowed.allows(self.regions.get(zone))
    }

    /// Returns how many of its slots an upstream gets requests for, after the evacuation of its zone has ended.
    ///
    /// Each gateway starts at a time of its own, so that not all of them use the first slots at the same moment.
    pub(super) fn open_slots(&self, now: Millis, id: UpstreamId, zone: &str, slots: u32) -> f64 {
        let all = f64::from(slots);
        let Some(ended) = self.ended_at(now, zone) else {
            return all;
        };
        let start = (self.position + START_STEP * f64::from(id.0)).fract() * START_SHARE;
        let elapsed = now.since(ended).as_f64() / RETURN_TIME.as_f64();
        let share = (elapsed - start) / (1.0 - start);
        match share > 0.0 {
            true => (all * share).clamp(1.0, all.max(1.0)),
            false => 0.0,
        }
    }

    /// Returns when the evacuation of a zone that is returning ended.
    fn ended_at(&self, now: Millis, zone: &str) -> Option<Millis> {
        if self.returned.is_empty() {
            return None;
        }
        let ended = *self.returned.get(zone)?;
        (now.since(ended) < RETURN_TIME).then_some(ended)
    }

    /// Returns whether a request that waits may have lost its last upstream to an evacuation or to its regions.
    pub(super) fn may_exclude(&self, allowed: &AllowedRegions) -> bool {
        !self.evacuated.is_empty() || allowed.is_restricted()
    }
}

impl UpstreamSet {
    /// Returns whether neither an evacuation nor the regions of a request keep it from an upstream.
    pub(super) fn is_zone_open(&self, upstream: &UpstreamState, allowed: &AllowedRegions) -> bool {
        let zone = &upstream.spec.zone;
        !self.zones().is_evacuated(zone) && self.zones().allows(zone, allowed)
    }

    /// Returns why a request that has no usable upstream is refused.
    pub(super) fn unusable_reason(&self, now: Millis, needs: &Needs<'_>) -> ErrorKind {
        let zones = self.zones();
        if !zones.may_exclude(needs.regions) {
            return ErrorKind::NoUpstream;
        }
        // Upstreams that work but for the exclusion, and all that are excluded, by reason.
        let (mut evacuated, mut all_evacuated) = (0, 0);
        let (mut outside, mut all_outside) = (0, 0);
        let mut others = 0;
        for (id, upstream) in self.in_service(needs.service) {
            if upstream.is_leaving() || needs.tried.contains(&id) {
                continue;
            }
            let works = usize::from(self.works(now, upstream));
            if !zones.allows(&upstream.spec.zone, needs.regions) {
                all_outside += 1;
                outside += works;
            } else if zones.is_evacuated(&upstream.spec.zone) {
                all_evacuated += 1;
                evacuated += works;
            } else {
                others += 1;
            }
        }
        if evacuated > 0 || (others == 0 && all_evacuated > 0) {
            ErrorKind::ZonesEvacuated
        } else if (others == 0 && all_outside > 0) || outside > 0 {
            ErrorKind::RegionNotAllowed
        } else {
            ErrorKind::NoUpstream
        }
    }
}

impl Balancer {
    /// Replaces the set of evacuated zones; returns what changed, and the decisions on queued requests that this allows or requires.
    pub fn replace_evacuated(
        &mut self,
        now: Millis,
        zones: Set<Arc<str>>,
    ) -> (ZoneChanges, Vec<QueueDecision>) {
        let changes = self
            .upstreams_mut()
            .zones_mut()
            .replace_evacuated(now, zones);
        (changes, self.process_queues(now))
    }

    /// Returns whether a zone gets no requests.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.upstreams().zones().is_evacuated(zone)
    }
}
