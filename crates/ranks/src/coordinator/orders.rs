//! Sends a coordinator's orders to the ranks of its group.

use futures_util::future::join_all;
use sardinepin_common::Millis;
use sardinepin_groups::RankReport;

use super::{Coordinator, DIRECT_TIMEOUT, GroupMember, PREPARE_RETRY_INTERVAL};
use crate::engine::{Action, EngineOrder, EngineReply};
use crate::messages::{Call, EngineView, Reply};

/// How many times an order is sent until a reply comes.
const MAX_ATTEMPTS: u32 = 6;

/// The combined reply of the ranks to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GroupReply {
    /// Every rank accepted the order.
    Accepted,
    /// A rank has seen a higher term.
    Superseded,
    /// A rank rejected the order or did not reply.
    Incomplete,
}

impl Coordinator {
    fn new_order(&self, epoch: u64, action: Action) -> EngineOrder {
        EngineOrder {
            term: self.term,
            epoch,
            sequence: None,
            action,
        }
    }

    /// Sends an order to one rank, repeatedly until a reply comes.
    async fn send_with_retry(
        &self,
        target: &GroupMember,
        order: &EngineOrder,
    ) -> Option<EngineReply> {
        for _ in 0..MAX_ATTEMPTS {
            if let Some(reply) = self.send(target, order).await {
                return Some(reply);
            }
        }
        None
    }

    async fn send(&self, target: &GroupMember, order: &EngineOrder) -> Option<EngineReply> {
        if target.member.engine == self.settings.engine {
            return self.agent.order(order).await;
        }
        match target.client.call(&Call::Order(order.clone())).await {
            Some(Reply::Order(reply)) => Some(reply),
            Some(_) => None,
            // The agent is unreachable; its engine may still be reachable.
            None => self.send_directly(target, order).await,
        }
    }

    async fn send_directly(
        &self,
        target: &GroupMember,
        order: &EngineOrder,
    ) -> Option<EngineReply> {
        let call = self.engines.order(target.member.engine, order);
        tokio::time::timeout(DIRECT_TIMEOUT.duration(), call)
            .await
            .ok()?
            .ok()
    }

    /// Sends orders to ranks concurrently; each order is paired with the index of its member.
    async fn send_all(&self, orders: &[(usize, EngineOrder)]) -> GroupReply {
        let calls = orders.iter().filter_map(|(index, order)| {
            Some(self.send_with_retry(self.members.get(*index)?, order))
        });
        let replies: Vec<Option<EngineReply>> = join_all(calls).await;
        if replies.contains(&Some(EngineReply::Superseded)) {
            return GroupReply::Superseded;
        }
        let all = replies.len() == orders.len()
            && replies
                .iter()
                .all(|reply| reply.is_some_and(EngineReply::is_accepted));
        if all {
            GroupReply::Accepted
        } else {
            GroupReply::Incomplete
        }
    }

    /// Sends the same action to every rank concurrently.
    ///
    /// If `sequenced`, each order carries the sequence number of the rank's report, so that the
    /// engine rejects a delayed copy.
    async fn send_to_each(
        &self,
        reports: &[RankReport],
        action: &Action,
        sequenced: bool,
    ) -> GroupReply {
        let orders: Vec<_> = reports
            .iter()
            .enumerate()
            .map(|(index, report)| {
                let mut order = self.new_order(report.epoch, action.clone());
                order.sequence = sequenced.then_some(report.sequence);
                (index, order)
            })
            .collect();
        self.send_all(&orders).await
    }

    /// Orders every rank to load the pending map.
    pub(super) async fn prepare(&mut self, reports: &[RankReport]) {
        let Some(pending) = &self.pending else {
            return;
        };
        let action = Action::Prepare {
            version: pending.version,
            layers: pending.layers.clone(),
        };
        if self.send_to_each(reports, &action, false).await == GroupReply::Superseded {
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
            .map(|(index, view)| {
                (
                    index,
                    self.new_order(view.report.rank.epoch, action.clone()),
                )
            })
            .collect();
        if !orders.is_empty() && self.send_all(&orders).await == GroupReply::Superseded {
            self.step_down("prepare");
        }
    }

    /// Holds a step at rank 0, then arms all ranks for it.
    pub(super) async fn hold(&mut self, version: u64, reports: &[RankReport]) {
        let Some(first) = reports.first() else {
            return;
        };
        let step = reports
            .iter()
            .map(|report| report.step)
            .max()
            .unwrap_or_default()
            + self.step_margin.steps();
        let order = self.new_order(first.epoch, Action::Hold { step });
        let reply = match self.members.first() {
            Some(target) => self.send(target, &order).await,
            None => None,
        };
        match reply {
            Some(EngineReply::Done | EngineReply::Begun) => self.step_margin.record_success(),
            Some(EngineReply::Conflict) => self.step_margin.record_miss(),
            _ => {}
        }
        match reply {
            Some(EngineReply::Done) => self.arm(version, step, 0, reports).await,
            Some(EngineReply::Begun) => {
                let mut after_hold = reports.to_vec();
                if let Some(holder) = after_hold.first_mut() {
                    holder.sequence += 1;
                }
                self.arm(version, step, 0, &after_hold).await;
            }
            Some(EngineReply::Superseded) => self.step_down("hold"),
            // The next poll shows whether the order was carried out.
            _ => self.poll_soon = true,
        }
    }

    /// Arms all ranks and, once all have confirmed, releases the step.
    pub(super) async fn arm(
        &mut self,
        version: u64,
        step: u64,
        holder: usize,
        reports: &[RankReport],
    ) {
        let Some(epoch) = reports.first().map(|report| report.epoch) else {
            return;
        };
        let action = Action::Arm { version, step };
        match self.send_to_each(reports, &action, true).await {
            GroupReply::Accepted => self.release(epoch, step, holder, version).await,
            GroupReply::Superseded => self.step_down("arm"),
            GroupReply::Incomplete => {
                self.poll_soon = true;
                log::info!(event = "arm_incomplete", version = version, step = step; "not all ranks are armed yet");
            }
        }
    }

    async fn release(&mut self, epoch: u64, step: u64, holder: usize, version: u64) {
        let order = self.new_order(epoch, Action::Release { step });
        let Some(target) = self.members.get(holder) else {
            return;
        };
        let reply = self.send_with_retry(target, &order).await;
        let pending = self.pending.take();
        let pending = pending.filter(|pending| pending.version == version);
        self.released_maps = pending.map(|pending| (epoch, version, pending.layers));
        log::info!(event = "switched", version = version, step = step, reply:? = reply; "released the step on the new map");
    }

    /// Disarms all ranks at a new term, and releases the step once a poll shows that none is armed.
    pub(super) async fn abort(
        &mut self,
        versions: &[u64],
        step: u64,
        holder: usize,
        reports: &[RankReport],
    ) {
        let Some(epoch) = reports.first().map(|report| report.epoch) else {
            return;
        };
        self.poll_soon = true;
        let armed = reports.iter().any(|report| report.armed.is_some());
        let disarmed = self.disarmed_step == Some((epoch, step)) && !armed;
        if !disarmed {
            self.disarmed_step = None;
            // Engines must reject orders of the current term that are still in transit.
            self.renew_term();
            log::info!(event = "abort", versions:? = versions, step = step, term = self.term; "aborting the switch");
        }
        match versions.first() {
            Some(version) if !disarmed => self.disarm(*version, step, reports).await,
            _ => self.release_aborted(epoch, step, holder).await,
        }
    }

    /// Disarms the version that each rank has armed, or `version` at a rank with none, so that every
    /// engine sees the new term.
    async fn disarm(&mut self, version: u64, step: u64, reports: &[RankReport]) {
        let orders: Vec<_> = reports
            .iter()
            .enumerate()
            .map(|(index, report)| {
                let version = report.armed.map_or(version, |armed| armed.version);
                let mut order = self.new_order(report.epoch, Action::Disarm { version });
                order.sequence = Some(report.sequence);
                (index, order)
            })
            .collect();
        match self.send_all(&orders).await {
            GroupReply::Accepted => {
                self.disarmed_step = reports.first().map(|report| (report.epoch, step));
            }
            GroupReply::Superseded => self.step_down("disarm"),
            GroupReply::Incomplete => {}
        }
    }

    /// Releases a held step on the map in use, without a switch.
    async fn release_aborted(&mut self, epoch: u64, step: u64, holder: usize) {
        self.pending = None;
        self.disarmed_step = None;
        let order = self.new_order(epoch, Action::Release { step });
        if let Some(target) = self.members.get(holder) {
            let reply = self.send_with_retry(target, &order).await;
            log::info!(event = "released", step = step, reply:? = reply; "released the step on the map in use");
        }
    }
}
