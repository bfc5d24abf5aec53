//! A coordinator's knowledge of the ranks.

use sardinepin_common::{Incarnation, MapVersion};

use crate::switch::gate::{Gate, MapId, Staged};
use crate::switch::messages::{RankId, Report};

/// A coordinator's knowledge of one rank, taken only from reports for the coordinator's own term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(crate) struct View {
    /// The incarnation of the agent; `None` until the rank has reported.
    pub(crate) agent: Option<Incarnation>,
    /// The gate as last reported.
    pub(crate) gate: Gate,
    /// The highest reported first step that the engine has not begun.
    pub(crate) next_step: u64,
}

/// A coordinator's knowledge of all ranks.
///
/// Decisions rely only on facts that remain true once they hold: a rank has armed a version, has
/// closed it without arming it, or has committed it. Reports may therefore arrive late, more than
/// once or out of order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Views {
    views: Vec<View>,
}

/// The decision on a version that the known facts allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Decision {
    /// Every rank has armed the version, or one has committed it.
    Commit,
    /// A rank has closed the version without arming it.
    Abort,
    /// Not decided: some rank is not known to have armed the version, and none to have closed it.
    Undecided,
}

impl Views {
    /// Returns views of ranks that have not reported.
    pub(crate) fn new(ranks: u16) -> Self {
        Self {
            views: vec![View::default(); usize::from(ranks)],
        }
    }

    /// Records a report; ignores one from a rank that does not exist.
    ///
    /// Orders only increase a gate, so a lower gate from the same agent is a late report.
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

    /// Returns the view of a rank, or `None` if there is no such rank.
    pub(crate) fn get(&self, rank: RankId) -> Option<&View> {
        self.views.get(usize::from(rank.0))
    }

    /// Returns the ranks that have reported and fulfil `condition`.
    pub(crate) fn ranks_with(&self, condition: impl Fn(&View) -> bool) -> Vec<RankId> {
        self.select(|view| view.agent.is_some() && condition(view))
    }

    /// Returns the ranks that have not reported or do not fulfil `condition`.
    pub(crate) fn ranks_without(&self, condition: impl Fn(&View) -> bool) -> Vec<RankId> {
        self.select(|view| view.agent.is_none() || !condition(view))
    }

    /// Returns the highest armed version, or else the highest active one if the ranks disagree.
    pub(crate) fn unsettled_version(&self) -> Option<MapVersion> {
        let highest_armed = self
            .views
            .iter()
            .filter_map(|view| view.gate.armed)
            .map(|armed| armed.version)
            .max();
        highest_armed.or_else(|| self.highest_if_mixed())
    }

    /// Returns the decision on a version that the known facts allow.
    pub(crate) fn decision(&self, version: MapVersion) -> Decision {
        let any_rank = |condition: &dyn Fn(&Gate) -> bool| {
            self.views
                .iter()
                .any(|view| view.agent.is_some() && condition(&view.gate))
        };
        if any_rank(&|gate| gate.has_committed(version)) {
            return Decision::Commit;
        }
        if any_rank(&|gate| gate.has_closed(version)) {
            return Decision::Abort;
        }
        if self
            .ranks_without(|view| view.gate.has_armed(version))
            .is_empty()
        {
            return Decision::Commit;
        }
        Decision::Undecided
    }

    /// Returns the version for the next map, higher than every active, closed or staged version.
    pub(crate) fn next_version(&self) -> MapVersion {
        let seen = self.views.iter().map(|view| {
            let staged = view.gate.staged.map_or(0, |staged| staged.map.version.0);
            view.gate.active.0.max(view.gate.closed.0).max(staged)
        });
        MapVersion(seen.max().unwrap_or(0) + 1)
    }

    /// Returns the highest reported step. Ranks run in lock-step, so all are close to it.
    pub(crate) fn latest_step(&self) -> u64 {
        self.views
            .iter()
            .map(|view| view.next_step)
            .max()
            .unwrap_or(0)
    }

    /// Returns the ranks that have not loaded this map or have not reported.
    pub(crate) fn ranks_to_load(&self, map: MapId) -> Vec<RankId> {
        self.ranks_without(|view| view.gate.staged == Some(Staged { map, ready: true }))
    }

    fn select(&self, condition: impl Fn(&View) -> bool) -> Vec<RankId> {
        (0..self.views.len())
            .filter(|at| condition(&self.views[*at]))
            .filter_map(|at| u16::try_from(at).ok())
            .map(RankId)
            .collect()
    }

    /// Returns the highest active version if the ranks that reported use different versions.
    fn highest_if_mixed(&self) -> Option<MapVersion> {
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
