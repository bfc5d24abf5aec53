//! The coordinator of a rank group.
//!
//! Any agent of the group can act as coordinator. Two coordinators at once are safe, because
//! engines reject orders whose term is lower than the highest that they have seen.

mod admission;
mod bypass;
mod members;
mod orders;
mod poll;
mod step_margin;
mod switch;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;

use sardinepin_common::{Clock, Millis, Set};
use sardinepin_groups::{
    LayerMap, NextAction, Popularity, RankReport, RebalanceSettings, is_snapshot, next_action,
    plan_rebalance, version_above,
};
use sardinepin_protocol::GroupSample;

use crate::agent::Agent;
use crate::coordinator::admission::LoadAdmission;
use crate::coordinator::poll::CountsPoll;
use crate::coordinator::step_margin::StepMargin;
use crate::engine::{Directory, EngineApi, EngineReport, ExpertShape, Member};
use crate::messages::{EngineView, ViewScope};
use crate::peer::PeerClient;
use crate::policy::RankPolicy;
use crate::relay::Neighbourhood;

/// The interval between two polls while a map switch is in progress.
const SWITCH_POLL_INTERVAL: Millis = Millis(15);

/// How long the first rank in the order of takeover hears no other coordinator before it takes over.
const TAKEOVER_DELAY: Millis = Millis(400);

/// The additional delay before takeover for each rank after it.
const TAKEOVER_RANK_DELAY: Millis = Millis(150);

/// How long a coordinator does not lead after an engine reports a higher term.
const STEP_DOWN_TIME: Millis = Millis(1_500);

/// The interval between two reads of the member list while the group is incomplete.
const MEMBERS_INTERVAL: Millis = Millis(1_000);

/// The interval between two direct polls of engines whose agents do not reply, while no step is
/// held.
const DIRECT_POLL_INTERVAL: Millis = Millis(400);

/// The timeout of a direct call to an engine whose agent does not reply.
const DIRECT_TIMEOUT: Millis = Millis(250);

/// How long ranks may take to load a planned map before it is abandoned.
const PREPARE_TIMEOUT: Millis = Millis(9_000);

/// The interval between repeated orders to ranks that are neither loading the pending map nor have
/// loaded it.
const PREPARE_RETRY_INTERVAL: Millis = Millis(600);

/// The low bits of a term, which hold the rank that generated it.
const RANK_BITS: u32 = 8;

/// The rank that holds steps.
const HOLDER: usize = 0;

/// Settings of a coordinator.
#[derive(Debug)]
pub(crate) struct CoordinatorSettings {
    pub(crate) engine: SocketAddr,
    pub(crate) peer_port: u16,
    pub(crate) shape: ExpertShape,
    pub(crate) policy: RankPolicy,
}

/// The delay until the next poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PollDelay {
    /// A step is held for a switch.
    None,
    /// A switch is in progress.
    Short,
    /// Nothing is in progress, or experts are being loaded.
    Regular,
}

/// A planned map that the ranks have been ordered to load.
#[derive(Debug)]
struct PendingMap {
    version: u64,
    layers: Vec<LayerMap>,
    ordered_at: Millis,
    retried_at: Millis,
    /// How long loading takes at the rank with the most experts to load.
    load_time: Millis,
}

/// A member of the group and the client for its agent.
#[derive(Debug)]
struct GroupMember {
    member: Member,
    client: PeerClient,
}

/// Plans expert maps and switches the group to them, while no other coordinator is active.
#[derive(Debug)]
pub(crate) struct Coordinator {
    agent: Arc<Agent>,
    engines: Arc<dyn EngineApi>,
    directory: Arc<dyn Directory>,
    settings: CoordinatorSettings,
    clock: Clock,
    members: Vec<GroupMember>,
    /// The members that are called through one of them.
    neighbourhoods: Vec<Neighbourhood>,
    /// When the member list was last read.
    members_read: Option<Millis>,
    /// Whether the members may have changed since that read.
    members_stale: bool,
    /// The engines that did not report to be the ranks that they are listed for.
    foreign: Set<SocketAddr>,
    /// When engines were last polled directly.
    direct_polled: Millis,
    rank: usize,
    /// The number of ranks in the group.
    size: usize,
    /// When the engine first reported; until then no other coordinator can be expected.
    engine_seen: Option<Millis>,
    term: u64,
    last_version: u64,
    step_down_until: Millis,
    popularity: Popularity,
    counts_poll: CountsPoll,
    /// How many steps ahead a switch is scheduled.
    step_margin: StepMargin,
    /// The epoch, version and layer maps in use.
    active_maps: Option<(u64, u64, Vec<LayerMap>)>,
    /// The epoch, version and layer maps of a released switch, until its step begins.
    released_maps: Option<(u64, u64, Vec<LayerMap>)>,
    pending: Option<PendingMap>,
    leading: bool,
    /// The reports of the last poll.
    last_reports: Vec<RankReport>,
    /// The member that the next poll leaves out, as it has just not replied.
    skipped: Option<usize>,
    /// The delay until the next poll.
    poll_delay_next: PollDelay,
    /// The load of the group from the last poll, until it has been passed on.
    sample: Option<GroupSample>,
    /// When the load was last sampled.
    sampled_at: Millis,
    admission: LoadAdmission,
}

impl Coordinator {
    /// Returns a coordinator without knowledge of its group.
    pub(crate) fn new(
        agent: Arc<Agent>,
        engines: Arc<dyn EngineApi>,
        directory: Arc<dyn Directory>,
        settings: CoordinatorSettings,
    ) -> Self {
        let policy = settings.policy;
        Self {
            clock: agent.clock,
            agent,
            engines,
            directory,
            settings,
            members: Vec::new(),
            neighbourhoods: Vec::new(),
            members_read: None,
            members_stale: false,
            foreign: Set::default(),
            direct_polled: Millis::ZERO,
            rank: 0,
            size: 1,
            engine_seen: None,
            term: 0,
            last_version: 0,
            step_down_until: Millis::ZERO,
            popularity: Popularity::new(policy.popularity),
            counts_poll: CountsPoll::default(),
            step_margin: StepMargin::default(),
            active_maps: None,
            released_maps: None,
            pending: None,
            leading: false,
            last_reports: Vec::new(),
            skipped: None,
            poll_delay_next: PollDelay::Regular,
            sample: None,
            sampled_at: Millis::ZERO,
            admission: LoadAdmission::new(policy.admission),
        }
    }

    /// Leads the group whenever no other coordinator does; never returns.
    pub(crate) async fn run(mut self) {
        loop {
            tokio::time::sleep(self.poll_delay().duration()).await;
            self.poll_delay_next = PollDelay::Regular;
            if !self.may_lead() {
                self.set_leading(false);
                continue;
            }
            let Some(view) = self.agent.view(ViewScope::default()).await else {
                continue;
            };
            self.rank = view.report.rank.rank;
            self.size = view.report.rank.size;
            self.engine_seen.get_or_insert(self.clock.now());
            if !self.may_lead() || !self.others_silent() {
                self.set_leading(false);
                continue;
            }
            self.set_leading(true);
            self.lead(&view.report).await;
        }
    }

    /// Returns the delay until the next poll, shortened to when the pending map should be loaded.
    fn poll_delay(&self) -> Millis {
        match self.poll_delay_next {
            PollDelay::None => return Millis::ZERO,
            PollDelay::Short => return SWITCH_POLL_INTERVAL,
            PollDelay::Regular => {}
        }
        let interval = self.settings.policy.poll_interval;
        let Some(pending) = &self.pending else {
            return interval;
        };
        let taken = self.clock.now().since(pending.ordered_at);
        let left = pending.load_time.since(taken);
        left.max(SWITCH_POLL_INTERVAL).min(interval)
    }

    fn set_leading(&mut self, leading: bool) {
        if leading != self.leading {
            self.leading = leading;
            self.pending = None;
            self.active_maps = None;
            self.released_maps = None;
            self.last_reports.clear();
            self.admission.reset();
            self.popularity = Popularity::new(self.settings.policy.popularity);
            if leading {
                self.renew_term();
            }
            log::info!(event = "coordinator", leading = leading, rank = self.rank, term = self.term; "coordinator role changed");
        }
    }

    fn may_lead(&self) -> bool {
        self.clock.now() >= self.step_down_until
    }

    /// Returns whether no other coordinator has been heard for this rank's takeover delay.
    ///
    /// The delay starts when the engine first reports, so that the ranks of a group that starts at once do not all take over.
    fn others_silent(&self) -> bool {
        let Some(engine_seen) = self.engine_seen else {
            return false;
        };
        // Its own polls do not reset the time: they reach its own agent without a `Call`.
        let silent_since = self.agent.last_coordinator().at.max(engine_seen);
        let wait = TAKEOVER_DELAY + Millis(TAKEOVER_RANK_DELAY.0 * self.takeover_place() as u64);
        self.clock.now().since(silent_since) >= wait
    }

    /// Returns the place of this rank in the order of takeover. The rank that holds steps comes last: if it froze together with the
    /// coordinator, nobody could release the step.
    fn takeover_place(&self) -> usize {
        let size = self.size.max(1);
        (self.rank + size - 1 - HOLDER) % size
    }

    /// Sets a term above every known term.
    fn renew_term(&mut self) {
        let heard = self.agent.last_coordinator().term >> RANK_BITS;
        let counter = (Clock::wall_time().0)
            .max(heard + 1)
            .max((self.term >> RANK_BITS) + 1);
        self.term = counter << RANK_BITS | self.rank as u64;
    }

    /// Returns a version above all known ones, by `above`. The time is in it, so that it differs from those that this instance gave to
    /// a rank before a restart and that the rank does not report.
    fn next_version(&mut self, reports: &[RankReport], above: fn(u64, usize) -> u64) -> u64 {
        let known = reports.iter().flat_map(|report| {
            [
                report.active,
                report.prepared.unwrap_or_default(),
                report.armed.map_or(0, |armed| armed.version),
            ]
        });
        let highest = known.max().unwrap_or_default().max(self.last_version);
        let started = Clock::wall_time().0 << RANK_BITS;
        self.last_version = above(highest.max(started), self.rank);
        self.last_version
    }

    fn step_down(&mut self, why: &str) {
        log::info!(event = "step_down", term = self.term, why = why; "stepping down: an engine has seen a higher term");
        self.step_down_until = self.clock.now() + STEP_DOWN_TIME;
        self.set_leading(false);
    }

    async fn lead(&mut self, own: &EngineReport) {
        if !self.refresh_members(own).await {
            self.announce().await;
            return;
        }
        let views = self.poll_members().await;
        let reports: Vec<RankReport> = views.iter().map(|view| view.report.rank).collect();
        let mut action = next_action(&reports);
        if action.needs_snapshot() && !is_snapshot(&self.last_reports, &reports) {
            // The ranks were not read at the same time, so they may never have been in this state.
            if matches!(action, NextAction::Bypass { .. }) {
                self.skipped = self.missing_member(&reports);
            }
            action = NextAction::Loading;
            self.poll_delay_next = PollDelay::Short;
        }
        self.last_reports.clone_from(&reports);
        log::debug!(event = "look", step:? = action, seen = views.len(); "group polled");
        match action {
            NextAction::Unclear => {
                self.pending = None;
                self.members_stale = true;
            }
            NextAction::Loading => {}
            NextAction::Hold { .. } => self.hold(&reports).await,
            NextAction::Arm {
                version,
                step,
                holder,
            } => self.arm(version, step, holder, &reports).await,
            NextAction::Replace { first, step } => self.replace(first, step, &reports).await,
            NextAction::Bypass {
                first,
                step,
                holder,
            } => self.bypass(first, step, holder, &views).await,
            NextAction::Release { step, holder } => {
                self.release_unused(step, holder, &reports).await;
            }
            NextAction::Idle => self.plan(&views, &reports).await,
        }
    }

    /// Plans a change of the expert maps and orders the ranks to load it if it is worth its cost.
    async fn plan(&mut self, views: &[EngineView], reports: &[RankReport]) {
        let now = self.clock.now();
        if let Some(pending) = &self.pending {
            if now.since(pending.ordered_at) > PREPARE_TIMEOUT {
                log::info!(event = "prepare_abandoned", version = pending.version; "pending map abandoned: experts were not loaded in time");
                self.pending = None;
            } else {
                self.retry_prepare(views, now).await;
            }
            return;
        }
        let policy = self.settings.policy;
        let busy = views.iter().any(|view| view.report.busy);
        let observed = self.popularity.observation_time() >= policy.min_observation;
        if busy || !observed || !policy.rebalances {
            return;
        }
        let shape = self.settings.shape;
        let Some((_, _, layers)) = &self.active_maps else {
            return;
        };
        let Some(demand) = self.popularity.demand(shape.layers, shape.experts) else {
            return;
        };
        let settings = RebalanceSettings {
            rank_slots: shape.rank_slots,
            layer_transfers: shape.layer_transfers,
            rank_transfers: shape.rank_transfers(policy.change_load_time),
            transfer_gain: policy.transfer_gain,
            change_gain: policy.change_gain,
        };
        let Some(change) = plan_rebalance(&settings, layers, &demand, &paces(views)) else {
            return;
        };
        let version = self.next_version(reports, version_above);
        log::info!(
            event = "map_planned", version = version, skew_now = change.skew_before,
            skew_then = change.skew_after, loads = change.transfers, hottest:? = hottest(&demand);
            "planned a change of the expert maps"
        );
        self.pending = Some(PendingMap {
            version,
            layers: change.layers,
            ordered_at: now,
            retried_at: now,
            load_time: Millis(shape.load_time.0 * change.rank_transfers as u64),
        });
        self.prepare(reports).await;
    }
}

/// Returns how much longer each rank takes for its work than a healthy one.
fn paces(views: &[EngineView]) -> Vec<f64> {
    let percent = views.iter().map(|view| view.report.load.pace_percent);
    percent
        .map(|percent| f64::from(percent.max(100)) / 100.0)
        .collect()
}

/// Returns the expert with the highest demand in each layer.
fn hottest(demand: &[Vec<f64>]) -> Vec<usize> {
    let highest = demand.iter().map(|layer| {
        let experts = layer.iter().enumerate();
        experts.max_by(|one, other| one.1.total_cmp(other.1))
    });
    highest.flatten().map(|(expert, _)| expert).collect()
}
