//! Carries a coordinator's orders to the ranks of its group, directly or through other members.

use futures_util::future::join_all;
use sardinepin_groups::RankReport;

use super::{Coordinator, DIRECT_TIMEOUT, GroupMember};
use crate::engine::{Action, EngineOrder, EngineReply};
use crate::messages::{Call, Reply};
use crate::relay::{Neighbourhood, PassedOrder, RELAY_TIMEOUT};

/// How many times an order is sent until a reply comes.
const MAX_ATTEMPTS: u32 = 6;

/// The combined reply of the ranks to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GroupReply {
    /// Every rank accepted the order.
    Accepted,
    /// A rank has seen a higher term.
    Superseded,
    /// A rank rejected the order or did not reply.
    Incomplete,
}

impl GroupReply {
    /// Combines the replies of all ranks.
    pub(super) fn of(replies: &[Option<EngineReply>]) -> Self {
        if replies.contains(&Some(EngineReply::Superseded)) {
            return Self::Superseded;
        }
        let accepted = |reply: &Option<EngineReply>| reply.is_some_and(EngineReply::is_accepted);
        match replies.iter().all(accepted) {
            true => Self::Accepted,
            false => Self::Incomplete,
        }
    }
}

impl Coordinator {
    /// Returns an order that an engine rejects once anything has begun there since its report.
    pub(super) fn new_order(&self, report: &RankReport, action: Action) -> EngineOrder {
        EngineOrder {
            term: self.term,
            epoch: report.epoch,
            sequence: Some(report.sequence),
            action,
        }
    }

    /// Sends an order to one rank, repeatedly until a reply comes.
    pub(super) async fn send_with_retry(
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

    pub(super) async fn send_directly(
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

    /// Sends the same action to ranks concurrently; each order is paired with the index of its member.
    pub(super) async fn send_all(
        &self,
        orders: &[(usize, EngineOrder)],
    ) -> Vec<Option<EngineReply>> {
        let sets = self.neighbourhoods.iter();
        let found = join_all(sets.map(|set| self.send_to_neighbourhood(set, orders))).await;
        let mut replies = vec![None; orders.len()];
        for (at, reply) in found.into_iter().flatten() {
            replies[at] = reply;
        }
        replies
    }

    /// Sends those of the orders that are for members of a neighbourhood, through one of them; the orders without a reply are
    /// sent once more. Returns the replies by the position of their order.
    async fn send_to_neighbourhood(
        &self,
        set: &Neighbourhood,
        orders: &[(usize, EngineOrder)],
    ) -> Vec<(usize, Option<EngineReply>)> {
        let members = set.members(self.own_index()).into_iter();
        let positions =
            members.filter_map(|member| orders.iter().position(|(index, _)| *index == member));
        let positions: Vec<usize> = positions.collect();
        let mut replies = vec![None; positions.len()];
        if positions.len() > 1 {
            match self.send_through(&positions, orders).await {
                Some(found) => replies = found,
                None => set.change_relay(),
            }
        }
        let calls = positions.into_iter().zip(replies).map(async |(at, reply)| {
            let (index, order) = &orders[at];
            match (reply, self.members.get(*index)) {
                (None, Some(target)) => (at, self.send_with_retry(target, order).await),
                _ => (at, reply),
            }
        });
        join_all(calls).await
    }

    /// Sends the orders at these positions through the member of the first; `None` if it does not reply.
    async fn send_through(
        &self,
        positions: &[usize],
        orders: &[(usize, EngineOrder)],
    ) -> Option<Vec<Option<EngineReply>>> {
        let (first, order) = orders.get(*positions.first()?)?;
        let passed = positions.iter().skip(1).filter_map(|at| {
            let (index, order) = &orders[*at];
            Some(PassedOrder {
                agent: self.agent_address(*index)?,
                epoch: order.epoch,
                sequence: order.sequence,
            })
        });
        let others: Vec<PassedOrder> = passed.collect();
        if Some(*first) == self.own_index() {
            return Some(self.agent.order_all(order, &others).await);
        }
        let call = Call::OrderAll {
            order: order.clone(),
            others,
        };
        let client = &self.members.get(*first)?.client;
        match client.call_within(RELAY_TIMEOUT, &call).await {
            Some(Reply::Orders(replies)) if replies.len() == positions.len() => Some(replies),
            _ => None,
        }
    }

    /// Sends the same action concurrently to every rank but `left_out`.
    pub(super) async fn send_to_each(
        &self,
        reports: &[RankReport],
        action: &Action,
        left_out: Option<usize>,
    ) -> Vec<Option<EngineReply>> {
        let orders = reports.iter().enumerate();
        let orders: Vec<_> = orders
            .filter(|(_, report)| Some(report.rank) != left_out)
            .map(|(index, report)| (index, self.new_order(report, action.clone())))
            .collect();
        self.send_all(&orders).await
    }

    /// Sends an action to the rank that planned a version; an order to nobody is accepted.
    pub(super) async fn send_to_planner(
        &self,
        reports: &[RankReport],
        action: &Action,
        planner: Option<usize>,
    ) -> Option<EngineReply> {
        let Some(planner) = planner else {
            return Some(EngineReply::Done);
        };
        let target = self.members.get(planner)?;
        let order = self.new_order(reports.get(planner)?, action.clone());
        self.send_with_retry(target, &order).await
    }
}
