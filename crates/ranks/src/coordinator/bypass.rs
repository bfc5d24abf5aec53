//! Releases a held step whose coordinator has frozen with its instance, so that its own engine does not report.

use sardinepin_groups::{LayerMap, RankReport, replacement_above};

use super::orders::GroupReply;
use super::{Coordinator, PollDelay};
use crate::engine::{Action, EngineReply};
use crate::messages::{EngineView, Look, ViewScope};

impl Coordinator {
    /// Returns the member that is the only one without a report.
    pub(super) fn missing_member(&self, reports: &[RankReport]) -> Option<usize> {
        let is_missing = |rank: &usize| !reports.iter().any(|report| report.rank == *rank);
        (0..self.members.len()).find(is_missing)
    }

    /// Has every rank that reports load a replacement of the version that cannot be armed, `first` before all others, then releases the
    /// step on the map in use.
    pub(super) async fn bypass(
        &mut self,
        first: usize,
        step: u64,
        holder: usize,
        views: &[EngineView],
    ) {
        self.poll_delay_next = PollDelay::Short;
        self.pending = None;
        let reports: Vec<RankReport> = views.iter().map(|view| view.report.rank).collect();
        let Some(layers) = self.known_maps(views) else {
            return;
        };
        let version = self.next_version(&reports, replacement_above);
        log::info!(event = "bypass", version = version, step = step, first = first; "releasing a step without the rank that planned the switch");
        let reload = Action::Prepare { version, layers };
        let (one, others): (Vec<RankReport>, Vec<RankReport>) =
            reports.iter().partition(|report| report.rank == first);
        let mut reply = GroupReply::of(&self.replace_at(&one, &reload).await);
        if reply == GroupReply::Accepted {
            reply = GroupReply::of(&self.replace_at(&others, &reload).await);
        }
        match reply {
            GroupReply::Accepted => self.release_bypassed(version, step, holder).await,
            GroupReply::Superseded => self.step_down("bypass"),
            GroupReply::Incomplete => {}
        }
    }

    /// Releases the step once every rank that reports has begun to load the replacement.
    async fn release_bypassed(&mut self, version: u64, step: u64, holder: usize) {
        let look = Look {
            term: self.term,
            scope: ViewScope::default(),
            sample: None,
        };
        // To load the replacement may have raised the sequence number.
        let view = self.poll_member(holder, &look).await;
        let view = view.filter(|view| self.is_of_member(holder, view));
        let holding = view.map(|view| view.report.rank);
        let is_unchanged = |report: &RankReport| {
            report.prepared == Some(version) && report.armed.is_none() && report.held == Some(step)
        };
        let (Some(holding), Some(target)) =
            (holding.filter(is_unchanged), self.members.get(holder))
        else {
            return;
        };
        let order = self.new_order(&holding, Action::Release { step });
        let reply = self.send_with_retry(target, &order).await;
        log::info!(event = "released", step = step, reply:? = reply; "released the step on the map in use");
        if reply == Some(EngineReply::Superseded) {
            self.step_down("release");
        }
    }

    /// Returns the maps in use, as far as the ranks that report tell: the one that does not is given the experts that no other holds.
    fn known_maps(&self, views: &[EngineView]) -> Option<Vec<LayerMap>> {
        if let Some((_, _, layers)) = &self.active_maps {
            return Some(layers.clone());
        }
        let shape = self.settings.shape;
        let mut layers = vec![vec![None; self.members.len()]; shape.layers];
        for view in views {
            let held = view.experts.as_ref()?;
            if held.version != view.report.rank.active {
                return None;
            }
            for (layer, experts) in layers.iter_mut().zip(&held.layers) {
                *layer.get_mut(view.report.rank.rank)? = Some(experts.clone());
            }
        }
        let complete = |layer: Vec<Option<Vec<u16>>>| {
            let is_free = |expert: &u16| !layer.iter().flatten().any(|held| held.contains(expert));
            let free: Vec<u16> = (0..shape.experts as u16).filter(is_free).collect();
            let ranks = layer.into_iter();
            ranks
                .map(|held| held.unwrap_or_else(|| free.clone()))
                .collect()
        };
        Some(layers.into_iter().map(complete).collect())
    }
}
