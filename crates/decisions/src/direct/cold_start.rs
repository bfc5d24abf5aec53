//! Which services bound the requests to cold upstreams, and for which of them a gateway asks for permits ahead.
//!
//! This answers upstreams that start while requests arrive, one or a zone of them at a time. They must get no more than they bear, and
//! still their part of the usual requests without a wait. A gateway asks a few of them at a time, as often as it has requests for them,
//! so that the messages grow with the requests and not with gateways times upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng as _;
use sardinepin_common::{Map, Millis};
use sardinepin_protocol::RequestRate;

use crate::direct::balancer::Balancer;
use crate::direct::limit_state::PERMIT_TTL;
use crate::direct::permits::{PermitAsk, WANTED_MAX};
use crate::direct::upstream_set::UpstreamId;
use crate::direct::upstream_spec::UpstreamSpec;

/// The time over which the requests for a service are averaged.
const DEMAND_AVERAGE_TIME: Millis = Millis(2_000);

/// How many permits are asked for ahead, for each request that is expected at cold upstreams while others take requests too.
const AHEAD_RATIO: f64 = 1.5;

/// The cold state of the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdService {
    /// The requests a second that one of them takes while it is cold; 0 for no bound.
    pub per_second: f64,
    /// How long one is cold that started during traffic and does not say how long.
    pub duration: Millis,
}

/// The bound of a service as permits keep it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ColdTerms {
    pub(super) rate: Option<RequestRate>,
    pub(super) duration: Millis,
}

/// The services that bound the requests to cold upstreams.
pub(super) type ColdServices = Map<Arc<str>, ColdTerms>;

/// The requests for one service at this gateway.
#[derive(Debug, Default)]
pub(super) struct Demand {
    per_second: f64,
    averaged_at: Millis,
    /// When a permit may be asked for ahead while other upstreams take requests too.
    ahead_at: Millis,
}

impl Demand {
    fn per_second(&self, now: Millis) -> f64 {
        let age = now.since(self.averaged_at).as_f64() / DEMAND_AVERAGE_TIME.as_f64();
        self.per_second * (-age).exp()
    }

    /// Records a request.
    pub(super) fn record(&mut self, now: Millis) {
        self.per_second = self.per_second(now) + 1_000.0 / DEMAND_AVERAGE_TIME.as_f64();
        self.averaged_at = now;
    }
}

/// The cold upstreams of one service.
#[derive(Debug, Default)]
struct ColdMembers {
    count: usize,
    /// Valid permits and requests for permits on their way.
    held: usize,
    asked: usize,
    /// Those that can be asked.
    ready: Vec<UpstreamId>,
}

impl Balancer {
    /// Sets the cold state of the upstreams of each service that names one.
    pub fn set_cold_services(
        &mut self,
        services: impl IntoIterator<Item = (Arc<str>, ColdService)>,
    ) {
        let rule = self.cold_rule();
        let services = services.into_iter().map(|(name, service)| {
            let terms = ColdTerms {
                rate: rule.permit_rate(service.per_second),
                duration: service.duration,
            };
            (name, terms)
        });
        self.upstreams_mut().set_cold_services(services.collect());
    }

    /// Records that the entry of an upstream names another end of its cold state.
    pub fn record_cold(&mut self, now: Millis, spec: &UpstreamSpec) {
        self.upstreams_mut().record_cold(now, spec);
    }

    /// Returns how many listed upstreams are cold and have a bound.
    #[must_use]
    pub fn count_cold(&self, now: Millis) -> usize {
        let limited = self.upstreams().limited();
        limited.filter(|(_, one)| one.is_cold(now)).count()
    }

    /// Returns the requests for permits for cold upstreams that should be sent now.
    pub(super) fn cold_asks(&mut self, now: Millis) -> Vec<PermitAsk> {
        let mut asks = Vec::new();
        for (service, mut cold) in self.cold_members(now) {
            let queued = self.queue_len(&service).min(WANTED_MAX);
            let wanted = queued.saturating_sub(cold.asked);
            let ahead = self.wanted_ahead(now, &service, &cold);
            let total = wanted.max(ahead);
            let chosen = total.min(cold.ready.len());
            for position in 0..chosen {
                let index = self.rng_mut().random_range(0..cold.ready.len());
                let id = cold.ready.swap_remove(index);
                let each = total.div_ceil(chosen) as u16;
                let ask = match position < wanted {
                    true => self.ask(now, id, (each, 0)),
                    false => self.ask(now, id, (0, each)),
                };
                asks.extend(ask);
            }
        }
        asks
    }

    /// Returns how many permits are wanted before there are requests for them.
    fn wanted_ahead(&mut self, now: Millis, service: &Arc<str>, cold: &ColdMembers) -> usize {
        let usable = self.upstreams().in_service(service);
        let usable = usable.filter(|(_, one)| one.is_usable(now)).count();
        let Some(demand) = self.demand_mut(service) else {
            return 0;
        };
        let share = cold.count as f64 / usable.max(cold.count) as f64;
        let per_second = demand.per_second(now) * share;
        if cold.count >= usable {
            // No other upstream takes a request that would have to wait for a permit.
            let lifetime = PERMIT_TTL.as_f64() / 1_000.0;
            let ahead = (per_second * lifetime).ceil() as usize;
            let is_in_use = per_second * DEMAND_AVERAGE_TIME.as_f64() / 1_000.0 > 0.1;
            let ahead = ahead + usize::from(is_in_use);
            return ahead.saturating_sub(cold.held + cold.asked);
        }
        let interval = 1_000.0 / (per_second * AHEAD_RATIO).max(0.01);
        if now < demand.ahead_at || cold.ready.is_empty() {
            return 0;
        }
        demand.ahead_at = now + Millis(interval as u64);
        1
    }

    fn cold_members(&self, now: Millis) -> BTreeMap<Arc<str>, ColdMembers> {
        let mut services: BTreeMap<Arc<str>, ColdMembers> = BTreeMap::new();
        for (id, upstream) in self.upstreams().limited() {
            let limit = &upstream.limit;
            let is_cold = limit.rate().is_none() && limit.cold.per_second(now).is_some();
            if !is_cold || !upstream.is_usable(now) {
                continue;
            }
            let members = services.entry(Arc::clone(&upstream.spec.service));
            let members = members.or_default();
            members.count += 1;
            let permits = limit.count_permits(now);
            members.held += permits;
            members.asked += usize::from(limit.is_asking());
            let has_slot = upstream.estimated_load(now) + 1.0 <= f64::from(upstream.spec.slots);
            if has_slot && permits == 0 && limit.may_ask(now) {
                members.ready.push(id);
            }
        }
        services
    }
}
