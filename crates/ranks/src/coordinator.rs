//! The coordinator of a group: any of its agents may be it, and two at once do no harm.

mod ahead;
mod looks;
mod orders;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;

use sardinepin_common::{Clock, Millis};
use sardinepin_groups::{
    LayerMap, NextAction, Popularity, RankReport, RebalanceSettings, next_action, plan_rebalance,
};

use crate::agent::Agent;
use crate::coordinator::ahead::Ahead;
use crate::coordinator::looks::Counted;
use crate::engine::{Directory, EngineApi, EngineReport, ExpertShape, Member};
use crate::messages::{Scope, View};
use crate::peer::Peer;

/// The time between two looks at a group.
const LOOK: Millis = Millis(100);

/// The time between two looks at a group whose switch is under way.
const LOOK_URGENT: Millis = Millis(15);

/// The silence of other coordinators after which the first rank takes over.
const TAKE_OVER: Millis = Millis(400);

/// How much longer each further rank waits before it takes over.
const TAKE_OVER_STEP: Millis = Millis(150);

/// How long a coordinator that met a higher term rests.
const STEP_DOWN: Millis = Millis(1_500);

/// The time between two readings of the list of members while the group is not whole.
const MEMBERS: Millis = Millis(1_000);

/// The time between two looks at engines whose agents are silent, while no step is held.
const DIRECT_PAUSE: Millis = Millis(400);

/// The longest time over a call to an engine whose agent is silent.
const DIRECT_MAX: Millis = Millis(250);

/// How long counts are gathered before the first plan.
const GATHER: Millis = Millis(400);

/// How long a preparation may take before it is given up.
const PREPARE_MAX: Millis = Millis(9_000);

/// How long after a preparation ranks that show no sign of it are ordered again.
const PREPARE_AGAIN: Millis = Millis(600);

/// The bits of a term or version that name the rank that drew it.
const RANK_BITS: u32 = 8;

/// What a coordinator needs.
#[derive(Debug)]
pub(crate) struct CoordinatorSettings {
    pub(crate) engine: SocketAddr,
    pub(crate) peer_port: u16,
    pub(crate) shape: ExpertShape,
}

/// A map whose loading was ordered.
#[derive(Debug)]
struct Pending {
    version: u64,
    layers: Vec<LayerMap>,
    ordered: Millis,
    again: Millis,
    /// How long the rank with most to load takes.
    load_time: Millis,
}

/// One member of the group and the way to its agent.
#[derive(Debug)]
struct Seat {
    member: Member,
    peer: Peer,
}

/// The coordinator of a group.
#[derive(Debug)]
pub(crate) struct Coordinator {
    agent: Arc<Agent>,
    engines: Arc<dyn EngineApi>,
    directory: Arc<dyn Directory>,
    settings: CoordinatorSettings,
    clock: Clock,
    seats: Vec<Seat>,
    /// When the list of members was last read.
    members_at: Option<Millis>,
    /// Whether the members may have changed since.
    members_doubted: bool,
    /// When engines were last looked at without their agents.
    direct_at: Millis,
    rank: usize,
    term: u64,
    last_version: u64,
    rests_until: Millis,
    popularity: Popularity,
    counted: Counted,
    /// How far ahead a switch is put.
    ahead: Ahead,
    /// The maps in use, with the epoch and the version that they belong to.
    maps: Option<(u64, u64, Vec<LayerMap>)>,
    /// The maps of the last switch, until their step begins.
    released: Option<(u64, u64, Vec<LayerMap>)>,
    pending: Option<Pending>,
    leading: bool,
    /// The epoch and the step for which every rank was disarmed, at the present term.
    aborted: Option<(u64, u64)>,
    /// Whether a switch is under way that must not wait for the next look.
    urgent: bool,
}

impl Coordinator {
    /// Makes a coordinator that knows nothing of its group.
    pub(crate) fn new(
        agent: Arc<Agent>,
        engines: Arc<dyn EngineApi>,
        directory: Arc<dyn Directory>,
        settings: CoordinatorSettings,
    ) -> Self {
        Self {
            clock: agent.clock,
            agent,
            engines,
            directory,
            settings,
            seats: Vec::new(),
            members_at: None,
            members_doubted: false,
            direct_at: Millis::ZERO,
            rank: 0,
            term: 0,
            last_version: 0,
            rests_until: Millis::ZERO,
            popularity: Popularity::default(),
            counted: Counted::default(),
            ahead: Ahead::default(),
            maps: None,
            released: None,
            pending: None,
            leading: false,
            aborted: None,
            urgent: false,
        }
    }

    /// Looks after the group for as long as the process lives, whenever no other does.
    pub(crate) async fn run(mut self) {
        loop {
            tokio::time::sleep(self.pause().duration()).await;
            self.urgent = false;
            if !self.is_due() {
                self.set_leading(false);
                continue;
            }
            let Some(view) = self.agent.view(Scope::default()).await else {
                continue;
            };
            self.rank = view.report.rank.rank;
            if !self.is_due() || !self.is_silent() {
                self.set_leading(false);
                continue;
            }
            self.set_leading(true);
            self.lead(&view.report).await;
        }
    }

    /// Returns the time until the next look: the moment at which experts should be loaded, if that
    /// comes first.
    fn pause(&self) -> Millis {
        if self.urgent {
            return LOOK_URGENT;
        }
        let Some(pending) = &self.pending else {
            return LOOK;
        };
        let taken = self.clock.now().since(pending.ordered);
        let left = pending.load_time.since(taken);
        left.max(LOOK_URGENT).min(LOOK)
    }

    fn set_leading(&mut self, leading: bool) {
        if leading != self.leading {
            self.leading = leading;
            self.pending = None;
            self.maps = None;
            self.released = None;
            self.aborted = None;
            self.popularity = Popularity::default();
            if leading {
                self.renew_term();
            }
            log::info!(event = "coordinator", leading = leading, rank = self.rank, term = self.term; "coordinator changes");
        }
    }

    fn is_due(&self) -> bool {
        self.clock.now() >= self.rests_until
    }

    /// Returns whether no coordinator that goes before this one has been heard for long enough.
    fn is_silent(&self) -> bool {
        let heard = self.agent.heard();
        if heard.term == 0 && self.clock.now() < TAKE_OVER {
            return false;
        }
        // The coordinator's own looks come back to its own agent only through this one.
        let wait = TAKE_OVER + Millis(TAKE_OVER_STEP.0 * self.rank as u64);
        self.clock.now().since(heard.at) >= wait
    }

    /// Draws a term above any that was heard.
    fn renew_term(&mut self) {
        let heard = self.agent.heard().term >> RANK_BITS;
        let drawn = (Clock::wall_time().0)
            .max(heard + 1)
            .max((self.term >> RANK_BITS) + 1);
        self.term = drawn << RANK_BITS | self.rank as u64;
    }

    fn draw_version(&mut self, reports: &[RankReport]) -> u64 {
        let known = reports.iter().flat_map(|report| {
            [
                report.active,
                report.prepared.unwrap_or_default(),
                report.armed.map_or(0, |armed| armed.version),
            ]
        });
        let highest = known.max().unwrap_or_default().max(self.last_version) >> RANK_BITS;
        self.last_version = (highest + 1) << RANK_BITS | self.rank as u64;
        self.last_version
    }

    fn step_down(&mut self, why: &str) {
        log::info!(event = "step_down", term = self.term, why = why; "another coordinator has a higher term");
        self.rests_until = self.clock.now() + STEP_DOWN;
        self.set_leading(false);
    }

    async fn lead(&mut self, own: &EngineReport) {
        if !self.know_members(own).await {
            return;
        }
        let views = self.look().await;
        let reports: Vec<RankReport> = views.iter().map(|view| view.report.rank).collect();
        let step = next_action(&reports);
        log::debug!(event = "look", step:? = step, seen = views.len(); "group looked at");
        match step {
            NextAction::Unclear => {
                self.pending = None;
                self.members_doubted = true;
            }
            NextAction::Loading => {}
            NextAction::Hold { version } => self.hold(version, &reports).await,
            NextAction::Arm {
                version,
                step,
                holder,
            } => self.arm(version, step, holder, &reports).await,
            NextAction::Abort {
                versions,
                step,
                holder,
            } => self.abort(&versions, step, holder, &reports).await,
            NextAction::Idle => self.plan(&views, &reports).await,
        }
    }

    /// Plans a change of the maps, and has it loaded if it is worth it.
    async fn plan(&mut self, views: &[View], reports: &[RankReport]) {
        let now = self.clock.now();
        if let Some(pending) = &self.pending {
            if now.since(pending.ordered) > PREPARE_MAX {
                log::info!(event = "prepare_abandoned", version = pending.version; "experts were not loaded in time");
                self.pending = None;
            } else {
                self.prepare_again(views, now).await;
            }
            return;
        }
        let busy = views.iter().any(|view| view.report.busy);
        if busy || self.popularity.observation_time() < GATHER {
            return;
        }
        let shape = self.settings.shape;
        let Some((_, _, layers)) = &self.maps else {
            return;
        };
        let Some(demand) = self.popularity.demand(shape.layers, shape.experts) else {
            return;
        };
        let settings = RebalanceSettings {
            rank_slots: shape.rank_slots,
            layer_transfers: shape.layer_transfers,
            rank_transfers: shape.rank_transfers(),
            ..RebalanceSettings::default()
        };
        let Some(change) = plan_rebalance(&settings, layers, &demand) else {
            return;
        };
        let version = self.draw_version(reports);
        log::info!(
            event = "map_planned", version = version, skew_now = change.skew_before,
            skew_then = change.skew_after, loads = change.transfers;
            "a change of the expert maps pays"
        );
        self.pending = Some(Pending {
            version,
            layers: change.layers,
            ordered: now,
            again: now,
            load_time: Millis(shape.load_time.0 * change.rank_transfers as u64),
        });
        self.prepare(reports).await;
    }
}
