//! When a gateway asks agents for permits, and what it does with the replies.

use std::net::SocketAddr;

use sardinepin_common::Millis;
use sardinepin_protocol::{LimitReport, PermitGrant, PermitRequest};

use crate::direct::balancer::Balancer;
use crate::direct::limit_state::Turns;
use crate::direct::request::QueueDecision;
use crate::direct::upstream_set::{UpstreamId, UpstreamState};

/// How long after the last request for a service permits for its limited upstreams are wanted, even if others have capacity.
const DEMAND_TIME: Millis = Millis(1_000);

/// The most permits that are wanted at once.
pub(super) const WANTED_MAX: usize = 16;

/// A request for permits to an agent.
#[derive(Debug, Clone)]
pub struct PermitAsk {
    /// The limited upstream.
    pub upstream: UpstreamId,
    /// The upstream beside which the agent runs; `None` if there is no agent.
    pub agent: Option<SocketAddr>,
    /// The request.
    pub request: PermitRequest,
}

/// The reply of an agent; `None` if it did not reply.
pub type PermitReply = Option<PermitGrant>;

impl Balancer {
    /// Returns whether any upstream has named a limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.upstreams().has_limited()
    }

    /// Returns the requests for permits that should be sent now. Each is followed by `record_permits`.
    pub fn permit_asks(&mut self, now: Millis) -> Vec<PermitAsk> {
        let turns = self.turns();
        let limited: Vec<UpstreamId> = self.upstreams().limited().map(|(id, _)| id).collect();
        let mut asks = Vec::new();
        for id in limited {
            self.upstreams_mut().change_limit(id, |limit| {
                limit.expire_cold(now);
                limit.take_turn(now, turns);
            });
            asks.extend(self.permit_ask(now, id));
        }
        asks.extend(self.cold_asks(now));
        asks
    }

    fn permit_ask(&mut self, now: Millis, id: UpstreamId) -> Option<PermitAsk> {
        let upstream = self.upstreams().get(id)?;
        let permits = self.wanted_permits(now, upstream);
        self.ask(now, id, permits)
    }

    /// Returns the request for so many wanted and spare permits, if an agent may be asked now.
    pub(super) fn ask(
        &mut self,
        now: Millis,
        id: UpstreamId,
        (wanted, spare): (u16, u16),
    ) -> Option<PermitAsk> {
        let upstream = self.upstreams().get(id)?;
        let limit = LimitReport {
            started_at: upstream.spec.started_at,
            rate: upstream.named_limit(),
            age: upstream.limit.age(now),
            cold: upstream.limit.cold.own_report(now),
        };
        let name = upstream.spec.id.clone();
        let begin = self
            .upstreams_mut()
            .change_limit(id, |limit| limit.begin_asking(now, wanted, spare));
        let on_way = begin??;
        Some(PermitAsk {
            upstream: id,
            agent: self.upstreams().permit_agent(id),
            request: PermitRequest {
                gateway: self.identity(),
                upstream: name,
                limit,
                wanted,
                spare,
                on_way,
            },
        })
    }

    /// Returns how many permits queued requests want beyond those that there are, and how many more would be used: one, if requests
    /// for the service have arrived lately and go to upstreams without a limit, or if no agent has replied.
    fn wanted_permits(&self, now: Millis, upstream: &UpstreamState) -> (u16, u16) {
        let is_evacuated = self.is_evacuated(&upstream.spec.zone);
        if upstream.named_limit().is_none() || !upstream.is_usable(now) || is_evacuated {
            return (0, 0);
        }
        let service = &upstream.spec.service;
        let permits = upstream.limit.count_permits(now);
        let queued = self.queue_len(service).min(WANTED_MAX);
        let wanted = queued.saturating_sub(permits);
        let last = self.last_request(service);
        let is_in_use = last.is_some_and(|at| now.since(at) <= DEMAND_TIME);
        let is_spare = upstream.limit.takes_turns() || self.upstreams().has_unlimited(now, service);
        let spare = is_in_use && is_spare && wanted + permits == 0;
        (wanted as u16, u16::from(spare))
    }

    /// Records the reply of an agent; returns the decisions on queued requests that this allows.
    pub fn record_permits(
        &mut self,
        now: Millis,
        ask: &PermitAsk,
        reply: PermitReply,
    ) -> Vec<QueueDecision> {
        let turns = self.turns();
        let started_at = ask.request.limit.started_at;
        self.upstreams_mut()
            .change_limit(ask.upstream, |limit| match &reply {
                Some(grant) => {
                    if grant.limit.started_at == started_at {
                        limit.record_report(now.since(grant.limit.age), grant.limit.rate);
                    }
                    if let Some(cold) = grant.limit.cold {
                        limit.cold.record_report(now, cold);
                    }
                    limit.record_grant(now, grant);
                }
                None => limit.record_silence(now, turns),
            });
        self.process_queues(now)
    }

    fn turns(&self) -> Turns {
        Turns {
            gateways: self.known_gateways(),
            position: self.position(),
        }
    }
}
