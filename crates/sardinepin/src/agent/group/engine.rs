//! Orders to the engine, strictly one after the other.

use sardinepin_common::{Millis, Term};
use sardinepin_groups::Order;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::agent::group::GroupEvent;
use crate::agent::state::SharedAgent;

/// How long the engine may take to answer an order.
const REPLY_TIMEOUT: Millis = Millis(1_000);

/// The way to the engine's orders.
pub(super) struct OrderSender {
    agent: SharedAgent,
    events: mpsc::UnboundedSender<GroupEvent>,
}

impl OrderSender {
    /// Makes the way to the engine of an agent; replies go to `events`.
    pub(super) fn new(agent: SharedAgent, events: mpsc::UnboundedSender<GroupEvent>) -> Self {
        Self { agent, events }
    }

    /// Gives an order; the rank machine gives the next one only after the reply.
    pub(super) fn send(&self, term: Term, order: Order) {
        let agent = SharedAgent::clone(&self.agent);
        let events = self.events.clone();
        tokio::spawn(async move {
            let reply = timeout(REPLY_TIMEOUT.duration(), agent.upstream.order(term, order)).await;
            let _ = events.send(GroupEvent::EngineReply(reply.ok().flatten()));
        });
    }
}
