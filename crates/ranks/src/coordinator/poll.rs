//! Polls the engines of the members of the group.

use std::net::SocketAddr;

use futures_util::future::join_all;
use sardinepin_common::Millis;
use sardinepin_groups::RankReport;
use sardinepin_protocol::GroupSample;

use super::{Coordinator, DIRECT_POLL_INTERVAL, DIRECT_TIMEOUT, GroupMember};
use crate::counts::{CountIncrements, sum_counts};
use crate::engine::Member;
use crate::messages::{Call, EngineView, Look, Reply, ViewScope};
use crate::peer::PeerClient;
use crate::relay::{GroupViews, Neighbourhood, RELAY_TIMEOUT, neighbourhoods};

/// The pause after a poll with counts, as a multiple of its duration. The counts of a large group
/// saturate the network links of its instances.
const COUNTS_PAUSE_FACTOR: u64 = 3;

/// The shortest interval between two samples of the load.
const SAMPLE_INTERVAL: Millis = Millis(50);

/// The most limits of upstreams in a sample.
const LIMITS_MAX: usize = 256;

/// What a poll of some members has found.
#[derive(Debug)]
struct FoundViews {
    /// The view of each member, by its index.
    views: Vec<(usize, Option<EngineView>)>,
    /// The sum of their counts.
    counts: Option<CountIncrements>,
}

/// When the last poll with counts finished, and how long it took.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CountsPoll {
    finished_at: Millis,
    duration: Millis,
}

impl CountsPoll {
    pub(super) fn new(finished_at: Millis, duration: Millis) -> Self {
        Self {
            finished_at,
            duration,
        }
    }

    /// Returns whether the next poll may include counts.
    pub(super) fn is_due(self, now: Millis, interval: Millis) -> bool {
        let pause = interval.max(Millis(self.duration.0 * COUNTS_PAUSE_FACTOR));
        now.since(self.finished_at) >= pause
    }
}

impl Coordinator {
    pub(super) fn set_members(&mut self, members: Vec<Member>) {
        let same = members
            .iter()
            .eq(self.members.iter().map(|target| &target.member));
        if same {
            return;
        }
        let port = self.settings.peer_port;
        let members = members.into_iter().map(|member| GroupMember {
            client: PeerClient::new(SocketAddr::new(member.engine.ip(), port)),
            member,
        });
        self.members = members.collect();
        let members: Vec<&Member> = self.members.iter().map(|target| &target.member).collect();
        self.neighbourhoods = neighbourhoods(&members, self.settings.policy.direct_members);
    }

    /// Polls all members concurrently and returns the views of those that replied.
    pub(super) async fn poll_members(&mut self) -> Vec<EngineView> {
        let began = self.clock.now();
        let look = Look {
            term: self.term,
            scope: ViewScope {
                counts: self
                    .counts_poll
                    .is_due(began, self.settings.policy.poll_interval),
                experts: self.active_maps.is_none(),
            },
            sample: self
                .sample
                .take()
                .map(|sample| (began.since(self.sampled_at), sample)),
        };
        let skipped = self.skipped.take();
        let (views, counts) = self.collect_views(&look, skipped).await;
        self.sample_loads(&views);
        let complete = views.iter().all(Option::is_some);
        let views: Vec<EngineView> = views.into_iter().flatten().collect();
        if look.scope.counts {
            self.record_counts(began, &views, counts);
        }
        if complete {
            self.update_active_maps(&views);
        }
        views
    }

    /// Polls all members concurrently for their reports alone; returns those that replied.
    pub(super) async fn poll_reports(&mut self) -> Vec<RankReport> {
        let look = Look {
            term: self.term,
            scope: ViewScope::default(),
            sample: None,
        };
        let (views, _) = self.collect_views(&look, None).await;
        let views = views.into_iter().flatten();
        views.map(|view| view.report.rank).collect()
    }

    /// Polls all members but `skipped`, and the engines of agents that do not reply; returns the view of each member, and the counts.
    async fn collect_views(
        &mut self,
        look: &Look,
        skipped: Option<usize>,
    ) -> (Vec<Option<EngineView>>, Vec<CountIncrements>) {
        let sets = self.neighbourhoods.iter();
        let polls = sets.map(|set| self.poll_neighbourhood(set, look, skipped));
        let mut views: Vec<Option<EngineView>> = vec![None; self.members.len()];
        let mut counts = Vec::new();
        for found in join_all(polls).await {
            for (index, view) in found.views {
                views[index] = view;
            }
            counts.extend(found.counts);
        }
        if views.iter().any(Option::is_none) && skipped.is_none() {
            self.poll_engines_directly(&mut views).await;
        }
        if self.drop_foreign_views(&mut views) {
            // They are summed with those of other members.
            counts.clear();
            self.members_stale = true;
        }
        (views, counts)
    }

    /// Polls the members of a neighbourhood but `skipped` through one of them, or each by itself if that one does not reply.
    async fn poll_neighbourhood(
        &self,
        set: &Neighbourhood,
        look: &Look,
        skipped: Option<usize>,
    ) -> FoundViews {
        let mut members = set.members(self.own_index());
        members.retain(|index| Some(*index) != skipped);
        if let [first, others @ ..] = members.as_slice()
            && !others.is_empty()
        {
            if let Some(found) = self.poll_through(*first, others, look).await {
                return FoundViews {
                    views: members.into_iter().zip(found.views).collect(),
                    counts: found.counts,
                };
            }
            set.change_relay();
        }
        let polls = members.iter().map(|index| self.poll_member(*index, look));
        let mut views = join_all(polls).await;
        let counts = views.iter_mut().flatten();
        let counts = sum_counts(counts.filter_map(|view| view.counts.take()));
        FoundViews {
            views: members.into_iter().zip(views).collect(),
            counts,
        }
    }

    /// Polls members through the first of them; `None` if it does not reply.
    async fn poll_through(
        &self,
        first: usize,
        others: &[usize],
        look: &Look,
    ) -> Option<GroupViews> {
        let agents = others.iter().filter_map(|index| self.agent_address(*index));
        let agents: Vec<SocketAddr> = agents.collect();
        if Some(first) == self.own_index() {
            return Some(self.agent.look_at_all(look, &agents).await);
        }
        let call = Call::LookAll {
            look: look.clone(),
            others: agents,
        };
        let client = &self.members.get(first)?.client;
        match client.call_within(RELAY_TIMEOUT, &call).await {
            Some(Reply::Views(found)) if found.views.len() == others.len() + 1 => Some(found),
            _ => None,
        }
    }

    /// Tells the members that are known of this coordinator while others are missing from the list, so that no other takes over.
    pub(super) async fn announce(&self) {
        let look = Look {
            term: self.term,
            scope: ViewScope::default(),
            sample: None,
        };
        let polls = self.neighbourhoods.iter();
        join_all(polls.map(|set| self.poll_neighbourhood(set, &look, None))).await;
    }

    /// Samples the load of the group, for this rank's agent and, with the next poll, for the others.
    fn sample_loads(&mut self, views: &[Option<EngineView>]) {
        let now = self.clock.now();
        if now.since(self.sampled_at) < SAMPLE_INTERVAL {
            return;
        }
        self.sampled_at = now;
        let ranks = views
            .iter()
            .map(|view| view.as_ref().map(|view| view.report.load));
        let gateways = views.iter().flatten().map(|view| view.gateways).sum();
        let slots = self.members.iter().map(|target| target.member.slots);
        let sample = GroupSample {
            ranks: ranks.collect(),
            gateways,
            term: self.term,
            level: self.admission.level(now, gateways, views, slots),
            limits: views
                .iter()
                .flatten()
                .flat_map(|view| view.limits.iter().cloned())
                .take(LIMITS_MAX)
                .collect(),
        };
        self.agent.record_sample(Millis::ZERO, sample.clone());
        self.sample = Some(sample);
    }

    /// Updates the popularity from the sums of the counts of some ranks each.
    fn record_counts(&mut self, began: Millis, views: &[EngineView], counts: Vec<CountIncrements>) {
        let now = self.clock.now();
        self.counts_poll = CountsPoll::new(now, now.since(began));
        let Some(epoch) = views.first().map(|view| view.report.rank.epoch) else {
            return;
        };
        let counts = counts.into_iter().filter(|counts| counts.epoch == epoch);
        let increments: Vec<_> = counts.map(|counts| counts.increments).collect();
        let ranks = self.members.len();
        let experts = self.settings.shape.experts;
        self.popularity
            .record_increments(now, epoch, ranks, &increments, experts);
    }

    pub(super) async fn poll_member(&self, index: usize, look: &Look) -> Option<EngineView> {
        if Some(index) == self.own_index() {
            return self.agent.view(look.scope).await;
        }
        let client = &self.members.get(index)?.client;
        match client.call(&Call::Look(look.clone())).await {
            Some(Reply::View(view)) => Some(*view),
            _ => None,
        }
    }

    /// Returns the index of the member on this instance.
    pub(super) fn own_index(&self) -> Option<usize> {
        let is_own = |target: &GroupMember| target.member.engine == self.settings.engine;
        self.members.iter().position(is_own)
    }

    /// Returns the address of a member's agent.
    pub(super) fn agent_address(&self, index: usize) -> Option<SocketAddr> {
        let engine = self.members.get(index)?.member.engine;
        Some(SocketAddr::new(engine.ip(), self.settings.peer_port))
    }

    /// Polls the engines whose agents did not reply, so that a held step does not wait for an
    /// agent.
    async fn poll_engines_directly(&mut self, views: &mut [Option<EngineView>]) {
        let now = self.clock.now();
        let is_held = |view: &EngineView| view.report.rank.held.is_some();
        let held = views.iter().flatten().any(is_held);
        if !held && now.since(self.direct_polled) < DIRECT_POLL_INTERVAL {
            return;
        }
        self.direct_polled = now;
        let polls = self
            .members
            .iter()
            .zip(views.iter())
            .map(async |(target, view)| {
                if view.is_some() {
                    return None;
                }
                let call = self.engines.report(target.member.engine);
                let report = tokio::time::timeout(DIRECT_TIMEOUT.duration(), call).await;
                Some(EngineView {
                    report: report.ok()?.ok()?,
                    counts: None,
                    experts: None,
                    gateways: 0,
                    limits: Vec::new(),
                    demand: None,
                })
            });
        let found: Vec<Option<EngineView>> = join_all(polls).await;
        for (view, found) in views.iter_mut().zip(found) {
            if view.is_none() {
                *view = found;
            }
        }
    }

    /// Updates the maps in use from the experts that every rank reports.
    fn update_active_maps(&mut self, views: &[EngineView]) {
        let Some(first) = views.first().map(|view| view.report.rank) else {
            return;
        };
        let current = (first.epoch, first.active);
        if self
            .active_maps
            .as_ref()
            .is_some_and(|(epoch, version, _)| (*epoch, *version) != current)
        {
            self.active_maps = None;
        }
        if self.active_maps.is_some() {
            return;
        }
        if let Some(switch) = self
            .released_maps
            .take_if(|switch| (switch.0, switch.1) == current)
        {
            self.active_maps = Some(switch);
            return;
        }
        let held: Option<Vec<_>> = views.iter().map(|view| view.experts.as_ref()).collect();
        let Some(held) = held else {
            return;
        };
        if held.iter().any(|experts| experts.version != first.active) {
            return;
        }
        let layers = (0..self.settings.shape.layers)
            .map(|layer| {
                let ranks = held
                    .iter()
                    .map(|experts| experts.layers.get(layer).cloned());
                ranks.map(Option::unwrap_or_default).collect()
            })
            .collect();
        self.active_maps = Some((current.0, current.1, layers));
    }
}
