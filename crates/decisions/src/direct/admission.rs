//! Applies the admission levels of rank groups to the arrivals of one gateway.
//!
//! This answers a burst well above the capacity of a group that many gateways share: what the group cannot serve is refused on
//! arrival instead of being queued where it becomes late. See `group_admission` for who sets the level.

use std::sync::Arc;

use sardinepin_common::{Map, Millis, Rng};
use sardinepin_protocol::{AdmissionLevel, GroupDemand, GroupLoad, PRIORITIES};

use crate::direct::balancer::Balancer;
use crate::direct::request::PlacementRequest;
use crate::direct::returns::late_delay;
use crate::direct::upstream_set::AttemptEnd;

/// The age after which a level is not applied any more.
const LEVEL_RETENTION: Millis = Millis(700);

/// The half-life of what is counted of the arrivals of organisations.
const ARRIVALS_HALF_LIFE: Millis = Millis(2_000);

/// The interval at which the shares of organisations are computed anew.
const SHARES_INTERVAL: Millis = Millis(100);

/// The least count of an organisation's arrivals that is kept.
const ARRIVALS_MIN: f64 = 0.05;

/// How many times the share of other callers those get who come back after a refusal: they do not retry again.
const RETURN_PREFERENCE: f64 = 4.0;

/// The most requests that retries, moves and resumed streams, which are never refused, can take from later arrivals.
const DEBT_MAX: f64 = 4.0;

/// How many requests more than usual a rank may be estimated to hold while a level is in force. The level keeps the load of the whole
/// group at its slots, so that single ranks differ from their slots by a few requests either way.
const LEVEL_BACKLOG: f64 = 2.0;

/// How many random ranks are compared for a request while a level is in force. All gateways have samples of the same age; the more
/// ranks each compares, the more of them meet at the rank that was emptiest then.
const LEVEL_RANK_CHOICES: usize = 2;

/// The level of one group and the demand that its agents are still to be told.
#[derive(Debug, Default)]
struct GroupState {
    /// The newest term and when a sample of it was taken.
    term: u64,
    sampled_at: Millis,
    level: Option<AdmissionLevel>,
    /// The arrivals, by priority. Those of a service with several groups count in parts for each.
    arrived: [f64; PRIORITIES],
    ended: u64,
}

impl GroupState {
    fn level(&self, now: Millis) -> Option<&AdmissionLevel> {
        let level = self.level.as_ref()?;
        (now.since(self.sampled_at) < LEVEL_RETENTION).then_some(level)
    }
}

/// What is counted of the arrivals of one organisation.
#[derive(Debug, Clone, Copy, Default)]
struct OrganisationArrivals {
    count: f64,
    /// The part of them that is admitted.
    share: f64,
}

/// The arrivals of one priority of a service.
#[derive(Debug)]
struct ArrivalStream {
    /// Grows by the share of each arrival; an arrival is admitted when it reaches 1, which takes 1 away.
    credit: f64,
    organisations: Map<Arc<str>, OrganisationArrivals>,
    /// The arrivals of callers who come back.
    returning: f64,
    total: f64,
    /// When the counts were last decayed and the shares computed.
    updated_at: Millis,
    /// The share from which the shares of organisations were computed.
    share: f64,
}

/// An arrival to be decided on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival<'a> {
    pub(super) organisation: &'a str,
    /// Whether its caller comes back after a refusal and can still be served on time.
    pub(super) spared: bool,
    /// Whether it must not be refused.
    pub(super) continues: bool,
}

impl ArrivalStream {
    fn new(now: Millis, credit: f64) -> Self {
        Self {
            credit,
            organisations: Map::default(),
            returning: 0.0,
            total: 0.0,
            updated_at: now,
            share: 1.0,
        }
    }

    /// Counts an arrival and returns whether it is admitted, when `share` of all arrivals are.
    fn admits(&mut self, now: Millis, share: f64, arrival: Arrival<'_>) -> bool {
        let organisation = match self.organisations.get_mut(arrival.organisation) {
            Some(organisation) => organisation,
            None => self
                .organisations
                .entry(Arc::from(arrival.organisation))
                .or_insert(OrganisationArrivals {
                    count: 0.0,
                    share: 1.0,
                }),
        };
        organisation.count += 1.0;
        self.total += 1.0;
        if arrival.spared {
            self.returning += 1.0;
        }
        if now.since(self.updated_at) >= SHARES_INTERVAL || share != self.share {
            self.update_shares(now, share);
        }
        if share >= 1.0 {
            return true;
        }
        let known = self.organisations.get(arrival.organisation);
        let of_organisation = known.map_or(share, |known| known.share);
        let preference = self.preference(share, arrival.spared);
        self.credit += (of_organisation * preference).min(1.0);
        let admitted = arrival.continues || self.credit >= 1.0;
        if admitted {
            self.credit = (self.credit - 1.0).max(-DEBT_MAX);
        }
        admitted
    }

    /// Returns by what the share of an arrival is multiplied, so that spared callers get more and the share of all stays the same.
    fn preference(&self, share: f64, spared: bool) -> f64 {
        let part = (self.returning / self.total.max(1.0)).min(1.0);
        let others = 1.0 / (1.0 + part * (RETURN_PREFERENCE - 1.0));
        if others * RETURN_PREFERENCE * share <= 1.0 {
            return match spared {
                true => others * RETURN_PREFERENCE,
                false => others,
            };
        }
        match spared {
            true => 1.0 / share.max(f64::MIN_POSITIVE),
            false => ((share - part) / (1.0 - part).max(f64::MIN_POSITIVE) / share).max(0.0),
        }
    }

    /// Decays the counts and divides the share among organisations: each gets the same number of requests, and those that want fewer
    /// all of theirs, so that a large organisation is refused first.
    fn update_shares(&mut self, now: Millis, share: f64) {
        let age = now.since(self.updated_at);
        let factor = (-(age.as_f64() / ARRIVALS_HALF_LIFE.as_f64())).exp2();
        self.updated_at = now;
        self.share = share;
        self.returning *= factor;
        self.total *= factor;
        self.organisations.retain(|_, organisation| {
            organisation.count *= factor;
            organisation.count >= ARRIVALS_MIN
        });
        if share >= 1.0 {
            return;
        }
        let mut counts: Vec<f64> = self.organisations.values().map(|one| one.count).collect();
        counts.sort_unstable_by(f64::total_cmp);
        let mut left = share * counts.iter().sum::<f64>();
        let mut each = f64::INFINITY;
        for (index, count) in counts.iter().enumerate() {
            let even = left / (counts.len() - index) as f64;
            if *count > even {
                each = even;
                break;
            }
            left -= count;
        }
        for organisation in self.organisations.values_mut() {
            organisation.share = (each / organisation.count).min(1.0);
        }
    }
}

/// The admission decisions of one gateway.
#[derive(Debug, Default)]
pub(super) struct AdmissionGate {
    groups: Map<Arc<str>, GroupState>,
    streams: Map<(Arc<str>, u8), ArrivalStream>,
}

impl AdmissionGate {
    /// Records the level in a report, unless a newer coordinator has been heard.
    fn record_load(&mut self, now: Millis, load: &GroupLoad) {
        let Some((age, sample)) = &load.sample else {
            return;
        };
        let sampled_at = now.since(*age);
        let group = self.groups.entry(Arc::clone(&load.group)).or_default();
        let heard_lately = now.since(group.sampled_at) < LEVEL_RETENTION;
        if heard_lately && (sample.term, sampled_at) < (group.term, group.sampled_at) {
            return;
        }
        group.term = sample.term;
        group.sampled_at = sampled_at;
        group.level.clone_from(&sample.level);
    }

    /// Counts an arrival for a service and returns whether it is admitted. `groups` are the groups that can serve it, with the number
    /// of their ranks.
    fn admits(
        &mut self,
        now: Millis,
        service: &Arc<str>,
        priority: u8,
        groups: &[(Arc<str>, usize)],
        arrival: Arrival<'_>,
        rng: &mut Rng,
    ) -> bool {
        let ranks: usize = groups.iter().map(|(_, ranks)| ranks).sum();
        let priority = priority.min(PRIORITIES as u8 - 1);
        let mut share = 0.0;
        for (name, members) in groups {
            let part = *members as f64 / ranks.max(1) as f64;
            let group = self.groups.entry(Arc::clone(name)).or_default();
            group.arrived[usize::from(priority)] += part;
            let level = group.level(now);
            share += part * level.map_or(1.0, |level| level.share(priority));
        }
        if ranks == 0 {
            return true;
        }
        let key = (Arc::clone(service), priority);
        let stream = self.streams.entry(key);
        // Gateways begin at different points, so that they do not all admit their first arrival.
        let stream = stream.or_insert_with(|| ArrivalStream::new(now, rand::Rng::random(rng)));
        stream.admits(now, share, arrival)
    }
}

/// The part of a balancer that applies the levels of groups.
impl Balancer {
    /// Records the level in a report of the load of a group.
    pub(super) fn record_level(&mut self, now: Millis, load: &GroupLoad) {
        self.admission.record_load(now, load);
    }

    /// Sets how ranks are chosen for the next request; returns how many requests beyond its slots a rank may be estimated to hold.
    pub(super) fn prepare_choice(&mut self, now: Millis) -> f64 {
        let policy = *self.policy();
        let mut groups = self.admission.groups.values();
        if policy.admission && groups.any(|group| group.level(now).is_some()) {
            let choices = policy.rank_choices.min(LEVEL_RANK_CHOICES);
            self.upstreams_mut().set_rank_choices(choices);
            return policy.backlog + LEVEL_BACKLOG;
        }
        self.upstreams_mut().set_rank_choices(policy.rank_choices);
        policy.backlog
    }

    /// Counts a request as demand for its groups; returns the retry delay if it is not admitted.
    pub(super) fn refuse_by_level(
        &mut self,
        now: Millis,
        request: &PlacementRequest,
    ) -> Option<Millis> {
        if !self.policy().admission {
            return None;
        }
        let groups = self.upstreams().open_groups(now, &request.service);
        if groups.is_empty() {
            return None;
        }
        let on_time = request.deadline.since(now) >= request.latency_objective;
        let arrival = Arrival {
            organisation: request.organisation.as_deref().unwrap_or_default(),
            spared: request.returning && on_time,
            continues: request.continues,
        };
        let (gate, rng) = self.admission_and_rng();
        let service = &request.service;
        let admitted = gate.admits(now, service, request.priority, &groups, arrival, rng);
        (!admitted).then(|| late_delay(now, request.deadline, rng))
    }

    /// Counts the end of an attempt at a rank of `group`.
    pub(super) fn count_end(&mut self, group: &Arc<str>, end: AttemptEnd) {
        if matches!(
            end,
            AttemptEnd::Served | AttemptEnd::Failed | AttemptEnd::Abandoned
        ) {
            self.admission
                .groups
                .entry(Arc::clone(group))
                .or_default()
                .ended += 1;
        }
    }

    /// Returns the demand for a group since the last call, in whole requests.
    pub fn take_demand(&mut self, group: &Arc<str>) -> GroupDemand {
        let state = self.admission.groups.entry(Arc::clone(group)).or_default();
        let in_use = state.arrived.iter().rposition(|arrived| *arrived >= 1.0);
        let arrived = state
            .arrived
            .iter_mut()
            .take(in_use.map_or(0, |last| last + 1));
        let arrived = arrived.map(|arrived| {
            let whole = arrived.floor();
            *arrived -= whole;
            whole as u64
        });
        GroupDemand {
            arrived: arrived.collect(),
            ended: std::mem::take(&mut state.ended),
        }
    }

    /// Keeps demand that did not reach an agent for the next query.
    pub fn restore_demand(&mut self, group: &Arc<str>, demand: &GroupDemand) {
        let state = self.admission.groups.entry(Arc::clone(group)).or_default();
        for (sum, arrived) in state.arrived.iter_mut().zip(&demand.arrived) {
            *sum += *arrived as f64;
        }
        state.ended += demand.ended;
    }

    /// Returns the admission level of a group that is in force.
    #[must_use]
    pub fn admission_level(&self, now: Millis, group: &str) -> Option<&AdmissionLevel> {
        self.admission.groups.get(group)?.level(now)
    }
}
