//! A model of upstreams, in rank groups or alone: when they read a request, how it ends and when, and which limit they name.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use rand::Rng as _;
use sardinepin_common::{Millis, Rng};
use sardinepin_decisions::LimitNotice;
use sardinepin_decisions::direct::{GroupMembership, UpstreamSpec};
use sardinepin_protocol::{GroupLoad, GroupSample, RankLoad, UpstreamLimit};

use crate::bounds::day::{Day, LimitPlan, WithdrawalPlan};
use crate::bounds::disturbance::Kind;
use crate::bounds::network::ZONES;
use crate::bounds::notice::Notice;

/// The position of a service.
pub(super) type ServiceIndex = usize;

/// The services: one of rank groups, and one of a single upstream.
pub(super) const SERVICES: [&str; 2] = ["model", "desk"];

/// How many requests a rank runs at once.
const SLOTS: u32 = 12;

/// How many more it queues.
const QUEUE: u32 = 20;

/// How long work stalls before it is cut off when a rank is missing.
const STALL_TIME: Millis = Millis(1_500);

/// How long a group takes to form again.
const FORM_TIME: Millis = Millis(800);

/// The shortest and the longest time that a request runs at a rank, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 300..1_100;

/// The same at an upstream without a group.
const PLAIN_RUN_MS: std::ops::Range<u64> = 20..120;

/// How a request ended at its upstream; ordered for the event queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RunEnd {
    /// The whole answer was written.
    Served,
    /// The upstream was full; it did not run.
    Rejected,
    /// A rank of its group was missing; it did not run.
    GroupBroken,
    /// The answer broke off.
    Broken,
}

/// A span of time.
#[derive(Debug, Clone, Copy)]
struct Span {
    from: Millis,
    until: Millis,
}

impl Span {
    fn contains(&self, at: Millis) -> bool {
        self.from <= at && at < self.until
    }
}

#[derive(Debug, Default)]
struct Upstream {
    zone: usize,
    /// Its group; `None` if it is alone.
    group: Option<usize>,
    rank: usize,
    running: u32,
    /// When it stands still.
    frozen: Vec<Span>,
}

/// All upstreams.
#[derive(Debug)]
pub(super) struct Upstreams {
    list: Vec<Upstream>,
    /// By group, when it cannot make a step.
    down: Vec<Vec<Span>>,
    /// The shares of answers that are lost, and when.
    losses: Vec<(Span, f64)>,
    limit: Option<LimitPlan>,
    withdrawals: Vec<WithdrawalPlan>,
    ranks: usize,
}

impl Upstreams {
    /// Creates the upstreams of a day.
    pub(super) fn new(day: &Day) -> Self {
        let total = day.groups * day.ranks;
        let list = (0..total).map(|index| {
            let (group, rank) = (index / day.ranks, index % day.ranks);
            Upstream {
                zone: if day.spread { rank } else { group } % ZONES,
                group: Some(group),
                rank,
                ..Upstream::default()
            }
        });
        let mut upstreams = Self {
            list: list.chain([Upstream::default()]).collect(),
            limit: day.limit.clone(),
            withdrawals: day.withdrawals.clone(),
            down: vec![Vec::new(); day.groups],
            losses: Vec::new(),
            ranks: day.ranks,
        };
        for disturbance in &day.disturbances {
            let span = Span {
                from: disturbance.from,
                until: disturbance.until,
            };
            match disturbance.kind {
                Kind::FreezeUpstreams { share } => {
                    for index in disturbance.targets(share, total) {
                        let upstream = &mut upstreams.list[index];
                        upstream.frozen.push(span);
                        upstreams.down[index / day.ranks].push(span);
                    }
                }
                Kind::BreakGroups { share } => {
                    for group in disturbance.targets(share, day.groups) {
                        upstreams.down[group].push(span);
                    }
                }
                Kind::CutZone if day.spread => {
                    for spans in &mut upstreams.down {
                        spans.push(span);
                    }
                }
                Kind::LoseAnswers { share } => upstreams.losses.push((span, share)),
                _ => {}
            }
        }
        upstreams
    }

    /// Returns the number of upstreams.
    pub(super) fn len(&self) -> usize {
        self.list.len()
    }

    /// Returns the availability zone of an upstream.
    pub(super) fn zone(&self, index: usize) -> usize {
        self.list[index].zone
    }

    /// Returns a function from the position of an upstream to its zone.
    pub(super) fn zones(&self) -> impl Fn(usize) -> usize + use<> {
        let zones: Vec<usize> = self.list.iter().map(|upstream| upstream.zone).collect();
        move |index| zones[index]
    }

    /// Returns the group of the upstream beside an agent.
    pub(super) fn group(&self, agent: usize) -> usize {
        self.list[agent].group.unwrap_or_default()
    }

    /// Returns what an answer that is written at `at` says about its upstream; `is_rejected` tells whether it turns a request away.
    pub(super) fn notice(&self, at: Millis, index: usize, is_rejected: bool) -> Notice {
        let limit = match &self.limit {
            Some(plan) if plan.is_named(at, index) => LimitNotice::Named(plan.rate),
            _ => LimitNotice::None,
        };
        Notice {
            limit,
            leaving: self.said(at, index).any(|plan| plan.rest.is_none()),
            rest: self.rest(at, index).filter(|_| is_rejected),
        }
    }

    /// Returns the withdrawals of an upstream in force at a time.
    fn said(&self, at: Millis, index: usize) -> impl Iterator<Item = &WithdrawalPlan> {
        let plans = self.withdrawals.iter();
        plans.filter(move |plan| plan.is_said(at, index))
    }

    /// Returns for how long an upstream wants nothing of whoever asks at a time.
    fn rest(&self, at: Millis, index: usize) -> Option<Millis> {
        self.said(at, index).filter_map(|plan| plan.rest).max()
    }

    /// Returns the position of the upstream at an address.
    pub(super) fn position_of(address: SocketAddr) -> usize {
        usize::from(address.port()) - 1
    }

    /// Returns the positions of the upstreams of a group.
    pub(super) fn members(&self, group: usize) -> std::ops::Range<usize> {
        group * self.ranks..(group + 1) * self.ranks
    }

    /// Returns the entries of the list of upstreams; the position is the identifier in a new balancer.
    pub(super) fn specs(&self) -> Vec<UpstreamSpec> {
        let specs = self.list.iter().enumerate().map(|(index, upstream)| {
            let port = 1 + u16::try_from(index).unwrap_or(u16::MAX - 1);
            UpstreamSpec {
                id: Arc::from(format!("u{index}")),
                started_at: 0,
                service: Arc::from(SERVICES[usize::from(upstream.group.is_none())]),
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
                zone: zone_name(upstream.zone),
                slots: SLOTS,
                draining: false,
                cold_remaining: None,
                group: upstream.group.map(|group| GroupMembership {
                    name: group_name(group),
                    rank: upstream.rank,
                    broken: false,
                }),
            }
        });
        specs.collect()
    }

    /// Returns when an upstream reads what arrives at `at`.
    pub(super) fn reads_at(&self, index: usize, at: Millis) -> Millis {
        let frozen = self.list[index].frozen.iter();
        let until = frozen
            .filter(|span| span.contains(at))
            .map(|span| span.until);
        until.max().unwrap_or(at)
    }

    /// Begins to run a request; returns how it ends and when.
    pub(super) fn begin(&mut self, now: Millis, index: usize, rng: &mut Rng) -> (RunEnd, Millis) {
        let rests = self.rest(now, index).is_some();
        let upstream = &mut self.list[index];
        upstream.running += 1;
        if rests || upstream.running > SLOTS + QUEUE {
            return (RunEnd::Rejected, now);
        }
        let Some(group) = upstream.group else {
            return (RunEnd::Served, now + Millis(rng.random_range(PLAIN_RUN_MS)));
        };
        let down = self.down[group].iter();
        let missing = down
            .clone()
            .filter(|span| now >= span.from && now < span.until + FORM_TIME);
        if let Some(span) = missing.min_by_key(|span| span.from) {
            return (RunEnd::GroupBroken, now.max(span.from + STALL_TIME));
        }
        let waits = upstream.running.saturating_sub(SLOTS);
        let run = Millis(rng.random_range(RUN_MS) * (1 + u64::from(waits) / u64::from(SLOTS)));
        let breaks = down.filter(|span| span.from > now && span.from < now + run);
        if let Some(span) = breaks.min_by_key(|span| span.from) {
            return (RunEnd::Broken, span.from + STALL_TIME);
        }
        let losses = self.losses.iter().filter(|(span, _)| span.contains(now));
        let share = losses.map(|(_, share)| *share).fold(0.0, f64::max);
        if rng.random_bool(share) {
            let part = rng.random_range(10..run.0);
            return (RunEnd::Broken, now + Millis(part));
        }
        (RunEnd::Served, now + run)
    }

    /// Ends a request at an upstream.
    pub(super) fn end(&mut self, index: usize) {
        let running = &mut self.list[index].running;
        *running = running.saturating_sub(1);
    }

    /// Returns what an agent tells of its group; `None` if the instance of the agent stands still.
    pub(super) fn report(
        &self,
        now: Millis,
        agent: usize,
        gateways: u32,
        sample_age: Millis,
        limits: Vec<UpstreamLimit>,
    ) -> Option<GroupLoad> {
        if self.reads_at(agent, now) > now {
            return None;
        }
        let group = self.group(agent);
        let down = self.down[group]
            .iter()
            .filter(|span| now >= span.from && now < span.until + FORM_TIME);
        let down = down.min_by_key(|span| span.from);
        let loads = self.list[self.members(group)].iter().map(|upstream| {
            Some(RankLoad {
                running: upstream.running.min(SLOTS) as u16,
                waiting: upstream.running.saturating_sub(SLOTS) as u16,
                pace_percent: 100,
            })
        });
        let ended = self.down[group]
            .iter()
            .filter(|span| span.until + FORM_TIME <= now);
        Some(GroupLoad {
            group: group_name(group),
            epoch: ended.count() as u64,
            open: down.is_none_or(|span| now < span.from + STALL_TIME),
            step: down.map_or(now, |span| span.from).0 / 10,
            sample: Some((
                sample_age,
                GroupSample {
                    ranks: loads.collect(),
                    gateways,
                    limits,
                    ..GroupSample::default()
                },
            )),
        })
    }
}

/// Returns the name of an availability zone.
pub(super) fn zone_name(zone: usize) -> Arc<str> {
    Arc::from(format!("zone-{zone}"))
}

fn group_name(group: usize) -> Arc<str> {
    Arc::from(format!("group-{group}"))
}
