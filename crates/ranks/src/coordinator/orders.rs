//! The orders of a coordinator to all ranks of its group.

use futures_util::future::join_all;
use sardinepin_common::Millis;
use sardinepin_groups::RankReport;

use super::{Coordinator, DIRECT_MAX, PREPARE_AGAIN, Seat};
use crate::engine::{Action, EngineOrder, OrderReply};
use crate::messages::{Call, Reply, View};

/// How often an order without an answer is given.
const TRIES: u32 = 6;

/// What the ranks said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Joint {
    /// All took it.
    Accepted,
    /// One has seen a higher term.
    Superseded,
    /// One did not take it, or gave no answer.
    Incomplete,
}

impl Coordinator {
    fn order(&self, epoch: u64, action: Action) -> EngineOrder {
        EngineOrder {
            term: self.term,
            epoch,
            sequence: None,
            action,
        }
    }

    /// Gives one order to one rank, again if no answer comes.
    async fn give(&self, seat: &Seat, order: &EngineOrder) -> Option<OrderReply> {
        for _ in 0..TRIES {
            if let Some(reply) = self.give_once(seat, order).await {
                return Some(reply);
            }
        }
        None
    }

    async fn give_once(&self, seat: &Seat, order: &EngineOrder) -> Option<OrderReply> {
        if seat.member.engine == self.settings.engine {
            return self.agent.order(order).await;
        }
        match seat.peer.call(&Call::Order(order.clone())).await {
            Some(Reply::Order(reply)) => Some(reply),
            Some(_) => None,
            // The agent cannot be reached; its engine may be.
            None => self.give_directly(seat, order).await,
        }
    }

    async fn give_directly(&self, seat: &Seat, order: &EngineOrder) -> Option<OrderReply> {
        let call = self.engines.order(seat.member.engine, order);
        tokio::time::timeout(DIRECT_MAX.duration(), call)
            .await
            .ok()?
            .ok()
    }

    /// Gives an order to every rank at once.
    async fn give_all(&self, orders: &[(usize, EngineOrder)]) -> Joint {
        let calls = orders
            .iter()
            .filter_map(|(at, order)| Some(self.give(self.seats.get(*at)?, order)));
        let replies: Vec<Option<OrderReply>> = join_all(calls).await;
        if replies.contains(&Some(OrderReply::Superseded)) {
            return Joint::Superseded;
        }
        let all = replies.len() == orders.len()
            && replies
                .iter()
                .all(|reply| reply.is_some_and(OrderReply::is_taken));
        if all {
            Joint::Accepted
        } else {
            Joint::Incomplete
        }
    }

    /// Gives the same order to every rank at once.
    ///
    /// With `sequenced`, the order has to be the next after a rank's report, so that a copy that
    /// comes late does not fit any more.
    async fn give_each(&self, reports: &[RankReport], action: &Action, sequenced: bool) -> Joint {
        let orders: Vec<_> = reports
            .iter()
            .enumerate()
            .map(|(at, report)| {
                let mut order = self.order(report.epoch, action.clone());
                order.sequence = sequenced.then_some(report.sequence);
                (at, order)
            })
            .collect();
        self.give_all(&orders).await
    }

    /// Has the pending map loaded at every rank.
    pub(super) async fn prepare(&mut self, reports: &[RankReport]) {
        let Some(pending) = &self.pending else {
            return;
        };
        let action = Action::Prepare {
            version: pending.version,
            layers: pending.layers.clone(),
        };
        if self.give_each(reports, &action, false).await == Joint::Superseded {
            self.step_down("prepare");
        }
    }

    /// Orders ranks that show no sign of the pending map once more.
    pub(super) async fn prepare_again(&mut self, views: &[View], now: Millis) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        if now.since(pending.again) < PREPARE_AGAIN {
            return;
        }
        pending.again = now;
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
            .map(|(at, view)| (at, self.order(view.report.rank.epoch, action.clone())))
            .collect();
        if !orders.is_empty() && self.give_all(&orders).await == Joint::Superseded {
            self.step_down("prepare");
        }
    }

    /// Holds a step at the first rank, then arms all ranks for it.
    pub(super) async fn hold(&mut self, version: u64, reports: &[RankReport]) {
        let Some(first) = reports.first() else {
            return;
        };
        let step = reports
            .iter()
            .map(|report| report.step)
            .max()
            .unwrap_or_default()
            + self.ahead.steps();
        let order = self.order(first.epoch, Action::Hold { step });
        let reply = match self.seats.first() {
            Some(seat) => self.give_once(seat, &order).await,
            None => None,
        };
        match reply {
            Some(OrderReply::Done | OrderReply::Begun) => self.ahead.held(),
            Some(OrderReply::Conflict) => self.ahead.missed(),
            _ => {}
        }
        match reply {
            Some(OrderReply::Done) => self.arm(version, step, 0, reports).await,
            Some(OrderReply::Begun) => {
                let mut held = reports.to_vec();
                if let Some(holder) = held.first_mut() {
                    holder.sequence += 1;
                }
                self.arm(version, step, 0, &held).await;
            }
            Some(OrderReply::Superseded) => self.step_down("hold"),
            // The next look shows what became of it.
            _ => self.urgent = true,
        }
    }

    /// Arms all ranks and, once all have confirmed it, releases the step.
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
        match self.give_each(reports, &action, true).await {
            Joint::Accepted => self.release(epoch, step, holder, version).await,
            Joint::Superseded => self.step_down("arm"),
            Joint::Incomplete => {
                self.urgent = true;
                log::info!(event = "arm_incomplete", version = version, step = step; "not every rank is armed yet");
            }
        }
    }

    async fn release(&mut self, epoch: u64, step: u64, holder: usize, version: u64) {
        let order = self.order(epoch, Action::Release { step });
        let Some(seat) = self.seats.get(holder) else {
            return;
        };
        let reply = self.give(seat, &order).await;
        let pending = self.pending.take();
        let pending = pending.filter(|pending| pending.version == version);
        self.released = pending.map(|pending| (epoch, version, pending.layers));
        log::info!(event = "switched", version = version, step = step, reply:? = reply; "step released on the new map");
    }

    /// Disarms all ranks at a new term; once a look shows that none is armed, releases the step.
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
        self.urgent = true;
        let armed = reports.iter().any(|report| report.armed.is_some());
        let disarmed = self.aborted == Some((epoch, step)) && !armed;
        if !disarmed {
            self.aborted = None;
            // Orders of the present term that are still on their way must not come to effect.
            self.renew_term();
            log::info!(event = "abort", versions:? = versions, step = step, term = self.term; "switch abandoned");
        }
        match versions.first() {
            Some(version) if !disarmed => self.disarm(*version, step, reports).await,
            _ => self.give_up(epoch, step, holder).await,
        }
    }

    /// Disarms what each rank has armed, or `version`, so that every engine sees the new term.
    async fn disarm(&mut self, version: u64, step: u64, reports: &[RankReport]) {
        let orders: Vec<_> = reports
            .iter()
            .enumerate()
            .map(|(at, report)| {
                let version = report.armed.map_or(version, |armed| armed.version);
                let mut order = self.order(report.epoch, Action::Disarm { version });
                order.sequence = Some(report.sequence);
                (at, order)
            })
            .collect();
        match self.give_all(&orders).await {
            Joint::Accepted => {
                self.aborted = reports.first().map(|report| (report.epoch, step));
            }
            Joint::Superseded => self.step_down("disarm"),
            Joint::Incomplete => {}
        }
    }

    /// Releases a step on the map in use.
    async fn give_up(&mut self, epoch: u64, step: u64, holder: usize) {
        self.pending = None;
        self.aborted = None;
        let order = self.order(epoch, Action::Release { step });
        if let Some(seat) = self.seats.get(holder) {
            let reply = self.give(seat, &order).await;
            log::info!(event = "released", step = step, reply:? = reply; "step released on the map in use");
        }
    }
}
