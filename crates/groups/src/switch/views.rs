//! What a coordinator knows of the ranks.

use sardinepin_common::{Incarnation, MapVersion};

use crate::switch::gate::{Gate, MapId, Staged};
use crate::switch::messages::{RankId, Report};

/// What a coordinator knows of one rank, all of it said at the coordinator's own term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(crate) struct View {
    /// The life of the agent, once it has answered.
    pub(crate) agent: Option<Incarnation>,
    /// The gate as last reported.
    pub(crate) gate: Gate,
    /// The next step as last reported.
    pub(crate) next_step: u64,
}

/// What is known of all ranks.
///
/// Decisions use only what stays true once it is so: that a rank has armed a version, has closed
/// it unarmed, or has committed it. So reports may arrive late, twice or out of order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Views {
    views: Vec<View>,
}

/// What becomes of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Verdict {
    /// Every rank has armed it, or one has committed it.
    Commit,
    /// One rank has closed it without arming it.
    Abort,
    /// Some rank has neither armed nor closed it as far as is known.
    Open,
}

impl Views {
    /// Makes views of which nothing is known.
    pub(crate) fn new(ranks: u16) -> Self {
        Self {
            views: vec![View::default(); usize::from(ranks)],
        }
    }

    /// Takes a report in; one from a rank that does not exist is left out.
    ///
    /// A gate only ever grows in its order, so a smaller one from the same agent is a late report.
    pub(crate) fn update(&mut self, report: &Report) {
        let Some(view) = self.views.get_mut(usize::from(report.rank.0)) else {
            return;
        };
        view.next_step = view.next_step.max(report.next_step);
        if view.agent == Some(report.agent) && report.gate < view.gate {
            return;
        }
        view.agent = Some(report.agent);
        view.gate = report.gate;
    }

    /// Returns the view of a rank.
    pub(crate) fn get(&self, rank: RankId) -> Option<&View> {
        self.views.get(usize::from(rank.0))
    }

    /// Returns the ranks that have answered and for which `holds`.
    pub(crate) fn answered(&self, holds: impl Fn(&View) -> bool) -> Vec<RankId> {
        self.select(|view| view.agent.is_some() && holds(view))
    }

    /// Returns the ranks that have not answered, or for which `holds` is not true.
    pub(crate) fn lacking(&self, holds: impl Fn(&View) -> bool) -> Vec<RankId> {
        self.select(|view| view.agent.is_none() || !holds(view))
    }

    /// Returns the highest version that some rank still has to finish.
    pub(crate) fn unsettled(&self) -> Option<MapVersion> {
        let promised = self
            .views
            .iter()
            .filter_map(|view| view.gate.armed)
            .map(|armed| armed.version)
            .max();
        promised.or_else(|| self.uneven())
    }

    /// Returns what becomes of a version, from what is known.
    pub(crate) fn verdict(&self, version: MapVersion) -> Verdict {
        let known = |holds: &dyn Fn(&Gate) -> bool| {
            self.views
                .iter()
                .any(|view| view.agent.is_some() && holds(&view.gate))
        };
        if known(&|gate| gate.has_committed(version)) {
            return Verdict::Commit;
        }
        if known(&|gate| gate.has_closed(version)) {
            return Verdict::Abort;
        }
        if self.lacking(|view| view.gate.has_armed(version)).is_empty() {
            return Verdict::Commit;
        }
        Verdict::Open
    }

    /// Returns the version for the next map: above all that any rank has seen.
    pub(crate) fn next_version(&self) -> MapVersion {
        let seen = self.views.iter().map(|view| {
            let staged = view.gate.staged.map_or(0, |staged| staged.map.version.0);
            view.gate.active.0.max(view.gate.closed.0).max(staged)
        });
        MapVersion(seen.max().unwrap_or(0) + 1)
    }

    /// Returns the latest known step; ranks advance in lock-step, so it is near that of all.
    pub(crate) fn latest_step(&self) -> u64 {
        self.views
            .iter()
            .map(|view| view.next_step)
            .max()
            .unwrap_or(0)
    }

    /// Returns the ranks that have not loaded a map.
    pub(crate) fn unloaded(&self, map: MapId) -> Vec<RankId> {
        self.lacking(|view| view.gate.staged == Some(Staged { map, ready: true }))
    }

    fn select(&self, holds: impl Fn(&View) -> bool) -> Vec<RankId> {
        (0..self.views.len())
            .filter(|at| holds(&self.views[*at]))
            .filter_map(|at| u16::try_from(at).ok())
            .map(RankId)
            .collect()
    }

    /// Returns the highest version in use if not all ranks that answered use the same.
    fn uneven(&self) -> Option<MapVersion> {
        let versions = || {
            self.views
                .iter()
                .filter(|view| view.agent.is_some())
                .map(|view| view.gate.active)
        };
        (versions().min() != versions().max())
            .then(|| versions().max())
            .flatten()
    }
}
