//! The orders of a switch: what is sent to which rank, and what follows from the replies.

use futures_util::future::join_all;
use sardinepin_common::Millis;
use sardinepin_groups::{ArmedVersion, RankReport, planner_of, replacement_above};

use super::orders::GroupReply;
use super::{Coordinator, HOLDER, PREPARE_RETRY_INTERVAL, PollDelay};
use crate::engine::{Action, EngineReply};
use crate::messages::EngineView;

impl Coordinator {
    /// Orders every rank to load the pending map, the rank that planned it first.
    pub(super) async fn prepare(&mut self, reports: &[RankReport]) {
        let Some(pending) = &self.pending else {
            return;
        };
        let action = Action::Prepare {
            version: pending.version,
            layers: pending.layers.clone(),
        };
        let planner = planner_of(pending.version);
        let mut replies = vec![self.send_to_planner(reports, &action, planner).await];
        if GroupReply::of(&replies) == GroupReply::Accepted {
            replies = self.send_to_each(reports, &action, planner).await;
        } else {
            self.pending = None;
        }
        if GroupReply::of(&replies) == GroupReply::Superseded {
            self.step_down("prepare");
        }
    }

    /// Repeats the order to ranks that are neither loading the pending map nor have loaded it.
    pub(super) async fn retry_prepare(&mut self, views: &[EngineView], now: Millis) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        if now.since(pending.retried_at) < PREPARE_RETRY_INTERVAL {
            return;
        }
        pending.retried_at = now;
        let version = pending.version;
        let action = Action::Prepare {
            version,
            layers: pending.layers.clone(),
        };
        let missing = views
            .iter()
            .enumerate()
            .filter(|(_, view)| !view.report.busy && view.report.rank.prepared != Some(version));
        let orders: Vec<_> = missing
            .map(|(index, view)| (index, self.new_order(&view.report.rank, action.clone())))
            .collect();
        let replies = self.send_all(&orders).await;
        if GroupReply::of(&replies) == GroupReply::Superseded {
            self.step_down("prepare");
        }
    }

    /// Holds a step. The ranks are polled again before they are armed for it, as they may have been armed for an earlier step since the
    /// last poll.
    pub(super) async fn hold(&mut self, reports: &[RankReport]) {
        let Some(holder) = reports.get(HOLDER) else {
            return;
        };
        let last = reports.iter().map(|report| report.step).max();
        let step = last.unwrap_or_default() + self.step_margin.steps();
        let order = self.new_order(holder, Action::Hold { step });
        // Without the agent in between, the step is held or not whatever happens to that agent.
        let reply = match self.members.get(HOLDER) {
            Some(_) if self.own_index() == Some(HOLDER) => self.agent.order(&order).await,
            Some(target) => self.send_directly(target, &order).await,
            None => None,
        };
        match reply {
            Some(EngineReply::Done | EngineReply::Begun) => {
                self.step_margin.record_success();
                self.poll_delay_next = PollDelay::None;
            }
            Some(EngineReply::Superseded) => self.step_down("hold"),
            reply => {
                if reply == Some(EngineReply::Conflict) {
                    self.step_margin.record_miss();
                }
                // The next poll shows whether the order was carried out.
                self.poll_delay_next = PollDelay::Short;
            }
        }
    }

    /// Arms all ranks, the one that planned the version after all others, and releases the step once all report that they are armed.
    pub(super) async fn arm(
        &mut self,
        version: u64,
        step: u64,
        holder: usize,
        reports: &[RankReport],
    ) {
        let action = Action::Arm { version, step };
        let planner = planner_of(version);
        let mut replies = self.send_to_each(reports, &action, planner).await;
        if GroupReply::of(&replies) == GroupReply::Accepted {
            replies = vec![self.send_to_planner(reports, &action, planner).await];
        }
        match GroupReply::of(&replies) {
            GroupReply::Accepted => self.release_armed(version, step, holder).await,
            GroupReply::Superseded => self.step_down("arm"),
            GroupReply::Incomplete => self.record_incomplete_arm(version, step),
        }
    }

    /// Releases a step once all ranks report that they are armed for it. What an order was answered is no proof: an engine in trouble may
    /// send a copy of an earlier answer, and carry the order out late or never.
    async fn release_armed(&mut self, version: u64, step: u64, holder: usize) {
        let reports = self.poll_reports().await;
        let wanted = Some(ArmedVersion { version, step });
        let is_armed = reports.iter().all(|report| report.armed == wanted);
        let holding = reports.get(holder).copied();
        match holding.filter(|_| is_armed && reports.len() == self.members.len()) {
            Some(holding) => self.release(&holding, step, version).await,
            None => self.record_incomplete_arm(version, step),
        }
    }

    fn record_incomplete_arm(&mut self, version: u64, step: u64) {
        self.poll_delay_next = PollDelay::Short;
        log::info!(event = "arm_incomplete", version = version, step = step; "not all ranks are armed yet");
    }

    /// Releases a step for which all ranks are armed, unless anything has begun at its holder.
    async fn release(&mut self, holding: &RankReport, step: u64, version: u64) {
        let order = self.new_order(holding, Action::Release { step });
        let Some(target) = self.members.get(holding.rank) else {
            return;
        };
        let reply = self.send_with_retry(target, &order).await;
        let accepted = reply.is_some_and(EngineReply::is_accepted);
        if !accepted {
            self.poll_delay_next = PollDelay::Short;
        }
        if accepted {
            let pending = self.pending.take();
            let pending = pending.filter(|pending| pending.version == version);
            self.released_maps = pending.map(|pending| (holding.epoch, version, pending.layers));
        }
        log::info!(event = "switched", version = version, step = step, reply:? = reply; "released the step on the new map");
    }

    /// Disarms the ranks and has them load the map in use again as a newer version, so that no older
    /// version can ever be armed. The rank `first` is changed before all others.
    pub(super) async fn replace(&mut self, first: usize, step: u64, reports: &[RankReport]) {
        self.poll_delay_next = PollDelay::Short;
        self.pending = None;
        let version = self.next_version(reports, replacement_above);
        // If the maps are unknown, the next poll reads which experts the ranks hold.
        let Some((_, _, layers)) = &self.active_maps else {
            return;
        };
        let Some(report) = reports.get(first) else {
            return;
        };
        let reload = Action::Prepare {
            version,
            layers: layers.clone(),
        };
        log::info!(event = "abort", version = version, step = step, first = first; "replacing a switch that cannot be completed");
        let mut replies = self.replace_at(&[*report], &reload).await;
        if GroupReply::of(&replies) == GroupReply::Accepted {
            let others = reports.iter().filter(|report| report.rank != first);
            let others: Vec<RankReport> = others.copied().collect();
            replies = self.replace_at(&others, &reload).await;
        }
        if GroupReply::of(&replies) == GroupReply::Superseded {
            self.step_down("replace");
        }
    }

    /// Disarms ranks, then has them load a newer version; returns the reply of each to its last order.
    pub(super) async fn replace_at(
        &self,
        reports: &[RankReport],
        reload: &Action,
    ) -> Vec<Option<EngineReply>> {
        let disarmed = join_all(reports.iter().map(|report| self.disarm(report))).await;
        let mut replies: Vec<Option<EngineReply>> = Vec::new();
        let mut orders = Vec::new();
        for found in disarmed {
            match found {
                Ok(current) => {
                    orders.push((current.rank, self.new_order(&current, reload.clone())))
                }
                Err(refused) => replies.push(refused),
            }
        }
        replies.extend(self.send_all(&orders).await);
        replies
    }

    /// Disarms a rank if it is armed; returns its report after that, or the reply if it was not accepted.
    async fn disarm(&self, report: &RankReport) -> Result<RankReport, Option<EngineReply>> {
        let mut current = *report;
        let Some(armed) = report.armed else {
            return Ok(current);
        };
        let target = self.members.get(report.rank).ok_or(None)?;
        let version = armed.version;
        let order = self.new_order(&current, Action::Disarm { version });
        match self.send_with_retry(target, &order).await {
            Some(EngineReply::Begun) => current.sequence += 1,
            Some(EngineReply::Done) => {}
            refused => return Err(refused),
        }
        Ok(current)
    }

    /// Releases a step that is held although no switch is in progress.
    pub(super) async fn release_unused(
        &mut self,
        step: u64,
        holder: usize,
        reports: &[RankReport],
    ) {
        self.pending = None;
        self.poll_delay_next = PollDelay::Short;
        let Some(report) = reports.get(holder) else {
            return;
        };
        let order = self.new_order(report, Action::Release { step });
        if let Some(target) = self.members.get(holder) {
            let reply = self.send_with_retry(target, &order).await;
            if reply == Some(EngineReply::Superseded) {
                self.step_down("release");
            }
            log::info!(event = "released", step = step, reply:? = reply; "released the step on the map in use");
        }
    }
}
